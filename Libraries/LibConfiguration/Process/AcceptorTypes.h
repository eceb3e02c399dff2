#pragma once

/// Outputs of a ChangeAcceptor: actions, replies and statistics.

#include <LibConfiguration/Process/HistoryReader.h>
#include <LibConfiguration/Process/SnapshotWriter.h>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Configuration {

/// Identifies an operator's call; chosen by the host of the acceptor and repeated in the reply.
using Ticket = uint64_t;

/// Result of a submitted change.
enum class Outcome : uint8_t {
    /// The change may or may not have been accepted; repeating it with the same request id reveals which.
    Unknown,
    Accepted,
    /// Another change to the same object was accepted first.
    Conflict,
    Protected,
    Invalid,
    NotFound,
    /// Not accepted, and it will not be later: the store was unreachable or too many calls were queued.
    Unavailable,
};

/// Returns the lower-case name of an outcome, as used in metrics.
std::string_view toString(Outcome);

/// How current a returned configuration is.
enum class Freshness : uint8_t {
    /// No configuration is available.
    None,
    /// The store confirmed it during this call.
    Confirmed,
    /// Read earlier; the store could not be reached during this call.
    Held,
};

/// Sends a request to the store; the response must be passed to handleStoreAnswer() with the same id.
struct SendStoreRequest {
    Store::RequestId id { 0 };
    Store::Request request;
};

/// Reply to submit().
struct SubmitReply {
    Ticket ticket { 0 };
    Outcome outcome { Outcome::Unknown };
    /// Accepted only: the revision at which the change took effect.
    Revision revision;
    std::string detail;
    /// Conflict only: the change that was accepted first, if it could be read.
    std::optional<Change> conflicting;
};

/// Reply to refresh().
struct RefreshReply {
    Ticket ticket { 0 };
    Freshness freshness { Freshness::None };
    /// nullptr if Freshness::None.
    SnapshotPointer snapshot;
};

/// Reply to readHistory().
struct HistoryReply {
    Ticket ticket { 0 };
    History history;
};

using AcceptorAction = std::variant<SendStoreRequest, SubmitReply, RefreshReply, HistoryReply>;
using AcceptorActions = std::vector<AcceptorAction>;

/// Counts since the acceptor was created.
struct AcceptorStatistics {
    /// Submitted changes, indexed by Outcome.
    uint64_t outcomes[7] {};
    /// Accepted replies to repeated requests, with the original outcome.
    uint64_t repeatedRequests { 0 };
    /// Writes that lost the race for their revision to another endpoint's change and were retried.
    uint64_t lostRaces { 0 };
    /// Writes without a response.
    uint64_t lostWriteResponses { 0 };
    /// Calls refused unattempted: the queue was full, or their timeout passed in the queue.
    uint64_t refusedUnattempted { 0 };
    /// Snapshots written completely.
    uint64_t snapshots { 0 };
};

}
