#include <LibStandInStore/Platform.h>
#include <thread>

namespace StandInStore {

namespace Wire = eelgrasshatch::store;
using std::chrono::steady_clock;

namespace {

    /// Interval at which a waiting call checks whether it was cancelled.
    constexpr Base::milliseconds cancellationPollInterval { 20 };
    /// How long previous VM lists are kept.
    constexpr std::chrono::minutes vmListRetention { 10 };

    bool isWrite(const Store::Request& request)
    {
        return !std::holds_alternative<Store::Get>(request) && !std::holds_alternative<Store::Watch>(request);
    }

}

Platform::Platform(uint64_t seed)
    : random_(seed)
{
}

bool Platform::drawWithProbability(uint32_t permille)
{
    constexpr uint64_t permilleScale = 1000;
    return permille > 0 && random_.below(permilleScale) < permille;
}

std::optional<Result> Platform::applyOutage(Lock& lock, const std::function<bool()>& isCancelled)
{
    if (faults_.delay_ms() > 0) {
        const auto end = steady_clock::now() + Base::milliseconds(faults_.delay_ms());
        while (!isStopped_ && !isCancelled() && steady_clock::now() < end)
            changed_.wait_for(lock, std::min<Base::nanoseconds>(cancellationPollInterval, end - steady_clock::now()));
    }
    if (faults_.outage() == Wire::Faults::NONE && !isStopped_)
        return std::nullopt;
    if (faults_.outage() == Wire::Faults::REFUSING)
        return Result { .isResponseSent = true, .answer = { .status = Store::Status::Unavailable } };
    while (!isStopped_ && faults_.outage() == Wire::Faults::SILENT && !isCancelled())
        changed_.wait_for(lock, cancellationPollInterval);
    return Result { .isResponseSent = false, .answer = {} };
}

Result Platform::handle(
    const std::string& methodName, const Store::Request& request, const std::function<bool()>& isCancelled)
{
    Lock lock(lock_);
    ++counts_[methodName];
    if (auto result = applyOutage(lock, isCancelled))
        return *result;
    if (const auto* watchRequest = std::get_if<Store::Watch>(&request))
        return { .isResponseSent = true, .answer = watch(lock, *watchRequest, isCancelled) };
    return execute(request);
}

Result Platform::execute(const Store::Request& request)
{
    const auto* get = std::get_if<Store::Get>(&request);
    if (get != nullptr && drawWithProbability(faults_.stale_reads_permille()))
        return { .isResponseSent = true, .answer = store_.staleAnswer(get->key) };
    const auto answer = store_.handle(steady_clock::now(), request);
    const bool isResponseLost = isWrite(request) && answer.status == Store::Status::Ok
        && drawWithProbability(faults_.lost_answers_permille());
    changed_.notify_all();
    return { .isResponseSent = !isResponseLost, .answer = answer };
}

Store::Answer Platform::watch(Lock& lock, const Store::Watch& request, const std::function<bool()>& isCancelled)
{
    ++waitingWatches_;
    const auto end = steady_clock::now() + request.timeout;
    auto answer = store_.handle(steady_clock::now(), request);
    while (answer.status == Store::Status::Unchanged && steady_clock::now() < end && !isStopped_ && !isCancelled()) {
        changed_.wait_for(lock, std::min<Base::nanoseconds>(cancellationPollInterval, end - steady_clock::now()));
        if (faults_.outage() == Wire::Faults::NONE)
            answer = store_.handle(steady_clock::now(), request);
    }
    --waitingWatches_;
    return answer;
}

std::optional<Wire::ListVmsAnswer> Platform::listVms(const std::function<bool()>& isCancelled)
{
    Lock lock(lock_);
    ++counts_["list_vms"];
    if (applyOutage(lock, isCancelled))
        return std::nullopt;
    Wire::ListVmsAnswer answer;
    for (const auto& [endpoint, vm] : visibleVms())
        *answer.add_vms() = vm;
    return answer;
}

const Platform::VmsByEndpoint& Platform::visibleVms() const
{
    const auto visibleTime = steady_clock::now() - Base::milliseconds(faults_.vm_list_lag_ms());
    for (const auto& past : pastVmLists_) {
        if (past.validUntil > visibleTime)
            return past.vms;
    }
    return vms_;
}

void Platform::recordVmList()
{
    const auto now = steady_clock::now();
    pastVmLists_.push_back({ now, vms_ });
    while (pastVmLists_.front().validUntil + vmListRetention < now)
        pastVmLists_.pop_front();
}

void Platform::putVm(const Wire::Vm& vm)
{
    const std::lock_guard guard(lock_);
    recordVmList();
    vms_[vm.control_endpoint()] = vm;
}

void Platform::removeVm(const std::string& controlEndpoint)
{
    const std::lock_guard guard(lock_);
    recordVmList();
    vms_.erase(controlEndpoint);
}

void Platform::setFaults(const Wire::Faults& faults)
{
    const std::lock_guard guard(lock_);
    faults_ = faults;
    changed_.notify_all();
}

Wire::Counts Platform::counts(bool reset)
{
    const std::lock_guard guard(lock_);
    Wire::Counts counts;
    for (const auto& [name, count] : counts_)
        (*counts.mutable_calls())[name] = count;
    counts.set_waiting_watches(waitingWatches_);
    if (reset)
        counts_.clear();
    return counts;
}

void Platform::stop()
{
    const std::lock_guard guard(lock_);
    isStopped_ = true;
    changed_.notify_all();
}

}
