#pragma once

/// The times that add up to how late a change of the store takes effect on an entry VM that does not watch the store,
/// while the watcher of its failure domain or a relay connection falls silent. docs/design/dissemination.md has the
/// sums; TestDisseminationTimes checks them against the bound.

#include <LibBase/Time.h>

namespace Steering::DisseminationTimes {

/// How long a watch waits for changes. Each watch is a charged call, a longer one is noticed later when it is dead.
inline constexpr Base::milliseconds watchTimeout { 1500 };
/// An answer that comes later than this after the end of a watch is overdue. The store responds within a few
/// milliseconds; the rest is for a process that waits for its CPU quota.
inline constexpr Base::milliseconds answerTolerance { 250 };
/// A read of a page of records that takes longer than this is overdue. A page may be a megabyte, and the link narrow.
inline constexpr Base::milliseconds readTolerance { 750 };
/// The first watch of an entry VM that takes over is short, so that a dead path shows before the next in rank is late.
inline constexpr Base::milliseconds firstWatchTimeout { 50 };
/// After a failure, a long watch would delay noticing whether the store responds again.
inline constexpr Base::milliseconds recoveryWatchTimeout { 200 };
/// The pause after a failed call is at most this long.
inline constexpr Base::milliseconds longestCallPause { 800 };
/// Changes come in bursts; the pause batches them, since one call for each change would cost more than the delay.
inline constexpr Base::milliseconds changeBatchingInterval { 250 };

/// A watcher without reports for this long is replaced. Reports are sent every 100 ms in a small failure domain and
/// every 400 ms in the largest, so that at least three consecutive ones are missing.
inline constexpr Base::milliseconds watcherReportTimeout { 1200 };

/// Interval of load reports within a failure domain of up to ten entry VMs.
inline constexpr Base::milliseconds nearReportInterval { 100 };
/// The packet thread checks its role and the state of the store at least this often.
inline constexpr Base::milliseconds roleCheckInterval { 100 };

/// Limit of each step of a fetch from a peer: connecting, sending, and receiving the next part of the response.
inline constexpr Base::milliseconds relayStepTimeout { 500 };
/// The store's own update arrives within about 250 ms, the interval over which changes are batched. Fetching from a
/// peer in another failure domain before that would only cost traffic between the domains.
inline constexpr Base::milliseconds farRelayDelay { 600 };

}
