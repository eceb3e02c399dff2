// entryd: the only daemon of an entry VM. Receives packets from the fabric and forwards them to backend servers by flow
// token.

#include <LibEntry/EntryDaemon.h>
#include <LibEntry/Events.h>
#include <LibProgram/Program.h>
#include <platform/Names.h>

int main(int argc, char** argv)
{
    Entry::EntrySettings settings;
    std::unique_ptr<Entry::EntryDaemon> daemon;
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
            .reload = [&](const std::string& file) { return daemon->reload(file); },
            .run = [&](Program::Signals& signals) -> Base::ErrorOr<int> {
                TRY_ASSIGN(created, Entry::EntryDaemon::create(settings));
                daemon = std::move(created);
                return daemon->run(signals);
            } });
}
