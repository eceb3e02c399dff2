#pragma once

#include <LibSteering/Connection/FlowTable.h>
#include <LibSteering/Events.h>
#include <LibSteering/Process/ServerTable.h>

namespace Steering {

/// Determines from the token of a flow's later packet which backend server the caller has chosen. Never guesses: where
/// another server's handshake response may have brought the token, the packet is refused.
class TokenResolver {
public:
    struct Resolution {
        /// Empty if the packet is refused.
        std::optional<ServerIndex> server;
        Refusal refusal { Refusal::None };
    };

    explicit TokenResolver(const ServerTable& servers)
        : servers_(servers)
    {
    }

    /// services: those of the packet's route. opening: the record of the flow if its handshake is awaited here, else
    /// nullptr.
    Resolution resolve(Base::TimePoint now, const PacketView&, const std::vector<ServiceIndex>& services,
        const FlowRecord* opening) const;

private:
    /// Whether a tentative token in the packet tells the caller's choice.
    static bool showsChoice(Base::TimePoint now, const PacketView&, const FlowRecord& opening);
    /// The server of an attempt made here whose token the packet carries.
    Resolution resolveTentative(const PacketView&, const FlowRecord& opening) const;

    const ServerTable& servers_;
};

}
