#pragma once

#include "Endpoint.h"
#include <LibStore/MemoryStore.h>
#include <functional>
#include <memory>
#include <vector>

namespace Measure {

/// Result of one simulation run.
struct AcceptanceFigures {
    /// Intended changes whose operator received the reply "accepted".
    uint64_t accepted { 0 };
    /// Intended changes that the log contains more than once.
    uint64_t doubled { 0 };
    /// Replies "not accepted" to a change that the log contains.
    uint64_t falseRefusals { 0 };
    /// Changes in the log that are not based on the change they replace (lost updates).
    uint64_t overwrittenUnseen { 0 };
    uint64_t writes { 0 };
    uint64_t reads { 0 };
};

/// Simulates four endpoints, operators who retry changes reported as failed, and a store that loses calls and
/// responses.
class AcceptanceSimulation {
public:
    using MakeEndpoint = std::function<std::unique_ptr<Endpoint>(uint64_t seed)>;

    AcceptanceSimulation(uint64_t seed, const MakeEndpoint&);

    /// Runs until every intended change is accepted or the step limit is reached.
    AcceptanceFigures run();

private:
    /// A change that an operator submits until it is accepted.
    struct IntendedChange {
        Configuration::Change change;
        bool isPending { false };
        bool isSettled { false };
        bool wasAccepted { false };
    };

    struct Call {
        std::size_t endpoint { 0 };
        Configuration::SendStoreRequest ask;
    };

    void advance();
    void submitSome();
    void deliver(const Call&);
    Store::Answer answerOf(const Store::Request&);
    void performActions(std::size_t endpoint, const Configuration::AcceptorActions&);
    void handleReply(const Configuration::SubmitReply&);
    void addIntendedChange();
    bool isSettled() const;
    void checkLog();

    Base::Random random_;
    Base::TimePoint time_;
    Store::MemoryStore store_;
    std::vector<std::unique_ptr<Endpoint>> endpoints_;
    std::vector<IntendedChange> intendedChanges_;
    std::vector<Call> calls_;
    std::map<Configuration::Ticket, std::size_t> tickets_;
    Configuration::Ticket lastTicket_ { 0 };
    AcceptanceFigures figures_;
};

}
