#pragma once

#include <LibLog/Event.h>
#include <span>
#include <string>

namespace Log {

/// A Markdown table of events: number, name, level, meaning.
std::string catalogueTable(std::span<const Event>);

}
