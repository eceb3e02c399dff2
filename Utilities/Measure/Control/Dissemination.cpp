// Compares algorithms that disseminate one change among the members of one failure domain under message loss.

#include "Control.h"
#include "Samples.h"
#include <LibBase/Random.h>
#include <LibControl/Version/PushTree.h>
#include <array>
#include <bit>
#include <deque>
#include <string>
#include <vector>

namespace Measure {

namespace {

    using Base::EntryVmId;

    constexpr std::array<std::size_t, 4> sizes { 4, 64, 850, 3400 };
    constexpr double messageLoss = 0.01;
    constexpr double hopLatencySeconds = 0.0005;
    constexpr double gossipIntervalSeconds = 0.2;
    constexpr std::size_t gossipTargets = 3;
    constexpr double heartbeatIntervalSeconds = 2;
    constexpr double minimumPullDelaySeconds = 0.25;
    constexpr double pullJitterSeconds = 0.5;
    constexpr int rounds = 20;

    /// Cost and coverage of one algorithm over all rounds.
    struct Outcome {
        Samples times;
        double messages { 0 };
        double missed { 0 };
    };

    /// Disseminates one change from the first member; the arrival time is `never` for members it does not reach.
    class Spreading {
    public:
        Spreading(std::size_t members, uint64_t seed)
            : random_(seed)
            , arrived_(members, never)
        {
            for (std::size_t index = 0; index < members; ++index)
                ids_.push_back({ (index + 1) << 16 });
        }

        /// Each member that has the change sends it to random members, for a number of rounds that grows with the
        /// logarithm of the member count.
        void gossip()
        {
            arrived_[0] = 0;
            const auto gossipDuration = static_cast<double>(4 + std::bit_width(ids_.size())) * gossipIntervalSeconds;
            for (double now = 0; now < 3 * gossipDuration; now += gossipIntervalSeconds) {
                for (std::size_t from = 0; from < ids_.size(); ++from) {
                    for (std::size_t count = 0; count < gossipTargets; ++count) {
                        if (arrived_[from] <= now && now < arrived_[from] + gossipDuration)
                            send(random_.below(ids_.size()), now + hopLatencySeconds);
                    }
                }
            }
        }

        /// Sends the change along a tree of the given fan-out.
        void tree(uint32_t fanOut, uint64_t ringSeed, double startedAt, std::vector<double>& arrived)
        {
            struct Step {
                Control::PushDelegate delegate;
                double at { 0 };
            };
            arrived[0] = startedAt;
            std::deque<Step> steps { { .delegate = { .to = ids_[0], .range = Control::wholeRing(ringSeed, ids_[0]) },
                .at = startedAt } };
            while (!steps.empty()) {
                const auto step = steps.front();
                steps.pop_front();
                const auto children = Control::chooseDelegates(
                    step.delegate.to, ids_, step.delegate.range, fanOut, [](EntryVmId) { return true; });
                for (const auto& child : children) {
                    ++messages_;
                    if (random_.chance(messageLoss))
                        continue;
                    const auto index = (child.to.value >> 16) - 1;
                    arrived[index] = std::min(arrived[index], step.at + hopLatencySeconds);
                    steps.push_back({ .delegate = child, .at = step.at + hopLatencySeconds });
                }
            }
        }

        /// Members that the push missed detect this from the next heartbeat that reaches them, and pull the change.
        void repair(uint32_t fanOut)
        {
            for (int beat = 1; beat <= 3; ++beat) {
                std::vector<double> heartbeatArrived(ids_.size(), never);
                const auto messages = messages_;
                tree(fanOut, random_.next(), heartbeatIntervalSeconds * beat * random_.unit(), heartbeatArrived);
                messages_ = messages;
                for (std::size_t index = 0; index < ids_.size(); ++index) {
                    if (arrived_[index] < never || heartbeatArrived[index] >= never)
                        continue;
                    messages_ += 2;
                    arrived_[index] = heartbeatArrived[index] + minimumPullDelaySeconds
                        + pullJitterSeconds * random_.unit() + 2 * hopLatencySeconds;
                }
            }
        }

        std::vector<double>& arrived() { return arrived_; }

        void addTo(Outcome& outcome)
        {
            for (const auto time : arrived_) {
                if (time < never)
                    outcome.times.add(time);
                else
                    outcome.missed += 1;
            }
            outcome.messages += static_cast<double>(messages_);
        }

        static constexpr double never = 1e9;

    private:
        void send(std::size_t to, double at)
        {
            ++messages_;
            if (!random_.chance(messageLoss))
                arrived_[to] = std::min(arrived_[to], at);
        }

        Base::Random random_;
        std::vector<EntryVmId> ids_;
        std::vector<double> arrived_;
        uint64_t messages_ { 0 };
    };

    void print(Report& report, const std::string& way, std::size_t members, Outcome& outcome)
    {
        const auto suffix = "." + way + "." + std::to_string(members);
        const auto total = static_cast<double>(members) * rounds;
        report.figure("dissemination.time_p50" + suffix, outcome.times.quantile(0.5), "s");
        report.figure("dissemination.time_worst" + suffix, outcome.times.worst(), "s");
        report.figure("dissemination.messages_per_member" + suffix, outcome.messages / total, "count");
        report.figure("dissemination.missed" + suffix, outcome.missed / total, "ratio");
    }

}

int runDissemination(const Request& request, Report& report)
{
    report.note("one change among the members of one failure domain, 1% of messages lost, 20 rounds");
    for (const auto members : sizes) {
        Outcome gossip;
        Outcome tree;
        Outcome wideTree;
        Outcome repaired;
        for (int round = 0; round < rounds; ++round) {
            const auto seed = Base::mix(request.seed, static_cast<uint64_t>(round));
            Spreading flat(members, seed);
            flat.gossip();
            flat.addTo(gossip);
            Spreading binary(members, seed);
            binary.tree(2, seed, 0, binary.arrived());
            binary.addTo(tree);
            Spreading wide(members, seed);
            wide.tree(4, seed, 0, wide.arrived());
            wide.addTo(wideTree);
            Spreading repairedTree(members, seed);
            repairedTree.tree(2, seed, 0, repairedTree.arrived());
            repairedTree.repair(2);
            repairedTree.addTo(repaired);
        }
        print(report, "gossip", members, gossip);
        print(report, "tree2", members, tree);
        print(report, "tree4", members, wideTree);
        print(report, "repaired_tree2", members, repaired);
    }
    return 0;
}

}
