#include <LibDataPath/DataPath.h>

#include <ctime>
#include <pthread.h>

namespace DataPath {

Base::ErrorOr<std::unique_ptr<DataPath>> DataPath::create(Options options, std::unique_ptr<Flow::FlowDecider> decider)
{
    if (options.workers == 0 || options.workers > maximumWorkers || options.keys.empty())
        return Base::makeError(
            Base::ErrorCode::InvalidArgument, "data path: expected 1 to 64 workers and at least one key");
    std::unique_ptr<DataPath> path(new DataPath);
    std::vector<Packet::HandOverKey> keys;
    for (const auto& secret : options.keys)
        keys.emplace_back(secret);
    std::vector<PacketWorker*> workers;
    for (std::size_t index = 0; index < options.workers; ++index) {
        TRY_ASSIGN(worker,
            PacketWorker::create({ .index = index,
                .endpoint = options.endpoint,
                .self = options.self,
                .buffers = options.buffersPerWorker,
                .ringCapacity = options.ringCapacity,
                .verifyTransportChecksum = options.verifyTransportChecksum,
                .keys = keys,
                .addresses = &path->addresses_,
                .wakeDecider = [raw = path.get()] { raw->decide_->wake(); } }));
        options.endpoint = worker->endpoint();
        workers.push_back(worker.get());
        path->workers_.push_back(std::move(worker));
    }
    options.decide.addresses = &path->addresses_;
    path->decide_ = std::make_unique<DecideThread>(std::move(options.decide), std::move(decider), workers);
    return path;
}

DataPath::~DataPath() { stop(); }

void DataPath::start()
{
    threads_.emplace_back([this] {
        ::pthread_setname_np(::pthread_self(), "decide");
        decide_->run();
    });
    for (const auto& worker : workers_) {
        threads_.emplace_back([raw = worker.get()] {
            ::pthread_setname_np(::pthread_self(), "packets");
            raw->run();
        });
    }
}

Base::nanoseconds DataPath::processorTime() const
{
    Base::nanoseconds sum { 0 };
    for (const auto& thread : threads_) {
        clockid_t clock {};
        timespec time {};
        if (::pthread_getcpuclockid(const_cast<std::thread&>(thread).native_handle(), &clock) == 0
            && ::clock_gettime(clock, &time) == 0)
            sum += Base::seconds(time.tv_sec) + Base::nanoseconds(time.tv_nsec);
    }
    return sum;
}

void DataPath::stop()
{
    decide_->requestStop();
    for (const auto& worker : workers_)
        worker->requestStop();
    for (auto& thread : threads_)
        thread.join();
    threads_.clear();
}

}
