#include <LibFleet/Deployment.h>

#include <LibPeer/Sockets.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace StandIn {

namespace {

    constexpr uint16_t viewPort = 443;
    constexpr uint16_t claimPort = 80;
    constexpr uint16_t sheetPort = 8443;
    constexpr Base::milliseconds processCheckInterval { 20 };
    constexpr Base::milliseconds restartDelay { 300 };
    constexpr Base::milliseconds storeTick { 20 };
    constexpr unsigned entryVmGroup = 10;
    constexpr unsigned callerGroup = 20;
    constexpr unsigned serverGroup = 30;

    Base::Ipv4Endpoint route(uint16_t port) { return { .address = { 0xC6120001 }, .port = port }; }

    /// A free port of an address, for TCP and UDP.
    Base::Ipv4Endpoint freeEndpoint(Base::Ipv4Address address)
    {
        const int socket = Peer::listenTcp({ .address = address, .port = 0 }).value();
        const auto endpoint = Peer::localEndpoint(socket);
        ::close(socket);
        return endpoint;
    }

}

Deployment::Deployment(EventLoop& loop, Options options)
    : loop_(loop)
    , options_(std::move(options))
    , random_(options_.seed)
{
    records_.setOnChange([this] {
        for (auto& entryVm : surroundings_)
            entryVm.store->answerWatches();
    });
    network_.dataPort = findDataPort();
    writeConfiguration();
    for (const auto& zone : zones_) {
        for (std::size_t index = 0; index < options_.serversPerZone; ++index)
            addServer(index == 0 ? "sheets" : "rota", zone);
    }
    createEntryVms();
    createCallers();
    loop_.every(storeTick, [this] {
        records_.expireLeases(loop_.now());
        for (auto& entryVm : surroundings_)
            entryVm.store->answerWatches();
    });
    watchProcesses();
}

Base::Ipv4Address Deployment::address(unsigned group, std::size_t index) const
{
    // Soaks that run beside each other have networks of their own.
    const auto own = static_cast<uint32_t>(1 + ::getpid() % 250);
    return { (127U << 24) | (own << 16) | (group << 8) | static_cast<uint32_t>(index + 1) };
}

uint16_t Deployment::findDataPort() const
{
    // Entry VMs and callers share the port; it must be free at each address.
    for (;;) {
        const int first = Peer::bindUdp({ .address = address(entryVmGroup, 0), .port = 0 }, false).value();
        const auto port = Peer::localEndpoint(first).port;
        ::close(first);
        bool isFree = true;
        for (const unsigned group : { entryVmGroup, callerGroup }) {
            for (std::size_t index = 0; index < zones_.size() * options_.entryVmsPerZone && isFree; ++index) {
                const auto tried = Base::capture(
                    [&] { return Peer::bindUdp({ .address = address(group, index), .port = port }, false); });
                isFree = tried.isOk();
                if (isFree)
                    ::close(*tried.value);
            }
        }
        if (isFree)
            return port;
    }
}

void Deployment::createEntryVms()
{
    std::vector<std::string> regions;
    for (const auto& zone : zones_)
        regions.push_back(zone + "=midlands");
    std::vector<EntryProcess::Options> all;
    for (std::size_t index = 0; index < zones_.size() * options_.entryVmsPerZone; ++index) {
        const auto own = address(entryVmGroup, index);
        EntryProcess::Options entryVm { .name = "entry-" + std::to_string(index),
            .zone = zones_[index % zones_.size()],
            .program = options_.program,
            .folder = options_.folder,
            .data = { .address = own, .port = network_.dataPort },
            .control = freeEndpoint(own),
            .reports = freeEndpoint(own),
            .readiness = freeEndpoint(own),
            .metrics = freeEndpoint(own),
            .regions = regions,
            .isOutputRead = options_.isOutputRead };
        EntryVm surrounding;
        surrounding.store = std::make_unique<StoreServer>(loop_, records_, own);
        surrounding.proxy = std::make_unique<LinkProxy>(loop_, entryVm.control, entryVm.reports);
        entryVm.store = surrounding.store->endpoint();
        entryVm.advertised = surrounding.proxy->control();
        entryVm.advertisedReports = surrounding.proxy->reports();
        surroundings_.push_back(std::move(surrounding));
        network_.zones[own] = entryVm.zone;
        all.push_back(std::move(entryVm));
    }
    std::vector<Base::Ipv4Endpoint> seeds;
    for (std::size_t index = 0; index < std::min<std::size_t>(3, all.size()); ++index)
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
            callers_.push_back(std::make_unique<FleetCaller>(loop_, ledger_, network_, processes_,
                FleetCaller::Options { .address = address(callerGroup, index),
                    .zone = zone,
                    .seed = options_.seed * 1000 + index,
                    .views = { route(viewPort), route(sheetPort) },
                    .claims = { route(claimPort) },
                    .requestsPerSecond = options_.requestsPerSecond }));
        }
    }
}

