#pragma once

/// One thread that owns a data socket: it receives packets in batches, checks them, passes them to the decide thread
/// and carries out what comes back. Several share the data port (SO_REUSEPORT).

#include <LibBase/Ring.h>
#include <LibDataPath/AddressTable.h>
#include <LibDataPath/BufferPool.h>
#include <LibDataPath/WorkItems.h>
#include <LibDataPath/WorkerCounters.h>
#include <LibDatagram/SendBatch.h>
#include <LibDatagram/Wakeup.h>
#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <netinet/in.h>
#include <sys/socket.h>

namespace DataPath {

class PacketWorker {
public:
    /// Datagrams of one system call at most.
    static constexpr std::size_t batchSize = Datagram::SendBatch::capacity;

    struct Options {
        std::size_t index { 0 };
        Base::Ipv4Endpoint endpoint;
        Base::EntryVmId self;
        std::size_t buffers { 8192 };
        /// Entries of each ring; a power of two is best.
        std::size_t ringCapacity { 16384 };
        /// Bytes of the socket's kernel buffers.
        int socketBufferBytes { 4 * 1024 * 1024 };
        bool verifyTransportChecksum { true };
        /// The first key signs, all are accepted.
        std::vector<Packet::HandOverKey> keys;
        const AddressTablePublisher* addresses { nullptr };
        /// Called after packets have been pushed.
        std::function<void()> wakeDecider;
    };

    /// Unavailable when the endpoint cannot be bound.
    static Base::ErrorOr<std::unique_ptr<PacketWorker>> create(Options);

    ~PacketWorker();
    PacketWorker(const PacketWorker&) = delete;
    PacketWorker& operator=(const PacketWorker&) = delete;

    /// The thread's duty; returns after requestStop().
    void run();
    /// Receives and sends what is there, without waiting; whether there was anything.
    bool runOnce();
    void requestStop();

    Base::Ipv4Endpoint endpoint() const;
    /// Packets for the decide thread.
    Base::Ring<Flow::PacketEvent>& events() { return events_; }
    /// Commands from the decide thread; wake() after pushing.
    Base::Ring<SendCommand>& commands() { return commands_; }
    void wake() { wakeup_.wake(); }
    const WorkerCounters& counters() const { return counters_; }
    std::size_t bufferCount() const { return pool_.size(); }

private:
    PacketWorker(Options, int socket);

    void arm();
    bool receiveBatch();
    void acceptDatagram(std::size_t slot);
    bool classify(
        uint32_t buffer, std::span<const std::byte> datagram, const Base::Ipv4Endpoint& from, Flow::PacketEvent& event);
    bool classifyHandOver(std::span<const std::byte> datagram, Flow::PacketEvent&);
    Packet::Direction directionOf(const Packet::Ipv4Packet&) const;
    void pushEvents();
    bool sendCommands();
    void prepare(std::size_t slot, const SendCommand&);
    std::span<const std::byte> writeHandOver(const SendCommand&);
    std::span<const std::byte> writeRefusal(std::size_t slot, const SendCommand&);

    Options options_;
    int socket_;
    BufferPool pool_;
    Base::Ring<Flow::PacketEvent> events_;
    Base::Ring<SendCommand> commands_;
    Datagram::Wakeup wakeup_;
    std::atomic<bool> stopping_ { false };
    AddressTablePointer table_;
    uint64_t tableVersion_ { 0 };
    WorkerCounters counters_;

    std::array<uint32_t, batchSize> armed_ {};
    std::size_t armedCount_ { 0 };
    std::array<sockaddr_in, batchSize> receiveAddresses_ {};
    std::array<iovec, batchSize> receiveParts_ {};
    std::array<mmsghdr, batchSize> receiveHeaders_ {};
    std::array<Flow::PacketEvent, batchSize> accepted_ {};
    std::size_t acceptedCount_ { 0 };
    /// Where datagrams go that find no buffer.
    std::array<std::byte, BufferPool::bufferBytes> discarded_ {};

    std::array<SendCommand, batchSize> batch_ {};
    Datagram::SendBatch sendBatch_;
    std::array<std::array<std::byte, Packet::maximumRefusalBytes>, batchSize> refusals_ {};
};

}
