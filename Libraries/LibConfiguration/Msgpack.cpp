#include <LibConfiguration/Msgpack.h>

namespace Configuration {

using Base::ErrorCode;
using Base::makeError;

namespace {

    /// Parses the bytes without building a value and aborts at the nesting limit.
    class NestingCheck : public nlohmann::json_sax<nlohmann::json> {
    public:
        bool null() override { return true; }
        bool boolean(bool) override { return true; }
        bool number_integer(number_integer_t) override { return true; }
        bool number_unsigned(number_unsigned_t) override { return true; }
        bool number_float(number_float_t, const string_t&) override { return true; }
        bool string(string_t&) override { return true; }
        bool binary(binary_t&) override { return true; }
        bool key(string_t&) override { return true; }
        bool start_object(std::size_t) override { return enter(); }
        bool end_object() override { return leave(); }
        bool start_array(std::size_t) override { return enter(); }
        bool end_array() override { return leave(); }
        bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override { return false; }

    private:
        bool enter() { return ++depth_ <= maximumNesting; }

        bool leave()
        {
            --depth_;
            return true;
        }

        std::size_t depth_ { 0 };
    };

}

Base::ErrorOr<nlohmann::json> decodeMsgpack(std::string_view bytes, std::size_t maximumBytes)
{
    if (bytes.size() > maximumBytes)
        return makeError(ErrorCode::TooLarge,
            std::to_string(bytes.size()) + " bytes, at most " + std::to_string(maximumBytes) + " expected");
    NestingCheck check;
    if (!nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &check, nlohmann::json::input_format_t::msgpack))
        return makeError(ErrorCode::Malformed, "not one msgpack value of allowed nesting");
    auto value = nlohmann::json::from_msgpack(bytes.begin(), bytes.end(), true, false);
    if (value.is_discarded())
        return makeError(ErrorCode::Malformed, "not one msgpack value");
    return value;
}

std::string encodeMsgpack(const nlohmann::json& value)
{
    std::string bytes;
    nlohmann::json::to_msgpack(value, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

}
