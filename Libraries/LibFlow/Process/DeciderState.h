#pragma once

#include <LibBase/Random.h>
#include <LibFlow/Connection/FlowRegistry.h>
#include <LibFlow/FlowDecider.h>
#include <LibFlow/Process/FlowStatistics.h>
#include <LibFlow/Process/OwnerRanking.h>
#include <LibFlow/Version/Routing.h>

namespace Flow {

/// State shared by the components of one decider. Members are declared in the order of their dependencies.
struct DeciderState {
    explicit DeciderState(const FlowDecider::Options& initialOptions)
        : options(initialOptions)
        , ranking(initialOptions.self, initialOptions.failureDomain)
        , flows(initialOptions.maximumFlows, Base::mix(initialOptions.seed, initialOptions.self.value), runtimes,
              statistics)
        , random(Base::mix(Base::mix(initialOptions.seed, initialOptions.self.value), initialOptions.incarnation))
    {
    }

    FlowDecider::Options options;
    FlowStatistics statistics;
    BackendServerRuntimes runtimes;
    Routing routing;
    OwnerRanking ranking;
    FlowRegistry flows;
    Base::Random random;
    /// Whether a membership view has been received; without one, owners are unknown.
    bool hasPeerView { false };
    bool isLeaving { false };
    /// When the peer view last changed: since then, duplicates of packets may have been handled by other owners.
    TimePoint peersChangedAt { TimePoint::min() };

    bool isReady() const { return hasPeerView && routing.isReady(); }
};

}
