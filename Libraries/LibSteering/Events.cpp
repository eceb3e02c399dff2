#include <LibSteering/Events.h>

namespace Steering {

std::string_view toString(Refusal refusal)
{
    switch (refusal) {
    case Refusal::None:
        return "none";
    case Refusal::NotSynchronized:
        return "not_synchronized";
    case Refusal::NoRoute:
        return "no_route";
    case Refusal::NoServer:
        return "no_server";
    case Refusal::NoToken:
        return "no_token";
    case Refusal::UnknownToken:
        return "unknown_token";
    case Refusal::UnconfirmedToken:
        return "unconfirmed_token";
    case Refusal::FlowTableFull:
        return "flow_table_full";
    case Refusal::ServerGone:
        return "server_gone";
    case Refusal::NoRoom:
        return "no_room";
    }
    return "unknown";
}

}
