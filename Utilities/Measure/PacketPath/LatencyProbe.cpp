#include "LatencyProbe.h"

#include <LibPacket/Ipv4Packet.h>
#include <algorithm>
#include <array>
#include <atomic>
#include <poll.h>
#include <sys/socket.h>
#include <thread>

namespace Measure::PacketPath {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr std::size_t bufferBytes = 2048;
    constexpr int socketBufferBytes = 1024 * 1024;
    constexpr Base::microseconds burstInterval { 100 };
    constexpr std::size_t sourceSockets = 16;

    /// Reads the packets that arrive at the backend servers and records the latency of each.
    class Receiver {
    public:
        Receiver(const std::vector<LoopbackSocket>& sockets, std::vector<std::atomic<int64_t>>& sentAt)
            : sentAt_(sentAt)
        {
            for (const auto& socket : sockets)
                entries_.push_back({ .fd = socket.descriptor(), .events = POLLIN, .revents = 0 });
            thread_ = std::thread([this] { run(); });
        }

        std::vector<int64_t> finish()
        {
            stopping_.store(true);
            thread_.join();
            return std::move(delays_);
        }

    private:
        void run()
        {
            while (!stopping_.load()) {
                ::poll(entries_.data(), entries_.size(), 1);
                for (const auto& entry : entries_) {
                    if ((entry.revents & POLLIN) != 0)
                        drain(entry.fd);
                }
            }
        }

        void drain(int descriptor)
        {
            std::array<std::byte, bufferBytes> buffer {};
            for (;;) {
                const auto length = ::recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
                if (length <= 0)
                    return;
                const auto now = Clock::now().time_since_epoch().count();
                Packet::Ipv4Packet packet;
                const auto bytes = std::span(buffer).first(static_cast<std::size_t>(length));
                if (Packet::parseIpv4Packet(bytes, { .verifyTransportChecksum = false }, packet))
                    continue;
                const auto flow = PacketLoad::flowOfCaller(packet.source);
                const auto sentAt = flow < sentAt_.size() ? sentAt_[flow].load(std::memory_order_relaxed) : 0;
                if (sentAt != 0)
                    delays_.push_back(now - sentAt);
            }
        }

        std::vector<std::atomic<int64_t>>& sentAt_;
        std::vector<pollfd> entries_;
        std::vector<int64_t> delays_;
        std::atomic<bool> stopping_ { false };
        std::thread thread_;
    };

    void sendSteadily(const PacketLoad& load, const Base::Ipv4Endpoint& endpoint, double packetsPerSecond,
        Base::milliseconds duration, std::vector<std::atomic<int64_t>>& sentAt)
    {
        std::vector<LoopbackSocket> sockets;
        for (std::size_t count = 0; count < sourceSockets; ++count)
            sockets.emplace_back(socketBufferBytes);
        const auto destination = toSocketAddress(endpoint);
        const auto start = Clock::now();
        std::size_t position = 0;
        for (auto now = start; now - start < duration; now = Clock::now()) {
            const auto due = static_cast<std::size_t>(packetsPerSecond * Base::toSeconds(now - start));
            for (; position < due; ++position) {
                const auto packet = load.packetAt(position);
                sentAt[load.flowAt(position)].store(Clock::now().time_since_epoch().count(), std::memory_order_relaxed);
                ::sendto(sockets[position % sourceSockets].descriptor(), packet.data(), packet.size(), 0,
                    reinterpret_cast<const sockaddr*>(&destination), sizeof(destination));
            }
            std::this_thread::sleep_for(burstInterval);
        }
    }

}

namespace {

    /// Discards datagrams of earlier measurements that are still queued in the sockets.
    void discardOld(const std::vector<LoopbackSocket>& sockets)
    {
        std::array<std::byte, bufferBytes> buffer {};
        for (const auto& socket : sockets) {
            while (::recv(socket.descriptor(), buffer.data(), buffer.size(), MSG_DONTWAIT) > 0) { }
        }
    }

}

Latency measureLatency(Forwarder& forwarder, const PacketLoad& load, const std::vector<LoopbackSocket>& backendServers,
    double packetsPerSecond, Base::milliseconds duration)
{
    discardOld(backendServers);
    std::vector<std::atomic<int64_t>> sentAt(load.flowCount());
    Receiver receiver(backendServers, sentAt);
    sendSteadily(load, forwarder.endpoint(), packetsPerSecond, duration, sentAt);
    std::this_thread::sleep_for(Base::milliseconds(20));
    auto delays = receiver.finish();
    if (delays.empty())
        return {};
    std::sort(delays.begin(), delays.end());
    return { .median = Base::nanoseconds(delays[delays.size() / 2]),
        .percentile99 = Base::nanoseconds(delays[delays.size() * 99 / 100]),
        .received = delays.size() };
}

}
