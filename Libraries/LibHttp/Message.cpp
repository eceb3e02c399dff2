#include <LibHttp/Message.h>

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace Http {

std::optional<std::string_view> Response::header(std::string_view name) const
{
    const auto found
        = std::ranges::find_if(headers, [&](const Header& header) { return boost::beast::iequals(header.name, name); });
    if (found == headers.end())
        return std::nullopt;
    return found->value;
}

}
