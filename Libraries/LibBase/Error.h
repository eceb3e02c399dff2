#pragma once

#include <boost/leaf.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace Base {

/// The kind of a failure. The detail of an Error says what failed and where.
enum class ErrorCode {
    InvalidArgument,
    OutOfRange,
    Malformed,
    TooLarge,
    NotFound,
    AlreadyExists,
    Conflict,
    Protected,
    Stale,
    Unauthenticated,
    Unavailable,
    Exhausted,
    TimedOut,
    System,
};

/// The stable, lower-case name of a code, as it appears in logs and metrics.
std::string_view toString(ErrorCode);

/// The error object of a failed ErrorOr.
struct Error {
    ErrorCode code { ErrorCode::InvalidArgument };
    std::string detail;
};

/// A value or an Error. The Error object is kept in the innermost error-handling scope of the thread, not in the
/// result.
template <typename T>
using ErrorOr = boost::leaf::result<T>;

/// Creates an Error; the return value converts to any ErrorOr in the failed state.
boost::leaf::error_id makeError(ErrorCode, std::string detail);

/// Calls a fallible function and returns its value, or calls onError with its Error; both must return the same type.
template <typename Function, typename OnError>
auto handleError(Function&& function, OnError&& onError)
{
    return boost::leaf::try_handle_all(
        std::forward<Function>(function), [&](const Error& error) { return onError(error); },
        [&] { return onError(Error { .code = ErrorCode::System, .detail = "unknown error" }); });
}

/// A value or an Error, both stored in the object, for results that outlive the error-handling scope.
template <typename T>
struct Outcome {
    std::optional<T> value;
    Error error;

    bool isOk() const { return value.has_value(); }
};

/// Calls a fallible function that has no value. Returns its Error, or std::nullopt on success.
template <typename Function>
std::optional<Error> captureError(Function&& function)
{
    return handleError(
        [&]() -> ErrorOr<std::optional<Error>> {
            auto result = function();
            if (!result)
                return result.error();
            return std::optional<Error> {};
        },
        [](const Error& error) { return std::optional<Error> { error }; });
}

/// Calls a fallible function and returns its value or Error as an Outcome.
template <typename Function>
auto capture(Function&& function)
{
    using Value = std::decay_t<decltype(function().value())>;
    return handleError(
        [&]() -> ErrorOr<Outcome<Value>> {
            auto result = function();
            if (!result)
                return result.error();
            return Outcome<Value> { .value = std::move(*result), .error = {} };
        },
        [](const Error& error) { return Outcome<Value> { .value = std::nullopt, .error = error }; });
}

}

/// Evaluates an expression that returns an ErrorOr. On failure returns the error from the enclosing function, otherwise
/// binds the value to `variable`.
#define TRY_ASSIGN(variable, expression) BOOST_LEAF_AUTO(variable, expression)
/// As TRY_ASSIGN, for an expression without a value.
#define TRY(expression)                                                                                                \
    do {                                                                                                               \
        auto&& tryResult = (expression);                                                                               \
        if (!tryResult) [[unlikely]]                                                                                   \
            return tryResult.error();                                                                                  \
    } while (false)
