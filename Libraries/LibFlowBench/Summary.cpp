#include <LibFlowBench/Summary.h>
#include <array>
#include <sstream>
#include <utility>

namespace FlowBench {

std::string summarize(const Counts& counts)
{
    std::ostringstream text;
    text << "flows " << counts.flows << " established " << counts.established << " not-established "
         << counts.notEstablished << " broken planned/loss/partition/out/death";
    for (const auto broken : counts.broken)
        text << " " << broken;
    text << " wrong-service " << counts.wrongService << " doubled " << counts.doubled << " false-refusals "
         << counts.falseRefusals << " limit " << counts.limitExceeded << " leaving " << counts.newWorkToLeaving
         << " after-out " << counts.packetsAfterOut << " ramp " << counts.overRamp << " refused " << counts.refused
         << " with-room " << counts.refusedWithRoom << " late " << counts.lateResponses << " foreign "
         << counts.misdeliveredResponses << " tokens " << counts.tokenFaults << " resets "
         << counts.resetsByBackendServer;
    for (const auto& [reason, count] : counts.refusalsByReason)
        text << " refused:" << reason << " " << count;
    for (const auto& [reason, count] : counts.dropsByReason)
        text << " dropped:" << reason << " " << count;
    return text.str();
}

std::string brokenInvariants(const Counts& counts, bool mayOverRamp)
{
    const std::array<std::pair<const char*, uint64_t>, 9> bounds { {
        { "broken-by-plan", counts.broken[static_cast<std::size_t>(BreakCause::Planned)] },
        { "wrong-service", counts.wrongService },
        { "doubled", counts.doubled },
        { "false-refusal", counts.falseRefusals },
        { "limit-exceeded", counts.limitExceeded },
        { "new-work-to-leaving", counts.newWorkToLeaving },
        { "packets-after-out", counts.packetsAfterOut },
        { "over-ramp", mayOverRamp ? 0 : counts.overRamp },
        { "token-fault", counts.tokenFaults },
    } };
    std::string broken;
    for (const auto& [name, count] : bounds) {
        if (count > 0)
            broken.append(broken.empty() ? "" : " ").append(name);
    }
    return broken;
}

}
