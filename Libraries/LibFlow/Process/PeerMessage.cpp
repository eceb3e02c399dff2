#include <LibFlow/Process/PeerMessage.h>
#include <nlohmann/json.hpp>
#include <string>

namespace Flow {

namespace {

    using Json = nlohmann::json;

    constexpr int maximumDepth = 4;

    /// SAX handler that collects the known keys of a message without building a document.
    class Collector : public nlohmann::json_sax<Json> {
    public:
        bool null() override { return true; }
        bool boolean(bool) override { return true; }
        bool number_integer(number_integer_t) override { return true; }
        bool number_float(number_float_t, const string_t&) override { return true; }
        bool string(string_t&) override { return true; }
        bool binary(binary_t&) override { return true; }
        bool start_object(std::size_t) override { return ++depth_ <= maximumDepth; }
        bool end_object() override { return leave(); }
        bool start_array(std::size_t) override { return ++depth_ <= maximumDepth; }
        bool end_array() override { return leave(); }
        bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override { return false; }

        bool key(string_t& name) override
        {
            if (depth_ == 1)
                key_ = name;
            return true;
        }

        bool number_unsigned(number_unsigned_t number) override
        {
            if (depth_ == 1 && key_ == "v")
                version = number;
            else if (depth_ == 1 && key_ == "k")
                kind = number;
            else if (depth_ == 1 && key_ == "i")
                incarnation = number;
            else if (depth_ == 2 && key_ == "e")
                values.push_back(number);
            return true;
        }

        uint64_t version { 0 };
        uint64_t kind { UINT64_MAX };
        uint64_t incarnation { 0 };
        std::vector<uint64_t> values;

    private:
        bool leave()
        {
            --depth_;
            return true;
        }

        int depth_ { 0 };
        std::string key_;
    };

}

std::vector<std::byte> PeerMessage::encode() const
{
    Json document { { "v", version }, { "k", static_cast<uint64_t>(kind) }, { "i", incarnation }, { "e", values } };
    auto bytes = Json::to_msgpack(document);
    std::vector<std::byte> message(bytes.size());
    std::transform(bytes.begin(), bytes.end(), message.begin(), [](uint8_t byte) { return std::byte { byte }; });
    return message;
}

Base::ErrorOr<PeerMessage> PeerMessage::decode(std::span<const std::byte> bytes)
{
    if (bytes.size() > maximumSize)
        return Base::makeError(Base::ErrorCode::TooLarge, "peer message exceeds the maximum size");
    Collector collector;
    const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
    if (!Json::sax_parse(data, data + bytes.size(), &collector, Json::input_format_t::msgpack))
        return Base::makeError(Base::ErrorCode::Malformed, "peer message is not valid msgpack or nested too deeply");
    if (collector.version != version)
        return Base::makeError(Base::ErrorCode::OutOfRange, "unsupported peer message version");
    if (collector.kind >= controlKindCount)
        return Base::makeError(Base::ErrorCode::Malformed, "unknown peer message kind");
    return PeerMessage { .kind = static_cast<ControlKind>(collector.kind),
        .incarnation = collector.incarnation,
        .values = std::move(collector.values) };
}

}
