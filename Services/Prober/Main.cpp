// proberd: probes health and load of the backend servers that its balancer lists, and reports the results to it.

#include <LibProber/Events.h>
#include <LibProber/Prober.h>
#include <LibProgram/Program.h>
#include <curl/curl.h>
#include <random>

int main(int argc, char** argv)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    Prober::ProberSettings settings;
    return Program::runMain(argc, argv,
        { .name = "proberd",
            .version = EELGRASSHATCH_VERSION,
            .summary = "Probes backend servers for the balancer of this entry VM.",
            .events = { Prober::Events::all.begin(), Prober::Events::all.end() },
            .declareSettings = [&](Settings::Schema& schema) { Prober::declareSettings(schema, settings); },
            .checkSettings = {},
            .run = [&](Program::Signals& signals) -> Base::ErrorOr<int> {
                TRY_ASSIGN(prober, Prober::Prober::create(settings, std::random_device()()));
                return prober->run(signals);
            } });
}
