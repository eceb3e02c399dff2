#include <LibPeer/NodeStatus.h>

#include <LibPeer/MsgpackReader.h>

namespace Peer {

namespace {

    using Json = nlohmann::json;

    NodeStatus readStatus(const Json& object)
    {
        NodeStatus status;
        status.self = { object.at("self").get<uint64_t>() };
        status.incarnation = object.at("incarnation").get<uint64_t>();
        status.failureDomain = object.at("failure_domain").get<std::string>();
        status.revision = { object.at("revision").get<uint64_t>() };
        status.evidence = object.at("evidence").get<std::string>();
        status.evidenceAge = Base::milliseconds(object.at("evidence_age_ms").get<int64_t>());
        status.newestRevision = { object.at("newest_revision").get<uint64_t>() };
        status.inForce = object.at("in_force").get<uint32_t>();
        status.total = object.at("total").get<uint32_t>();
        for (const auto& id : object.at("missing"))
            status.missing.push_back({ id.get<uint64_t>() });
        status.leaving = object.at("leaving").get<bool>();
        status.figures = object.at("figures").get<std::map<std::string, uint64_t>>();
        return status;
    }

}

std::vector<std::byte> encodeNodeStatus(const NodeStatus& status)
{
    Json missing = Json::array();
    for (const auto& id : status.missing)
        missing.push_back(id.value);
    Json object;
    object["self"] = status.self.value;
    object["incarnation"] = status.incarnation;
    object["failure_domain"] = status.failureDomain;
    object["revision"] = status.revision.value;
    object["evidence"] = status.evidence;
    object["evidence_age_ms"] = status.evidenceAge.count();
    object["newest_revision"] = status.newestRevision.value;
    object["in_force"] = status.inForce;
    object["total"] = status.total;
    object["missing"] = std::move(missing);
    object["leaving"] = status.leaving;
    object["figures"] = status.figures;
    return writeMsgpack(object);
}

Base::ErrorOr<NodeStatus> decodeNodeStatus(std::span<const std::byte> bytes)
{
    TRY_ASSIGN(object, readMsgpack(bytes));
    try {
        return readStatus(object);
    } catch (const Json::exception& exception) {
        return Base::makeError(Base::ErrorCode::Malformed, std::string("node status: ") + exception.what());
    }
}

}
