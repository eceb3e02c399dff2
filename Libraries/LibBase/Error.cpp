#include <LibBase/Error.h>

namespace Base {

std::string_view toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid_argument";
    case ErrorCode::OutOfRange:
        return "out_of_range";
    case ErrorCode::Malformed:
        return "malformed";
    case ErrorCode::TooLarge:
        return "too_large";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::AlreadyExists:
        return "already_exists";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Protected:
        return "protected";
    case ErrorCode::Stale:
        return "stale";
    case ErrorCode::Unauthenticated:
        return "unauthenticated";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Exhausted:
        return "exhausted";
    case ErrorCode::TimedOut:
        return "timed_out";
    case ErrorCode::System:
        return "system";
    }
    return "unknown";
}

boost::leaf::error_id makeError(ErrorCode code, std::string detail)
{
    return boost::leaf::new_error(Error { .code = code, .detail = std::move(detail) });
}

}
