#include <LibDataPath/DecideThread.h>

#include <LibBase/Verify.h>
#include <algorithm>

namespace DataPath {

namespace {

    constexpr Base::milliseconds tickInterval { 5 };
    constexpr Base::seconds statisticsInterval { 1 };
    constexpr std::size_t maximumPacketsPerBatch = 64;
    constexpr std::size_t maximumInputsPerRound = 64;

    Packet::RefusalMeaning toRefusalMeaning(Flow::ExecutionStatus truth)
    {
        switch (truth) {
        case Flow::ExecutionStatus::NotRun:
            return Packet::RefusalMeaning::NotRun;
        case Flow::ExecutionStatus::RefusedByBackendServer:
            return Packet::RefusalMeaning::RefusedByBackendServer;
        case Flow::ExecutionStatus::Unknown:
            return Packet::RefusalMeaning::Unknown;
        }
        return Packet::RefusalMeaning::Unknown;
    }

}

DecideThread::DecideThread(
    Options options, std::unique_ptr<Flow::FlowDecider> decider, const std::vector<PacketWorker*>& workers)
    : options_(std::move(options))
    , decider_(std::move(decider))
    , inputs_(options_.inputCapacity)
    , messages_(options_.messageCapacity)
    , packetBatch_(maximumPacketsPerBatch)
{
    VERIFY(workers.size() <= maximumWorkers);
    for (auto* worker : workers) {
        links_.push_back({ .worker = worker,
            .pending = std::vector<uint8_t>(worker->bufferCount(), 0),
            .retained = std::vector<uint8_t>(worker->bufferCount(), 0),
            .commands = {} });
        links_.back().commands.reserve(4 * worker->bufferCount());
    }
    actions_.reserve(maximumPacketsPerBatch);
}

bool DecideThread::push(DecideInput input)
{
    const bool pushed = inputs_.tryPush(std::move(input));
    wakeup_.wake();
    return pushed;
}

void DecideThread::requestStop()
{
    stopping_.store(true);
    wakeup_.wake();
}

void DecideThread::run()
{
    while (!stopping_.load(std::memory_order_relaxed)) {
        const auto now = std::chrono::steady_clock::now();
        bool busy = handleInputs(now);
        for (auto& link : links_)
            busy |= handlePackets(now, link);
        if (now >= nextTick_)
            tick(now);
        const bool flushed = flushCommands();
        if (busy || !flushed)
            continue;
        wakeup_.sleep({ -1, -1 }, tickInterval, [this] {
            return inputs_.isEmpty() && !stopping_.load()
                && std::all_of(links_.begin(), links_.end(),
                    [](const WorkerLink& link) { return link.worker->events().isEmpty(); });
        });
    }
    options_.onStatistics(*decider_);
}

bool DecideThread::handleInputs(Base::TimePoint now)
{
    DecideInput input;
    std::size_t handled = 0;
    while (handled < maximumInputsPerRound && inputs_.tryPop(input)) {
        handleInput(now, input);
        ++handled;
    }
    return handled > 0;
}

void DecideThread::countIfRejected(const Base::ErrorOr<void>& result)
{
    if (!result)
        counters_.rejectedInputs.add();
}

void DecideThread::applyConfiguration(Base::TimePoint now, const Configuration::SnapshotPointer& snapshot)
{
    const auto error = Base::captureError([&] { return decider_->setConfiguration(now, snapshot); });
    if (error) {
        counters_.rejectedInputs.add();
        return;
    }
    addressTable_ = std::make_shared<const AddressTable>(*snapshot);
    options_.addresses->publish(addressTable_);
    revision_.store(snapshot->revision.value);
}

void DecideThread::handleInput(Base::TimePoint now, DecideInput& input)
{
    if (const auto* snapshot = std::get_if<Configuration::SnapshotPointer>(&input)) {
        applyConfiguration(now, *snapshot);
    } else if (auto* peers = std::get_if<PeersInput>(&input)) {
        countIfRejected(decider_->setPeers(now, peers->view));
        dataEndpoints_ = std::move(peers->dataEndpoints);
    } else if (const auto* message = std::get_if<PeerMessageInput>(&input)) {
        countIfRejected(decider_->handlePeerMessage(now, message->sender, message->bytes, actions_));
    } else if (const auto* report = std::get_if<Flow::BackendServerReport>(&input)) {
        countIfRejected(decider_->handleReport(now, *report));
    } else {
        leaving_ = true;
        decider_->beginLeaving(now, actions_);
    }
    performActions();
}

bool DecideThread::handlePackets(Base::TimePoint now, WorkerLink& link)
{
    const auto count = link.worker->events().popMany(packetBatch_.data(), packetBatch_.size());
    decider_->prefetch(std::span(packetBatch_).first(count));
    for (std::size_t index = 0; index < count; ++index) {
        const auto& event = packetBatch_[index];
        link.pending[bufferIndexOf(event.token)] = 1;
        decider_->handlePacket(now, event, actions_);
        performActions();
    }
    counters_.packets.add(count);
    return count > 0;
}

void DecideThread::tick(Base::TimePoint now)
{
    nextTick_ = now + tickInterval;
    decider_->handleTick(now, actions_);
    performActions();
    if (leaving_ && decider_->hasLeft())
        hasLeft_.store(true);
    if (now < nextStatistics_)
        return;
    nextStatistics_ = now + statisticsInterval;
    options_.onStatistics(*decider_);
}

void DecideThread::performActions()
{
    for (const auto& action : actions_) {
        if (const auto* keep = std::get_if<Flow::KeepCopy>(&action)) {
            if (auto* link = findLink(keep->packet))
                link->retained[bufferIndexOf(keep->packet)] = 1;
        }
    }
    for (const auto& action : actions_)
        std::visit([this](const auto& each) { performAction(each); }, action);
    actions_.clear();
}

DecideThread::WorkerLink* DecideThread::findLink(Flow::PacketToken token)
{
    const auto worker = workerIndexOf(token);
    const auto buffer = bufferIndexOf(token);
    if (worker < links_.size() && buffer < links_[worker].pending.size() && links_[worker].pending[buffer] != 0)
        return &links_[worker];
    counters_.invalidTokens.add();
    return nullptr;
}

void DecideThread::queueCommand(Flow::PacketToken token, SendCommand command, bool isFinal)
{
    auto* link = findLink(token);
    if (!link)
        return;
    const auto buffer = bufferIndexOf(token);
    command.buffer = buffer;
    command.release = isFinal || link->retained[buffer] == 0;
    if (command.release) {
        link->pending[buffer] = 0;
        link->retained[buffer] = 0;
    }
    link->commands.push_back(command);
}

void DecideThread::performAction(const Flow::ForwardToBackendServer& action)
{
    const auto tunnel = addressTable_ ? addressTable_->findTunnel(action.backendServer) : std::nullopt;
    if (!tunnel) {
        counters_.noDestination.add();
        queueCommand(action.packet, { .kind = SendCommand::Kind::Discard }, false);
        return;
    }
    queueCommand(action.packet, { .kind = SendCommand::Kind::Send, .destination = *tunnel }, false);
}

void DecideThread::performAction(const Flow::ForwardToCaller& action)
{
    queueCommand(action.packet, { .kind = SendCommand::Kind::Send, .destination = options_.fabric }, false);
}

void DecideThread::performAction(const Flow::HandOverToPeer& action)
{
    const auto endpoint = dataEndpoints_.find(action.peer);
    if (endpoint == dataEndpoints_.end()) {
        counters_.noDestination.add();
        queueCommand(action.packet, { .kind = SendCommand::Kind::Discard }, false);
        return;
    }
    queueCommand(action.packet,
        { .kind = SendCommand::Kind::HandOver, .destination = endpoint->second, .handOver = action.header }, false);
}

void DecideThread::performAction(const Flow::ReleasePacket& action)
{
    queueCommand(action.packet, { .kind = SendCommand::Kind::Discard }, true);
}

void DecideThread::performAction(const Flow::RefuseToCaller& action)
{
    if (options_.onRefusal)
        options_.onRefusal(action);
    queueCommand(action.packet,
        { .kind = SendCommand::Kind::Refuse,
            .meaning = toRefusalMeaning(action.truth),
            .destination = options_.fabric },
        true);
}

void DecideThread::performAction(const Flow::DropPacket& action)
{
    queueCommand(action.packet, { .kind = SendCommand::Kind::Discard }, true);
}

void DecideThread::performAction(const Flow::SendToPeer& action)
{
    if (!messages_.tryPush(action))
        counters_.droppedMessages.add();
}

bool DecideThread::flushCommands()
{
    bool empty = true;
    for (auto& link : links_) {
        if (link.commands.empty())
            continue;
        const auto pushed = link.worker->commands().pushMany(link.commands.data(), link.commands.size());
        link.commands.erase(link.commands.begin(), link.commands.begin() + static_cast<std::ptrdiff_t>(pushed));
        link.worker->wake();
        if (link.commands.empty())
            continue;
        counters_.commandsDelayed.add(link.commands.size());
        empty = false;
    }
    return empty;
}

}
