// balancerd: receives packets from the fabric, assigns each flow to a backend server, and maintains membership and
// configuration together with its peers.

#include <LibBalancer/Balancer.h>
#include <LibBalancer/ControlEvents.h>
#include <LibBalancer/Events.h>
#include <LibProgram/Program.h>

namespace {

std::vector<Log::Event> allEvents()
{
    std::vector<Log::Event> events(Balancer::Events::all.begin(), Balancer::Events::all.end());
    const auto& control = Balancer::controlEvents();
    events.insert(events.end(), control.begin(), control.end());
    return events;
}

}

int main(int argc, char** argv)
{
    Balancer::BalancerSettings settings;
    return Program::runMain(argc, argv,
        { .name = "balancerd",
            .version = EELGRASSHATCH_VERSION,
            .summary = "Balances the packets of services over their backend servers.",
            .events = allEvents(),
            .declareSettings = [&](Settings::Schema& schema) { Balancer::declareSettings(schema, settings); },
            .checkSettings = [&] { return Balancer::checkSettings(settings); },
            .run = [&](Program::Signals& signals) -> Base::ErrorOr<int> {
                TRY_ASSIGN(balancer, Balancer::Balancer::create(settings));
                return balancer->run(signals);
            } });
}
