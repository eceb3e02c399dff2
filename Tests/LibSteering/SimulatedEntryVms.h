#pragma once

#include "Fixture.h"

#include <LibSteering/Process/DisseminationTimes.h>
#include <LibSteering/Process/RelayChoice.h>
#include <LibSteering/Process/StoreResponsiveness.h>
#include <LibSteering/Process/WatcherChoice.h>
#include <memory>
#include <set>

/// How the store answers one entry VM.
enum class StorePath : uint8_t {
    Whole,
    /// Nothing arrives and nothing is reset; connections that were open stay dead after the path is whole again.
    Silent,
    Refusing,
    /// Answers arrive, but late.
    Slow,
};

/// Entry VMs of several failure domains in virtual time, each with the decisions of an entryd: when the store counts as
/// responding, who watches it, and which peer is asked for records. Stands in for their threads and for the store.
class SimulatedEntryVms {
public:
    using milliseconds = Base::milliseconds;
    using TimePoint = Base::TimePoint;

    struct Options {
        std::size_t domains { 3 };
        std::size_t entryVmsPerDomain { 3 };
        uint64_t seed { 1 };
        /// Of 1,000 reports, how many are lost.
        uint64_t lostReports { 0 };
    };

    struct Node {
        Base::EntryVmId id;
        std::string domain;
        StorePath path { StorePath::Whole };
        uint64_t revision { 1 };
        /// When it reached its revision.
        TimePoint revisionAt {};
        uint64_t calls { 0 };
        uint64_t fetches { 0 };
        bool isWatching { false };
        /// How often its view of the store changed.
        uint64_t viewChanges { 0 };
        Steering::StoreView view { Steering::StoreView::NotWatching };

        std::unordered_map<Base::EntryVmId, Steering::PeerLoads::Peer> peers {};
        Steering::StoreResponsiveness responsiveness {};
        Steering::RelayChoice relay { { .seed = 1 } };

        struct Call {
            TimePoint begunAt {};
            TimePoint answerAt {};
            TimePoint failsAt {};
            bool isLost { false };
        };
        std::optional<Call> call {};
        bool isConnected { false };
        TimePoint pauseEndsAt {};

        std::optional<Base::EntryVmId> fetchingFrom {};
        TimePoint fetchEndsAt {};

        TimePoint nextCheck {};
        TimePoint nextNearReport {};
        TimePoint nextFarReport {};
        uint64_t reportedRevision { 0 };
    };

    explicit SimulatedEntryVms(const Options& options)
        : options_(options)
        , random_(options.seed)
    {
        for (std::size_t domain = 0; domain < options.domains; ++domain) {
            for (std::size_t index = 0; index < options.entryVmsPerDomain; ++index) {
                auto& node = nodes_.emplace_back();
                node.id = SteeringFixture::peer(static_cast<uint32_t>(nodes_.size()));
                node.domain = "domain-" + std::to_string(domain);
                node.nextCheck = now_ + milliseconds(random_.below(100));
            }
        }
        for (auto& node : nodes_) {
            node.relay = Steering::RelayChoice({ .seed = node.id.value });
            for (const auto& other : nodes_) {
                if (other.id != node.id)
                    node.peers[other.id] = { .failureDomain = other.domain };
            }
        }
    }

    TimePoint now() const { return now_; }
    std::vector<Node>& nodes() { return nodes_; }
    void acknowledgeChange() { ++storeRevision_; }
    /// Connections for records from one entry VM to another stay silent.
    void silenceRelay(Base::EntryVmId from, Base::EntryVmId to) { silentRelays_.insert({ from.value, to.value }); }

    void advance(milliseconds time)
    {
        const auto end = now_ + time;
        while (now_ < end) {
            now_ += tick;
            for (auto& node : nodes_) {
                runStore(node);
                runChecks(node);
                runRelay(node);
            }
        }
    }

    /// The entry VMs of a domain that watch the store, or try to.
    std::vector<Node*> watchersOf(const std::string& domain)
    {
        std::vector<Node*> found;
        for (auto& node : nodes_) {
            if (node.domain == domain && node.isWatching)
                found.push_back(&node);
        }
        return found;
    }

    uint64_t calls() const
    {
        uint64_t sum = 0;
        for (const auto& node : nodes_)
            sum += node.calls;
        return sum;
    }

private:
    static constexpr milliseconds tick { 5 };
    static constexpr milliseconds answerTime { 4 };
    static constexpr milliseconds slowAnswerTime { 600 };
    static constexpr milliseconds callTimeout { 1000 };
    static constexpr milliseconds fetchTime { 20 };
    static constexpr milliseconds longestBackoff { 800 };

    void setRevision(Node& node, uint64_t revision)
    {
        if (revision <= node.revision)
            return;
        node.revision = revision;
        node.revisionAt = now_;
        node.nextCheck = now_;
    }

    void beginCall(Node& node)
    {
        const auto wait = node.responsiveness.nextWatchTimeout(now_, Steering::DisseminationTimes::watchTimeout);
        node.responsiveness.beginWatch(now_, wait);
        ++node.calls;
        const bool isConnecting = !node.isConnected;
        node.call = Node::Call { .begunAt = now_,
            .answerAt = now_ + wait + answerTime,
            .failsAt = now_ + callTimeout + (isConnecting && node.path == StorePath::Silent ? milliseconds(0) : wait) };
        node.isConnected = true;
    }

