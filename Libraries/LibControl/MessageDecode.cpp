#include <LibControl/Message.h>

#include <nlohmann/json.hpp>

namespace Control {

namespace {

    using Json = nlohmann::json;
    using Base::ErrorCode;
    using Base::ErrorOr;
    using Base::makeError;

    /// Longest failure domain or region name, in bytes.
    constexpr std::size_t maximumNameBytes = 64;
    /// Larger ages are reduced to this value (24 hours).
    constexpr int64_t maximumAgeMilliseconds = 86'400'000;

    /// Deepest nesting of lists and maps in a message.
    constexpr std::size_t maximumDepth = 4;

    /// Parses without building a value, to enforce the nesting limit: the library's parser is recursive and has no
    /// limit of its own.
    class DepthCheck final : public nlohmann::json_sax<Json> {
    public:
        bool null() override { return true; }
        bool boolean(bool) override { return true; }
        bool number_integer(number_integer_t) override { return true; }
        bool number_unsigned(number_unsigned_t) override { return true; }
        bool number_float(number_float_t, const string_t&) override { return true; }
        bool string(string_t&) override { return true; }
        bool binary(binary_t&) override { return true; }
        bool key(string_t&) override { return true; }
        bool start_object(std::size_t) override { return ++depth_ <= maximumDepth; }
        bool start_array(std::size_t) override { return ++depth_ <= maximumDepth; }
        bool end_object() override { return leave(); }
        bool end_array() override { return leave(); }
        bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override { return false; }

    private:
        bool leave()
        {
            --depth_;
            return true;
        }

        std::size_t depth_ { 0 };
    };

    /// Reads fields of a decoded object. The first invalid field marks the whole message as malformed.
    class Reader {
    public:
        bool isMessageValid() const { return isValid_; }

        uint64_t unsignedAt(const Json& list, std::size_t index)
        {
            if (!list.is_array() || index >= list.size())
                return fail<uint64_t>();
            return toUnsigned(list[index]);
        }

        uint32_t uint32At(const Json& list, std::size_t index) { return narrow(unsignedAt(list, index)); }

        Base::milliseconds ageAt(const Json& list, std::size_t index)
        {
            const auto value = unsignedAt(list, index);
            return Base::milliseconds(std::min<uint64_t>(value, maximumAgeMilliseconds));
        }

        std::string nameAt(const Json& list, std::size_t index)
        {
            if (!list.is_array() || index >= list.size())
                return fail<std::string>();
            return name(list[index]);
        }

        std::string name(const Json& value)
        {
            if (!value.is_string() || value.get_ref<const std::string&>().size() > maximumNameBytes)
                return fail<std::string>();
            return value.get<std::string>();
        }

        const Json& field(const Json& object, const char* key)
        {
            static const Json missingField;
            const auto found = object.find(key);
            if (found != object.end())
                return *found;
            isValid_ = false;
            return missingField;
        }

        uint64_t unsignedField(const Json& object, const char* key) { return toUnsigned(field(object, key)); }
        uint32_t uint32Field(const Json& object, const char* key) { return narrow(unsignedField(object, key)); }

        std::string toBytes(const Json& value)
        {
            if (!value.is_binary())
                return fail<std::string>();
            const auto& bytes = value.get_binary();
            return { bytes.begin(), bytes.end() };
        }

        /// Calls read(entry) for each entry of a list.
        template <typename Function>
        void forEach(const Json& list, Function&& read)
        {
            if (!list.is_array() || list.size() > maximumListEntries) {
                isValid_ = false;
                return;
            }
            for (const auto& entry : list)
                read(entry);
        }

        /// Calls read(entry) for each entry of a list that may be absent.
        template <typename Function>
        void forEachOptional(const Json& object, const char* key, Function&& read)
        {
            const auto found = object.find(key);
            if (found != object.end())
                forEach(*found, std::forward<Function>(read));
        }

        uint64_t toUnsigned(const Json& value)
        {
            if (!value.is_number_unsigned())
                return fail<uint64_t>();
            return value.get<uint64_t>();
        }

        std::vector<EntryVmId> toIds(const Json& list)
        {
            std::vector<EntryVmId> ids;
            forEach(list, [&](const Json& entry) { ids.push_back({ toUnsigned(entry) }); });
            return ids;
        }

