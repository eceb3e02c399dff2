#include "Measurement.h"

#include <cstdio>

namespace Measure {

void Report::figure(std::string_view name, double value, std::string_view unit)
{
    std::printf("FIGURE %.*s %.6g %.*s\n", static_cast<int>(name.size()), name.data(), value,
        static_cast<int>(unit.size()), unit.data());
    std::fflush(stdout);
}

void Report::note(std::string_view text)
{
    std::printf("# %.*s\n", static_cast<int>(text.size()), text.data());
    std::fflush(stdout);
}

}
