#include <LibCapacity/SlopeFile.h>

#include <sstream>

namespace Capacity {

Base::ErrorOr<Variables> parseSlopes(std::string_view text)
{
    Variables slopes;
    std::istringstream stream { std::string(text) };
    for (std::string line; std::getline(stream, line);) {
        if (line.empty() || line.front() == '#')
            continue;
        std::istringstream fields(line);
        std::string keyword;
        std::string name;
        double value = 0;
        if (!(fields >> keyword >> name >> value) || keyword != "FIGURE")
            return Base::makeError(Base::ErrorCode::Malformed, "slopes: not a FIGURE line: '" + line + "'");
        slopes[name] = value;
    }
    return slopes;
}

}