        std::vector<std::string> toByteList(const Json& list)
        {
            std::vector<std::string> values;
            forEach(list, [&](const Json& entry) { values.push_back(toBytes(entry)); });
            return values;
        }

        template <typename T>
        T fail()
        {
            isValid_ = false;
            return T {};
        }

    private:
        uint32_t narrow(uint64_t value)
        {
            return value <= UINT32_MAX ? static_cast<uint32_t>(value) : fail<uint32_t>();
        }

        bool isValid_ { true };
    };

    MemberUpdate readUpdate(Reader& reader, const Json& list, std::size_t first)
    {
        MemberUpdate update;
        update.id = { reader.unsignedAt(list, first) };
        update.incarnation = reader.unsignedAt(list, first + 1);
        update.refutation = reader.uint32At(list, first + 2);
        const auto state = reader.unsignedAt(list, first + 3);
        if (state > static_cast<uint64_t>(MemberState::Dead) || !update.id.isValid())
            return reader.fail<MemberUpdate>();
        update.state = static_cast<MemberState>(state);
        update.accuser = { reader.unsignedAt(list, first + 4) };
        update.failureDomain = reader.nameAt(list, first + 5);
        update.region = reader.nameAt(list, first + 6);
        update.dataEndpoint = Base::Ipv4Endpoint::fromPacked(reader.unsignedAt(list, first + 7) ^ update.id.value);
        return update;
    }

    std::vector<MemberUpdate> readUpdates(Reader& reader, const Json& object, const char* key)
    {
        std::vector<MemberUpdate> updates;
        const auto found = object.find(key);
        if (found == object.end())
            return updates;
        const auto fields = reader.unsignedAt(*found, 0);
        const bool isComplete
            = reader.isMessageValid() && fields >= memberUpdateFields && (found->size() - 1) % fields == 0;
        if (!isComplete || (found->size() - 1) / fields > maximumListEntries)
            return reader.fail<std::vector<MemberUpdate>>();
        for (std::size_t first = 1; first < found->size(); first += fields)
            updates.push_back(readUpdate(reader, *found, first));
        return updates;
    }

    WatcherAnnouncement readWatcher(Reader& reader, const Json& entry)
    {
        return { .domain = reader.uint32At(entry, 0),
            .slot = reader.uint32At(entry, 1),
            .holder = { reader.unsignedAt(entry, 2) },
            .epoch = reader.unsignedAt(entry, 3),
            .age = reader.ageAt(entry, 4) };
    }

    DomainProgress readProgress(Reader& reader, const Json& entry)
    {
        DomainProgress progress { .domain = reader.uint32At(entry, 0),
            .revision = { reader.unsignedAt(entry, 1) },
            .inForce = reader.uint32At(entry, 2),
            .total = reader.uint32At(entry, 3),
            .missing = {} };
        if (reader.isMessageValid() && entry.size() > 4)
            progress.missing = reader.toIds(entry[4]);
        return progress;
    }

    MessageHeader readHeader(Reader& reader, const Json& object)
    {
        MessageHeader header;
        header.incarnation = reader.unsignedField(object, "I");
        if (object.contains("N"))
            header.newest = { reader.unsignedField(object, "N") };
        if (object.contains("C")) {
            header.confirmed = { reader.unsignedAt(object["C"], 0) };
            header.confirmationAge = reader.ageAt(object["C"], 1);
        }
        header.updates = readUpdates(reader, object, "U");
        reader.forEachOptional(
            object, "W", [&](const Json& entry) { header.watchers.push_back(readWatcher(reader, entry)); });
        reader.forEachOptional(object, "A", [&](const Json& entry) {
            header.contacts.push_back({ .domain = reader.uint32At(entry, 0), .age = reader.ageAt(entry, 1) });
        });
        reader.forEachOptional(
            object, "P", [&](const Json& entry) { header.progress.push_back(readProgress(reader, entry)); });
        reader.forEachOptional(object, "D", [&](const Json& entry) {
            header.digests.push_back({ .domain = reader.uint32At(entry, 0), .hash = reader.unsignedAt(entry, 1) });
        });
        return header;
    }

