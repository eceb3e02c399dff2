#include <LibSteering/Process/StoreResponsiveness.h>

#include <LibSteering/Process/DisseminationTimes.h>
#include <algorithm>

namespace Steering {

namespace {

    /// A watch may be cut off while the store is healthy, so a single failure does not mean that the store is away.
    constexpr uint32_t awayFailureThreshold = 2;

    /// Hysteresis: a path that delivers single answers would otherwise move the watch to and fro between entry VMs.
    constexpr uint32_t answersAfterOverdue = 2;

}

bool StoreResponsiveness::isOverdue(Base::TimePoint now) const
{
    return answerDueAt_ != Base::TimePoint {} && now > answerDueAt_;
}

void StoreResponsiveness::beginWatch(Base::TimePoint now, Base::milliseconds wait)
{
    answerDueAt_ = now + wait + DisseminationTimes::answerTolerance;
}

void StoreResponsiveness::beginRead(Base::TimePoint now) { answerDueAt_ = now + DisseminationTimes::readTolerance; }

void StoreResponsiveness::handleAnswer(Base::TimePoint now)
{
    // While the store is away, all entry VMs wait for the first that it answers, so that one answer is enough then.
    if (isOverdue(now))
        missingAnswers_ = answersAfterOverdue;
    else
        missingAnswers_ = missingAnswers_ == 0 || isAway() ? 0 : missingAnswers_ - 1;
    isAnswered_ = true;
    answerDueAt_ = {};
    lastAnswerAt_ = now;
    failures_ = 0;
}

void StoreResponsiveness::handleFailure(Base::TimePoint now)
{
    // Until the second failure a reset or a refusal may be repeated without a change of watcher.
    if (isOverdue(now) || missingAnswers_ > 0)
        missingAnswers_ = answersAfterOverdue;
    answerDueAt_ = {};
    ++failures_;
}

bool StoreResponsiveness::isAway() const { return failures_ >= awayFailureThreshold; }

StoreView StoreResponsiveness::view(Base::TimePoint now) const
{
    if (isAway())
        return StoreView::Unresponsive;
    if (isOverdue(now) || missingAnswers_ > 0)
        return StoreView::Overdue;
    return isAnswered_ ? StoreView::Responding : StoreView::NotWatching;
}

Base::milliseconds StoreResponsiveness::nextWatchTimeout(Base::TimePoint now, Base::milliseconds longest) const
{
    if (failures_ > 0 || (missingAnswers_ > 0 && missingAnswers_ < answersAfterOverdue))
        return std::min(longest, DisseminationTimes::recoveryWatchTimeout);
    if (!isAnswered_)
        return std::min(longest, DisseminationTimes::firstWatchTimeout);
    const auto passed = std::chrono::ceil<Base::milliseconds>(now - lastAnswerAt_);
    return std::max(longest - passed, std::min(longest, DisseminationTimes::recoveryWatchTimeout));
}

}
