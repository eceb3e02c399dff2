#include <LibFlowBench/MembershipFake.h>
#include <algorithm>

namespace FlowBench {

namespace {

    void addOrUpdate(std::vector<Flow::Peer>& peers, const Flow::Peer& peer)
    {
        const auto found = std::find_if(
            peers.begin(), peers.end(), [&](const Flow::Peer& candidate) { return candidate.id == peer.id; });
        if (found == peers.end())
            peers.push_back(peer);
        else if (found->incarnation <= peer.incarnation)
            *found = peer;
    }

    void setReachable(std::vector<Flow::Peer>& peers, Base::EntryVmId id, bool reachable)
    {
        for (auto& peer : peers) {
            if (peer.id == id)
                peer.reachable = reachable;
        }
    }

    void remove(std::vector<Flow::Peer>& peers, Base::EntryVmId id, uint64_t incarnation)
    {
        std::erase_if(peers, [&](const Flow::Peer& peer) { return peer.id == id && peer.incarnation <= incarnation; });
    }

}

MembershipFake::MembershipFake(EventLoop& loop, std::size_t balancers, Options options)
    : loop_(loop)
    , options_(std::move(options))
    , random_(options_.seed)
    , balancers_(balancers)
    , views_(balancers)
{
}

Base::nanoseconds MembershipFake::randomDelay()
{
    const auto range = static_cast<uint64_t>((options_.maximumDelay - options_.minimumDelay).count()) + 1;
    return options_.minimumDelay + Base::milliseconds(random_.below(range));
}

void MembershipFake::deliverView(std::size_t viewer)
{
    ++views_[viewer].version;
    options_.deliver(viewer, views_[viewer]);
}

void MembershipFake::scheduleChange(
    std::size_t viewer, std::size_t balancer, std::function<void(std::vector<Flow::Peer>&)> change)
{
    if (viewer == balancer || !balancers_[viewer].present)
        return;
    loop_.after(randomDelay(), [this, viewer, change = std::move(change)] {
        change(views_[viewer].peers);
        deliverView(viewer);
    });
}

void MembershipFake::scheduleChangeForAll(
    std::size_t balancer, const std::function<void(std::vector<Flow::Peer>&)>& change)
{
    for (std::size_t viewer = 0; viewer < balancers_.size(); ++viewer)
        scheduleChange(viewer, balancer, change);
}

void MembershipFake::announceStarted(std::size_t balancer, const Flow::Peer& peer)
{
    auto& balancerState = balancers_[balancer];
    balancerState = { .present = true, .responsivenessVersion = balancerState.responsivenessVersion + 1, .peer = peer };
    views_[balancer].peers.clear();
    for (const auto& other : balancers_) {
        if (!other.present)
            continue;
        views_[balancer].peers.push_back(other.peer);
        views_[balancer].peers.back().reachable = !other.isUnresponsive;
    }
    deliverView(balancer);
    scheduleChangeForAll(balancer, [peer](std::vector<Flow::Peer>& peers) { addOrUpdate(peers, peer); });
}

void MembershipFake::announceUnresponsive(std::size_t balancer)
{
    auto& balancerState = balancers_[balancer];
    balancerState.isUnresponsive = true;
    const auto responsivenessVersion = ++balancerState.responsivenessVersion;
    scheduleChangeForAll(
        balancer, [id = balancerState.peer.id](std::vector<Flow::Peer>& peers) { setReachable(peers, id, false); });
    loop_.after(options_.removalDelay, [this, balancer, responsivenessVersion] {
        if (balancers_[balancer].responsivenessVersion == responsivenessVersion)
            announceRemoved(balancer);
    });
}

void MembershipFake::announceResponsive(std::size_t balancer)
{
    auto& balancerState = balancers_[balancer];
    if (!balancerState.present)
        return announceStarted(balancer, balancerState.peer);
    balancerState.isUnresponsive = false;
    ++balancerState.responsivenessVersion;
    scheduleChangeForAll(
        balancer, [peer = balancerState.peer](std::vector<Flow::Peer>& peers) { addOrUpdate(peers, peer); });
}

void MembershipFake::redeliverView(std::size_t viewer)
{
    loop_.after(randomDelay(), [this, viewer] { deliverView(viewer); });
}

void MembershipFake::announceRemoved(std::size_t balancer)
{
    auto& balancerState = balancers_[balancer];
    balancerState.present = false;
    ++balancerState.responsivenessVersion;
    scheduleChangeForAll(balancer,
        [id = balancerState.peer.id, incarnation = balancerState.peer.incarnation](
            std::vector<Flow::Peer>& peers) { remove(peers, id, incarnation); });
}

void MembershipFake::announceReachability(std::size_t viewer, std::size_t balancer, bool reachable)
{
    scheduleChange(viewer, balancer, [id = balancers_[balancer].peer.id, reachable](std::vector<Flow::Peer>& peers) {
        setReachable(peers, id, reachable);
    });
}

}
