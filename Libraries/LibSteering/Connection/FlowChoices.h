#pragma once

#include <LibSteering/Connection/FlowTable.h>
#include <LibSteering/Process/LoadReport.h>
#include <boost/unordered/unordered_flat_map.hpp>
#include <optional>
#include <span>
#include <vector>

namespace Steering {

/// The choices of callers between several servers that were offered one flow, as told by other entry VMs.
///
/// A caller may write the tentative token of another server's late handshake response into its packets. Only the node
/// that saw the handshake knows what it chose. Before flows move as planned, when a node leaves or a new one has been
/// listed, nodes therefore tell their peers, for each such token, which server the flow is open at.
class FlowChoices {
public:
    struct Options {
        /// How long a choice is kept: the maximum lifetime of a flow.
        Base::milliseconds retention { 60'000 };
    };

    explicit FlowChoices(Options options)
        : options_(options)
    {
    }

    void accept(Base::TimePoint now, std::span<const FlowChoice>);
    /// The server of a flow whose packet carries the tentative token.
    std::optional<BackendServerNumber> find(Base::TimePoint now, const Packet::FlowKey&, FlowToken) const;
    /// The choices to tell: of flows that were offered to several servers here, and those that other nodes have told.
    std::vector<FlowChoice> known(Base::TimePoint now, const FlowTable&) const;
    /// Erases choices whose retention is over. Called every 250 ms.
    void expire(Base::TimePoint now);

private:
    struct Choice {
        BackendServerNumber server;
        Base::TimePoint endsAt {};
    };

    Options options_;
    boost::unordered_flat_map<uint64_t, Choice> choices_;
    Base::TimePoint nextExpiry_ {};
};

}
