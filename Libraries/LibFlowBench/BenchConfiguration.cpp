// The part of Bench that changes the configuration and delivers it to balancers and backend servers.

#include <LibFlowBench/Bench.h>
#include <algorithm>

namespace FlowBench {

namespace {

    using Configuration::BackendServerState;
    using Configuration::FailureDomainState;

    /// After all balancers have applied a change, packets or new flows that it forbids may still arrive for this long.
    constexpr Base::seconds gracePeriod { 3 };

    Configuration::BackendServer* find(Configuration::Snapshot& snapshot, Base::BackendServerId id)
    {
        for (auto& [name, service] : snapshot.services) {
            for (auto& server : service.backendServers) {
                if (server.id == id)
                    return &server;
            }
        }
        return nullptr;
    }

}

void Bench::changeConfiguration(const std::function<void(Configuration::Snapshot&)>& change)
{
    auto next = std::make_shared<Configuration::Snapshot>(*snapshot_);
    ++next->revision.value;
    change(*next);
    snapshot_ = next;
    addServers(*next);
    Base::nanoseconds maximumDelay { 0 };
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        const Base::milliseconds delay(
            random_.below(static_cast<uint64_t>(options_.maximumConfigurationDelay.count()) + 1));
        deliverConfiguration(i, next, delay);
        if (hosts_[i]->isRunning())
            maximumDelay = std::max<Base::nanoseconds>(maximumDelay, delay);
    }
    applyBackendServerStates(*next, loop_.now() + maximumDelay);
}

void Bench::deliverConfiguration(
    std::size_t balancer, const Configuration::SnapshotPointer& snapshot, Base::nanoseconds delay)
{
    loop_.after(delay, [this, balancer, snapshot] {
        if (hosts_[balancer]->isUp())
            hosts_[balancer]->setConfiguration(snapshot);
    });
}

void Bench::applyBackendServerStates(const Configuration::Snapshot& snapshot, Base::TimePoint effectiveAt)
{
    for (const auto& [name, service] : snapshot.services) {
        for (const auto& backendServer : service.backendServers)
            applyBackendServerState(service, backendServer, snapshot, effectiveAt);
    }
}

void Bench::applyBackendServerState(const Configuration::Service&, const Configuration::BackendServer& backendServer,
    const Configuration::Snapshot& snapshot, Base::TimePoint effectiveAt)
{
    const auto domain = snapshot.failureDomains.at(backendServer.failureDomain).state;
    const auto state = domain == FailureDomainState::Out ? BackendServerState::Out : backendServer.state;
    auto& currentState = states_[backendServer.id];
    if (currentState == state)
        return;
    currentState = state;
    auto& fake = server(backendServer.id);
    const bool isOut = state == BackendServerState::Out;
    if (isOut)
        oracle_.recordTakenOut(backendServer.id, effectiveAt + gracePeriod);
    fake.setOutAfter(isOut ? std::optional(effectiveAt + gracePeriod) : std::nullopt);
    fake.setLeavingAfter(state == BackendServerState::Active ? std::nullopt : std::optional(effectiveAt + gracePeriod));
}

void Bench::setBackendServerState(Base::BackendServerId id, BackendServerState state)
{
    changeConfiguration([id, state](Configuration::Snapshot& snapshot) { find(snapshot, id)->state = state; });
}

void Bench::setWeight(Base::BackendServerId id, uint32_t weight)
{
    changeConfiguration([id, weight](Configuration::Snapshot& snapshot) { find(snapshot, id)->weight = weight; });
}

void Bench::setDomainState(std::size_t domain, FailureDomainState state)
{
    const auto& name = options_.deployment.failureDomains[domain];
    changeConfiguration(
        [&name, state](Configuration::Snapshot& snapshot) { snapshot.failureDomains.at(name).state = state; });
}

Base::BackendServerId Bench::scaleOut(const std::string& service, std::size_t domain)
{
    Base::BackendServerId id;
    const auto& name = options_.deployment.failureDomains[domain];
    changeConfiguration([&](Configuration::Snapshot& snapshot) { id = addBackendServer(snapshot, service, name).id; });
    return id;
}

}
