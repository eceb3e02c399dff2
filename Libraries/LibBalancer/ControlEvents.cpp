#include <LibBalancer/ControlEvents.h>

#include <LibControl/Events.h>
#include <algorithm>
#include <array>
#include <string>

namespace Balancer {

namespace {

    using Control::Event;

    constexpr std::array warnings { Event::ConfigurationGap, Event::ChangeRefused, Event::StoreBehind,
        Event::StoreHistoryDiffers, Event::StoreUnreachable, Event::StoreSlow, Event::LeaseLost, Event::MemberSuspected,
        Event::MemberRemoved, Event::DomainUnreachable, Event::ProcessPaused, Event::SnapshotPartRefused };

    Log::Level levelOf(Event event)
    {
        const bool isWarning = std::find(warnings.begin(), warnings.end(), event) != warnings.end();
        return isWarning ? Log::Level::Warning : Log::Level::Info;
    }

    /// Event names in snake_case, as used in logs.
    std::vector<std::string> makeNames()
    {
        std::vector<std::string> names;
        for (const auto& description : Control::eventDescriptions) {
            names.emplace_back(description.name);
            std::replace(names.back().begin(), names.back().end(), '-', '_');
        }
        return names;
    }

    std::vector<Log::Event> makeEvents()
    {
        static const std::vector<std::string> names = makeNames();
        std::vector<Log::Event> events;
        events.reserve(names.size());
        for (const auto& description : Control::eventDescriptions) {
            events.push_back({ .number = static_cast<uint32_t>(description.number),
                .name = names[events.size()],
                .level = levelOf(description.number),
                .meaning = description.meaning });
        }
        return events;
    }

}

const std::vector<Log::Event>& controlEvents()
{
    static const std::vector<Log::Event> events = makeEvents();
    return events;
}

Log::Event findControlEvent(uint32_t number)
{
    const auto& events = controlEvents();
    const auto found = std::find_if(
        events.begin(), events.end(), [number](const Log::Event& event) { return event.number == number; });
    return found == events.end() ? Log::Event { .number = number, .name = "control_event" } : *found;
}

}
