#include <LibEntry/RegistrationThread.h>

#include <LibEntry/Events.h>
#include <LibLog/Log.h>
#include <platform/RecordDecoder.h>

namespace Entry {

namespace {

    /// Three renewals per lease lifetime, so that two may fail without losing the lease.
    constexpr int renewalsPerLease = 3;
    constexpr Base::milliseconds failureRetryInterval { 1000 };
    /// All entry VMs register again after the store's return, within this time.
    constexpr uint64_t renewedRegistrationSpreadMilliseconds = 1000;

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
    , random_(Base::hashText(settings.name))
{
}

void RegistrationThread::start()
{
    worker_.start([this] { run(); });
}

void RegistrationThread::scheduleRecordRewrite()
{
    isRecordMissing_.store(true);
    worker_.wake();
}

bool RegistrationThread::raiseStoreEra(uint64_t era)
{
    auto known = storeEra_.load();
    while (era > known) {
        if (storeEra_.compare_exchange_weak(known, era))
            return true;
    }
    return false;
}

void RegistrationThread::handleStoreEra(uint64_t era)
{
    if (raiseStoreEra(era))
        worker_.wake();
}

template <typename T>
void RegistrationThread::recordResponse(StoreCall call, const Platform::StoreResponse<T>& response)
{
    counters_.count(call, response.outcome);
    raiseStoreEra(response.era);
}

void RegistrationThread::run()
{
    while (!worker_.isStopping())
        worker_.pause(step());
}

bool RegistrationThread::registerWithNewLease()
{
    const auto lease = client_.grantLease(settings_.store.leaseDuration);
    recordResponse(StoreCall::Lease, lease);
    leaseEra_ = storeEra_.load();
    if (!lease.isOk()) {
        logFailure(StoreCall::Lease, lease.outcome, lease.detail);
        return false;
    }
    lease_ = lease.value.id;
    isRecordMissing_.store(false);
    if (writeRecord() && !isLeaseOutdated())
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
    recordResponse(StoreCall::Put, put);
    if (!put.isOk()) {
        logFailure(StoreCall::Put, put.outcome, put.detail);
        return false;
    }
    Log::write(Events::registered, Log::Fields().add("lease", lease_).add("revision", put.value));
    return true;
}

Base::milliseconds RegistrationThread::step()
{
    const auto renewalInterval = settings_.store.leaseDuration / renewalsPerLease;
    if (lease_ == 0)
        return registerWithNewLease() ? renewalInterval : failureRetryInterval;
    if (isLeaseOutdated()) {
        lease_ = 0;
        return Base::milliseconds(static_cast<int64_t>(random_.below(renewedRegistrationSpreadMilliseconds)));
    }
    // The store may drop the record while the lease lives on; then renewals succeed and do not show it.
    if (isRecordMissing_.exchange(false) && !writeRecord()) {
        lease_ = 0;
        return failureRetryInterval;
    }
    const auto renewed = client_.renewLease(lease_);
    recordResponse(StoreCall::Renew, renewed);
    if (isLeaseOutdated())
        return Base::milliseconds(0);
    if (renewed.isOk())
        return renewalInterval;
    logFailure(StoreCall::Renew, renewed.outcome, renewed.detail);
    if (renewed.outcome != Platform::StoreOutcome::NotFound)
        return failureRetryInterval;
    lease_ = 0;
    return Base::milliseconds(0);
}

void RegistrationThread::stop()
{
    worker_.stop();
    // An outdated lease may be another entry VM's by now.
    if (lease_ == 0 || isLeaseOutdated())
        return;
    const auto ended = client_.endLease(lease_);
    recordResponse(StoreCall::Lease, ended);
    if (!ended.isOk())
        logFailure(StoreCall::Lease, ended.outcome, ended.detail);
}

}
