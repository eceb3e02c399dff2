#include "Endpoint.h"

namespace Measure {

using namespace Configuration;

void NaiveEndpoint::submit(Base::TimePoint, Ticket ticket, const Change& change, AcceptorActions& actions)
{
    write({ ticket, change }, actions);
}

void NaiveEndpoint::write(Pending pending, AcceptorActions& actions)
{
    pending.change.revision = next_;
    const auto id = ++lastId_;
    actions.emplace_back(SendStoreRequest {
        id, Store::CompareAndSwap { .key = changeKey(next_), .expected = 0, .value = encodeChange(pending.change) } });
    pending_.emplace(id, std::move(pending));
}

void NaiveEndpoint::handleStoreAnswer(
    Base::TimePoint, Store::RequestId id, const Store::Answer& answer, AcceptorActions& actions)
{
    auto pending = std::move(pending_.extract(id).mapped());
    if (answer.status == Store::Status::VersionMismatch) {
        next_ = std::max(next_, Base::Revision { pending.change.revision.value + 1 });
        write(std::move(pending), actions);
        return;
    }
    const bool isAccepted = answer.status == Store::Status::Ok;
    if (isAccepted)
        next_ = std::max(next_, Base::Revision { pending.change.revision.value + 1 });
    actions.emplace_back(SubmitReply { .ticket = pending.ticket,
        .outcome = isAccepted ? Outcome::Accepted : Outcome::Unavailable,
        .revision = pending.change.revision,
        .detail = {},
        .conflicting = {} });
}

}
