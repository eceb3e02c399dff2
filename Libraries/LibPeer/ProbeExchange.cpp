#include <LibPeer/ProbeExchange.h>

#include <LibPeer/MsgpackReader.h>

namespace Peer {

namespace {

    using Json = nlohmann::json;

    template <typename Element>
    Base::ErrorOr<std::vector<Element>> decodeList(
        std::span<const std::byte> bytes, Element (*readElement)(const Json&))
    {
        TRY_ASSIGN(list, readMsgpack(bytes));
        if (!list.is_array())
            return Base::makeError(Base::ErrorCode::Malformed, "probe exchange: expected a list");
        try {
            std::vector<Element> elements;
            for (const auto& element : list)
                elements.push_back(readElement(element));
            return elements;
        } catch (const Json::exception& exception) {
            return Base::makeError(Base::ErrorCode::Malformed, std::string("probe exchange: ") + exception.what());
        }
    }

    ProbeReport readReport(const Json& element)
    {
        return { .backendServer = { element.at("server").get<uint32_t>() },
            .healthy = element.at("healthy").get<bool>(),
            .slotsInUse = element.at("slots").get<uint32_t>(),
            .connections = element.at("connections").get<uint32_t>(),
            .startToken = element.at("start").get<uint64_t>(),
            .ageMs = element.at("age_ms").get<uint32_t>() };
    }

    ProbeTarget readTarget(const Json& element)
    {
        return { .backendServer = { element.at("server").get<uint32_t>() },
            .management = Base::Ipv4Endpoint::fromPacked(element.at("management").get<uint64_t>()) };
    }

}

std::vector<std::byte> encodeProbeReports(const std::vector<ProbeReport>& reports)
{
    Json list = Json::array();
    for (const auto& report : reports) {
        list.push_back(
            { { "server", report.backendServer.value }, { "healthy", report.healthy }, { "slots", report.slotsInUse },
                { "connections", report.connections }, { "start", report.startToken }, { "age_ms", report.ageMs } });
    }
    return writeMsgpack(list);
}

Base::ErrorOr<std::vector<ProbeReport>> decodeProbeReports(std::span<const std::byte> bytes)
{
    return decodeList<ProbeReport>(bytes, readReport);
}

std::vector<std::byte> encodeProbeTargets(const std::vector<ProbeTarget>& targets)
{
    Json list = Json::array();
    for (const auto& target : targets)
        list.push_back({ { "server", target.backendServer.value }, { "management", target.management.packed() } });
    return writeMsgpack(list);
}

Base::ErrorOr<std::vector<ProbeTarget>> decodeProbeTargets(std::span<const std::byte> bytes)
{
    return decodeList<ProbeTarget>(bytes, readTarget);
}

}
