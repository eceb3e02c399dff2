#pragma once

#include <LibFlowBench/BalancerHost.h>
#include <LibFlowBench/CallerPool.h>
#include <LibFlowBench/FakeBackendServer.h>
#include <LibFlowBench/MembershipFake.h>
#include <LibFlowBench/Network.h>
#include <LibFlowBench/Oracle.h>
#include <map>
#include <memory>
#include <string>

namespace FlowBench {

/// Simulates one deployment in virtual time: balancers with flow deciders, backend servers, callers and the network
/// between them, with the faults that a scenario injects.
class Bench {
public:
    struct Options {
        Deployment deployment;
        uint64_t seed { 1 };
        DeciderFactory factory;
        CallerPool::Options callers {};
        NetworkFaults faults {};
        /// Upper limit of the random delay after which a balancer receives a new configuration.
        Base::milliseconds maximumConfigurationDelay { 800 };
        /// Age of a load report when a balancer receives it.
        Base::milliseconds reportDelay { 300 };
        Base::milliseconds reportInterval { 500 };
        std::size_t maximumFlows { 500'000 };
        /// Flow whose packets are traced at every balancer, and the receiver of the trace lines.
        std::optional<FlowIndex> tracedFlow {};
        std::function<void(const std::string&)> trace {};
    };

    explicit Bench(Options);
    ~Bench();
    Bench(const Bench&) = delete;
    Bench& operator=(const Bench&) = delete;

    /// Runs the simulation for a span of virtual time.
    void run(Base::nanoseconds span) { loop_.runUntil(loop_.now() + span); }
    /// Schedules a step of the scenario.
    void after(Base::nanoseconds delay, EventLoop::Callback step) { loop_.after(delay, std::move(step)); }
    /// Whole seconds of virtual time since the balancers had discovered each other after their start.
    uint32_t second() const;

    /// Applies a change to the configuration and schedules its delivery to each balancer, with a random delay of at
    /// most Options::maximumConfigurationDelay.
    void changeConfiguration(const std::function<void(Configuration::Snapshot&)>&);
    void setBackendServerState(Base::BackendServerId, Configuration::BackendServerState);
    void setWeight(Base::BackendServerId, uint32_t weight);
    void setDomainState(std::size_t domain, Configuration::FailureDomainState);
    /// Adds a backend server, which has yet to warm up, to a service.
    Base::BackendServerId scaleOut(const std::string& service, std::size_t domain);

    void killBalancer(std::size_t);
    /// Starts a balancer's process without flows and gives it the current configuration at once.
    void startBalancer(std::size_t);
    void pauseBalancer(std::size_t);
    void resumeBalancer(std::size_t);
    /// Starts a balancer's graceful shutdown; its process ends after it has handed its flows over to peers.
    void leaveBalancer(std::size_t);
    /// Partitions a failure domain from all others. healPartitions() ends all partitions.
    void isolateDomain(std::size_t domain);
    void healPartitions();

    void restartBackendServer(Base::BackendServerId id) { server(id).restart(); }
    FakeBackendServer& server(Base::BackendServerId id) { return *servers_.at(id); }
    std::vector<FakeBackendServer*> serversOf(const std::string& service);
    std::vector<Base::BackendServerId> serverIds() const;

    EventLoop& loop() { return loop_; }
    Network& network() { return network_; }
    CallerPool& callers() { return *callers_; }
    BalancerHost& balancer(std::size_t index) { return *hosts_[index]; }
    std::size_t balancerCount() const { return hosts_.size(); }
    Oracle& oracle() { return oracle_; }
    const Counts& counts() const { return oracle_.counts(); }
    const ClassTable& classes() const { return classes_; }
    const Deployment& deployment() const { return options_.deployment; }
    /// Most bytes of control messages that one balancer sent in one second, and the mean over balancers and seconds.
    uint64_t worstControlBytes() const;
    double meanControlBytes() const;

private:
    void addServers(const Configuration::Snapshot&);
    void addServer(const Configuration::Service&, const Configuration::BackendServer&);
    void addHosts();
    void scheduleReports();
    void deliverReports(std::size_t balancer);
    void deliverConfiguration(std::size_t balancer, const Configuration::SnapshotPointer&, Base::nanoseconds delay);
    void applyBackendServerStates(const Configuration::Snapshot&, Base::TimePoint effectiveAt);
    void applyBackendServerState(const Configuration::Service&, const Configuration::BackendServer&,
        const Configuration::Snapshot&, Base::TimePoint effectiveAt);
    void updateReachability();
    Base::EntryVmId idOf(std::size_t balancer) const;
    std::size_t indexOf(Base::EntryVmId) const;
    std::size_t domainIndex(const std::string&) const;
    void sendThroughFabric(Network::Place from, const WirePacket&);
    void forwardToBackendServer(std::size_t balancer, const WirePacket&, Base::BackendServerId);
    void forwardToPeer(std::size_t balancer, const WirePacket&, Base::EntryVmId, const Flow::HandOver&);
    void enableTrace(std::size_t balancer, BalancerHost::Outputs&);
    void sendMessage(std::size_t balancer, Base::EntryVmId, const std::vector<std::byte>&);
    void removeOnceLeft(std::size_t balancer, uint64_t incarnation);
    bool hasRoom(const ClassInfo&) const;

    Options options_;
    EventLoop loop_;
    ClassTable classes_;
    Network network_;
    Oracle oracle_;
    Base::TimePoint startedAt_;
    Base::Random random_;
    std::unique_ptr<CallerPool> callers_;
    std::map<Base::BackendServerId, std::unique_ptr<FakeBackendServer>> servers_;
    std::vector<std::unique_ptr<BalancerHost>> hosts_;
    /// Whether the fabric sends packets to each balancer.
    std::vector<bool> inFabric_;
    std::unique_ptr<MembershipFake> membership_;
    Configuration::SnapshotPointer snapshot_;
    std::vector<uint64_t> incarnations_;
    std::map<Base::BackendServerId, Configuration::BackendServerState> states_;
};

}
