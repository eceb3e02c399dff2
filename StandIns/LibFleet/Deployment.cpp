#include <LibFleet/Deployment.h>

#include <LibFleet/PortReservation.h>
#include <LibPeer/Sockets.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace StandIn {

namespace {

    constexpr uint16_t idempotentRoutePort = 443;
    constexpr uint16_t nonIdempotentRoutePort = 80;
    constexpr uint16_t sheetsRoutePort = 8443;
    constexpr Base::milliseconds exitCheckInterval { 20 };
    constexpr Base::milliseconds restartDelay { 300 };
    constexpr Base::milliseconds storeTickInterval { 20 };
    constexpr unsigned entryVmSubnet = 10;
    constexpr unsigned callerSubnet = 20;
    constexpr unsigned serverSubnet = 30;

    void closeAll(const std::vector<int>& sockets)
    {
        for (const int socket : sockets)
            ::close(socket);
    }

    Base::Ipv4Endpoint routeEndpoint(uint16_t port) { return { .address = { 0xC6120001 }, .port = port }; }

}

Deployment::Deployment(EventLoop& loop, Options options)
    : loop_(loop)
    , options_(std::move(options))
    , random_(options_.seed)
{
    records_.setOnChange([this] {
        for (auto& entryVm : entryVms_)
            entryVm.store->completeWatches();
    });
    writeConfiguration();
    for (const auto& zone : zones_) {
        for (std::size_t index = 0; index < options_.serversPerZone; ++index)
            addServer(index == 0 ? "sheets" : "rota", zone);
    }
    createEntryVms();
    createCallers();
    loop_.every(storeTickInterval, [this] {
        records_.expireLeases(loop_.now());
        for (auto& entryVm : entryVms_)
            entryVm.store->completeWatches();
    });
    watchProcesses();
}

Base::Ipv4Address Deployment::address(unsigned subnet, std::size_t index) const
{
    // The second octet depends on the process ID, so that concurrent soak runs use different networks.
    const auto secondOctet = static_cast<uint32_t>(1 + ::getpid() % 250);
    return { (127U << 24) | (secondOctet << 16) | (subnet << 8) | static_cast<uint32_t>(index + 1) };
}

std::vector<int> Deployment::reserveDataPort()
{
    // Entry VMs and callers use the same port, so it must be free on each of their addresses.
    for (;;) {
        std::vector<int> sockets { Peer::bindUdp({ .address = address(entryVmSubnet, 0), .port = 0 }, false).value() };
        network_.dataPort = Peer::localEndpoint(sockets.front()).port;
        bool isFree = true;
        for (const unsigned subnet : { entryVmSubnet, callerSubnet }) {
            for (std::size_t index = 0; index < zones_.size() * options_.entryVmsPerZone && isFree; ++index) {
                if (subnet == entryVmSubnet && index == 0)
                    continue;
                const auto bound = Base::capture([&] {
                    return Peer::bindUdp({ .address = address(subnet, index), .port = network_.dataPort }, false);
                });
                isFree = bound.isOk();
                if (isFree)
                    sockets.push_back(*bound.value);
            }
        }
        if (isFree)
            return sockets;
        closeAll(sockets);
    }
}

void Deployment::createEntryVms()
{
    std::vector<std::string> regions;
    for (const auto& zone : zones_)
        regions.push_back(zone + "=midlands");
    // Ports stay reserved until all are chosen; otherwise the kernel may return one twice.
    const auto dataSockets = reserveDataPort();
    std::vector<PortReservation> reservations;
    const auto reserve = [&](Base::Ipv4Address vmAddress) {
        reservations.emplace_back(vmAddress);
        return reservations.back().endpoint();
    };
    std::vector<EntryProcess::Options> all;
    for (std::size_t index = 0; index < zones_.size() * options_.entryVmsPerZone; ++index) {
        const auto vmAddress = address(entryVmSubnet, index);
        EntryProcess::Options entryVm { .name = "entry-" + std::to_string(index),
            .zone = zones_[index % zones_.size()],
            .program = options_.program,
            .folder = options_.folder,
            .data = { .address = vmAddress, .port = network_.dataPort },
            .control = reserve(vmAddress),
            .reports = reserve(vmAddress),
            .readiness = reserve(vmAddress),
            .metrics = reserve(vmAddress),
            .regions = regions,
            .isOutputRead = options_.isOutputRead };
        EntryVm vm;
        vm.store = std::make_unique<StoreServer>(loop_, records_, vmAddress);
        vm.proxy = std::make_unique<LinkProxy>(loop_, entryVm.control, entryVm.reports);
        entryVm.store = vm.store->endpoint();
        entryVm.advertised = vm.proxy->control();
        entryVm.advertisedReports = vm.proxy->reports();
        entryVms_.push_back(std::move(vm));
        network_.zones[vmAddress] = entryVm.zone;
        all.push_back(std::move(entryVm));
    }
    reservations.clear();
    closeAll(dataSockets);
    std::vector<Base::Ipv4Endpoint> seeds;
    for (std::size_t index = 0; index < std::min(options_.seedCount, all.size()); ++index)
        seeds.push_back(all[index].advertised);
    for (auto& entryVm : all) {
        entryVm.seeds = seeds;
        processes_.push_back(std::make_unique<EntryProcess>(std::move(entryVm)));
        processes_.back()->start();
    }
}

