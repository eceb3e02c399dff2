#pragma once

namespace Base {

/// Writes the violated invariant and its source location to standard error and aborts the process.
[[noreturn]] void verificationFailed(const char* expression, const char* file, int line);

}

/// Aborts the process if an invariant of the program is violated. Not for invalid input, which is reported as an Error.
#define VERIFY(expression)                                                                                             \
    do {                                                                                                               \
        if (!(expression)) [[unlikely]]                                                                                \
            ::Base::verificationFailed(#expression, __FILE__, __LINE__);                                               \
    } while (false)

/// Marks code that is unreachable unless the program has a bug; aborts the process.
#define VERIFY_NOT_REACHED() ::Base::verificationFailed("not reached", __FILE__, __LINE__)
