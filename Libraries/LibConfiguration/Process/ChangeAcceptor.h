#pragma once

/// Accepts operators' changes through the platform's store. A change is accepted by creating the key of the next
/// revision. Every operator endpoint runs one acceptor; the store's compare-and-swap resolves races between them.

#include <LibBase/Random.h>
#include <LibConfiguration/Process/AcceptorTypes.h>
#include <LibConfiguration/Process/LogFollower.h>
#include <deque>
#include <map>

namespace Configuration {

/// Decides which requests are sent to the store and which replies to operators. Uses no clock, socket, thread or random
/// device of its own. Not thread-safe. Processes one call at a time; the others are queued in order.
class ChangeAcceptor {
public:
    struct Options {
        /// Maximum number of queued calls, including the one in progress; more are refused.
        std::size_t maximumQueuedCalls { 256 };
        /// How long a submitted change is attempted, and how long a call may be queued.
        Base::milliseconds operatorCallTimeout { 5000 };
        /// Nominal delay before the first retry of a failed store call; doubles with each retry up to sixteenfold.
        /// Jitter spreads each delay over 0.5 to 1.5 times its nominal value.
        Base::milliseconds initialRetryDelay { 50 };
        SnapshotWriter::Options snapshots {};
        uint64_t seed { 1 };
    };

    explicit ChangeAcceptor(const Options&);

    /// Attempts to accept a change. The acceptor sets its revision, acceptedAt and differences.
    void submit(Base::TimePoint now, Base::WallTime wallNow, Ticket, Change, AcceptorActions&);
    /// Reads the change log to its end.
    void refresh(Base::TimePoint now, Ticket, AcceptorActions&);
    /// Reads past changes.
    void readHistory(Ticket, const HistoryQuery&, AcceptorActions&);
    /// Handles the response to the SendStoreRequest with this id. Fails with Stale if none is pending.
    Base::ErrorOr<void> handleStoreAnswer(
        Base::TimePoint now, Base::WallTime wallNow, Store::RequestId, const Store::Answer&, AcceptorActions&);
    /// Must be called at least every 50 ms.
    void handleTick(Base::TimePoint now, Base::WallTime wallNow, AcceptorActions&);

    /// Returns the newest known configuration, or nullptr before one has been read.
    SnapshotPointer snapshot() const { return follower_.snapshot(); }
    AcceptorStatistics statistics() const;

private:
    /// A queued call: a submitted change, or a refresh if change is empty.
    struct Task {
        Ticket ticket { 0 };
        std::optional<Change> change;
        Base::TimePoint deadline;
        /// Increases with each call, so that a refresh only completes calls that were queued when it started.
        uint64_t sequence { 0 };
        /// The end of the log was confirmed since the known state last changed.
        bool isConfirmed { false };
        uint32_t retries { 0 };
        /// Revision and value of a write without response. It may still take effect while the revision's key is absent.
        Revision unconfirmedRevision;
        std::string writtenBytes;
    };

    /// What the call in progress is waiting for.
    enum class Phase : uint8_t {
        Idle,
        CatchingUp,
        Writing,
        ReadingConflict,
        WaitingToRetry,
    };

    /// Origin of a store request.
    struct Requester {
        enum class Kind : uint8_t {
            Task,
            Writer,
            History,
        };
        Kind kind { Kind::Task };
        Ticket ticket { 0 };
    };

    struct CurrentTime {
        Base::TimePoint time;
        Base::WallTime wall;
    };

    void enqueue(CurrentTime, Task, AcceptorActions&);
    void refuseUnattempted(const Task&, AcceptorActions&);
    void refuseExpired(CurrentTime, AcceptorActions&);
    void attemptNext(CurrentTime, AcceptorActions&);
    void attemptFront(CurrentTime, AcceptorActions&);
    bool replyIfAlreadyAccepted(AcceptorActions&);
    void writeChange(const Change&, AcceptorActions&);
    void catchUp(bool confirmEnd, AcceptorActions&);
    void handleTaskAnswer(CurrentTime, const Store::Answer&, AcceptorActions&);
    void handleCatchUpAnswer(CurrentTime, const Store::Answer&, AcceptorActions&);
    void handleWriteAnswer(CurrentTime, const Store::Answer&, AcceptorActions&);
    void applyWinningChange(CurrentTime, const Store::Answer&, AcceptorActions&);
    void handleConflictAnswer(const Store::Answer&, AcceptorActions&);
    void reject(const Base::Error&, AcceptorActions&);
    void retryOrAbort(CurrentTime, const std::string& reason, AcceptorActions&);
    void finishSubmit(SubmitReply, AcceptorActions&);
    void finishRefreshes(Freshness, AcceptorActions&);
    void writeSnapshotIfDue(AcceptorActions&);
    void sendRequest(Requester, Store::Request, AcceptorActions&);
    Change buildNextChange(const Task&, Base::WallTime) const;

    Options options_;
    Base::Random random_;
    LogFollower follower_;
    SnapshotWriter writer_;
    std::deque<Task> tasks_;
    Phase phase_ { Phase::Idle };
    Base::TimePoint retryAt_;
    bool catchUpConfirms_ { false };
    uint64_t catchUpSequence_ { 0 };
    uint64_t lastSequence_ { 0 };
    SubmitReply conflictReply_;
    std::map<Ticket, HistoryReader> historyReaders_;
    std::map<Store::RequestId, Requester> pendingRequests_;
    Store::RequestId lastRequestId_ { 0 };
    AcceptorStatistics statistics_;
};

}
