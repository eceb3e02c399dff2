#include <LibFlowBench/BalancerHost.h>

namespace FlowBench {

namespace {

    constexpr Base::milliseconds tickInterval { 10 };
    constexpr std::size_t backlogLimit = 4096;
    /// How long after a resume a balancer may not have received the latest configuration.
    constexpr Base::seconds staleConfigurationPeriod { 4 };
    /// The daemon drops packets that its kernel received longer ago than this.
    constexpr Base::milliseconds maximumPacketAge { 100 };

}

BalancerHost::BalancerHost(EventLoop& loop, Oracle& oracle, Network::Place place, Outputs outputs)
    : loop_(loop)
    , oracle_(oracle)
    , place_(place)
    , outputs_(std::move(outputs))
    , createdAt_(loop.now())
{
}

bool BalancerHost::start(const DeciderFactory& factory, const Flow::FlowDecider::Options& options)
{
    kill();
    options_ = options;
    auto outcome = Base::capture([&] { return factory(options); });
    if (!outcome.isOk())
        return false;
    decider_ = std::move(*outcome.value);
    isLeaving_ = false;
    ++startCount_;
    loop_.every(tickInterval, [this, incarnation = startCount_] { return tick(incarnation); });
    return true;
}

void BalancerHost::kill()
{
    decider_.reset();
    isPaused_ = false;
    resumedAt_.reset();
    backlog_.clear();
    slots_.clear();
    freeSlots_.clear();
}

void BalancerHost::resume()
{
    isPaused_ = false;
    resumedAt_ = loop_.now();
    auto backlog = std::move(backlog_);
    backlog_.clear();
    for (const auto& callback : backlog)
        callback();
}

bool BalancerHost::wasResumedRecently() const
{
    return resumedAt_ && loop_.now() - *resumedAt_ < staleConfigurationPeriod;
}

void BalancerHost::beginLeaving()
{
    isLeaving_ = true;
    decider_->beginLeaving(loop_.now(), actions_);
    executeActions();
}

bool BalancerHost::tick(uint64_t incarnation)
{
    if (!isUp() || incarnation != startCount_)
        return false;
    if (isPaused_)
        return true;
    decider_->handleTick(loop_.now(), actions_);
    executeActions();
    return true;
}

void BalancerHost::handlePacket(
    const WirePacket& packet, Flow::Arrival arrival, Base::EntryVmId sender, const Flow::HandOver& handOver)
{
    if (!isUp())
        return;
    if (isPaused_) {
        if (backlog_.size() < backlogLimit)
            backlog_.push_back([this, packet, arrival, sender, handOver, receivedAt = loop_.now()] {
                if (loop_.now() - receivedAt <= maximumPacketAge)
                    handlePacket(packet, arrival, sender, handOver);
            });
        return;
    }
    traceArrival(packet, arrival, handOver);
    decidePacket({ .packet = packet.summary,
        .token = storePacket(packet),
        .arrival = arrival,
        .sender = sender,
        .handOver = handOver,
        .backendServer = packet.backendServer });
}

Flow::PacketToken BalancerHost::storePacket(const WirePacket& packet)
{
    if (freeSlots_.empty()) {
        freeSlots_.push_back(static_cast<Flow::PacketToken>(slots_.size()));
        slots_.emplace_back();
    }
    const auto token = freeSlots_.back();
    freeSlots_.pop_back();
    slots_[token] = { .packet = packet, .state = Buffer::Deciding };
    return token;
}

void BalancerHost::decidePacket(const Flow::PacketEvent& event)
{
    decider_->handlePacket(loop_.now(), event, actions_);
    executeActions();
    if (isUp() && slots_[event.token].state == Buffer::Deciding) {
        ++oracle_.counts().tokenFaults;
        release(event.token);
    }
}

void BalancerHost::executeActions()
{
    auto actions = std::move(actions_);
    actions_.clear();
    for (const auto& action : actions)
        executeActions(action);
    actions.clear();
    actions_ = std::move(actions);
}

WirePacket BalancerHost::consumePacket(Flow::PacketToken token)
{
    if (token >= slots_.size() || slots_[token].state == Buffer::Free) {
        ++oracle_.counts().tokenFaults;
        return {};
    }
    auto packet = slots_[token].packet;
    if (slots_[token].state != Buffer::Copied)
        release(token);
    return packet;
}

void BalancerHost::release(Flow::PacketToken token)
{
    if (token >= slots_.size() || slots_[token].state == Buffer::Free) {
        ++oracle_.counts().tokenFaults;
        return;
    }
    slots_[token].state = Buffer::Free;
    freeSlots_.push_back(token);
}

void BalancerHost::executeActions(const Flow::Action& action)
{
    if (outputs_.trace)
        traceAction(action);
    if (const auto* forward = std::get_if<Flow::ForwardToBackendServer>(&action)) {
        outputs_.toBackendServer(consumePacket(forward->packet), forward->backendServer);
    } else if (const auto* response = std::get_if<Flow::ForwardToCaller>(&action)) {
        outputs_.toCaller(consumePacket(response->packet));
    } else if (const auto* transfer = std::get_if<Flow::HandOverToPeer>(&action)) {
        outputs_.toPeer(consumePacket(transfer->packet), transfer->peer, transfer->header);
    } else if (const auto* hold = std::get_if<Flow::HoldPacket>(&action)) {
        slots_[hold->packet].state = Buffer::Held;
    } else if (const auto* copy = std::get_if<Flow::KeepCopy>(&action)) {
        slots_[copy->packet].state = Buffer::Copied;
    } else if (const auto* free = std::get_if<Flow::ReleasePacket>(&action)) {
        release(free->packet);
    } else if (const auto* refusal = std::get_if<Flow::RefuseToCaller>(&action)) {
        auto packet = consumePacket(refusal->packet);
        if (refusal->truth == Flow::ExecutionStatus::NotRun)
            oracle_.recordRefusedAsNotRun(packet.flow);
        packet.refusal = refusal->truth;
        packet.refusalReason = refusal->reason;
        outputs_.toCaller(packet);
    } else if (const auto* drop = std::get_if<Flow::DropPacket>(&action)) {
        consumePacket(drop->packet);
        ++oracle_.counts().dropsByReason[std::string(toString(drop->reason))];
    } else if (const auto* message = std::get_if<Flow::SendToPeer>(&action)) {
        recordControlBytes(message->message.size());
        outputs_.message(message->peer, message->message);
    }
}

void BalancerHost::recordControlBytes(std::size_t bytes)
{
    const auto second
        = static_cast<std::size_t>(std::chrono::duration_cast<Base::seconds>(loop_.now() - createdAt_).count());
    if (controlBytes_.size() <= second)
        controlBytes_.resize(second + 1);
    controlBytes_[second] += bytes;
}

void BalancerHost::callDecider(const std::function<Base::ErrorOr<void>()>& call)
{
    if (!isRunning())
        return;
    if (Base::captureError(call))
        ++errors_;
    executeActions();
}

void BalancerHost::handleMessage(Base::EntryVmId sender, const std::vector<std::byte>& message)
{
    callDecider([&] { return decider_->handlePeerMessage(loop_.now(), sender, message, actions_); });
}

void BalancerHost::setConfiguration(const Configuration::SnapshotPointer& snapshot)
{
    callDecider([&] { return decider_->setConfiguration(loop_.now(), snapshot); });
}

void BalancerHost::setPeers(const Flow::PeerView& view)
{
    callDecider([&] { return decider_->setPeers(loop_.now(), view); });
}

void BalancerHost::handleReport(const Flow::BackendServerReport& report)
{
    callDecider([&] { return decider_->handleReport(loop_.now(), report); });
}

}
