#pragma once

#include <LibBase/Time.h>
#include <LibSteering/Process/LoadReport.h>

namespace Steering {

/// Judges whether the store responds to this entry VM, from the calls that it makes.
///
/// A connection that went silent shows only by an answer that does not come. The watcher's peers have to hear of that
/// while the call may still be answered: they take over in time, at the price of some calls if the answer is only late.
/// That the store is away, with its consequences for missing entries, takes two failed calls in a row.
class StoreResponsiveness {
public:
    /// A watch begins that the store answers after the given time at the latest.
    void beginWatch(Base::TimePoint now, Base::milliseconds wait);
    /// A read of a page of records begins.
    void beginRead(Base::TimePoint now);
    /// The watch, or another call, was answered.
    void handleAnswer(Base::TimePoint now);
    /// The watch, or another call, failed.
    void handleFailure(Base::TimePoint now);
    /// This entry VM stops watching.
    void stopWatching() { *this = {}; }

    StoreView view(Base::TimePoint now) const;
    /// Whether two calls in a row have failed.
    bool isAway() const;
    uint32_t consecutiveFailures() const { return failures_; }
    /// Whether the store has answered since this entry VM began to watch it.
    bool isAnswered() const { return isAnswered_; }

    /// How long the next watch should wait, at most the given time. The time since the last answer is deducted, so that
    /// a pause between two watches does not delay noticing a silent connection.
    Base::milliseconds nextWatchTimeout(Base::TimePoint now, Base::milliseconds longest) const;

private:
    bool isOverdue(Base::TimePoint now) const;

    bool isAnswered_ { false };
    /// When the call in progress has to be answered; the epoch if there is none.
    Base::TimePoint answerDueAt_ {};
    Base::TimePoint lastAnswerAt_ {};
    uint32_t failures_ { 0 };
    /// Answers in time that are needed until the store counts as responding again.
    uint32_t missingAnswers_ { 0 };
};

}
