#pragma once

#include <LibBase/Time.h>
#include <LibPacket/FlowKey.h>
#include <LibSteering/FlowToken.h>
#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <deque>
#include <functional>

namespace Steering {

/// Limit of connection attempts of one flow, each at another backend server. Callers send at most three copies of
/// a first packet.
constexpr std::size_t maximumConnectionAttempts = 4;

/// Callers time out 1.4 s after a first packet.
constexpr Base::milliseconds openingTimeout { 1500 };

enum class FlowState : uint8_t {
    /// The first packet was forwarded; no handshake has been completed yet.
    Opening,
    /// The caller has completed the handshake with one server.
    Open,
    /// The caller has ended the flow.
    Ended,
};

/// State of a flow on the node that saw its first packet, or a later request. To forward packets, other nodes need only
/// a confirmed token.
struct FlowRecord {
    std::array<BackendServerNumber, maximumConnectionAttempts> attemptedServers {};
    uint8_t attemptCount { 0 };
    FlowState state { FlowState::Opening };
    /// Another node saw the first packet.
    bool isAdopted { false };
    /// Whether the flow counts as a request in flight, at each attempted server (Opening) or at its server (Open).
    bool isCountedInFlight { false };
    /// The server with which the handshake was completed.
    BackendServerNumber server;
    uint32_t firstSequence { 0 };
    /// Acknowledgement number of the caller's latest request; a larger one shows that the response has begun.
    uint32_t acknowledgedAtRequest { 0 };
    /// Sequence number that follows the caller's data so far.
    uint32_t requestEndSequence { 0 };
    /// A request was seen whose response has not been rated yet; see ResponseQuality.
    bool isAwaitingResponse { false };
    /// That request found a free slot; see ServiceTimes.
    bool isServiceTimeSample { false };
    /// When that request was first seen, and the node's total stall time then; see SteeringDecider.
    Base::TimePoint requestSeenAt {};
    Base::nanoseconds stallTimeAtRequest { 0 };
    /// When the latest data of that request was seen.
    Base::TimePoint requestDataSeenAt {};
    Base::TimePoint firstSeen {};
    Base::TimePoint lastSeen {};
    /// Time of the latest connection attempt, and the node's total stall time then; see SteeringDecider.
    Base::TimePoint lastAttemptAt {};
    Base::nanoseconds stallTimeAtLastAttempt { 0 };

    bool wasAttemptedAt(BackendServerNumber) const;
    /// Whether the flow is open and no part of the response to its latest request has been acknowledged.
    bool isWithoutResponse() const { return state == FlowState::Open && isAwaitingResponse && isCountedInFlight; }
};

/// A bounded table of flow records. Each record is checked once per check interval.
class FlowTable {
public:
    struct Options {
        std::size_t maximumFlows { 200'000 };
        Base::milliseconds checkInterval { 1600 };
    };

    explicit FlowTable(Options options)
        : options_(options)
    {
    }

    FlowRecord* find(const Packet::FlowKey&);
    /// Adds a record for a flow that has none. Returns nullptr if the table is full.
    FlowRecord* add(Base::TimePoint now, const Packet::FlowKey&);
    void erase(const Packet::FlowKey&);
    /// Calls keep for each record whose check is due, and erases the record if it returns false.
    void runDueChecks(Base::TimePoint now, const std::function<bool(const Packet::FlowKey&, FlowRecord&)>& keep);
    std::size_t size() const { return records_.size(); }

private:
    struct Check {
        Packet::FlowKey flow;
        Base::TimePoint dueAt;
    };

    Options options_;
    boost::unordered_flat_map<Packet::FlowKey, FlowRecord, std::hash<Packet::FlowKey>> records_;
    std::deque<Check> checks_;
};

}
