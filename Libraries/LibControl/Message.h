#pragma once

/// The messages between the control processes of the entry VMs, and their msgpack encoding. Every message has a header
/// that describes the sender's configuration, so that every exchange also serves as an anti-entropy probe.

#include <LibBase/Error.h>
#include <LibBase/Identifiers.h>
#include <LibBase/Time.h>
#include <LibControl/ControlNode.h>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace Control {

/// Version of the message format that this code sends. Receivers accept all versions from 1 on.
constexpr uint32_t messageVersion = 1;
/// Size limit of an encoded message, in bytes; checked before decoding.
constexpr std::size_t maximumMessageBytes = 24'576;
/// Number of fields of a MemberUpdate on the wire; later versions may append more.
constexpr std::size_t memberUpdateFields = 8;
/// Limit on the entries of each list within a message.
constexpr std::size_t maximumListEntries = 1024;

/// Hash of a failure domain's name, used where the name itself would take too many bytes.
using DomainTag = uint32_t;

DomainTag domainTag(std::string_view name);

/// The reported state of a member. Among updates with the same incarnation and refutation, the later enumerator takes
/// precedence.
enum class MemberState : uint8_t {
    Alive,
    Leaving,
    Suspect,
    /// Failed, or has left.
    Dead,
};

/// An update about one member's state.
struct MemberUpdate {
    EntryVmId id;
    uint64_t incarnation { 0 };
    /// Number of times the member has refuted suspicions or announced changes in this incarnation.
    uint32_t refutation { 0 };
    MemberState state { MemberState::Alive };
    /// Only for Suspect: the member that raised the suspicion.
    EntryVmId accuser;
    std::string failureDomain;
    std::string region;
    Base::Ipv4Endpoint dataEndpoint;
};

/// The holder of a failure domain's watcher slot, with its fencing epoch.
struct WatcherAnnouncement {
    DomainTag domain { 0 };
    uint32_t slot { 0 };
    EntryVmId holder;
    uint64_t epoch { 0 };
    /// Time since the holder last proved that it holds the lease.
    Base::milliseconds age { 0 };
};

/// Time since the last round trip between the sender's part of the fleet and a failure domain.
struct DomainContact {
    DomainTag domain { 0 };
    Base::milliseconds age { 0 };
};

/// The number of members of a failure domain that have a revision in force.
struct DomainProgress {
    DomainTag domain { 0 };
    Revision revision;
    uint32_t inForce { 0 };
    uint32_t total { 0 };
    /// Some of the members that do not have it in force.
    std::vector<EntryVmId> missing;
};

/// Digest of the members of a failure domain, for anti-entropy.
struct MemberDigest {
    DomainTag domain { 0 };
    uint64_t hash { 0 };
};

/// Header of every message.
struct MessageHeader {
    uint64_t incarnation { 0 };
    /// The newest revision in force at the sender; zero if none.
    Revision newest;
    /// Time since the store last confirmed to any node that no revision newer than `confirmed` exists.
    Base::milliseconds confirmationAge { 0 };
    /// The confirmed revision; zero if none has been confirmed yet.
    Revision confirmed;
    std::vector<MemberUpdate> updates;
    std::vector<WatcherAnnouncement> watchers;
    std::vector<DomainContact> contacts;
    std::vector<DomainProgress> progress;
    std::vector<MemberDigest> digests;
};

/// Checks whether a member responds.
struct Ping {
    uint64_t sequence { 0 };
};

/// Response to a Ping. For a PingRequest, the relay sends it to the requester.
struct Acknowledge {
    uint64_t sequence { 0 };
    /// False if a relay responds but received no response from the target in time.
    bool reached { true };
};

/// Asks the receiver to ping another member on the sender's behalf.
struct PingRequest {
    uint64_t sequence { 0 };
    EntryVmId target;
};

/// Carries only the updates in the header.
struct Gossip { };

/// An interval of a ring of members: those whose position lies in [begin, end].
struct RingRange {
    /// Determines the order of the members on the ring.
    uint64_t seed { 0 };
    /// Start of the ring: the position after the root's.
    uint64_t origin { 0 };
    uint64_t begin { 0 };
    uint64_t end { 0 };
};

/// Changes, pushed along a dissemination tree. The receiver forwards them to the members of its own failure domain
/// within the range.
struct ChangePush {
    /// Encoded changes, ordered by revision. An empty list is a watcher's heartbeat.
    std::vector<std::string> changes;
    RingRange range;
    /// The watcher slot on whose behalf the changes are pushed, for fencing. An epoch of zero means that no slot is
    /// held.
    DomainTag watcherDomain { 0 };
    uint32_t watcherSlot { 0 };
    uint64_t watcherEpoch { 0 };
};

/// Requests the changes after a revision.
struct ChangesRequest {
    Revision after;
};

/// Response to a ChangesRequest. An empty list means that the sender no longer has these changes and the requester
/// needs a snapshot.
struct Changes {
    std::vector<std::string> changes;
};

/// Requests parts of a snapshot.
struct SnapshotRequest {
    /// Zero requests the newest snapshot.
    Revision revision;
    uint32_t firstPart { 0 };
    uint32_t partCount { 1 };
};

/// One part of a snapshot. Empty bytes mean that the sender does not have this snapshot.
struct SnapshotPart {
    Revision revision;
    uint32_t index { 0 };
    uint32_t total { 0 };
    std::string bytes;
};

/// Requests the members of a failure domain whose digest differs.
struct MembersRequest {
    DomainTag domain { 0 };
    /// Digests of the requester's view, one for each bucket; a member's id determines its bucket.
    std::vector<uint64_t> bucketHashes;
};

/// Response to a MembersRequest. The receiver does not forward it, since every node compares digests itself.
struct MemberList {
    /// Failure domain and region of every update that does not name them itself.
    std::string failureDomain;
    std::string region;
    std::vector<MemberUpdate> updates;
};

/// Number of a group's members that have a revision in force, as counted by the group's aggregator. A total of zero
/// marks the acknowledgement of a single member.
struct AcknowledgementReport {
    Revision revision;
    uint32_t group { 0 };
    uint32_t inForce { 0 };
    uint32_t total { 0 };
    std::vector<EntryVmId> missing;
};

using MessageBody = std::variant<Ping, Acknowledge, PingRequest, Gossip, ChangePush, ChangesRequest, Changes,
    SnapshotRequest, SnapshotPart, MembersRequest, AcknowledgementReport, MemberList>;

struct Message {
    MessageHeader header;
    MessageBody body;
};

/// The kind under which a message is counted.
MessageKind messageKind(const MessageBody&);

/// Encodes a message as msgpack.
std::vector<std::byte> encodeMessage(const Message&);

/// Returns Malformed if the bytes are not a valid message, and TooLarge if they exceed maximumMessageBytes.
Base::ErrorOr<Message> decodeMessage(std::span<const std::byte>);

}
