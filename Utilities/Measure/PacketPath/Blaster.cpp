#include "Blaster.h"

#include "Sockets.h"
#include <array>
#include <sys/socket.h>

namespace Measure::PacketPath {

namespace {

    constexpr std::size_t batchSize = 64;
    constexpr std::size_t socketsPerThread = 16;
    constexpr int socketBufferBytes = 1024 * 1024;

}

Blaster::Blaster(const PacketLoad& load, const Base::Ipv4Endpoint& destination, std::size_t threads)
    : load_(load)
    , destination_(destination)
{
    for (std::size_t index = 0; index < threads; ++index)
        threads_.emplace_back([this, index, threads] { run(index, threads); });
}

Blaster::~Blaster()
{
    stopping_.store(true);
    for (auto& thread : threads_)
        thread.join();
}

void Blaster::run(std::size_t index, std::size_t threads)
{
    // Many source ports are used so that the kernel distributes the datagrams over the sockets that share the
    // destination port.
    std::vector<LoopbackSocket> sockets;
    for (std::size_t count = 0; count < socketsPerThread; ++count)
        sockets.emplace_back(socketBufferBytes);
    auto destination = toSocketAddress(destination_);
    std::array<iovec, batchSize> parts {};
    std::array<mmsghdr, batchSize> headers {};
    std::size_t position = index * (load_.flowCount() / threads);
    for (std::size_t round = 0; !stopping_.load(std::memory_order_relaxed); ++round) {
        for (std::size_t slot = 0; slot < batchSize; ++slot) {
            const auto packet = load_.packetAt(position++);
            parts[slot] = { .iov_base = const_cast<std::byte*>(packet.data()), .iov_len = packet.size() };
            headers[slot].msg_hdr = {
                .msg_name = &destination, .msg_namelen = sizeof(destination), .msg_iov = &parts[slot], .msg_iovlen = 1
            };
        }
        ::sendmmsg(sockets[round % socketsPerThread].descriptor(), headers.data(), batchSize, 0);
    }
}

}
