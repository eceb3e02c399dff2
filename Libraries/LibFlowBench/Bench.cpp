#include <LibBase/Verify.h>
#include <LibFlowBench/Bench.h>
#include <algorithm>
#include <numeric>

namespace FlowBench {

namespace {

    constexpr uint32_t entryVmAddressBase = 0x0A010000;
    constexpr uint16_t controlPort = 7946;
    /// How long the fabric still sends packets to a balancer after its process has ended.
    constexpr Base::milliseconds fabricRemovalDelay { 500 };
    /// Time from the start of a balancer's process until the fabric sends packets to it.
    constexpr Base::milliseconds fabricJoinDelay { 300 };
    /// All balancers start at once, without traffic, and have discovered each other after this time.
    constexpr Base::seconds startupPeriod { 15 };
    constexpr Base::milliseconds leavePollInterval { 100 };

}

Bench::Bench(Options options)
    : options_(std::move(options))
    , classes_(options_.deployment)
    , network_(loop_, options_.deployment, Base::mix(options_.seed, 1))
    , oracle_(classes_.size(), loop_.now() + startupPeriod)
    , startedAt_(loop_.now())
    , random_(Base::mix(options_.seed, 2))
    , snapshot_(std::make_shared<Configuration::Snapshot>(options_.deployment.snapshot))
{
    network_.setFaults(options_.faults);
    auto callers = options_.callers;
    callers.seed = Base::mix(options_.seed, 3);
    callers.send = [this](const WirePacket& packet) { sendThroughFabric(Network::callers, packet); };
    callers.hasRoom = [this](const ClassInfo& info) { return hasRoom(info); };
    callers_ = std::make_unique<CallerPool>(loop_, oracle_, classes_, std::move(callers));
    addServers(*snapshot_);
    addHosts();
    scheduleReports();
    loop_.runUntil(loop_.now() + startupPeriod);
    startedAt_ = loop_.now();
}

Bench::~Bench() = default;

uint32_t Bench::second() const
{
    return static_cast<uint32_t>(std::chrono::duration_cast<Base::seconds>(loop_.now() - startedAt_).count());
}

void Bench::addServers(const Configuration::Snapshot& snapshot)
{
    for (const auto& [name, service] : snapshot.services) {
        for (const auto& backendServer : service.backendServers) {
            if (!servers_.contains(backendServer.id))
                addServer(service, backendServer);
        }
    }
}

void Bench::addServer(const Configuration::Service& service, const Configuration::BackendServer& backendServer)
{
    FakeBackendServer::Options options { .id = backendServer.id,
        .service = service.id,
        .domain = domainIndex(backendServer.failureDomain),
        .slots = backendServer.slots,
        .connections = backendServer.connections,
        .warmUp = backendServer.warmUp };
    options.startsWarm = second() == 0;
    options.seed = Base::mix(options_.seed, 100 + backendServer.id.value);
    options.send = [this, domain = options.domain](const WirePacket& packet) { sendThroughFabric(domain, packet); };
    options.hasEnded = [this](FlowIndex flow) { return callers_->hasEnded(flow); };
    servers_[backendServer.id] = std::make_unique<FakeBackendServer>(loop_, oracle_, classes_, std::move(options));
}

void Bench::addHosts()
{
    const auto& domains = options_.deployment.balancerDomains;
    inFabric_.assign(domains.size(), false);
    incarnations_.assign(domains.size(), 0);
    membership_ = std::make_unique<MembershipFake>(loop_, domains.size(),
        MembershipFake::Options { .seed = Base::mix(options_.seed, 4),
            .deliver = [this](std::size_t viewer, const Flow::PeerView& view) { hosts_[viewer]->setPeers(view); } });
    for (std::size_t i = 0; i < domains.size(); ++i) {
        BalancerHost::Outputs outputs;
        outputs.toBackendServer
            = [this, i](const WirePacket& packet, Base::BackendServerId id) { forwardToBackendServer(i, packet, id); };
        outputs.toCaller = [this, i](const WirePacket& packet) {
            network_.sendPacket(
                hosts_[i]->place(), Network::callers, [this, packet] { callers_->handlePacket(packet); });
        };
        outputs.toPeer = [this, i](const WirePacket& packet, Base::EntryVmId peer, const Flow::HandOver& handOver) {
            forwardToPeer(i, packet, peer, handOver);
        };
        outputs.message
            = [this, i](Base::EntryVmId peer, const std::vector<std::byte>& message) { sendMessage(i, peer, message); };
        enableTrace(i, outputs);
        hosts_.push_back(std::make_unique<BalancerHost>(loop_, oracle_, domains[i], std::move(outputs)));
    }
    for (std::size_t i = 0; i < domains.size(); ++i)
        startBalancer(i);
}

Base::EntryVmId Bench::idOf(std::size_t balancer) const
{
    return Base::EntryVmId::fromEndpoint(
        { .address = { entryVmAddressBase + static_cast<uint32_t>(balancer) + 1 }, .port = controlPort });
}

std::size_t Bench::indexOf(Base::EntryVmId id) const
{
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (idOf(i) == id)
            return i;
    }
    return hosts_.size();
}

