#pragma once

#include <LibLog/Event.h>
#include <vector>

namespace Balancer {

/// LibControl's events (3000 to 3999) as log events, ordered by number.
const std::vector<Log::Event>& controlEvents();

/// Returns the log event of a LibControl event number, or a generic one if the number is unknown.
Log::Event findControlEvent(uint32_t number);

}
