#pragma once

#include <LibFlow/Types.h>
#include <array>
#include <functional>

namespace Flow {

constexpr std::size_t dropReasonCount = static_cast<std::size_t>(DropReason::Malformed) + 1;
constexpr std::size_t refusalReasonCount = static_cast<std::size_t>(RefusalReason::NotReady) + 1;
constexpr std::size_t retryReasonCount = static_cast<std::size_t>(RetryReason::BackendServerLost) + 1;
constexpr std::size_t handOverReasonCount = static_cast<std::size_t>(HandOverReason::Spill) + 1;

/// Kinds of control messages between deciders, as counted.
enum class ControlKind : uint8_t {
    /// The owner of backend servers reports their usage to the backup and requests a lease of the backup's share of the
    /// limits.
    LimitClaim,
    /// The backup leases its share and reports its own usage.
    LimitGrant,
    /// A balancer that is neither owner nor backup reports its remaining usage to the owner.
    Holding,
    /// Load and free capacity of the backend servers of a service that the sender owns.
    LoadDigest,
    /// Copies of exceptions: flows on another backend server than the bucket table gives.
    Exceptions,
    /// The sender is leaving and owns nothing from now on.
    Leaving,
};

constexpr std::size_t controlKindCount = static_cast<std::size_t>(ControlKind::Leaving) + 1;

/// Returns the lower-case name of a kind, as it appears in metrics.
std::string_view toString(ControlKind);

/// Gauges of one backend server at one decider.
struct BackendServerGauges {
    /// Flows of the server with a local record.
    uint32_t connections { 0 };
    /// Slots that these flows occupy.
    uint32_t slots { 0 };
    /// Whether this balancer is the acting owner and admits new flows.
    bool isOwner { false };
    /// Whether its latest report says that it is healthy.
    bool healthy { true };
    /// Fraction of the full load allowed by slow start, in (0, 1].
    double warmth { 1.0 };
};

/// Counters since creation and current gauges. Arrays are indexed by the enum value of the reason.
struct FlowStatistics {
    std::array<uint64_t, dropReasonCount> drops {};
    std::array<uint64_t, refusalReasonCount> refusals {};
    std::array<uint64_t, retryReasonCount> retries {};
    std::array<uint64_t, handOverReasonCount> handOvers {};
    /// Control bytes sent, by kind of message.
    std::array<uint64_t, controlKindCount> controlBytesSent {};
    /// First packets sent to a backend server.
    uint64_t flowsAdmitted { 0 };
    /// Of these: sent to another backend server than the bucket table gives.
    uint64_t flowsSpilled { 0 };
    /// Flows adopted from a mid-flow packet, because their first packet was not seen.
    uint64_t flowsAdopted { 0 };
    /// Resets that were not forwarded, because they only show that the flow is on another backend server than guessed.
    uint64_t resetsWithheld { 0 };
    /// Flows abandoned because their backend server or its failure domain was taken out.
    uint64_t flowsGivenUp { 0 };
    /// Half-open flows evicted in favour of newer ones.
    uint64_t halfOpenEvicted { 0 };
    /// Control messages rejected as malformed, oversized or stale, or from an unknown sender.
    uint64_t peerMessagesRefused { 0 };
    /// Probe results rejected as stale or for an unknown backend server.
    uint64_t reportsRefused { 0 };
    /// Flow records, including redirects.
    uint64_t flowsHeld { 0 };
    /// TCP flows whose backend server has not responded yet.
    uint64_t halfOpen { 0 };
    /// Exceptions: flows on another backend server than the bucket table gives.
    uint64_t exceptions { 0 };
    /// Exceptions not copied to another balancer yet.
    uint64_t unprotectedExceptions { 0 };
    /// Queued packets.
    uint64_t queueLength { 0 };
    /// Copies of first packets kept for a retry.
    uint64_t keptCopies { 0 };
    /// Memory used by flow records and their index, in bytes.
    uint64_t flowBytes { 0 };
    /// Returns the gauges of one backend server; zeros if it is unknown.
    std::function<BackendServerGauges(BackendServerId)> backendServer;

    /// Returns the counter of a reason.
    uint64_t count(DropReason reason) const { return drops.at(static_cast<std::size_t>(reason)); }
    uint64_t count(RefusalReason reason) const { return refusals.at(static_cast<std::size_t>(reason)); }
    uint64_t count(RetryReason reason) const { return retries.at(static_cast<std::size_t>(reason)); }
    uint64_t count(HandOverReason reason) const { return handOvers.at(static_cast<std::size_t>(reason)); }
    uint64_t count(ControlKind kind) const { return controlBytesSent.at(static_cast<std::size_t>(kind)); }
};

}
