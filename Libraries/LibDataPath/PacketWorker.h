#pragma once

/// A thread that owns a data socket. It receives packets in batches, validates them, passes them to the decide thread
/// and executes the resulting commands. Several workers share the data port (SO_REUSEPORT).

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
    /// Maximum number of datagrams per system call.
    static constexpr std::size_t batchSize = Datagram::SendBatch::capacity;

    struct Options {
        std::size_t index { 0 };
        Base::Ipv4Endpoint endpoint;
        Base::EntryVmId self;
        std::size_t buffers { 8192 };
        /// Capacity of each ring, preferably a power of two.
        std::size_t ringCapacity { 16384 };
        /// Size of the socket's receive and send buffers in bytes.
        int socketBufferBytes { 4 * 1024 * 1024 };
        bool verifyTransportChecksum { true };
        /// The first key signs, all are accepted.
        std::vector<Packet::HandOverKey> keys;
        const AddressTablePublisher* addresses { nullptr };
        /// Called after packets have been pushed to events().
        std::function<void()> wakeDecider;
    };

    /// Returns ErrorCode::Unavailable if the endpoint can't be bound.
    static Base::ErrorOr<std::unique_ptr<PacketWorker>> create(Options);

    ~PacketWorker();
    PacketWorker(const PacketWorker&) = delete;
    PacketWorker& operator=(const PacketWorker&) = delete;

    /// Runs the thread's loop until requestStop().
    void run();
    /// Receives and sends one batch without blocking. Returns whether there was anything to do.
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

    void acquireReceiveBuffers();
    bool receiveBatch();
    void acceptDatagram(std::size_t slot);
    bool classify(
        uint32_t buffer, std::span<const std::byte> datagram, const Base::Ipv4Endpoint& from, Flow::PacketEvent& event);
    bool classifyHandOver(std::span<const std::byte> datagram, Flow::PacketEvent&);
    Packet::Direction directionOf(const Packet::Ipv4Packet&) const;
    void pushEvents();
    bool sendCommands();
    void prepareDatagram(std::size_t slot, const SendCommand&);
    std::span<const std::byte> writeHandOver(const SendCommand&);
    std::span<const std::byte> writeRefusal(std::size_t slot, const SendCommand&);

    Options options_;
    int socket_;
    BufferPool pool_;
    Base::Ring<Flow::PacketEvent> events_;
    Base::Ring<SendCommand> commands_;
    Datagram::Wakeup wakeup_;
    std::atomic<bool> stopping_ { false };
    AddressTablePointer addressTable_;
    uint64_t addressTableVersion_ { 0 };
    WorkerCounters counters_;

    std::array<uint32_t, batchSize> receiveBuffers_ {};
    std::size_t receiveBufferCount_ { 0 };
    std::array<sockaddr_in, batchSize> receiveAddresses_ {};
    std::array<iovec, batchSize> receiveIoVectors_ {};
    std::array<mmsghdr, batchSize> receiveHeaders_ {};
    std::array<Flow::PacketEvent, batchSize> accepted_ {};
    std::size_t acceptedCount_ { 0 };
    /// Receives a datagram that is dropped because no buffer is free.
    std::array<std::byte, BufferPool::bufferBytes> discardBuffer_ {};

    std::array<SendCommand, batchSize> commandBatch_ {};
    Datagram::SendBatch sendBatch_;
    std::array<std::array<std::byte, Packet::maximumRefusalBytes>, batchSize> refusalBuffers_ {};
};

}