    void runStore(Node& node)
    {
        if (!node.call) {
            if (!node.isWatching) {
                node.responsiveness.stopWatching();
                node.isConnected = false;
                return;
            }
            if (now_ < node.pauseEndsAt)
                return;
            beginCall(node);
        }
        auto& call = *node.call;
        call.isLost |= node.path == StorePath::Silent;
        const auto delay = node.path == StorePath::Slow ? slowAnswerTime : milliseconds(0);
        const bool hasChange = storeRevision_ > node.revision && now_ >= call.begunAt + answerTime;
        const bool isRefused = node.path == StorePath::Refusing && now_ >= call.begunAt + answerTime;
        if (isRefused || now_ >= call.failsAt) {
            failCall(node);
        } else if (!call.isLost && hasChange && call.answerAt > now_ + delay) {
            call.answerAt = now_ + delay;
        }
        if (node.call && !call.isLost && now_ >= call.answerAt + (hasChange ? milliseconds(0) : delay))
            answerCall(node, storeRevision_);
    }

    void answerCall(Node& node, uint64_t revision)
    {
        node.call.reset();
        node.responsiveness.handleAnswer(now_);
        node.nextCheck = now_;
        node.pauseEndsAt
            = revision > node.revision ? now_ + Steering::DisseminationTimes::changeBatchingInterval : now_;
        setRevision(node, revision);
    }

    void failCall(Node& node)
    {
        node.call.reset();
        node.isConnected = false;
        node.responsiveness.handleFailure(now_);
        const auto doublings = std::min<uint32_t>(node.responsiveness.consecutiveFailures(), 4);
        node.pauseEndsAt = now_ + std::min(longestBackoff, milliseconds(100) * (1 << (doublings - 1)));
    }

    void runChecks(Node& node)
    {
        if (now_ < node.nextCheck)
            return;
        node.nextCheck = now_ + Steering::DisseminationTimes::roleCheckInterval;
        const Steering::WatcherChoice choice({ .self = node.id, .failureDomain = node.domain });
        node.isWatching = choice.isWatcher(now_, node.peers, TimePoint {});
        const auto view = node.responsiveness.view(now_);
        const bool hasNewRevision = view == Steering::StoreView::Responding && node.revision != node.reportedRevision;
        const bool isUrgent = view != node.view || hasNewRevision;
        node.viewChanges += view != node.view ? 1 : 0;
        node.view = view;
        const bool isNearDue = isUrgent || now_ >= node.nextNearReport;
        const bool isFarDue = isUrgent || now_ >= node.nextFarReport;
        if (isNearDue)
            node.nextNearReport = now_ + Steering::DisseminationTimes::nearReportInterval;
        if (isFarDue)
            node.nextFarReport = now_ + 2 * Steering::DisseminationTimes::nearReportInterval;
        if (isNearDue || isFarDue)
            node.reportedRevision = node.revision;
        for (auto& peer : nodes_) {
            const bool isNear = peer.domain == node.domain;
            if (peer.id != node.id && (isNear ? isNearDue : isFarDue))
                deliverReport(node, peer);
        }
    }

    void deliverReport(const Node& from, Node& to)
    {
        if (random_.below(1000) < options_.lostReports)
            return;
        auto& peer = to.peers[from.id];
        peer.store = from.view;
        peer.position = { .revision = from.revision };
        peer.lastReportAt = now_;
        const bool isUrgent = from.domain == to.domain && to.view != Steering::StoreView::Responding;
        to.relay.handleReport(now_, from.id, { .revision = from.revision }, isUrgent, { .revision = to.revision });
        // The report wakes the packet thread.
        to.nextCheck = std::min(to.nextCheck, now_ + tick);
    }

    Node& find(Base::EntryVmId id) { return *std::ranges::find(nodes_, id, &Node::id); }

    void runRelay(Node& node)
    {
        if (node.fetchingFrom) {
            if (now_ < node.fetchEndsAt)
                return;
            const auto peer = *std::exchange(node.fetchingFrom, std::nullopt);
            if (silentRelays_.contains({ node.id.value, peer.value })) {
                node.relay.handleFailure(now_, peer);
            } else {
                node.relay.handleSuccess(peer);
                setRevision(node, find(peer).revision);
            }
        }
        const auto next = node.relay.next(now_, { .revision = node.revision });
        if (!next || next->dueAt > now_)
            return;
        ++node.fetches;
        node.fetchingFrom = next->peer;
        const bool isSilent = silentRelays_.contains({ node.id.value, next->peer.value });
        node.fetchEndsAt = now_ + (isSilent ? Steering::DisseminationTimes::relayStepTimeout : fetchTime);
    }

    Options options_;
    Base::Random random_;
    TimePoint now_ { milliseconds(60'000) };
    uint64_t storeRevision_ { 1 };
    std::vector<Node> nodes_;
    std::set<std::pair<uint64_t, uint64_t>> silentRelays_;
};
