#include <LibBalancer/ControlThread.h>

#include <LibBalancer/ControlEvents.h>
#include <LibBalancer/Events.h>
#include <LibBalancer/StatusFigures.h>
#include <LibLog/Log.h>
#include <algorithm>

namespace Balancer {

namespace {

    constexpr Base::milliseconds pollInterval { 5 };
    constexpr Base::milliseconds tickInterval { 25 };
    constexpr Base::milliseconds publishStateInterval { 500 };
    /// Request id of VM list calls; distinguishes them from store calls of the control node.
    constexpr Store::RequestId vmListRequestId = ~Store::RequestId { 0 };

}

Base::ErrorOr<std::unique_ptr<ControlThread>> ControlThread::create(const Options& options)
{
    std::unique_ptr<ControlThread> thread(new ControlThread(options));
    const auto& settings = *options.settings;
    TRY_ASSIGN(transport,
        Peer::PeerTransport::create({ .incarnation = options.incarnation,
            .listen = settings.control.endpoint,
            .keys = settings.control.keys,
            .seed = options.seed,
            .onMessage = [raw = thread.get()](Peer::Envelope&& envelope) { raw->handleEnvelope(std::move(envelope)); },
            .onRequest = [raw = thread.get()](Peer::Channel channel,
                             std::span<const std::byte> payload) { return raw->handleRequest(channel, payload); } }));
    thread->transport_ = std::move(transport);
    thread->store_ = Store::StoreClient::create(
        { .endpoint = settings.store.endpoint, .callDeadline = settings.store.callDeadline });
    return thread;
}

ControlThread::ControlThread(const Options& options)
    : options_(options)
    , random_(options.seed)
{
}

Base::ErrorOr<void> ControlThread::attach(DataPath::DecideThread& decide, const Base::Ipv4Endpoint& dataEndpoint)
{
    const auto& settings = *options_.settings;
    std::vector<Base::EntryVmId> seeds;
    for (const auto& seed : settings.control.seeds)
        seeds.push_back(Base::EntryVmId::fromEndpoint(seed));
    TRY_ASSIGN(node,
        Control::ControlNode::create({ .self = self(),
            .incarnation = options_.incarnation,
            .failureDomain = settings.failureDomain,
            .region = settings.region,
            .dataEndpoint = dataEndpoint,
            .seeds = std::move(seeds),
            .seed = options_.seed,
            .controlBytesPerSecond = settings.control.bytesPerSecond,
            .watchersPerDomain = settings.control.watchersPerDomain }));
    node_ = std::move(node);
    decide_ = &decide;
    return {};
}

void ControlThread::run()
{
    while (!stopping_.load(std::memory_order_relaxed))
        runOnce(std::chrono::steady_clock::now());
}

void ControlThread::runOnce(Base::TimePoint now)
{
    transport_->poll(now, pollInterval);
    now = std::chrono::steady_clock::now();
    handleCompletions(now);
    sendFlowMessages(now);
    leaveIfRequested(now);
    if (now >= nextTick_)
        tick(now);
    if (now >= nextVmListRequest_)
        requestVmList(now);
    if (now >= nextPublishState_)
        publishState(now);
    pushPendingInputs();
}

void ControlThread::leaveIfRequested(Base::TimePoint now)
{
    if (leaving_ || !leaveRequested_.load())
        return;
    leaving_ = decide_->push(DataPath::LeaveInput {});
    if (!leaving_)
        return;
    Log::write(Events::leaving);
    node_->beginLeaving(now, actions_);
    performActions(now);
}

void ControlThread::handleEnvelope(Peer::Envelope&& envelope)
{
    const auto now = std::chrono::steady_clock::now();
    if (envelope.channel == Peer::Channel::Flow) {
        decide_->push(DataPath::PeerMessageInput { .sender = envelope.sender, .bytes = std::move(envelope.payload) });
        return;
    }
    logRejection(
        Base::captureError([&] { return node_->handleMessage(now, envelope.sender, envelope.payload, actions_); }));
    performActions(now);
}

void ControlThread::logRejection(const std::optional<Base::Error>& error)
{
    if (error)
        Log::write(Events::controlRefused, Log::Fields().add("error", error->detail));
}

std::vector<std::byte> ControlThread::handleRequest(Peer::Channel channel, std::span<const std::byte> payload)
{
    const auto now = std::chrono::steady_clock::now();
    if (channel == Peer::Channel::Query)
        return Peer::encodeNodeStatus(status(now));
    prober_.handleReports(now, payload,
        [this](const Flow::BackendServerReport& report) { decide_->push(DataPath::DecideInput { report }); });
    const auto snapshot = node_->configuration();
    return ProberLink::targets(options_.shared->flow().serversToProbe, snapshot.get());
}

Peer::NodeStatus ControlThread::status(Base::TimePoint now) const
{
    const auto snapshot = node_->configuration();
    const auto summary = node_->inForce();
    return { .self = self(),
        .incarnation = options_.incarnation,
        .failureDomain = options_.settings->failureDomain,
        .revision = snapshot ? snapshot->revision : Base::Revision {},
        .evidence = std::string(toText(node_->evidence())),
        .evidenceAge = std::chrono::duration_cast<Base::milliseconds>(node_->evidenceAge(now)),
        .newestRevision = summary.revision,
        .inForce = summary.inForce,
        .total = summary.total,
        .missing = summary.missing,
        .leaving = leaving_,
        .figures = flowStatisticsByName(options_.shared->flow().statistics) };
}

void ControlThread::handleCompletions(Base::TimePoint now)
{
    Store::Completion completion;
    while (store_->tryPopCompletion(completion)) {
        if (const auto* list = std::get_if<Store::VmListAnswer>(&completion.answer)) {
            handleVmList(now, *list);
            continue;
        }
        logRejection(Base::captureError([&] {
            return node_->handleStoreResponse(now, completion.id, std::get<Store::Answer>(completion.answer), actions_);
        }));
        performActions(now);
    }
    const auto refused = std::exchange(rejectedStoreCalls_, {});
    for (const auto id : refused) {
        logRejection(Base::captureError(
            [&] { return node_->handleStoreResponse(now, id, { .status = Store::Status::Unavailable }, actions_); }));
        performActions(now);
    }
}

void ControlThread::handleVmList(Base::TimePoint now, const Store::VmListAnswer& answer)
{
    if (answer.status != Store::Status::Ok) {
        Log::write(Events::vmListUnavailable);
        return;
    }
    std::vector<Control::ListedVm> vms;
    for (const auto& vm : answer.vms) {
        vms.push_back({ .id = Base::EntryVmId::fromEndpoint(vm.controlEndpoint),
            .failureDomain = vm.failureDomain,
            .region = vm.region,
            .leaving = vm.leaving });
    }
    node_->handleVmList(now, std::move(vms), actions_);
    performActions(now);
}

void ControlThread::requestVmList(Base::TimePoint now)
{
    const Base::nanoseconds interval = options_.settings->store.vmListInterval;
    nextVmListRequest_
        = now + interval + Base::nanoseconds(random_.below(static_cast<uint64_t>(interval.count() / 4 + 1)));
    if (!store_->trySubmitVmList(vmListRequestId))
        Log::write(Events::storeRefused, Log::Fields().add("call", "vm_list"));
}

void ControlThread::sendFlowMessages(Base::TimePoint now)
{
    Flow::SendToPeer message;
    while (decide_->messages().tryPop(message))
        transport_->send(now, message.peer, Peer::Channel::Flow, std::move(message.message));
}

void ControlThread::tick(Base::TimePoint now)
{
    nextTick_ = now + tickInterval;
    node_->handleTick(now, actions_);
    performActions(now);
    prober_.checkReportTimeout(now);
}

void ControlThread::publishState(Base::TimePoint now)
{
    nextPublishState_ = now + publishStateInterval;
    const auto snapshot = node_->configuration();
    if (!snapshot && !servingNothingLogged_) {
        servingNothingLogged_ = true;
        Log::write(Events::servingNothing);
    }
    const auto members = node_->members();
    const auto reachable
        = std::count_if(members.begin(), members.end(), [](const Control::Member& member) { return member.reachable; });
    options_.shared->setControl({ .statistics = node_->statistics(),
        .transport = transport_->statistics(),
        .revision = snapshot ? snapshot->revision : Base::Revision {},
        .evidence = node_->evidence(),
        .evidenceAge = node_->evidenceAge(now),
        .members = members.size(),
        .reachableMembers = static_cast<std::size_t>(reachable),
        .storeCallsRefused = storeCallsRefused_ });
}

void ControlThread::pushPendingInputs()
{
    if (pendingSnapshot_ && decide_->push(*pendingSnapshot_))
        pendingSnapshot_.reset();
    if (pendingPeers_ && decide_->push(*pendingPeers_))
        pendingPeers_.reset();
}

void ControlThread::performActions(Base::TimePoint now)
{
    const auto actions = std::exchange(actions_, {});
    for (const auto& action : actions)
        std::visit([&](const auto& each) { performAction(now, each); }, action);
}

void ControlThread::performAction(Base::TimePoint now, const Control::SendMessage& action)
{
    transport_->send(now, action.to, Peer::Channel::Control, action.bytes);
}

void ControlThread::performAction(Base::TimePoint, const Control::CallStore& action)
{
    if (store_->trySubmit(action.id, action.request))
        return;
    ++storeCallsRefused_;
    rejectedStoreCalls_.push_back(action.id);
    Log::write(Events::storeRefused, Log::Fields().add("call", "key_value"));
}

void ControlThread::performAction(Base::TimePoint, const Control::EnforceConfiguration& action)
{
    servingNothingLogged_ = true;
    Log::write(Events::configurationInForce,
        Log::Fields().add("revision", action.snapshot->revision.value).add("evidence", toText(action.evidence)));
    pendingSnapshot_ = action.snapshot;
    pushPendingInputs();
}

void ControlThread::performAction(Base::TimePoint, const Control::MembersChanged& action)
{
    DataPath::PeersInput input;
    input.view.version = action.version;
    std::size_t reachable = 0;
    std::size_t leaving = 0;
    for (const auto& member : action.members) {
        const bool acceptsNewFlows = member.reachable && !member.leaving;
        reachable += member.reachable ? 1 : 0;
        leaving += member.leaving ? 1 : 0;
        input.view.peers.push_back({ .id = member.id,
            .incarnation = member.incarnation,
            .failureDomain = member.failureDomain,
            .reachable = acceptsNewFlows });
        input.dataEndpoints[member.id] = member.dataEndpoint;
    }
    Log::write(Events::membersChanged,
        Log::Fields().add("members", action.members.size()).add("reachable", reachable).add("leaving", leaving));
    pendingPeers_ = std::move(input);
    pushPendingInputs();
}

void ControlThread::performAction(Base::TimePoint, const Control::LogEvent& action)
{
    Log::write(findControlEvent(action.number), Log::Fields().add("detail", action.fields));
}

}