void Deployment::createCallers()
{
    std::size_t index = 0;
    for (const auto& zone : zones_) {
        for (std::size_t count = 0; count < options_.callersPerZone; ++count, ++index) {
            callers_.push_back(std::make_unique<FleetCaller>(loop_, invariants_, network_, processes_,
                FleetCaller::Options { .address = address(callerSubnet, index),
                    .zone = zone,
                    .seed = options_.seed * 1000 + index,
                    .idempotentRoutes = { routeEndpoint(idempotentRoutePort), routeEndpoint(sheetsRoutePort) },
                    .nonIdempotentRoutes = { routeEndpoint(nonIdempotentRoutePort) },
                    .requestsPerSecond = options_.requestsPerSecond }));
        }
    }
}

void Deployment::watchProcesses()
{
    loop_.every(exitCheckInterval, [this] {
        for (std::size_t index = 0; index < processes_.size(); ++index) {
            auto& vm = entryVms_[index];
            int code = 0;
            if (!processes_[index]->reapIfExited(code))
                continue;
            if (!vm.isExitExpected)
                unexpectedExits_.push_back(
                    processes_[index]->options().name + " exited unexpectedly: " + std::to_string(code));
            vm.isExitExpected = false;
            loop_.after(restartDelay, [this, index] {
                if (entryVms_[index].mayRestart)
                    processes_[index]->start();
            });
        }
    });
}

FleetServer& Deployment::addServer(
    const std::string& service, const std::string& zone, const Base::Ipv4Endpoint& requestedAddress)
{
    const auto number = 0xA0000000 + 7919 * ++serverCount_;
    std::string digits;
    for (int shift = 28; shift >= 0; shift -= 4)
        digits += "0123456789abcdef"[(number >> shift) & 15];
    const auto endpoint = requestedAddress.port != 0
        ? requestedAddress
        : Base::Ipv4Endpoint { .address = address(serverSubnet, serverCount_) };
    servers_.push_back(std::make_unique<FleetServer>(loop_, records_, invariants_, network_,
        FleetServer::Options {
            .id = "i-" + digits, .number = number, .service = service, .zone = zone, .address = endpoint }));
    return *servers_.back();
}

void Deployment::removeServer(FleetServer& server)
{
    server.removeEntry();
    server.crash(loop_.now());
}

void Deployment::addRoute(uint16_t port)
{
    extraRoutePorts_.push_back(port);
    writeConfiguration();
}

void Deployment::removeRoute(uint16_t port)
{
    std::erase(extraRoutePorts_, port);
    writeConfiguration();
    invariants_.recordRouteRemoved(loop_.now(), routeEndpoint(port));
}

void Deployment::writeConfiguration()
{
    using Json = nlohmann::json;
    Json routes = Json::array();
    const auto add = [&](uint16_t port, const std::string& service) {
        routes.push_back({ { "name", "r" + std::to_string(port) }, { "host", routeEndpoint(port).address.toString() },
            { "prefix", "/" + std::to_string(port) + "/" }, { "service", service } });
        invariants_.recordRouteAdded(routeEndpoint(port), service);
    };
    add(idempotentRoutePort, "rota");
    add(nonIdempotentRoutePort, "rota");
    add(sheetsRoutePort, "sheets");
    for (const auto port : extraRoutePorts_)
        add(port, "rota");
    configurationVersion_ += 3;
    const auto service = [](const char* name) {
        return Json { { "name", name }, { "warmup_s", 1.0 }, { "warmup_per_s", 0.0 } };
    };
    const Json configuration { { "version", configurationVersion_ }, { "routes", routes },
        { "services", { service("rota"), service("sheets") } }, { "limits", { { "idle_timeout_ms", 15000 } } } };
    configuration_ = configuration.dump();
    rewriteConfiguration();
}

void Deployment::rewriteConfiguration() { records_.put("op/config", configuration_); }

void Deployment::setStoreFault(const StoreFault& fault)
{
    for (auto& entryVm : entryVms_)
        entryVm.store->setFault(fault);
}

void Deployment::markDisturbed(std::size_t entryVm)
{
    invariants_.markEntryVmDisturbed(loop_.now(), processes_[entryVm]->options().data.address);
}

void Deployment::stopCallers()
{
    for (auto& caller : callers_)
        caller->stopNewRequests();
}

bool Deployment::areCallersIdle() const
{
    return std::ranges::all_of(callers_, [](const auto& caller) { return caller->isIdle(); });
}

}
