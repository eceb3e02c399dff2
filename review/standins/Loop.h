#pragma once

// An event loop for sockets and timers, and small socket helpers. Single-threaded.

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <poll.h>
#include <queue>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

struct Endpoint {
    uint32_t address { 0 };
    uint16_t port { 0 };

    auto operator<=>(const Endpoint&) const = default;

    std::string host() const
    {
        return std::to_string(address >> 24) + "." + std::to_string((address >> 16) & 255) + "."
            + std::to_string((address >> 8) & 255) + "." + std::to_string(address & 255);
    }
    std::string text() const { return host() + ":" + std::to_string(port); }
    sockaddr_in native() const
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_addr.s_addr = htonl(address);
        result.sin_port = htons(port);
        return result;
    }
};

/// An address of the loopback network of this run: runs at the same time use different second octets.
inline uint32_t loopbackAddress(unsigned subnet, unsigned host)
{
    return (127U << 24) | ((1U + static_cast<uint32_t>(::getpid()) % 250U) << 16) | (subnet << 8) | host;
}

/// Opens a non-blocking socket of the given type and binds it. Returns -1 if the port is taken.
inline int bindSocket(int type, const Endpoint& endpoint)
{
    const int socket = ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const auto native = endpoint.native();
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&native), sizeof(native)) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

inline uint16_t portOf(int socket)
{
    sockaddr_in native {};
    socklen_t length = sizeof(native);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&native), &length);
    return ntohs(native.sin_port);
}

/// A port that is free for UDP and TCP on all of the addresses.
inline uint16_t findFreePort(const std::vector<uint32_t>& addresses)
{
    for (int tries = 0; tries < 200; ++tries) {
        std::vector<int> sockets { bindSocket(SOCK_DGRAM, { .address = addresses.front(), .port = 0 }) };
        const auto port = portOf(sockets.front());
        bool isFree = true;
        for (const auto address : addresses) {
            if (address != addresses.front())
                sockets.push_back(bindSocket(SOCK_DGRAM, { .address = address, .port = port }));
            isFree = isFree && sockets.back() >= 0;
            sockets.push_back(bindSocket(SOCK_STREAM, { .address = address, .port = port }));
            isFree = isFree && sockets.back() >= 0;
        }
        for (const int socket : sockets) {
            if (socket >= 0)
                ::close(socket);
        }
        if (isFree)
            return port;
    }
    throw std::runtime_error("no free port");
}

class Loop {
public:
    void watch(int socket, std::function<void()> callback) { watches_[socket] = { POLLIN, std::move(callback) }; }
    void watchWritable(int socket, std::function<void()> callback)
    {
        watches_[socket] = { POLLOUT, std::move(callback) };
    }
    void unwatch(int socket) { watches_.erase(socket); }
    void after(Ms delay, std::function<void()> callback)
    {
        timers_.push({ Clock::now() + delay, nextOrder_++, std::move(callback) });
    }
    void every(Ms period, std::function<void()> callback)
    {
        after(period, [this, period, callback = std::move(callback)] {
            callback();
            every(period, callback);
        });
    }
    Ms elapsed() const { return std::chrono::duration_cast<Ms>(Clock::now() - startedAt_); }

    void runFor(Ms time)
    {
        const auto end = Clock::now() + time;
        while (Clock::now() < end)
            runOnce();
    }

private:
    struct Watch {
        short events { POLLIN };
        std::function<void()> callback;
    };
    struct Timer {
        Clock::time_point due;
        uint64_t order { 0 };
        std::function<void()> callback;
        bool operator<(const Timer& other) const { return due != other.due ? due > other.due : order > other.order; }
    };

    void runOnce()
    {
        std::vector<pollfd> entries;
        entries.reserve(watches_.size());
        for (const auto& [socket, watch] : watches_)
            entries.push_back({ .fd = socket, .events = watch.events, .revents = 0 });
        ::poll(entries.data(), entries.size(), 1);
        for (const auto& entry : entries) {
            const auto found = watches_.find(entry.fd);
            if (entry.revents == 0 || found == watches_.end())
                continue;
            const auto callback = found->second.callback;
            callback();
        }
        while (!timers_.empty() && timers_.top().due <= Clock::now()) {
            const auto timer = timers_.top();
            timers_.pop();
            timer.callback();
        }
    }

    std::map<int, Watch> watches_;
    std::priority_queue<Timer> timers_;
    uint64_t nextOrder_ { 0 };
    Clock::time_point startedAt_ { Clock::now() };
};

}
