#include "Simulation.h"
#include <algorithm>

namespace Measure {

using namespace Configuration;

namespace {

    constexpr std::size_t endpointCount = 4;
    constexpr std::size_t intendedChangeCount = 400;
    constexpr uint64_t objectCount = 40;
    constexpr double answerLossProbability = 0.05;
    constexpr double callLossProbability = 0.05;
    constexpr double submitProbability = 0.02;
    constexpr std::size_t stepLimit = 200'000;

    std::string objectName(uint64_t number) { return "domain-" + std::to_string(number); }

}

AcceptanceSimulation::AcceptanceSimulation(uint64_t seed, const MakeEndpoint& makeEndpoint)
    : random_(seed)
{
    for (std::size_t i = 0; i < endpointCount; ++i)
        endpoints_.push_back(makeEndpoint(random_.next()));
    for (std::size_t i = 0; i < intendedChangeCount; ++i)
        addIntendedChange();
}

/// Adds an operator's intent to set the region of an object, based on the assumption that the object does not exist.
void AcceptanceSimulation::addIntendedChange()
{
    const auto number = intendedChanges_.size();
    const FailureDomain domain { .name = objectName(random_.below(objectCount)),
        .region = "region-" + std::to_string(number) };
    Change change { .requestId = "wish-" + std::to_string(number), .author = "operator", .reason = "measurement" };
    change.operation = PutFailureDomain { domain };
    intendedChanges_.push_back({ .change = std::move(change) });
}

AcceptanceFigures AcceptanceSimulation::run()
{
    for (std::size_t step = 0; step < stepLimit && !isSettled(); ++step)
        advance();
    checkLog();
    return figures_;
}

bool AcceptanceSimulation::isSettled() const
{
    return std::all_of(intendedChanges_.begin(), intendedChanges_.end(),
        [](const IntendedChange& intendedChange) { return intendedChange.isSettled; });
}

void AcceptanceSimulation::advance()
{
    time_ += Base::milliseconds(5 + random_.below(10));
    submitSome();
    for (const auto& call : std::exchange(calls_, {}))
        deliver(call);
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
        AcceptorActions actions;
        endpoints_[i]->handleTick(time_, actions);
        performActions(i, actions);
    }
}

void AcceptanceSimulation::submitSome()
{
    for (std::size_t i = 0; i < intendedChanges_.size(); ++i) {
        if (intendedChanges_[i].isSettled || intendedChanges_[i].isPending || !random_.chance(submitProbability))
            continue;
        intendedChanges_[i].isPending = true;
        const auto endpoint = random_.below(endpoints_.size());
        tickets_[++lastTicket_] = i;
        AcceptorActions actions;
        endpoints_[endpoint]->submit(time_, lastTicket_, intendedChanges_[i].change, actions);
        performActions(endpoint, actions);
    }
}

Store::Answer AcceptanceSimulation::answerOf(const Store::Request& request)
{
    const bool isRead = std::holds_alternative<Store::Get>(request);
    ++(isRead ? figures_.reads : figures_.writes);
    if (random_.chance(callLossProbability))
        return { .status = Store::Status::Unknown };
    const auto answer = store_.handle(time_, request);
    return random_.chance(answerLossProbability) ? Store::Answer { .status = Store::Status::Unknown } : answer;
}

void AcceptanceSimulation::deliver(const Call& call)
{
    AcceptorActions actions;
    endpoints_[call.endpoint]->handleStoreAnswer(time_, call.ask.id, answerOf(call.ask.request), actions);
    performActions(call.endpoint, actions);
}

void AcceptanceSimulation::performActions(std::size_t endpoint, const AcceptorActions& actions)
{
    for (const auto& action : actions) {
        if (const auto* ask = std::get_if<SendStoreRequest>(&action))
            calls_.push_back({ endpoint, *ask });
        if (const auto* reply = std::get_if<SubmitReply>(&action))
            handleReply(*reply);
    }
}

/// After a conflict the operator bases the next attempt on the conflicting revision.
void AcceptanceSimulation::handleReply(const SubmitReply& reply)
{
    auto& intendedChange = intendedChanges_[tickets_.extract(reply.ticket).mapped()];
    intendedChange.isPending = false;
    switch (reply.outcome) {
    case Outcome::Accepted:
        intendedChange.wasAccepted = true;
        intendedChange.isSettled = true;
        ++figures_.accepted;
        break;
    case Outcome::Conflict:
        if (reply.conflicting)
            intendedChange.change.base = reply.conflicting->revision;
        break;
    default:
        break;
    }
}

void AcceptanceSimulation::checkLog()
{
    std::map<std::string, uint64_t> timesInLog;
    std::map<std::string, Base::Revision> lastChanges;
    for (uint64_t revision = 1;; ++revision) {
        const auto answer = store_.handle(time_, Store::Get { changeKey({ revision }) });
        const auto change = Base::capture([&] { return decodeChange(answer.value); });
        if (!change.isOk())
            break;
        ++timesInLog[change.value->requestId];
        auto& last = lastChanges[objectPath(change.value->operation)];
        if (change.value->base != last)
            ++figures_.overwrittenUnseen;
        last = { revision };
    }
    for (const auto& intendedChange : intendedChanges_) {
        const auto times = timesInLog[intendedChange.change.requestId];
        if (times > 1)
            ++figures_.doubled;
        // Occurrences in the log beyond the one that was reported as accepted were reported as failed.
        const auto reported = intendedChange.wasAccepted ? 1U : 0U;
        figures_.falseRefusals += times > reported ? times - reported : 0;
    }
}

}
