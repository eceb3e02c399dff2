#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace Control {

/// Numbers of this library's log events (3000 to 3999).
enum class Event : uint32_t {
    ConfigurationEnforced = 3001,
    ConfigurationGap = 3002,
    ChangeRefused = 3003,
    StoreBehind = 3004,
    StoreHistoryDiffers = 3005,
    EvidenceChanged = 3006,
    StoreUnreachable = 3010,
    StoreSlow = 3011,
    StoreHealthy = 3012,
    LeaseAcquired = 3020,
    LeaseLost = 3021,
    MessageFenced = 3022,
    MemberJoined = 3030,
    MemberSuspected = 3031,
    MemberRemoved = 3032,
    MemberLeaving = 3033,
    SuspicionRefuted = 3034,
    DomainUnreachable = 3035,
    DomainReachable = 3036,
    ProcessPaused = 3037,
    SnapshotTransferred = 3040,
    SnapshotPartRefused = 3041,
};

/// One entry of the event reference.
struct EventDescription {
    Event number;
    std::string_view name;
    std::string_view meaning;
};

/// All events of this library, ordered by number.
inline constexpr std::array eventDescriptions {
    EventDescription { Event::ConfigurationEnforced, "configuration-enforced",
        "a newer configuration revision is in force on this node" },
    EventDescription { Event::ConfigurationGap, "configuration-gap", "a change was received before its predecessor" },
    EventDescription { Event::ChangeRefused, "change-refused", "an accepted change could not be applied" },
    EventDescription { Event::StoreBehind, "store-behind",
        "the store lacks a change in force on this node; its older state is ignored" },
    EventDescription { Event::StoreHistoryDiffers, "store-history-differs",
        "the store holds a different change for a revision in force on this node; its state is ignored" },
    EventDescription {
        Event::EvidenceChanged, "evidence-changed", "the evidence that the configuration is current has changed" },
    EventDescription { Event::StoreUnreachable, "store-unreachable",
        "the store does not respond; the circuit breaker limits calls to it" },
    EventDescription { Event::StoreSlow, "store-slow", "the store responds slowly" },
    EventDescription { Event::StoreHealthy, "store-healthy", "the store responds in time again" },
    EventDescription { Event::LeaseAcquired, "lease-acquired",
        "this node acquired the lease of a watcher slot of its failure domain" },
    EventDescription { Event::LeaseLost, "lease-lost", "this node no longer holds the lease of its watcher slot" },
    EventDescription { Event::MessageFenced, "message-fenced", "a message of an older lease epoch was rejected" },
    EventDescription { Event::MemberJoined, "member-joined", "a new member was discovered" },
    EventDescription { Event::MemberSuspected, "member-suspected", "a member is suspected to have failed" },
    EventDescription { Event::MemberRemoved, "member-removed", "a member failed or left" },
    EventDescription { Event::MemberLeaving, "member-leaving", "a member announced a graceful leave" },
    EventDescription { Event::SuspicionRefuted, "suspicion-refuted", "this node refuted a suspicion against itself" },
    EventDescription { Event::DomainUnreachable, "domain-unreachable", "no member of a failure domain responds" },
    EventDescription { Event::DomainReachable, "domain-reachable", "a failure domain responds again" },
    EventDescription { Event::ProcessPaused, "process-paused", "this process did not run for 500 ms or longer" },
    EventDescription {
        Event::SnapshotTransferred, "snapshot-transferred", "a complete snapshot from peers was installed" },
    EventDescription {
        Event::SnapshotPartRefused, "snapshot-part-refused", "the parts of a snapshot could not be joined" },
};

}
