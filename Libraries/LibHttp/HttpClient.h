#pragma once

/// HTTP/1.1 over one kept connection, for threads that may wait. Not thread-safe, but for interrupt().

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

    /// One call; at most `timeout` passes from its start to the last byte of the answer. Unavailable: the request was
    /// not sent as a whole. TimedOut, Malformed: it may have been carried out. The connection is made anew after any
    /// failure.
    Base::ErrorOr<Response> call(const Request&, Base::milliseconds timeout);

    /// Ends the connection, so that the next call makes a new one.
    void close();

    /// Any thread: the call in progress, and all later ones, fail at once.
    void interrupt();

private:
    bool waitFor(short events, Base::TimePoint deadline) const;
    Base::ErrorOr<void> connect();
    Base::ErrorOr<void> sendAll(std::string_view bytes, Base::TimePoint deadline);
    Base::ErrorOr<Response> receive(Base::TimePoint deadline);
    Base::ErrorOr<Response> exchange(const std::string& bytes, Base::TimePoint deadline);

    Options options_;
    int socket_ { -1 };
    /// Readable once interrupt() was called.
    int interruption_;
};

}
