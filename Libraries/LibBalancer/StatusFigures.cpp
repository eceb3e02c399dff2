#include <LibBalancer/StatusFigures.h>

namespace Balancer {

namespace {

    template <typename Reason, std::size_t Count>
    void addCountsByReason(
        std::map<std::string, uint64_t>& figures, const std::string& prefix, const std::array<uint64_t, Count>& counts)
    {
        for (std::size_t index = 0; index < Count; ++index)
            figures[prefix + std::string(toString(static_cast<Reason>(index)))] = counts[index];
    }

}

std::string_view toText(Control::Evidence evidence)
{
    switch (evidence) {
    case Control::Evidence::None:
        return "none";
    case Control::Evidence::Store:
        return "store";
    case Control::Evidence::Peers:
        return "peers";
    case Control::Evidence::Unconfirmed:
        return "held";
    }
    return "none";
}

std::map<std::string, uint64_t> flowStatisticsByName(const Flow::FlowStatistics& statistics)
{
    std::map<std::string, uint64_t> figures { { "flows", statistics.flowsHeld },
        { "admitted", statistics.flowsAdmitted }, { "spilled", statistics.flowsSpilled },
        { "exceptions", statistics.exceptions }, { "unprotected_exceptions", statistics.unprotectedExceptions },
        { "queued", statistics.queueLength }, { "given_up", statistics.flowsGivenUp },
        { "half_open", statistics.halfOpen } };
    addCountsByReason<Flow::RefusalReason>(figures, "refused.", statistics.refusals);
    addCountsByReason<Flow::DropReason>(figures, "dropped.", statistics.drops);
    addCountsByReason<Flow::RetryReason>(figures, "retried.", statistics.retries);
    addCountsByReason<Flow::HandOverReason>(figures, "handed_over.", statistics.handOvers);
    return figures;
}

}
