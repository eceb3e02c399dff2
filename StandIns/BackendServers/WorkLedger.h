#pragma once

#include <Common/Work.h>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>

namespace StandIn {

/// Records the requests executed by all backend servers of the process, for the final report.
class WorkLedger {
public:
    /// Records that a backend server of the service started executing a request.
    void recordStart(const WorkRequest&, const std::string& service);

    /// Number of repeated executions of non-idempotent requests.
    uint64_t duplicateExecutionCount() const { return duplicateExecutions_; }
    /// Number of requests that reached a backend server of a different service.
    uint64_t misroutedCount() const { return misroutedCount_; }
    /// IDs of all requests whose execution started.
    nlohmann::json startedIdentifiers() const;

private:
    std::unordered_map<uint64_t, uint32_t> starts_;
    uint64_t duplicateExecutions_ { 0 };
    uint64_t misroutedCount_ { 0 };
};

}
