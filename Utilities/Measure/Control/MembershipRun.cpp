// Failure detection: detection time, false removals under message loss and pauses, and traffic in bytes.

#include "Control.h"
#include "Samples.h"
#include <ControlFakes/FakeFleet.h>
#include <LibControl/Events.h>
#include <array>
#include <map>
#include <numeric>
#include <set>
#include <string>

namespace Measure {

namespace {

    using Base::milliseconds;
    using Base::seconds;
    using Base::TimePoint;
    using ControlFakes::FakeFleet;

    /// A fleet size and the virtual time for which it runs.
    struct Size {
        std::size_t nodes { 0 };
        seconds duration;
    };

    constexpr std::array sizes { Size { 12, seconds(120) }, Size { 64, seconds(60) }, Size { 850, seconds(40) },
        Size { 3400, seconds(20) } };
    constexpr double messageLoss = 0.05;
    constexpr double bytesPerSecondBound = 25'000;
    /// Length of each pause. The removal of a paused node counts as false.
    constexpr milliseconds pauseLength { 2500 };

    /// One fleet with message loss, paused nodes and crashed nodes.
    class MembershipRun {
    public:
        MembershipRun(const Size& size, uint64_t seed)
            : size_(size)
            , fleet_({ .nodes = size.nodes, .domains = 4, .regions = 2, .seed = seed })
            , random_(Base::mix(seed, size.nodes))
        {
            fleet_.onEvent = [this](std::size_t node, const Control::LogEvent& event) { note(node, event); };
            fleet_.network.loss = messageLoss;
        }

        void run()
        {
            fleet_.startAll();
            fleet_.acceptChange();
            fleet_.run(seconds(6));
            fleet_.resetTraffic();
            isCounting_ = true;
            const auto end = fleet_.now() + size_.duration;
            for (int event = 0; fleet_.now() < end; ++event) {
                disturb(event);
                fleet_.run(seconds(2));
            }
            fleet_.run(seconds(12));
        }

        Samples& detection() { return detection_; }
        uint64_t falseRemovals() const { return falseRemovals_.size(); }
        FakeFleet& fleet() { return fleet_; }

    private:
        void disturb(int event)
        {
            const auto node = random_.below(fleet_.size());
            if (!fleet_.isRunning(node) || died_.contains(node))
                return;
            const bool mayDie = died_.size() * 8 < fleet_.size();
            if (event % 2 == 0 && mayDie) {
                died_[node] = fleet_.now();
                fleet_.kill(node);
            } else {
                fleet_.pause(node, pauseLength);
            }
        }

        void note(std::size_t observer, const Control::LogEvent& event)
        {
            if (!isCounting_ || event.number != static_cast<uint32_t>(Control::Event::MemberRemoved))
                return;
            constexpr std::string_view prefix = "member=";
            const auto endpoint
                = Base::capture([&] { return Base::Ipv4Endpoint::parse(event.fields.substr(prefix.size())); });
            const auto removed = fleet_.indexOf(Base::EntryVmId::fromEndpoint(*endpoint.value));
            const auto found = died_.find(removed);
            if (found == died_.end())
                falseRemovals_.insert(removed);
            else if (fleet_.domainOf(observer) == fleet_.domainOf(removed))
                detection_.add(Base::toSeconds(fleet_.now() - found->second));
        }

        Size size_;
        FakeFleet fleet_;
        Base::Random random_;
        bool isCounting_ { false };
        std::map<std::size_t, TimePoint> died_;
        std::set<std::size_t> falseRemovals_;
        Samples detection_;
    };

}

int runMembership(const Request& request, Report& report)
{
    report.note("5% of messages lost; every 4 s a node dies and another one is paused for 2.5 s");
    report.note(
        "detect: from death to removal, at each member of the failure domain; bytes sent and received together");
    uint64_t falseRemovals = 0;
    bool isWithinBounds = true;
    for (const auto& size : sizes) {
        MembershipRun run(size, request.seed);
        run.run();
        const auto suffix = "." + std::to_string(size.nodes);
        const auto means = run.fleet().meanTraffic();
        const auto mean = std::accumulate(means.begin(), means.end(), 0.0);
        report.figure("membership.detect_p50" + suffix, run.detection().quantile(0.5), "s");
        report.figure("membership.detect_p99" + suffix, run.detection().quantile(0.99), "s");
        report.figure("membership.false_removals" + suffix, static_cast<double>(run.falseRemovals()), "count");
        report.figure("membership.bytes_per_s" + suffix, mean, "B/s");
        report.figure(
            "membership.bytes_per_s_worst" + suffix, static_cast<double>(run.fleet().peakTraffic().total()), "B/s");
        // Naive baseline: every node pings every other once per second and gets a response, two messages each way.
        constexpr double pingBytes = 64;
        report.figure(
            "membership.bytes_per_s" + suffix + "_naive", 4 * pingBytes * static_cast<double>(size.nodes - 1), "B/s");
        falseRemovals += run.falseRemovals();
        isWithinBounds
            = isWithinBounds && static_cast<double>(run.fleet().peakTraffic().total()) <= bytesPerSecondBound;
        if (size.nodes == sizes.back().nodes) {
            report.figure("membership.detect_p99", run.detection().quantile(0.99), "s");
            report.figure("membership.bytes_per_s", mean, "B/s");
        }
    }
    report.figure("membership.false_removals", static_cast<double>(falseRemovals), "count");
    return isWithinBounds && falseRemovals == 0 ? 0 : 1;
}

}
