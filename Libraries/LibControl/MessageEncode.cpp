#include <LibControl/Message.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Control {

namespace {

    using Json = nlohmann::json;

    /// Negative ages are sent as zero.
    uint64_t ageOf(Base::milliseconds age) { return static_cast<uint64_t>(std::max<int64_t>(0, age.count())); }

    Json idList(const std::vector<EntryVmId>& ids)
    {
        auto list = Json::array();
        for (const auto id : ids)
            list.push_back(id.value);
        return list;
    }

    Json binary(const std::string& bytes) { return Json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end())); }

    Json binaryList(const std::vector<std::string>& values)
    {
        auto list = Json::array();
        for (const auto& value : values)
            list.push_back(binary(value));
        return list;
    }

    /// Writes the updates as one flat list of fields, preceded by the number of fields of each update, so that later
    /// versions can add fields. Updates are the most frequent part of messages, so the encoding is compact: the data
    /// endpoint is XORed with the id, since the two usually share the address.
    void putUpdates(Json& object, const char* key, const std::vector<MemberUpdate>& updates)
    {
        if (updates.empty())
            return;
        auto list = Json::array();
        list.get_ref<Json::array_t&>().reserve(1 + updates.size() * memberUpdateFields);
        list.push_back(memberUpdateFields);
        for (const auto& update : updates) {
            list.push_back(update.id.value);
            list.push_back(update.incarnation);
            list.push_back(update.refutation);
            list.push_back(static_cast<uint8_t>(update.state));
            list.push_back(update.accuser.value);
            list.push_back(update.failureDomain);
            list.push_back(update.region);
            list.push_back(update.dataEndpoint.packed() ^ update.id.value);
        }
        object[key] = std::move(list);
    }

    Json encode(const WatcherAnnouncement& watcher)
    {
        return Json::array({ watcher.domain, watcher.slot, watcher.holder.value, watcher.epoch, ageOf(watcher.age) });
    }

    Json encode(const DomainContact& contact) { return Json::array({ contact.domain, ageOf(contact.age) }); }

    Json encode(const DomainProgress& progress)
    {
        return Json::array(
            { progress.domain, progress.revision.value, progress.inForce, progress.total, idList(progress.missing) });
    }

    Json encode(const MemberDigest& digest) { return Json::array({ digest.domain, digest.hash }); }

    template <typename T>
    void putList(Json& object, const char* key, const std::vector<T>& values)
    {
        if (values.empty())
            return;
        auto list = Json::array();
        for (const auto& value : values)
            list.push_back(encode(value));
        object[key] = std::move(list);
    }

    struct BodyEncoder {
        Json& object;

        void operator()(const Ping& ping) const { object["s"] = ping.sequence; }
        void operator()(const Acknowledge& acknowledge) const
        {
            object["s"] = acknowledge.sequence;
            object["ok"] = acknowledge.reached;
        }
        void operator()(const PingRequest& request) const
        {
            object["s"] = request.sequence;
            object["t"] = request.target.value;
        }
        void operator()(const Gossip&) const { }
        void operator()(const ChangePush& push) const
        {
            object["l"] = binaryList(push.changes);
            object["rg"] = Json::array({ push.range.seed, push.range.origin, push.range.begin, push.range.end });
            object["w"] = Json::array({ push.watcherDomain, push.watcherSlot, push.watcherEpoch });
        }
        void operator()(const ChangesRequest& request) const { object["r"] = request.after.value; }
        void operator()(const Changes& changes) const { object["l"] = binaryList(changes.changes); }
        void operator()(const SnapshotRequest& request) const
        {
            object["r"] = request.revision.value;
            object["i"] = request.firstPart;
            object["c"] = request.partCount;
        }
        void operator()(const SnapshotPart& part) const
        {
            object["r"] = part.revision.value;
            object["i"] = part.index;
            object["c"] = part.total;
            object["b"] = binary(part.bytes);
        }
        void operator()(const MembersRequest& request) const
        {
            object["d"] = request.domain;
            object["h"] = request.bucketHashes;
        }
        void operator()(const AcknowledgementReport& report) const
        {
            object["r"] = report.revision.value;
            object["g"] = report.group;
            object["n"] = report.inForce;
            object["c"] = report.total;
            object["m"] = idList(report.missing);
        }
        void operator()(const MemberList& list) const
        {
            object["d"] = list.failureDomain;
            object["r"] = list.region;
            putUpdates(object, "l", list.updates);
        }
    };

    void putHeader(Json& object, const MessageHeader& header)
    {
        object["I"] = header.incarnation;
        if (header.newest.isValid())
            object["N"] = header.newest.value;
        if (header.confirmed.isValid())
            object["C"] = Json::array({ header.confirmed.value, ageOf(header.confirmationAge) });
        putUpdates(object, "U", header.updates);
        putList(object, "W", header.watchers);
        putList(object, "A", header.contacts);
        putList(object, "P", header.progress);
        putList(object, "D", header.digests);
    }

}

std::vector<std::byte> encodeMessage(const Message& message)
{
    auto object = Json::object();
    object["v"] = messageVersion;
    object["k"] = message.body.index();
    putHeader(object, message.header);
    std::visit(BodyEncoder { object }, message.body);
    const auto packed = Json::to_msgpack(object);
    const auto bytes = std::as_bytes(std::span(packed));
    return { bytes.begin(), bytes.end() };
}

}
