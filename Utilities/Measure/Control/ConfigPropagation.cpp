// Time from acceptance of a change until it is in force, at several fleet sizes.

#include "Control.h"
#include "Samples.h"
#include <ControlFakes/FakeFleet.h>
#include <LibControl/ControlNode.h>
#include <array>
#include <map>
#include <string>

namespace Measure {

namespace {

    using Base::milliseconds;
    using Base::Revision;
    using Base::seconds;
    using Base::TimePoint;
    using ControlFakes::FakeFleet;

    constexpr std::array<std::size_t, 4> fleetSizes { 4, 64, 850, 3400 };
    constexpr std::array<const char*, Control::messageKindCount> kindNames { "membership", "dissemination",
        "anti_entropy", "catch_up", "acknowledgement", "flow_control" };
    constexpr double inForceBoundSeconds = 9;
    constexpr double bytesPerSecondBound = 25'000;
    constexpr double storeReadsPerSecond = 2000;
    constexpr int singleChanges = 8;
    constexpr int burstChanges = 20;
    constexpr double messageLoss = 0.01;

    /// One fleet, its changes and its failures.
    class PropagationRun {
    public:
        PropagationRun(std::size_t nodes, uint64_t seed)
            : fleet_({ .nodes = nodes, .domains = 4, .regions = 2, .seed = seed })
            , random_(Base::mix(seed, nodes))
        {
            fleet_.onEnforced = [this](std::size_t node, Revision revision) { recordEnforced(node, revision); };
            fleet_.network.loss = messageLoss;
        }

        void run()
        {
            fleet_.startAll();
            fleet_.acceptChange();
            fleet_.run(seconds(8));
            isCounting_ = true;
            fleet_.resetTraffic();
            startedAt_ = fleet_.now();
            for (int change = 0; change < singleChanges; ++change) {
                accept();
                killRandomNode();
                fleet_.run(milliseconds(500 + random_.below(2000)));
            }
            for (int change = 0; change < burstChanges; ++change) {
                accept();
                fleet_.run(milliseconds(50));
            }
            fleet_.run(seconds(9));
            recordMissing();
        }

        FakeFleet& fleet() { return fleet_; }
        Samples& times() { return times_; }

    private:
        void accept()
        {
            const auto revision = fleet_.acceptChange();
            acceptedAt_[revision] = fleet_.now();
            upSince_.resize(fleet_.size(), startedAt_);
        }

        /// Kills a random node; with a probability of 70% it is restarted immediately, without state. Fleets of fewer
        /// than eight nodes are left alone, so that enough nodes remain.
        void killRandomNode()
        {
            if (fleet_.size() < 8)
                return;
            const auto node = random_.below(fleet_.size());
            if (!fleet_.isRunning(node))
                return;
            fleet_.kill(node);
            if (random_.chance(0.7))
                fleet_.start(node);
            upSince_[node] = fleet_.now() + seconds(9);
        }

        void recordEnforced(std::size_t node, Revision revision)
        {
            auto& reached = reached_[node];
            for (auto next = std::max<uint64_t>(reached.value + 1, 1); next <= revision.value; ++next) {
                const auto found = acceptedAt_.find({ next });
                if (isCounting_ && found != acceptedAt_.end() && upSince_[node] <= found->second)
                    times_.add(Base::toSeconds(fleet_.now() - found->second));
            }
            reached = std::max(reached, revision);
        }

        void recordMissing()
        {
            for (std::size_t node = 0; node < fleet_.size(); ++node) {
                if (fleet_.isRunning(node) && reached_[node] < fleet_.accepted())
                    times_.add(1e9);
            }
        }

        FakeFleet fleet_;
        Base::Random random_;
        bool isCounting_ { false };
        TimePoint startedAt_ {};
        std::map<Revision, TimePoint> acceptedAt_;
        std::map<std::size_t, Revision> reached_;
        std::vector<TimePoint> upSince_;
        Samples times_;
    };

    /// Naive baseline: every node reads from the store, which serves a fixed rate in the order of arrival.
    void reportNaive(Report& report, const std::string& suffix, std::size_t nodes)
    {
        Samples times;
        for (std::size_t node = 0; node < nodes; ++node)
            times.add(static_cast<double>(node + 1) / storeReadsPerSecond);
        report.figure("config.in_force_p50" + suffix + "_naive", times.quantile(0.5), "s");
        report.figure("config.in_force_p99" + suffix + "_naive", times.quantile(0.99), "s");
        report.figure("config.in_force_worst" + suffix + "_naive", times.worst(), "s");
    }

    double reportSize(Report& report, const std::string& suffix, PropagationRun& run)
    {
        report.figure("config.in_force_p50" + suffix, run.times().quantile(0.5), "s");
        report.figure("config.in_force_p99" + suffix, run.times().quantile(0.99), "s");
        report.figure("config.in_force_worst" + suffix, run.times().worst(), "s");
        const auto means = run.fleet().meanTraffic();
        const auto worst = run.fleet().peakTraffic();
        for (std::size_t kind = 0; kind < kindNames.size(); ++kind) {
            const auto name = std::string(".") + kindNames[kind] + suffix;
            report.figure("config.bytes_per_s_mean" + name, means[kind], "B/s");
            report.figure(
                "config.bytes_per_s_worst" + name, static_cast<double>(worst.sent[kind] + worst.received[kind]), "B/s");
        }
        report.figure("config.bytes_per_s_worst" + suffix, static_cast<double>(worst.total()), "B/s");
        return static_cast<double>(worst.total());
    }

}

int runConfigPropagation(const Request& request, Report& report)
{
    report.note("in force: from acceptance in the store to EnforceConfiguration; sent and received bytes together");
    report.note("1% of messages lost, one node restarted or killed with each change, then 20 changes in a second");
    uint64_t reverts = 0;
    bool isWithinBounds = true;
    for (const auto nodes : fleetSizes) {
        PropagationRun run(nodes, request.seed);
        run.run();
        const auto suffix = "." + std::to_string(nodes);
        const auto worstBytes = reportSize(report, suffix, run);
        reportNaive(report, suffix, nodes);
        reverts += run.fleet().reverts();
        isWithinBounds
            = isWithinBounds && run.times().worst() <= inForceBoundSeconds && worstBytes <= bytesPerSecondBound;
        if (nodes == fleetSizes.back()) {
            report.figure("config.in_force_p50", run.times().quantile(0.5), "s");
            report.figure("config.in_force_p99", run.times().quantile(0.99), "s");
            report.figure("config.in_force_worst", run.times().worst(), "s");
            report.figure("config.bytes_per_s_worst", worstBytes, "B/s");
        }
    }
    report.figure("config.reverts", static_cast<double>(reverts), "count");
    return isWithinBounds && reverts == 0 ? 0 : 1;
}

}
