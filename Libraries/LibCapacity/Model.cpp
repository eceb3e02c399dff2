#include <LibCapacity/Model.h>

#include <array>

namespace Capacity {

static constexpr std::string_view slopesMeasurement = "measure slopes";

static constexpr std::array allRows {
    Row { "balancer", "flow records", "flows / nodes * slope.flow_bytes.500000", "B", "",
        "LibFlow FlowTable: compact open addressing at the owner", slopesMeasurement },
    Row { "balancer", "flow records while a failure domain is out",
        "flows / (nodes * (domains - 1) / domains) * slope.flow_bytes.500000", "B", "",
        "the same; owners are ranked among those that remain", slopesMeasurement },
    Row { "balancer", "configuration held", "slope.snapshot_memory.slope * backend_servers", "B", "",
        "immutable Snapshot, shared by all threads", slopesMeasurement },
    Row { "balancer", "routing tables", "slope.routing_memory.slope * backend_servers", "B", "",
        "LibFlow Routing: bucket tables, history, address index", slopesMeasurement },
    Row { "balancer", "members and dissemination state",
        "slope.control_memory.intercept + slope.control_memory.slope * nodes", "B", "", "LibControl MemberTable",
        slopesMeasurement },
    Row { "balancer", "control memory, two configurations at once",
        "2 * (slope.snapshot_memory.slope + slope.routing_memory.slope) * backend_servers + slope.control_memory.slope "
        "* nodes",
        "B", "256000000", "old and new version overlap during a change", slopesMeasurement },
    Row { "balancer", "membership and dissemination, mean", "slope.control_bytes.3400", "B/s", "25000",
        "probes of a few members each second; changes along a tree", slopesMeasurement },
    Row { "balancer", "all control, worst second", "config.bytes_per_s_worst.3400 + control_bytes.per_s_worst", "B/s",
        "25000", "byte budgets of ControlNode and FlowDecider", slopesMeasurement },
    Row { "balancer", "processor: membership and dissemination", "slope.control_processor.3400", "cores", "0.019",
        "constant work per member and second", slopesMeasurement },
    Row { "balancer", "processor: configuration changes",
        "changes_per_day / 86400 * (slope.change_apply.28000 + slope.reconfigure.28000) / 1000000", "cores", "0.019",
        "fold of one change, rebuild of what it touched", slopesMeasurement },
    Row { "balancer", "processor: periodic work of flow decisions", "100 * slope.routing_tick.28000 / 1000000", "cores",
        "0.019", "tick every 10 ms over what is owned or due", slopesMeasurement },
    Row { "balancer", "processor: changes among balancers",
        "2 * (failures_per_day + restarts_per_day) / 86400 * slope.peer_change.28000 / 1000000", "cores", "0.019",
        "ranks are kept for domains whose balancers stay", slopesMeasurement },
    Row { "balancer", "processor: control in total",
        "slope.control_processor.3400 + changes_per_day / 86400 * (slope.change_apply.28000 + slope.reconfigure.28000) "
        "/ 1000000 + 2 * (failures_per_day + restarts_per_day) / 86400 * slope.peer_change.28000 / 1000000 + 100 * "
        "slope.routing_tick.28000 / 1000000",
        "cores", "0.019", "sum of the four rows above", slopesMeasurement },
    Row { "balancer", "processor: opening of new flows", "new_flows / nodes * slope.flow_opening.50000 / 1000000000",
        "cores", "", "three decisions for each flow, admission included", slopesMeasurement },
    Row { "balancer", "packets decided by one core", "1000000000 / slope.packet_decision.50000", "1/s", "",
        "one decide thread", slopesMeasurement },
    Row { "watcher", "watches waiting at the store", "domains * watchers_per_domain", "calls", "2000",
        "leased slots in each failure domain, fenced by epoch", "measure store-calls" },
    Row { "watcher", "reads for changes, whole system",
        "domains * watchers_per_domain * (changes_per_day / 86400 + 1 / watch_timeout)", "1/s", "2000",
        "a watch returns for each change or after its timeout", "measure store-calls" },
    Row { "prober", "probes", "backend_servers * probers_per_server / nodes / probe_interval", "1/s", "",
        "owner and backup probe; results travel as changes", slopesMeasurement },
    Row { "operator endpoint", "configuration held", "slope.snapshot_memory.slope * backend_servers", "B", "",
        "LibConfiguration ChangeAcceptor folds the log", slopesMeasurement },
    Row { "operator endpoint", "processor: folding changes",
        "changes_per_day / 86400 * slope.change_apply.28000 / 1000000", "cores", "0.019",
        "the same fold as on balancers", slopesMeasurement },
    Row { "store", "snapshot", "slope.snapshot_encoded.slope * backend_servers", "B", "",
        "parts below the value limit of 1 MB", slopesMeasurement },
    Row { "store", "accepted changes, one day", "changes_per_day * slope.change_bytes.28000", "B", "",
        "one key for each change", slopesMeasurement },
    Row { "store", "writes of changes", "changes_per_day / 86400", "1/s", "300", "one create for each accepted change",
        "measure store-calls" },
    Row { "newcomer", "configuration at the control budget, uncompressed",
        "(slope.snapshot_encoded.slope * backend_servers) / newcomer_budget", "s", "",
        "parts from several peers, resumable", slopesMeasurement },
};

std::span<const Row> rows() { return allRows; }

/// Variables that do not depend on the size of the deployment: default values of settings.
static Variables settingsDefaultValues()
{
    return {
        { "watchers_per_domain", 2 },
        { "watch_timeout", 30 },
        { "probers_per_server", 2 },
        { "probe_interval", 0.5 },
        { "flow_control_budget", 4096 },
        { "newcomer_budget", 20'000 },
    };
}

Variables targetDeploymentSizes()
{
    auto sizes = settingsDefaultValues();
    sizes.insert({ { "nodes", 3400 }, { "domains", 4 }, { "regions", 2 }, { "backend_servers", 28'000 },
        { "addresses", 9200 }, { "flows", 120'000'000 }, { "new_flows", 210'000 }, { "changes_per_day", 5900 },
        { "failures_per_day", 120 }, { "restarts_per_day", 3100 } });
    return sizes;
}

Variables currentDeploymentSizes()
{
    auto sizes = settingsDefaultValues();
    sizes.insert({ { "nodes", 4 }, { "domains", 3 }, { "regions", 1 }, { "backend_servers", 18 }, { "addresses", 2 },
        { "flows", 1'200'000 }, { "new_flows", 16'000 }, { "changes_per_day", 100 }, { "failures_per_day", 1 },
        { "restarts_per_day", 4 } });
    return sizes;
}

}
