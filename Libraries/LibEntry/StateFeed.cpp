#include <LibEntry/StateFeed.h>

#include <LibEntry/Events.h>
#include <LibLog/Log.h>
#include <platform/RecordDecoder.h>
#include <utility>

namespace Entry {

namespace {

    using Log::Fields;

    void logEvent(const Steering::ConfigurationChanged& event, std::string_view source)
    {
        Log::write(Events::configurationInForce,
            Fields()
                .add("version", event.configuration->version)
                .add("era", event.configuration->position.era)
                .add("revision", event.configuration->position.revision)
                .add("routes", event.configuration->routes.size())
                .add("source", source));
    }

    void logEvent(const Steering::ServerListed& event, std::string_view source)
    {
        const auto& entry = event.entry;
        Log::write(Events::serverListed,
            Fields()
                .add("server", entry.number.toString())
                .add("id", entry.id)
                .add("address", entry.address.toString())
                .add("service", entry.service)
                .add("failure_domain", entry.failureDomain)
                .add("state", entry.state == Steering::ServerState::Ready ? "ready" : "draining")
                .add("warm_up_left_ms", entry.warmUpLeft.count())
                .add("started_at_ms", entry.startedAt.count())
                .add("revision", entry.revision)
                .add("source", source));
    }

    void logEvent(const Steering::ServerUnlisted& event, std::string_view source)
    {
        Log::write(Events::serverUnlisted,
            Fields().add("server", event.number.toString()).add("id", event.id).add("source", source));
    }

    void logEvent(const Steering::DomainEvacuation& event, std::string_view source)
    {
        Log::write(Events::domainEvacuated,
            Fields()
                .add("failure_domain", event.failureDomain)
                .add("evacuated", event.isEvacuated)
                .add("source", source));
    }

    void logEvent(const Steering::PeerListed& event, std::string_view source)
    {
        Log::write(Events::peerListed,
            Fields()
                .add("peer", event.peer.endpoint().toString())
                .add("failure_domain", event.failureDomain)
                .add("source", source));
    }

    void logEvent(const Steering::PeerUnlisted& event, std::string_view source)
    {
        Log::write(Events::peerUnlisted, Fields().add("peer", event.peer.endpoint().toString()).add("source", source));
    }

