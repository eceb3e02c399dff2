#include "Platform.h"

#include <nlohmann/json.hpp>

namespace Review {

namespace {

    constexpr unsigned entryVmSubnet = 20;
    constexpr std::size_t maximumCallers = 8;
    constexpr unsigned callerSubnet = 40;
    constexpr uint16_t firstInternalPort = 7720;
    constexpr Base::milliseconds watchInterval { 20 };
    constexpr Base::milliseconds processCheckInterval { 50 };
    constexpr Base::milliseconds restartDelay { 300 };

}

Platform::Platform(Options options)
    : options_(std::move(options))
    , record_(options_.record)
    , store_(loop_, records_, loopback(50, 0))
{
    std::vector<Base::Ipv4Address> addresses;
    for (std::size_t index = 0; index < options_.entryVmZones.size(); ++index)
        addresses.push_back(loopback(entryVmSubnet, index));
    for (std::size_t index = 0; index < maximumCallers; ++index)
        addresses.push_back(loopback(callerSubnet, index));
    dataPort_ = findFreePort(addresses);
    records_.setOnChange([this] { store_.completeWatches(); });
    loop_.every(watchInterval, [this] {
        records_.expireLeases(loop_.now());
        store_.completeWatches();
    });
    loop_.every(processCheckInterval, [this] { watchProcesses(); });
    for (std::size_t index = 0; index < options_.entryVmZones.size(); ++index) {
        entryVms_.push_back(std::make_unique<EntryVm>(EntryVm::Options { .name = "front-" + std::to_string(index + 1),
            .zone = options_.entryVmZones[index],
            .program = options_.program,
            .folder = options_.folder,
            .zones = options_.zones,
            .address = addresses[index],
            .dataPort = dataPort_,
            .firstInternalPort = firstInternalPort,
            .store = store_.endpoint() }));
    }
}

void Platform::writeConfiguration(const std::vector<Service>& services)
{
    auto routes = nlohmann::json::array();
    auto profiles = nlohmann::json::array();
    for (const auto& service : services) {
        routes.push_back({ { "name", "r-" + service.name }, { "host", service.route.address.toString() },
            { "prefix", "/" + std::to_string(service.route.port) + "/" }, { "route_type", service.routeType },
            { "timeout_ms", service.timeoutMs }, { "aim_ms", service.latencyObjectiveMs }, { "priority", 1 },
            { "service", service.name }, { "max_attempts", 2 } });
        profiles.push_back(
            { { "name", service.name }, { "health_path", "/health" }, { "max_conns", 2000 }, { "protocol", "h1" },
                { "tls", false }, { "warmup_s", service.warmUpSeconds }, { "warmup_per_s", service.warmUpPerSecond } });
    }
    const nlohmann::json configuration { { "version", ++version_ }, { "routes", routes }, { "services", profiles },
        { "limits", { { "idle_timeout_ms", 15'000 } } } };
    records_.put("op/config", configuration.dump());
}

void Platform::addServer(Server::Options options)
{
    options.callerPort = dataPort_;
    servers_.push_back(std::make_unique<Server>(loop_, records_, record_, std::move(options)));
}

void Platform::addCaller(Caller::Options options)
{
    options.address = loopback(callerSubnet, callers_.size());
    options.port = dataPort_;
    options.seed = callers_.size() + 1;
    callers_.push_back(std::make_unique<Caller>(loop_, record_, entryVms_, servers_, std::move(options)));
}

void Platform::watchProcesses()
{
    for (std::size_t index = 0; index < entryVms_.size(); ++index) {
        int code = 0;
        if (!entryVms_[index]->reapIfExited(code))
            continue;
        record_.write(entryVms_[index]->options().name + " ends with " + std::to_string(code));
        if (expectedExits_.erase(index) == 0)
            ++unexpectedExits_;
        loop_.after(restartDelay, [this, index] {
            record_.write(entryVms_[index]->options().name + " is started");
            entryVms_[index]->start();
        });
    }
}

void Platform::runFor(Base::milliseconds time)
{
    loop_.after(time, [this] { loop_.stop(); });
    loop_.run();
}

bool Platform::areAllReady() const
{
    return std::ranges::all_of(entryVms_, [](const auto& vm) { return vm->isInRotation(); });
}

unsigned Platform::repeatedRuns() const
{
    std::map<std::string, int> runs;
    for (const auto& server : servers_) {
        for (const auto& [request, count] : server->runs())
            runs[request] += count;
    }
    unsigned repeated = 0;
    for (const auto& [request, count] : runs)
        repeated += count > 1 ? 1 : 0;
    return repeated;
}

}
