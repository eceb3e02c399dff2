#pragma once

/// Blocking HTTP/1.1 client with one persistent connection. Not thread-safe, except for interrupt().

#include <LibBase/Error.h>
#include <LibBase/Ipv4Endpoint.h>
#include <LibBase/Time.h>
#include <LibHttp/Message.h>
#include <string>

namespace Http {

class HttpClient {
public:
    struct Options {
        Base::Ipv4Endpoint server;
        Base::milliseconds connectTimeout { 1000 };
        std::size_t maximumBodyBytes { std::size_t { 8 } * 1024 * 1024 };
    };

    explicit HttpClient(Options);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends a request and waits for the response. The timeout starts before connecting, which is bounded by
    /// connectTimeout instead. Returns ErrorCode::Unavailable if the request was not sent completely,
    /// ErrorCode::TimedOut, ErrorCode::Malformed or ErrorCode::TooLarge if the server may have processed it. After any
    /// failure the next call reconnects.
    Base::ErrorOr<Response> call(const Request&, Base::milliseconds timeout);

    /// Closes the connection; the next call reconnects.
    void close();

    /// Makes the current call and all later ones fail immediately. Any thread.
    void interrupt();

private:
    bool waitFor(short events, Base::TimePoint deadline) const;
    Base::ErrorOr<void> connect();
    Base::ErrorOr<void> sendAll(std::string_view bytes, Base::TimePoint deadline);
    Base::ErrorOr<Response> receive(Base::TimePoint deadline);
    Base::ErrorOr<Response> exchange(const std::string& bytes, Base::TimePoint deadline);

    Options options_;
    int socket_ { -1 };
    /// An eventfd that is readable after interrupt().
    int interruptEvent_;
};

}