    ChangePush readChangePush(Reader& reader, const Json& object)
    {
        const auto& range = reader.field(object, "rg");
        const auto& watcher = reader.field(object, "w");
        return { .changes = reader.toByteList(reader.field(object, "l")),
            .range = { .seed = reader.unsignedAt(range, 0),
                .origin = reader.unsignedAt(range, 1),
                .begin = reader.unsignedAt(range, 2),
                .end = reader.unsignedAt(range, 3) },
            .watcherDomain = reader.uint32At(watcher, 0),
            .watcherSlot = reader.uint32At(watcher, 1),
            .watcherEpoch = reader.unsignedAt(watcher, 2) };
    }

    Acknowledge readAcknowledge(Reader& reader, const Json& object)
    {
        const auto& reached = reader.field(object, "ok");
        if (!reached.is_boolean())
            return reader.fail<Acknowledge>();
        return { .sequence = reader.unsignedField(object, "s"), .reached = reached.get<bool>() };
    }

    MembersRequest readMembersRequest(Reader& reader, const Json& object)
    {
        MembersRequest request { .domain = reader.uint32Field(object, "d"), .bucketHashes = {} };
        reader.forEach(reader.field(object, "h"),
            [&](const Json& entry) { request.bucketHashes.push_back(reader.toUnsigned(entry)); });
        return request;
    }

    MemberList readMemberList(Reader& reader, const Json& object)
    {
        MemberList list { .failureDomain = reader.name(reader.field(object, "d")),
            .region = reader.name(reader.field(object, "r")),
            .updates = {} };
        list.updates = readUpdates(reader, object, "l");
        return list;
    }

    MessageBody readBody(Reader& reader, const Json& object, uint64_t kind)
    {
        switch (kind) {
        case 0:
            return Ping { .sequence = reader.unsignedField(object, "s") };
        case 1:
            return readAcknowledge(reader, object);
        case 2:
            return PingRequest { .sequence = reader.unsignedField(object, "s"),
                .target = { reader.unsignedField(object, "t") } };
        case 3:
            return Gossip {};
        case 4:
            return readChangePush(reader, object);
        case 5:
            return ChangesRequest { .after = { reader.unsignedField(object, "r") } };
        case 6:
            return Changes { .changes = reader.toByteList(reader.field(object, "l")) };
        case 7:
            return SnapshotRequest { .revision = { reader.unsignedField(object, "r") },
                .firstPart = reader.uint32Field(object, "i"),
                .partCount = reader.uint32Field(object, "c") };
        case 8:
            return SnapshotPart { .revision = { reader.unsignedField(object, "r") },
                .index = reader.uint32Field(object, "i"),
                .total = reader.uint32Field(object, "c"),
                .bytes = reader.toBytes(reader.field(object, "b")) };
        case 9:
            return readMembersRequest(reader, object);
        case 10:
            return AcknowledgementReport { .revision = { reader.unsignedField(object, "r") },
                .group = reader.uint32Field(object, "g"),
                .inForce = reader.uint32Field(object, "n"),
                .total = reader.uint32Field(object, "c"),
                .missing = reader.toIds(reader.field(object, "m")) };
        case 11:
            return readMemberList(reader, object);
        default:
            return reader.fail<Gossip>();
        }
    }

}

ErrorOr<Message> decodeMessage(std::span<const std::byte> bytes)
{
    if (bytes.size() > maximumMessageBytes)
        return makeError(ErrorCode::TooLarge, "control message exceeds the size limit");
    const auto* begin = reinterpret_cast<const uint8_t*>(bytes.data());
    DepthCheck depthCheck;
    if (!Json::sax_parse(begin, begin + bytes.size(), &depthCheck, Json::input_format_t::msgpack))
        return makeError(ErrorCode::Malformed, "control message is not valid msgpack or is nested too deeply");
    const auto object = Json::from_msgpack(begin, begin + bytes.size(), true, false);
    if (!object.is_object())
        return makeError(ErrorCode::Malformed, "control message is not a msgpack map");
    Reader reader;
    const auto version = reader.unsignedField(object, "v");
    const auto kind = reader.unsignedField(object, "k");
    if (!reader.isMessageValid() || version == 0)
        return makeError(ErrorCode::Malformed, "control message has no valid version or kind");
    Message message { .header = readHeader(reader, object), .body = readBody(reader, object, kind) };
    if (!reader.isMessageValid())
        return makeError(ErrorCode::Malformed, "control message has a missing or invalid field");
    return message;
}

}
