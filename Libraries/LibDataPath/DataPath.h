#pragma once

#include <LibDataPath/DecideThread.h>
#include <thread>

namespace DataPath {

/// The packet path of a balancer. Starts and stops the packet workers and the decide thread.
class DataPath {
public:
    struct Options {
        /// With port 0 the kernel chooses the port.
        Base::Ipv4Endpoint endpoint;
        std::size_t workers { 2 };
        std::size_t buffersPerWorker { 8192 };
        std::size_t ringCapacity { 16384 };
        bool verifyTransportChecksum { true };
        Base::EntryVmId self;
        /// Secrets that authenticate hand-overs: the first one signs, all are accepted.
        std::vector<std::string> keys;
        DecideThread::Options decide;
    };

    /// Binds the sockets without starting the threads. Returns ErrorCode::Unavailable if the endpoint can't be bound,
    /// ErrorCode::InvalidArgument if there are no workers, more than maximumWorkers, or no keys.
    static Base::ErrorOr<std::unique_ptr<DataPath>> create(Options, std::unique_ptr<Flow::FlowDecider>);

    ~DataPath();
    DataPath(const DataPath&) = delete;
    DataPath& operator=(const DataPath&) = delete;

    void start();
    /// Stops and joins all threads.
    void stop();

    /// Processor time used by the running threads.
    Base::nanoseconds processorTime() const;

    Base::Ipv4Endpoint endpoint() const { return workers_.front()->endpoint(); }
    DecideThread& decideThread() { return *decide_; }
    const std::vector<std::unique_ptr<PacketWorker>>& workers() const { return workers_; }

private:
    DataPath() = default;

    AddressTablePublisher addresses_;
    std::vector<std::unique_ptr<PacketWorker>> workers_;
    std::unique_ptr<DecideThread> decide_;
    std::vector<std::thread> threads_;
};

}