    void logEvent(const Steering::StoreRestored&, std::string_view) { }
    void logEvent(const Steering::StateSynchronized&, std::string_view) { }
    void logEvent(const Steering::StoreReachable&, std::string_view) { }

}

StateFeed::StateFeed(Options options)
    : options_(std::move(options))
{
}

void StateFeed::push(Steering::StateEvent event)
{
    const std::scoped_lock lock(eventsMutex_);
    events_.push_back(std::move(event));
    eventCount_.store(events_.size(), std::memory_order_release);
}

bool StateFeed::tryPop(Steering::StateEvent& event)
{
    if (isEmpty())
        return false;
    const std::scoped_lock lock(eventsMutex_);
    event = std::move(events_.front());
    events_.pop_front();
    eventCount_.store(events_.size(), std::memory_order_release);
    return true;
}

void StateFeed::applyRecord(const Mirror::Record& record, uint64_t era, std::string_view source)
{
    auto event = Base::capture([&] { return Platform::decodeRecord(record, era); });
    if (!event.isOk()) {
        refusedRecords_.fetch_add(1, std::memory_order_relaxed);
        Log::write(Events::recordRefused,
            Fields()
                .add("key", record.key)
                .add("revision", record.revision)
                .add("error", event.error.detail)
                .add("source", source));
        // A backend server whose entry cannot be decoded is no longer used, even if an earlier entry was valid.
        if (auto unlisted = Platform::serverUnlistedOfKey(record.key))
            push(std::move(*unlisted));
        return;
    }
    if (!*event.value)
        return;
    if (const auto* changed = std::get_if<Steering::ConfigurationChanged>(&**event.value)) {
        if (!isNewConfiguration(*changed, source))
            return;
        configuration_ = changed->configuration;
    }
    std::visit([&](const auto& typed) { logEvent(typed, source); }, **event.value);
    const auto* unlisted = std::get_if<Steering::PeerUnlisted>(&**event.value);
    if (unlisted != nullptr && unlisted->peer == options_.self && options_.onOwnRecordRemoved)
        options_.onOwnRecordRemoved();
    push(std::move(**event.value));
}

bool StateFeed::isNewConfiguration(const Steering::ConfigurationChanged& event, std::string_view source) const
{
    const auto& configuration = *event.configuration;
    if (!configuration_ || configuration.isNewerThan(*configuration_))
        return true;
    Log::write(Events::configurationNotNewer,
        Fields()
            .add("version", configuration.version)
            .add("in_force", configuration_->version)
            .add("era", configuration.position.era)
            .add("revision", configuration.position.revision)
            .add("source", source));
    return false;
}

void StateFeed::recordIgnored(const Mirror::ChangeBatch& batch, std::string_view source)
{
    ignoredBatches_.fetch_add(1, std::memory_order_relaxed);
    Log::write(Events::batchIgnored,
        Fields()
            .add("era", batch.era)
            .add("after", batch.after)
            .add("up_to", batch.upTo)
            .add("complete", batch.isComplete)
            .add("known_era", mirror_.position().era)
            .add("known_revision", mirror_.position().revision)
            .add("source", source));
}

void StateFeed::beginCopy(const Mirror::ChangeBatch& batch, std::string_view source)
{
    push(Steering::StoreRestored {});
    Log::write(Events::storeEraChanged,
        Fields()
            .add("from", mirror_.position().era)
            .add("to", batch.era)
            .add("known_revision", mirror_.position().revision)
            .add("revision", batch.upTo)
            .add("source", source));
}

void StateFeed::recordSynchronized(const Mirror::ChangeBatch& batch, std::string_view source) const
{
    Log::write(Events::stateSynchronized,
        Fields()
            .add("era", batch.era)
            .add("revision", batch.upTo)
            .add("records", mirror_.size())
            .add("source", source));
}

bool StateFeed::apply(const Mirror::ChangeBatch& batch, std::string_view source)
{
    const std::scoped_lock lock(mutex_);
    if (!mirror_.accepts(batch)) {
        recordIgnored(batch, source);
        return false;
    }
    const bool isNewEra = batch.era > mirror_.position().era;
    const bool isCopy = isNewEra && mirror_.isSynchronized();
    const bool isFirst = batch.isComplete && !mirror_.isSynchronized();
    if (isNewEra && options_.onStoreEra)
        options_.onStoreEra(batch.era);
    if (isCopy)
        beginCopy(batch, source);
    const auto recordSource = isCopy ? "copy: " + std::string(source) : std::string(source);
    for (const auto& record : mirror_.apply(batch))
        applyRecord(record, batch.era, recordSource);
    if (isFirst || isCopy)
        push(Steering::StateSynchronized {});
    if (isFirst)
        recordSynchronized(batch, source);
    {
        const std::scoped_lock positionLock(positionMutex_);
        position_ = mirror_.position();
    }
    synchronized_.store(mirror_.isSynchronized(), std::memory_order_release);
    options_.wake();
    return true;
}

void StateFeed::setStoreReachable(bool isReachable, std::string_view detail)
{
    {
        // The last event must agree with the last state, whichever threads report.
        const std::scoped_lock lock(eventsMutex_);
        if (storeReachable_.exchange(isReachable) == isReachable)
            return;
        events_.push_back(Steering::StoreReachable { .isReachable = isReachable });
        eventCount_.store(events_.size(), std::memory_order_release);
    }
    Log::write(isReachable ? Events::storeRegained : Events::storeLost,
        Fields().add("detail", detail).add("revision", revision()));
    options_.wake();
}

Mirror::ChangeBatch StateFeed::changesAfter(Base::StorePosition position, std::size_t maximumBytes) const
{
    const std::scoped_lock lock(mutex_);
    return mirror_.changesAfter(position, maximumBytes);
}

}
