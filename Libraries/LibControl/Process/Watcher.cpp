#include <LibControl/Process/Watcher.h>

#include <LibBase/Hash.h>

namespace Control {

using Base::milliseconds;
using Base::TimePoint;

namespace {

    /// Minimum and maximum additional random time between two attempts to acquire a slot.
    constexpr milliseconds contentionInterval { 1500 };
    constexpr uint64_t maximumContentionJitterMilliseconds = 1000;
    /// Duration of the lease of a watcher slot. The holder stops announcing itself when its lease ends locally, which
    /// is a safety margin earlier than at the store.
    constexpr milliseconds leaseDuration { 10'000 };

    std::string slotFields(uint32_t slot, uint64_t epoch)
    {
        return "slot=" + std::to_string(slot) + " epoch=" + std::to_string(epoch);
    }

}

Watcher::Watcher(const ControlNode::Options& options, const ChangeLog& log, Hooks hooks, Outbox& outbox,
    ControlStatistics& statistics)
    : options_(options)
    , hooks_(std::move(hooks))
    , outbox_(outbox)
    , statistics_(statistics)
    , domain_(domainTag(options.failureDomain))
    , random_(Base::mix(options.seed, options.self.value + 3))
    , store_({ .seed = random_.next(), .onHealthChanged = [this](StoreHealth health) { logHealthChange(health); } },
          statistics)
    , election_({ .self = options.self,
          .failureDomain = options.failureDomain,
          .slots = options.watchersPerDomain,
          .seed = random_.next() })
    , nextContentionAt_(options.watchersPerDomain)
    , reader_(store_, log, hooks_.storeReader)
{
    options_.members.clear();
    for (uint32_t slot = 0; slot < options.watchersPerDomain; ++slot)
        addLease(slot);
}

void Watcher::addLease(uint32_t slot)
{
    leases_.push_back(std::make_unique<Lease>(
        Lease::Options { .key = watcherKey(options_.failureDomain, slot),
            .self = { .id = options_.self, .incarnation = options_.incarnation },
            .duration = leaseDuration,
            .onAcquired =
                [this, slot](uint64_t epoch) {
                    ++statistics_.leasesAcquired;
                    outbox_.log(Event::LeaseAcquired, slotFields(slot, epoch));
                },
            .onLost =
                [this, slot](uint64_t epoch) {
                    ++statistics_.leasesLost;
                    outbox_.log(Event::LeaseLost, slotFields(slot, epoch));
                },
            .onHeldByOther =
                [this, slot](const LeaseHolder& holder, uint64_t epoch) {
                    election_.recordAnnouncement(
                        { .domain = domain_, .slot = slot, .holder = holder.id, .epoch = epoch }, outbox_.now());
                } },
        store_));
}

void Watcher::logHealthChange(StoreHealth health)
{
    switch (health) {
    case StoreHealth::Healthy:
        outbox_.log(Event::StoreHealthy, "");
        break;
    case StoreHealth::Slow:
        outbox_.log(Event::StoreSlow, "");
        break;
    case StoreHealth::Unreachable:
        outbox_.log(Event::StoreUnreachable, "");
        break;
    }
}

void Watcher::tick(TimePoint now, bool shouldRead)
{
    store_.tick(now);
    const auto& members = hooks_.members();
    const bool holdsSlot = heldSlot(now).epoch != 0;
    for (uint32_t slot = 0; slot < leases_.size(); ++slot) {
        auto& lease = *leases_[slot];
        lease.tick(now);
        const bool mayAcquire = !holdsSlot || members.size() == 1;
        const bool isEligible = !isLeaving_ && !lease.isHeld(now) && !lease.isAcquiring() && mayAcquire;
        if (!isEligible || now < nextContentionAt_[slot]
            || !election_.shouldContend(slot, members, hooks_.listed(), now))
            continue;
        nextContentionAt_[slot]
            = now + contentionInterval + milliseconds(random_.below(maximumContentionJitterMilliseconds));
        lease.acquire(now);
        break;
    }
    recordOwnSlots(now);
    reader_.tick(now, shouldRead && heldSlot(now).epoch != 0);
    for (auto& request : store_.takeOutgoingCalls())
        outbox_.addAction(std::move(request));
}

void Watcher::recordOwnSlots(TimePoint now)
{
    for (uint32_t slot = 0; slot < leases_.size(); ++slot) {
        const auto& lease = *leases_[slot];
        if (lease.isHeld(now))
            election_.recordAnnouncement(
                { .domain = domain_, .slot = slot, .holder = options_.self, .epoch = lease.epoch() }, now);
    }
}

Base::ErrorOr<void> Watcher::handleStoreResponse(TimePoint now, Store::RequestId id, const Store::Answer& answer)
{
    TRY(store_.handleResponse(now, id, answer));
    for (auto& request : store_.takeOutgoingCalls())
        outbox_.addAction(std::move(request));
    return {};
}

void Watcher::handleHeader(TimePoint now, const MessageHeader& header)
{
    for (const auto& announcement : header.watchers) {
        if (announcement.holder == options_.self || election_.recordAnnouncement(announcement, now))
            continue;
        ++statistics_.fencedMessages;
    }
}

WatcherAnnouncement Watcher::heldSlot(TimePoint now) const
{
    for (uint32_t slot = 0; slot < leases_.size(); ++slot) {
        if (leases_[slot]->isHeld(now))
            return { .domain = domain_, .slot = slot, .holder = options_.self, .epoch = leases_[slot]->epoch() };
    }
    return {};
}

std::optional<EntryVmId> Watcher::collector(TimePoint now) const
{
    for (auto slot = static_cast<uint32_t>(leases_.size()); slot > 0; --slot) {
        if (const auto holder = election_.holder(slot - 1, now))
            return holder;
    }
    return std::nullopt;
}

void Watcher::release(TimePoint now)
{
    isLeaving_ = true;
    for (const auto& lease : leases_)
        lease->release(now);
    for (auto& request : store_.takeOutgoingCalls())
        outbox_.addAction(std::move(request));
}

}
