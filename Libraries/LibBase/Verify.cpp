#include <LibBase/Verify.h>

#include <cstdio>
#include <cstdlib>

namespace Base {

void verificationFailed(const char* expression, const char* file, int line)
{
    std::fprintf(stderr, "VERIFY failed: %s at %s:%d\n", expression, file, line);
    std::abort();
}

}