void Deployment::watchProcesses()
{
    loop_.every(processCheckInterval, [this] {
        for (std::size_t index = 0; index < processes_.size(); ++index) {
            auto& surrounding = surroundings_[index];
            int code = 0;
            if (!processes_[index]->takeExit(code))
                continue;
            if (!surrounding.isEndExpected)
                unexpectedEnds_.push_back(
                    processes_[index]->options().name + " ended by itself: " + std::to_string(code));
            surrounding.isEndExpected = false;
            loop_.after(restartDelay, [this, index] {
                if (surroundings_[index].mayRestart)
                    processes_[index]->start();
            });
        }
    });
}

FleetServer& Deployment::addServer(const std::string& service, const std::string& zone, const Base::Ipv4Endpoint& given)
{
    const auto number = 0xA0000000 + 7919 * ++serverCount_;
    std::string digits;
    for (int shift = 28; shift >= 0; shift -= 4)
        digits += "0123456789abcdef"[(number >> shift) & 15];
    const auto endpoint
        = given.port != 0 ? given : Base::Ipv4Endpoint { .address = address(serverGroup, serverCount_) };
    servers_.push_back(std::make_unique<FleetServer>(loop_, records_, ledger_, network_,
        FleetServer::Options {
            .id = "i-" + digits, .number = number, .service = service, .zone = zone, .address = endpoint }));
    return *servers_.back();
}

void Deployment::endServer(FleetServer& server)
{
    server.unlist();
    server.crash(loop_.now());
}

void Deployment::addRoute(uint16_t port)
{
    extraRoutes_.push_back(port);
    writeConfiguration();
}

void Deployment::removeRoute(uint16_t port)
{
    std::erase(extraRoutes_, port);
    writeConfiguration();
    ledger_.routeRemoved(loop_.now(), route(port));
}

void Deployment::writeConfiguration()
{
    using Json = nlohmann::json;
    Json routes = Json::array();
    const auto add = [&](uint16_t port, const std::string& service) {
        routes.push_back({ { "name", "r" + std::to_string(port) }, { "host", route(port).address.toString() },
            { "prefix", "/" + std::to_string(port) + "/" }, { "service", service } });
        ledger_.routeAdded(route(port), service);
    };
    add(viewPort, "rota");
    add(claimPort, "rota");
    add(sheetPort, "sheets");
    for (const auto port : extraRoutes_)
        add(port, "rota");
    version_ += 3;
    const auto service = [](const char* name) {
        return Json { { "name", name }, { "warmup_s", 1.0 }, { "warmup_per_s", 0.0 } };
    };
    const Json configuration { { "version", version_ }, { "routes", routes },
        { "services", { service("rota"), service("sheets") } }, { "limits", { { "idle_timeout_ms", 15000 } } } };
    records_.put("op/config", configuration.dump());
}

void Deployment::setStoreFault(const StoreFault& fault)
{
    for (auto& entryVm : surroundings_)
        entryVm.store->setFault(fault);
}

void Deployment::disturb(std::size_t entryVm)
{
    ledger_.disturbEntryVm(loop_.now(), processes_[entryVm]->options().data.address);
}

void Deployment::finishCallers()
{
    for (auto& caller : callers_)
        caller->finish();
}

bool Deployment::areCallersIdle() const
{
    return std::ranges::all_of(callers_, [](const auto& caller) { return caller->isIdle(); });
}

}
