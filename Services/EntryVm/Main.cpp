// entryd: the one daemon of an entry VM on the users' platform. Takes packets from the fabric and steers them by token.

#include <LibEntry/EntryDaemon.h>
#include <LibEntry/Events.h>
#include <LibProgram/Program.h>
#include <platform/Names.h>

int main(int argc, char** argv)
{
    Entry::EntrySettings settings;
    return Program::runMain(argc, argv,
        { .name = "entryd",
            .version = EELGRASSHATCH_VERSION,
            .summary = "Steers the packets of the platform's fabric to backend servers.",
            .settingsVariable = Platform::Names::settingsVariable,
            .events = { Entry::Events::all.begin(), Entry::Events::all.end() },
            .declareSettings = [&](Settings::Schema& schema) { Entry::declareSettings(schema, settings); },
            .checkSettings = [&]() -> Base::ErrorOr<void> {
                TRY(Entry::regionsOf(settings));
                return {};
            },
            .run = [&](Program::Signals& signals) -> Base::ErrorOr<int> {
                TRY_ASSIGN(daemon, Entry::EntryDaemon::create(settings));
                return daemon->run(signals);
            } });
}
