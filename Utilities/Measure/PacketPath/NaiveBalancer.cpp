#include "Forwarder.h"
#include "Sockets.h"

#include <LibPacket/Ipv4Packet.h>
#include <array>
#include <atomic>
#include <mutex>
#include <sys/socket.h>
#include <thread>
#include <unordered_map>

namespace Measure::PacketPath {

namespace {

    constexpr std::size_t bufferBytes = 2048;
    constexpr int socketBufferBytes = 4 * 1024 * 1024;
    constexpr int idleMilliseconds = 10;

    class NaiveBalancer : public Forwarder {
    public:
        explicit NaiveBalancer(const ForwarderOptions& options)
        {
            for (const auto& server : options.backendServers)
                servers_.push_back(toSocketAddress(server));
            for (std::size_t flow = 0; flow < options.load->flowCount(); ++flow) {
                const auto& key = options.load->key(flow);
                flows_[key] = key.hash() % servers_.size();
            }
            Base::Ipv4Endpoint shared { { 0x7F000001 }, 0 };
            for (std::size_t index = 0; index < options.threads; ++index) {
                sockets_.emplace_back(socketBufferBytes, shared, true);
                shared = sockets_.back().endpoint();
            }
        }
        ~NaiveBalancer() override { stopThreads(); }

        Base::Ipv4Endpoint endpoint() const override { return sockets_.front().endpoint(); }

        void start() override
        {
            for (const auto& socket : sockets_)
                threads_.emplace_back([this, descriptor = socket.descriptor()] { run(descriptor); });
        }

        void stop() override { stopThreads(); }
        Base::nanoseconds processorTime() const override { return processorTimeOf(threads_); }
        uint64_t forwarded() const override { return forwarded_.load(); }

    private:
        void run(int descriptor)
        {
            std::array<std::byte, bufferBytes> buffer {};
            while (!stopping_.load()) {
                const auto received = ::recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
                if (received > 0)
                    forward(descriptor, std::span(buffer).first(static_cast<std::size_t>(received)));
                else
                    waitReadable(descriptor, idleMilliseconds);
            }
        }

        void forward(int descriptor, std::span<const std::byte> bytes)
        {
            Packet::Ipv4Packet packet;
            if (Packet::parseIpv4Packet(bytes, {}, packet))
                return;
            const auto& server = servers_[serverOf(Packet::summarize(packet, Packet::Direction::ToBackendServer).key)];
            if (::sendto(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT,
                    reinterpret_cast<const sockaddr*>(&server), sizeof(server))
                > 0)
                forwarded_.fetch_add(1);
        }

        std::size_t serverOf(const Packet::FlowKey& key)
        {
            const std::lock_guard lock(mutex_);
            return flows_.try_emplace(key, key.hash() % servers_.size()).first->second;
        }

        void stopThreads()
        {
            stopping_.store(true);
            for (auto& thread : threads_)
                thread.join();
            threads_.clear();
        }

        std::vector<sockaddr_in> servers_;
        std::mutex mutex_;
        std::unordered_map<Packet::FlowKey, std::size_t> flows_;
        std::vector<LoopbackSocket> sockets_;
        std::vector<std::thread> threads_;
        std::atomic<bool> stopping_ { false };
        std::atomic<uint64_t> forwarded_ { 0 };
    };

}

std::unique_ptr<Forwarder> makeNaiveBalancer(const ForwarderOptions& options)
{
    return std::make_unique<NaiveBalancer>(options);
}

}
