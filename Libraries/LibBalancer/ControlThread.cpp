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
    constexpr Base::milliseconds publishInterval { 500 };
    /// Marks the VM list's calls among the control node's own.
    constexpr Store::RequestId vmListRequest = ~Store::RequestId { 0 };

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
            .onQuestion = [raw = thread.get()](Peer::Channel channel,
                              std::span<const std::byte> payload) { return raw->answer(channel, payload); } }));
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
    if (now >= nextVmList_)
        readVmList(now);
    if (now >= nextPublish_)
        publish(now);
    retryInputs();
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
    perform(now);
}

void ControlThread::handleEnvelope(Peer::Envelope&& envelope)
{
    const auto now = std::chrono::steady_clock::now();
    if (envelope.channel == Peer::Channel::Flow) {
        decide_->push(DataPath::PeerMessageInput { .sender = envelope.sender, .bytes = std::move(envelope.payload) });
        return;
    }
    noteRefusal(
        Base::captureError([&] { return node_->handleMessage(now, envelope.sender, envelope.payload, actions_); }));
    perform(now);
}

void ControlThread::noteRefusal(const std::optional<Base::Error>& error)
{
    if (error)
        Log::write(Events::controlRefused, Log::Fields().add("error", error->detail));
}

std::vector<std::byte> ControlThread::answer(Peer::Channel channel, std::span<const std::byte> payload)
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
        .figures = flowFigures(options_.shared->flow().statistics) };
}

void ControlThread::handleCompletions(Base::TimePoint now)
{
    Store::Completion completion;
    while (store_->tryPopAnswer(completion)) {
        if (const auto* list = std::get_if<Store::VmListAnswer>(&completion.answer)) {
            handleVmList(now, *list);
            continue;
        }
        noteRefusal(Base::captureError([&] {
            return node_->handleStoreAnswer(now, completion.id, std::get<Store::Answer>(completion.answer), actions_);
        }));
        perform(now);
    }
    const auto refused = std::exchange(refusedCalls_, {});
    for (const auto id : refused) {
        noteRefusal(Base::captureError(
            [&] { return node_->handleStoreAnswer(now, id, { .status = Store::Status::Unavailable }, actions_); }));
        perform(now);
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
    perform(now);
}

void ControlThread::readVmList(Base::TimePoint now)
{
    const Base::nanoseconds interval = options_.settings->store.vmListInterval;
    nextVmList_ = now + interval + Base::nanoseconds(random_.below(static_cast<uint64_t>(interval.count() / 4 + 1)));
    if (!store_->trySubmitVmList(vmListRequest))
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
    perform(now);
    prober_.watchSilence(now);
}

void ControlThread::publish(Base::TimePoint now)
{
    nextPublish_ = now + publishInterval;
    const auto snapshot = node_->configuration();
    if (!snapshot && !saidServingNothing_) {
        saidServingNothing_ = true;
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

void ControlThread::retryInputs()
{
    if (pendingSnapshot_ && decide_->push(*pendingSnapshot_))
        pendingSnapshot_.reset();
    if (pendingPeers_ && decide_->push(*pendingPeers_))
        pendingPeers_.reset();
}

void ControlThread::perform(Base::TimePoint now)
{
    const auto actions = std::exchange(actions_, {});
    for (const auto& action : actions)
        std::visit([&](const auto& each) { performAction(now, each); }, action);
}

void ControlThread::performAction(Base::TimePoint now, const Control::SendMessage& action)
{
    transport_->send(now, action.to, Peer::Channel::Control, action.bytes);
}

void ControlThread::performAction(Base::TimePoint, const Control::AskStore& action)
{
    if (store_->trySubmit(action.id, action.request))
        return;
    ++storeCallsRefused_;
    refusedCalls_.push_back(action.id);
    Log::write(Events::storeRefused, Log::Fields().add("call", "key_value"));
}

void ControlThread::performAction(Base::TimePoint, const Control::EnforceConfiguration& action)
{
    saidServingNothing_ = true;
    Log::write(Events::configurationInForce,
        Log::Fields().add("revision", action.snapshot->revision.value).add("evidence", toText(action.evidence)));
    pendingSnapshot_ = action.snapshot;
    retryInputs();
}

void ControlThread::performAction(Base::TimePoint, const Control::MembersChanged& action)
{
    DataPath::PeersInput input;
    input.view.version = action.version;
    std::size_t reachable = 0;
    std::size_t leaving = 0;
    for (const auto& member : action.members) {
        const bool takesNew = member.reachable && !member.leaving;
        reachable += member.reachable ? 1 : 0;
        leaving += member.leaving ? 1 : 0;
        input.view.peers.push_back({ .id = member.id,
            .incarnation = member.incarnation,
            .failureDomain = member.failureDomain,
            .reachable = takesNew });
        input.dataEndpoints[member.id] = member.dataEndpoint;
    }
    Log::write(Events::membersChanged,
        Log::Fields().add("members", action.members.size()).add("reachable", reachable).add("leaving", leaving));
    pendingPeers_ = std::move(input);
    retryInputs();
}

void ControlThread::performAction(Base::TimePoint, const Control::LogEvent& action)
{
    Log::write(findControlEvent(action.number), Log::Fields().add("detail", action.fields));
}

}
