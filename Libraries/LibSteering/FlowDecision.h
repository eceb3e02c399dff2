#pragma once

#include <LibSteering/Events.h>
#include <LibSteering/Process/Room.h>
#include <LibSteering/Request/ShareChoice.h>

namespace Steering {

/// One decision about a flow, for the log.
struct FlowDecision {
    enum class Kind : uint8_t {
        Placed,
        Retransmitted,
        Hedged,
        Opened,
        Refused,
        NeverOpened,
        ShortResponse,
    };

    Kind kind { Kind::Placed };
    Packet::FlowKey flow;
    uint32_t sequence { 0 };
    BackendServerNumber server;
    ChoiceTier tier { ChoiceTier::Sound };
    /// Why the flow went to another service than its share's, and both services; the names are empty if it did not.
    ShareDiversion diversion { ShareDiversion::None };
    std::string serviceAsked;
    std::string serviceGiven;
    Refusal refusal { Refusal::None };
    uint32_t ownInFlight { 0 };
    uint32_t peersInFlight { 0 };
    double relativeServiceTime { 1 };
    uint64_t configurationVersion { 0 };
    /// Time since the flow's first packet.
    Base::microseconds age { 0 };
    /// For ShortResponse: the bytes that the caller acknowledged, the usual length, and the back-off period.
    uint32_t responseBytes { 0 };
    uint32_t usualResponseBytes { 0 };
    Base::milliseconds backOffTime { 0 };
    /// For Refusal::NoRoom: the route's priority, the service's room as used, and the age of that knowledge.
    uint32_t priority { 0 };
    Room::Load room {};
    Base::milliseconds roomAge { 0 };
};
std::string_view toString(FlowDecision::Kind);

}
