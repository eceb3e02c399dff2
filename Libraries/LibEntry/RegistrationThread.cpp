#include <LibEntry/RegistrationThread.h>

#include <LibEntry/Events.h>
#include <LibLog/Log.h>
#include <platform/RecordDecoder.h>

namespace Entry {

namespace {

    /// Three renewals in a lease's life: two may be lost.
    constexpr int renewalsInLifetime = 3;
    constexpr Base::milliseconds pauseAfterFailure { 1000 };

    void logFailure(StoreCall call, Platform::StoreOutcome outcome, const std::string& detail)
    {
        Log::write(Events::registrationFailed,
            Log::Fields()
                .add("call", toString(call))
                .add("outcome", Platform::toString(outcome))
                .add("detail", detail));
    }

}

RegistrationThread::RegistrationThread(const EntrySettings& settings, StoreCounters& counters)
    : settings_(settings)
    , counters_(counters)
    , client_({ .store = settings.store.endpoint, .timeout = settings.store.callTimeout })
{
}

void RegistrationThread::start()
{
    worker_.start([this] { run(); });
}

void RegistrationThread::noteUnlisted()
{
    isUnlisted_.store(true);
    worker_.wake();
}

void RegistrationThread::run()
{
    while (!worker_.isStopping())
        worker_.pause(step());
}

bool RegistrationThread::registerAnew()
{
    const auto lease = client_.grantLease(settings_.store.leaseTime);
    counters_.count(StoreCall::Lease, lease.outcome);
    if (!lease.isOk()) {
        logFailure(StoreCall::Lease, lease.outcome, lease.detail);
        return false;
    }
    lease_ = lease.value.id;
    isUnlisted_.store(false);
    if (writeRecord())
        return true;
    lease_ = 0;
    return false;
}

bool RegistrationThread::writeRecord()
{
    const auto id = settings_.identity();
    const Platform::EntryVmRecord record { .id = id,
        .failureDomain = settings_.failureDomain,
        .reports = settings_.reportsForPeers(),
        .linkMegabits = static_cast<uint64_t>(settings_.limits.linkMegabits) };
    const auto put = client_.put({ .key = Platform::entryVmKey(id),
        .value = Platform::encodeEntryVm(record),
        .lease = lease_,
        .expectedRevision = std::nullopt });
    counters_.count(StoreCall::Put, put.outcome);
    if (!put.isOk()) {
        logFailure(StoreCall::Put, put.outcome, put.detail);
        return false;
    }
    Log::write(Events::registered, Log::Fields().add("lease", lease_).add("revision", put.value));
    return true;
}

Base::milliseconds RegistrationThread::step()
{
    const auto betweenRenewals = settings_.store.leaseTime / renewalsInLifetime;
    if (lease_ == 0)
        return registerAnew() ? betweenRenewals : pauseAfterFailure;
    // The store may take the record and leave the lease, so that no renewal shows it.
    if (isUnlisted_.exchange(false) && !writeRecord()) {
        lease_ = 0;
        return pauseAfterFailure;
    }
    const auto renewed = client_.renewLease(lease_);
    counters_.count(StoreCall::Renew, renewed.outcome);
    if (renewed.isOk())
        return betweenRenewals;
    logFailure(StoreCall::Renew, renewed.outcome, renewed.detail);
    if (renewed.outcome != Platform::StoreOutcome::NotFound)
        return pauseAfterFailure;
    lease_ = 0;
    return Base::milliseconds(0);
}

void RegistrationThread::stop()
{
    worker_.stop();
    if (lease_ == 0)
        return;
    const auto ended = client_.endLease(lease_);
    counters_.count(StoreCall::Lease, ended.outcome);
    if (!ended.isOk())
        logFailure(StoreCall::Lease, ended.outcome, ended.detail);
}

}
