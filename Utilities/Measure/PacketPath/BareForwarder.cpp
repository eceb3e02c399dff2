#include "Forwarder.h"
#include "Sockets.h"

#include <array>
#include <atomic>
#include <sys/socket.h>
#include <thread>

namespace Measure::PacketPath {

namespace {

    constexpr std::size_t batchSize = 64;
    constexpr std::size_t bufferBytes = 2048;
    constexpr int socketBufferBytes = 4 * 1024 * 1024;
    constexpr int idleMilliseconds = 10;

    /// One thread with its socket and buffers, which forwards every datagram.
    class BareWorker {
    public:
        BareWorker(const Base::Ipv4Endpoint& endpoint, const Base::Ipv4Endpoint& destination)
            : socket_(socketBufferBytes, endpoint, true)
            , destination_(toSocketAddress(destination))
            , buffers_(batchSize * bufferBytes)
        {
        }

        Base::Ipv4Endpoint endpoint() const { return socket_.endpoint(); }
        uint64_t forwarded() const { return forwarded_.load(std::memory_order_relaxed); }

        void run(const std::atomic<bool>& stopping)
        {
            while (!stopping.load(std::memory_order_relaxed)) {
                const int received = receive();
                if (received > 0)
                    send(received);
                else
                    waitReadable(socket_.descriptor(), idleMilliseconds);
            }
        }

    private:
        int receive()
        {
            for (std::size_t slot = 0; slot < batchSize; ++slot) {
                parts_[slot] = { .iov_base = buffers_.data() + (slot * bufferBytes), .iov_len = bufferBytes };
                headers_[slot].msg_hdr = { .msg_name = &sources_[slot],
                    .msg_namelen = sizeof(sockaddr_in),
                    .msg_iov = &parts_[slot],
                    .msg_iovlen = 1 };
            }
            return ::recvmmsg(socket_.descriptor(), headers_.data(), batchSize, MSG_DONTWAIT, nullptr);
        }

        void send(int count)
        {
            for (int slot = 0; slot < count; ++slot) {
                auto& header = headers_[static_cast<std::size_t>(slot)];
                parts_[static_cast<std::size_t>(slot)].iov_len = header.msg_len;
                header.msg_hdr.msg_name = &destination_;
            }
            const int sent
                = ::sendmmsg(socket_.descriptor(), headers_.data(), static_cast<unsigned>(count), MSG_DONTWAIT);
            if (sent > 0)
                forwarded_.fetch_add(static_cast<uint64_t>(sent), std::memory_order_relaxed);
        }

        LoopbackSocket socket_;
        sockaddr_in destination_;
        std::vector<std::byte> buffers_;
        std::array<sockaddr_in, batchSize> sources_ {};
        std::array<iovec, batchSize> parts_ {};
        std::array<mmsghdr, batchSize> headers_ {};
        std::atomic<uint64_t> forwarded_ { 0 };
    };

    class BareForwarder : public Forwarder {
    public:
        explicit BareForwarder(const ForwarderOptions& options)
        {
            Base::Ipv4Endpoint shared { { 0x7F000001 }, 0 };
            for (std::size_t index = 0; index < options.threads; ++index) {
                const auto& destination = options.backendServers[index % options.backendServers.size()];
                workers_.push_back(std::make_unique<BareWorker>(shared, destination));
                shared = workers_.back()->endpoint();
            }
        }
        ~BareForwarder() override { stopThreads(); }

        Base::Ipv4Endpoint endpoint() const override { return workers_.front()->endpoint(); }

        void start() override
        {
            for (const auto& worker : workers_)
                threads_.emplace_back([this, raw = worker.get()] { raw->run(stopping_); });
        }

        void stop() override { stopThreads(); }
        Base::nanoseconds processorTime() const override { return processorTimeOf(threads_); }

        uint64_t forwarded() const override
        {
            uint64_t sum = 0;
            for (const auto& worker : workers_)
                sum += worker->forwarded();
            return sum;
        }

    private:
        void stopThreads()
        {
            stopping_.store(true);
            for (auto& thread : threads_)
                thread.join();
            threads_.clear();
        }

        std::vector<std::unique_ptr<BareWorker>> workers_;
        std::vector<std::thread> threads_;
        std::atomic<bool> stopping_ { false };
    };

}

std::unique_ptr<Forwarder> makeBareForwarder(const ForwarderOptions& options)
{
    return std::make_unique<BareForwarder>(options);
}

}
