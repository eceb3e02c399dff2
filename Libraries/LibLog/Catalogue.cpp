#include <LibLog/Catalogue.h>

namespace Log {

std::string catalogueTable(std::span<const Event> events)
{
    std::string table = "| Event | Name | Level | Meaning |\n| --- | --- | --- | --- |\n";
    for (const auto& event : events) {
        table.append("| EH").append(std::to_string(event.number));
        table.append(" | `").append(event.name);
        table.append("` | ").append(toString(event.level));
        table.append(" | ").append(event.meaning).append(" |\n");
    }
    return table;
}

}
