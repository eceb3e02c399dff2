#include <LibBase/Verify.h>
#include <LibConfiguration/Difference.h>
#include <LibConfiguration/Process/ChangeAcceptor.h>
#include <algorithm>

namespace Configuration {

using Base::ErrorCode;
using Store::Status;

namespace {

    constexpr uint32_t maximumBackOffDoublings = 4;

    Outcome outcomeOf(ErrorCode code)
    {
        switch (code) {
        case ErrorCode::Conflict:
            return Outcome::Conflict;
        case ErrorCode::Protected:
            return Outcome::Protected;
        case ErrorCode::NotFound:
            return Outcome::NotFound;
        default:
            return Outcome::Invalid;
        }
    }

    /// Copies the change's author and reason into the protection of a Protect operation.
    Change withAttribution(Change change)
    {
        if (auto* protect = std::get_if<Protect>(&change.operation)) {
            protect->protection.author = change.author;
            protect->protection.reason = change.reason;
        }
        return change;
    }

}

ChangeAcceptor::ChangeAcceptor(const Options& options)
    : options_(options)
    , random_(options.seed)
    , writer_(options.snapshots)
{
}

void ChangeAcceptor::submit(
    Base::TimePoint now, Base::WallTime wallNow, Ticket ticket, Change change, AcceptorActions& actions)
{
    Task task { .ticket = ticket, .change = std::move(change), .deadline = now + options_.operatorCallTimeout };
    enqueue({ now, wallNow }, std::move(task), actions);
}

void ChangeAcceptor::refresh(Base::TimePoint now, Ticket ticket, AcceptorActions& actions)
{
    enqueue({ now, {} }, { .ticket = ticket, .change = {}, .deadline = now + options_.operatorCallTimeout }, actions);
}

void ChangeAcceptor::enqueue(CurrentTime now, Task task, AcceptorActions& actions)
{
    if (tasks_.size() >= options_.maximumQueuedCalls) {
        refuseUnattempted(task, actions);
        return;
    }
    task.sequence = ++lastSequence_;
    tasks_.push_back(std::move(task));
    attemptNext(now, actions);
}

void ChangeAcceptor::refuseUnattempted(const Task& task, AcceptorActions& actions)
{
    ++statistics_.refusedUnattempted;
    if (!task.change) {
        const auto freshness = snapshot() ? Freshness::Held : Freshness::None;
        actions.emplace_back(RefreshReply { task.ticket, freshness, snapshot() });
        return;
    }
    ++statistics_.outcomes[static_cast<std::size_t>(Outcome::Unavailable)];
    actions.emplace_back(SubmitReply { .ticket = task.ticket,
        .outcome = Outcome::Unavailable,
        .detail = "too many calls are waiting at this endpoint" });
}

void ChangeAcceptor::readHistory(Ticket ticket, const HistoryQuery& query, AcceptorActions& actions)
{
    auto [entry, isNew] = historyReaders_.emplace(ticket, HistoryReader(query));
    VERIFY(isNew);
    if (auto request = entry->second.begin()) {
        sendRequest({ Requester::Kind::History, ticket }, std::move(*request), actions);
        return;
    }
    actions.emplace_back(HistoryReply { ticket, entry->second.history() });
    historyReaders_.erase(entry);
}

Base::ErrorOr<void> ChangeAcceptor::handleStoreAnswer(Base::TimePoint now, Base::WallTime wallNow, Store::RequestId id,
    const Store::Answer& answer, AcceptorActions& actions)
{
    auto found = pendingRequests_.find(id);
    if (found == pendingRequests_.end())
        return Base::makeError(ErrorCode::Stale, "no store request with this id is pending");
    const auto requester = found->second;
    pendingRequests_.erase(found);
    switch (requester.kind) {
    case Requester::Kind::Task:
        handleTaskAnswer({ now, wallNow }, answer, actions);
        break;
    case Requester::Kind::Writer:
        if (auto request = writer_.handleAnswer(answer))
            sendRequest(requester, std::move(*request), actions);
        break;
    case Requester::Kind::History: {
        auto entry = historyReaders_.find(requester.ticket);
        if (auto request = entry->second.handleAnswer(answer)) {
            sendRequest(requester, std::move(*request), actions);
            break;
        }
        actions.emplace_back(HistoryReply { requester.ticket, entry->second.history() });
        historyReaders_.erase(entry);
        break;
    }
    }
    return {};
}

void ChangeAcceptor::handleTick(Base::TimePoint now, Base::WallTime wallNow, AcceptorActions& actions)
{
    refuseExpired({ now, wallNow }, actions);
    if (phase_ != Phase::WaitingToRetry || now < retryAt_)
        return;
    attemptFront({ now, wallNow }, actions);
}

/// Refuses queued calls whose deadline has passed, except the one in progress. Nothing was written for them.
void ChangeAcceptor::refuseExpired(CurrentTime now, AcceptorActions& actions)
{
    for (std::size_t i = 1; i < tasks_.size();) {
        if (tasks_[i].deadline > now.time) {
            ++i;
            continue;
        }
        refuseUnattempted(tasks_[i], actions);
        tasks_.erase(tasks_.begin() + static_cast<std::ptrdiff_t>(i));
    }
}

void ChangeAcceptor::attemptNext(CurrentTime now, AcceptorActions& actions)
{
    if (phase_ == Phase::Idle && !tasks_.empty())
        attemptFront(now, actions);
}

void ChangeAcceptor::attemptFront(CurrentTime now, AcceptorActions& actions)
{
    auto& task = tasks_.front();
    if (!task.change || !follower_.isLoaded()) {
        catchUp(false, actions);
        return;
    }
    if (replyIfAlreadyAccepted(actions)) {
        attemptNext(now, actions);
        return;
    }
    const bool mayStillTakeEffect = task.unconfirmedRevision.value == snapshot()->revision.value + 1;
    if (mayStillTakeEffect) {
        phase_ = Phase::Writing;
        sendRequest({},
            Store::CompareAndSwap {
                .key = changeKey(task.unconfirmedRevision), .expected = 0, .value = task.writtenBytes },
            actions);
        return;
    }
    const auto change = buildNextChange(task, now.wall);
    const auto error = Base::captureError([&] { return apply(*snapshot(), change); });
    if (!error)
        writeChange(change, actions);
    else if (!task.isConfirmed)
        catchUp(true, actions);
    else
        reject(*error, actions);
    attemptNext(now, actions);
}

/// If the request in progress was already accepted, replies with the original outcome and returns true.
bool ChangeAcceptor::replyIfAlreadyAccepted(AcceptorActions& actions)
{
    const auto& task = tasks_.front();
    const auto* known = snapshot()->findRequest(task.change->requestId);
    if (known == nullptr)
        return false;
    SubmitReply reply { .ticket = task.ticket, .outcome = Outcome::Accepted, .revision = known->revision };
    if (known->digest != digest(withAttribution(*task.change).operation)) {
        reply.outcome = Outcome::Invalid;
        reply.detail = "request_id: was used for another change, revision " + std::to_string(known->revision.value);
    } else if (task.writtenBytes.empty()) {
        ++statistics_.repeatedRequests;
    }
    finishSubmit(std::move(reply), actions);
    return true;
}

Change ChangeAcceptor::buildNextChange(const Task& task, Base::WallTime wallNow) const
{
    auto change = withAttribution(*task.change);
    change.revision = { snapshot()->revision.value + 1 };
    change.acceptedAt = std::max(wallNow, snapshot()->acceptedAt);
    change.differences = differences(*snapshot(), change.operation);
    change.differenceCount = static_cast<uint32_t>(change.differences.size());
    change.differences.resize(std::min(change.differences.size(), maximumRecordedDifferences));
    return change;
}

void ChangeAcceptor::writeChange(const Change& change, AcceptorActions& actions)
{
    auto& task = tasks_.front();
    task.writtenBytes = encodeChange(change);
    if (task.writtenBytes.size() > Store::maximumValueBytes) {
        reject({ ErrorCode::TooLarge, objectPath(change.operation) + ": larger than the store takes" }, actions);
        return;
    }
    phase_ = Phase::Writing;
    sendRequest({},
        Store::CompareAndSwap { .key = changeKey(change.revision), .expected = 0, .value = task.writtenBytes },
        actions);
}

void ChangeAcceptor::catchUp(bool confirmEnd, AcceptorActions& actions)
{
    phase_ = Phase::CatchingUp;
    catchUpConfirms_ = confirmEnd;
    catchUpSequence_ = lastSequence_;
    sendRequest({}, follower_.begin(confirmEnd), actions);
}

void ChangeAcceptor::handleTaskAnswer(CurrentTime now, const Store::Answer& answer, AcceptorActions& actions)
{
    switch (phase_) {
    case Phase::CatchingUp:
        handleCatchUpAnswer(now, answer, actions);
        break;
    case Phase::Writing:
        handleWriteAnswer(now, answer, actions);
        break;
    case Phase::ReadingConflict:
        handleConflictAnswer(answer, actions);
        break;
    case Phase::Idle:
    case Phase::WaitingToRetry:
        VERIFY_NOT_REACHED();
    }
    attemptNext(now, actions);
}

void ChangeAcceptor::handleCatchUpAnswer(CurrentTime now, const Store::Answer& answer, AcceptorActions& actions)
{
    if (auto request = follower_.handleAnswer(answer)) {
        sendRequest({}, std::move(*request), actions);
        return;
    }
    writer_.observeManifest(follower_.manifest());
    auto& task = tasks_.front();
    if (follower_.state() == LogFollower::State::CaughtUp) {
        task.isConfirmed = catchUpConfirms_;
        if (task.change)
            attemptFront(now, actions);
        else
            finishRefreshes(Freshness::Confirmed, actions);
        return;
    }
    if (!task.change)
        finishRefreshes(snapshot() ? Freshness::Held : Freshness::None, actions);
    else
        retryOrAbort(now, follower_.state() == LogFollower::State::Failed ? follower_.failure() : "no answer", actions);
}

void ChangeAcceptor::handleWriteAnswer(CurrentTime now, const Store::Answer& answer, AcceptorActions& actions)
{
    auto& task = tasks_.front();
    switch (answer.status) {
    case Status::Ok: {
        const auto error = Base::captureError([&] { return follower_.applyNextChange(task.writtenBytes); });
        VERIFY(!error);
        VERIFY(replyIfAlreadyAccepted(actions));
        writeSnapshotIfDue(actions);
        return;
    }
    case Status::VersionMismatch:
        applyWinningChange(now, answer, actions);
        return;
    case Status::TooLarge:
        reject({ ErrorCode::TooLarge, "the change is larger than the store takes" }, actions);
        return;
    case Status::Unknown:
        ++statistics_.lostWriteResponses;
        task.unconfirmedRevision = { snapshot()->revision.value + 1 };
        retryOrAbort(now, "the store's answer was lost", actions);
        return;
    case Status::NotFound:
    case Status::Unchanged:
    case Status::Unavailable:
        retryOrAbort(now, "the store is not available", actions);
        return;
    }
}

/// The revision is taken: by another change, or by this one through an earlier write whose response was lost. Applies
/// the accepted change and attempts the call again.
void ChangeAcceptor::applyWinningChange(CurrentTime now, const Store::Answer& answer, AcceptorActions& actions)
{
    auto& task = tasks_.front();
    if (answer.value != task.writtenBytes)
        ++statistics_.lostRaces;
    task.isConfirmed = false;
    if (Base::captureError([&] { return follower_.applyNextChange(answer.value); }))
        catchUp(false, actions);
    else
        attemptFront(now, actions);
}

void ChangeAcceptor::reject(const Base::Error& error, AcceptorActions& actions)
{
    const auto& task = tasks_.front();
    conflictReply_ = { .ticket = task.ticket,
        .outcome = outcomeOf(error.code),
        .revision = {},
        .detail = error.detail,
        .conflicting = {} };
    const auto current = currentRevision(*snapshot(), task.change->operation);
    if (error.code != ErrorCode::Conflict || !current.isValid()) {
        finishSubmit(std::move(conflictReply_), actions);
        return;
    }
    phase_ = Phase::ReadingConflict;
    sendRequest({}, Store::Get { changeKey(current) }, actions);
}

void ChangeAcceptor::handleConflictAnswer(const Store::Answer& answer, AcceptorActions& actions)
{
    if (answer.status == Status::Ok) {
        auto change = Base::capture([&] { return decodeChange(answer.value); });
        conflictReply_.conflicting = std::move(change.value);
    }
    finishSubmit(std::move(conflictReply_), actions);
}

void ChangeAcceptor::retryOrAbort(CurrentTime now, const std::string& reason, AcceptorActions& actions)
{
    auto& task = tasks_.front();
    if (now.time < task.deadline) {
        const auto nominalDelay
            = options_.initialRetryDelay * (1U << std::min(task.retries++, maximumBackOffDoublings));
        retryAt_ = now.time + nominalDelay / 2
            + Base::milliseconds(random_.below(static_cast<uint64_t>(nominalDelay.count())));
        phase_ = Phase::WaitingToRetry;
        return;
    }
    const bool mayHaveTakenEffect
        = task.unconfirmedRevision.isValid() && (!snapshot() || task.unconfirmedRevision > snapshot()->revision);
    finishSubmit({ .ticket = task.ticket,
                     .outcome = mayHaveTakenEffect ? Outcome::Unknown : Outcome::Unavailable,
                     .revision = {},
                     .detail = reason,
                     .conflicting = {} },
        actions);
}

void ChangeAcceptor::finishSubmit(SubmitReply reply, AcceptorActions& actions)
{
    ++statistics_.outcomes[static_cast<std::size_t>(reply.outcome)];
    actions.emplace_back(std::move(reply));
    tasks_.pop_front();
    phase_ = Phase::Idle;
}

void ChangeAcceptor::finishRefreshes(Freshness freshness, AcceptorActions& actions)
{
    while (!tasks_.empty() && !tasks_.front().change && tasks_.front().sequence <= catchUpSequence_) {
        actions.emplace_back(RefreshReply { tasks_.front().ticket, freshness, snapshot() });
        tasks_.pop_front();
    }
    phase_ = Phase::Idle;
}

void ChangeAcceptor::writeSnapshotIfDue(AcceptorActions& actions)
{
    if (writer_.isDue(snapshot()->revision))
        sendRequest({ Requester::Kind::Writer, 0 }, writer_.begin(snapshot()), actions);
}

void ChangeAcceptor::sendRequest(Requester requester, Store::Request request, AcceptorActions& actions)
{
    pendingRequests_[++lastRequestId_] = requester;
    actions.emplace_back(SendStoreRequest { lastRequestId_, std::move(request) });
}

AcceptorStatistics ChangeAcceptor::statistics() const
{
    auto statistics = statistics_;
    statistics.snapshots = writer_.writtenCount();
    return statistics;
}

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Unknown:
        return "unknown";
    case Outcome::Accepted:
        return "accepted";
    case Outcome::Conflict:
        return "conflict";
    case Outcome::Protected:
        return "protected";
    case Outcome::Invalid:
        return "invalid";
    case Outcome::NotFound:
        return "not_found";
    case Outcome::Unavailable:
        return "unavailable";
    }
    return "unknown";
}

}
