#include <LibPeer/MsgpackReader.h>

namespace Peer {

namespace {

    using Json = nlohmann::json;

    constexpr int maximumNestingDepth = 8;

    /// Checks the nesting depth of a value without building it; stops parsing beyond the limit.
    class DepthGuard : public nlohmann::json_sax<Json> {
    public:
        bool null() override { return true; }
        bool boolean(bool) override { return true; }
        bool number_integer(number_integer_t) override { return true; } // NOLINT(readability-identifier-naming)
        bool number_unsigned(number_unsigned_t) override { return true; } // NOLINT(readability-identifier-naming)
        bool number_float(number_float_t, const string_t&) override
        {
            return true;
        } // NOLINT(readability-identifier-naming)
        bool string(string_t&) override { return true; }
        bool binary(binary_t&) override { return true; }
        bool start_object(std::size_t) override { return enter(); } // NOLINT(readability-identifier-naming)
        bool key(string_t&) override { return true; }
        bool end_object() override { return leave(); } // NOLINT(readability-identifier-naming)
        bool start_array(std::size_t) override { return enter(); } // NOLINT(readability-identifier-naming)
        bool end_array() override { return leave(); } // NOLINT(readability-identifier-naming)
        bool parse_error(std::size_t, const std::string&, const Json::exception&) override // NOLINT
        {
            return false;
        }

    private:
        bool enter() { return ++depth_ <= maximumNestingDepth; }
        bool leave()
        {
            --depth_;
            return true;
        }

        int depth_ { 0 };
    };

}

Base::ErrorOr<Json> readMsgpack(std::span<const std::byte> bytes)
{
    const auto* begin = reinterpret_cast<const uint8_t*>(bytes.data());
    const auto* end = begin + bytes.size();
    DepthGuard guard;
    if (!Json::sax_parse(begin, end, &guard, Json::input_format_t::msgpack))
        return Base::makeError(Base::ErrorCode::Malformed, "expected valid msgpack of at most 8 nesting levels");
    auto value = Json::from_msgpack(begin, end, true, false);
    if (value.is_discarded())
        return Base::makeError(Base::ErrorCode::Malformed, "expected valid msgpack");
    return value;
}

std::vector<std::byte> writeMsgpack(const Json& value)
{
    const auto bytes = Json::to_msgpack(value);
    const auto* begin = reinterpret_cast<const std::byte*>(bytes.data());
    return { begin, begin + bytes.size() };
}

}
