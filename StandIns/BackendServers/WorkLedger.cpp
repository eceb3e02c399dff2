#include "WorkLedger.h"

namespace StandIn {

void WorkLedger::recordStart(const WorkRequest& request, const std::string& service)
{
    const auto times = ++starts_[request.id];
    if (times > 1 && !request.idempotent)
        duplicateExecutions_++;
    if (request.service != service)
        misroutedCount_++;
}

nlohmann::json WorkLedger::startedIdentifiers() const
{
    auto identifiers = nlohmann::json::array();
    for (const auto& [id, times] : starts_)
        identifiers.push_back(id);
    return identifiers;
}

}