std::size_t Bench::domainIndex(const std::string& name) const
{
    const auto& names = options_.deployment.failureDomains;
    return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

void Bench::startBalancer(std::size_t balancer)
{
    const auto incarnation = ++incarnations_[balancer];
    Flow::FlowDecider::Options options { .self = idOf(balancer),
        .incarnation = incarnation,
        .failureDomain = options_.deployment.failureDomains[hosts_[balancer]->place()],
        .seed = Base::mix(options_.seed, 1000 * (balancer + 1) + incarnation),
        .maximumFlows = options_.maximumFlows };
    VERIFY(hosts_[balancer]->start(options_.factory, options));
    hosts_[balancer]->setConfiguration(snapshot_);
    membership_->announceStarted(
        balancer, { .id = options.self, .incarnation = incarnation, .failureDomain = options.failureDomain });
    updateReachability();
    if (second() == 0) {
        inFabric_[balancer] = true;
        return;
    }
    loop_.after(fabricJoinDelay, [this, balancer, incarnation] {
        if (incarnations_[balancer] == incarnation && hosts_[balancer]->isUp())
            inFabric_[balancer] = true;
    });
}

void Bench::killBalancer(std::size_t balancer)
{
    if (!hosts_[balancer]->isUp())
        return;
    hosts_[balancer]->kill();
    oracle_.recordBalancerLoss(loop_.now());
    membership_->announceUnresponsive(balancer);
    loop_.after(fabricRemovalDelay, [this, balancer, incarnation = incarnations_[balancer]] {
        if (incarnations_[balancer] == incarnation)
            inFabric_[balancer] = false;
    });
}

void Bench::pauseBalancer(std::size_t balancer)
{
    if (!hosts_[balancer]->isRunning())
        return;
    hosts_[balancer]->pause();
    oracle_.recordBalancerLoss(loop_.now());
    membership_->announceUnresponsive(balancer);
}

void Bench::resumeBalancer(std::size_t balancer)
{
    if (!hosts_[balancer]->isUp() || !hosts_[balancer]->isPaused())
        return;
    hosts_[balancer]->resume();
    oracle_.recordBalancerLoss(loop_.now());
    membership_->announceResponsive(balancer);
    deliverConfiguration(balancer, snapshot_, Base::milliseconds(random_.below(500)));
    membership_->redeliverView(balancer);
}

void Bench::leaveBalancer(std::size_t balancer)
{
    if (!hosts_[balancer]->isRunning())
        return;
    hosts_[balancer]->beginLeaving();
    removeOnceLeft(balancer, incarnations_[balancer]);
}

void Bench::removeOnceLeft(std::size_t balancer, uint64_t incarnation)
{
    loop_.after(leavePollInterval, [this, balancer, incarnation] {
        if (incarnations_[balancer] != incarnation || !hosts_[balancer]->isUp())
            return;
        if (!hosts_[balancer]->hasLeft())
            return removeOnceLeft(balancer, incarnation);
        inFabric_[balancer] = false;
        membership_->announceRemoved(balancer);
        loop_.after(fabricRemovalDelay, [this, balancer, incarnation] {
            if (incarnations_[balancer] == incarnation)
                hosts_[balancer]->kill();
        });
    });
}

void Bench::isolateDomain(std::size_t domain)
{
    network_.isolate(domain);
    oracle_.recordPartition(loop_.now());
    updateReachability();
}

void Bench::healPartitions()
{
    network_.heal();
    oracle_.recordPartition(loop_.now());
    updateReachability();
    for (std::size_t i = 0; i < hosts_.size(); ++i)
        deliverConfiguration(i, snapshot_, Base::milliseconds(random_.below(500)));
}

void Bench::updateReachability()
{
    for (std::size_t viewer = 0; viewer < hosts_.size(); ++viewer) {
        for (std::size_t other = 0; other < hosts_.size(); ++other) {
            if (viewer != other && hosts_[other]->isRunning())
                membership_->announceReachability(
                    viewer, other, !network_.isCut(hosts_[other]->place(), hosts_[viewer]->place()));
        }
    }
}

uint64_t Bench::worstControlBytes() const
{
    uint64_t worst = 0;
    for (const auto& host : hosts_) {
        for (const auto bytes : host->controlBytes())
            worst = std::max(worst, bytes);
    }
    return worst;
}

double Bench::meanControlBytes() const
{
    uint64_t total = 0;
    for (const auto& host : hosts_)
        total = std::accumulate(host->controlBytes().begin(), host->controlBytes().end(), total);
    return static_cast<double>(total) / static_cast<double>(hosts_.size()) / std::max<double>(1, second());
}

}
