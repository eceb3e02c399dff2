#include <LibFlowBench/CallerPool.h>
#include <algorithm>
#include <cmath>

namespace FlowBench {

namespace {

    constexpr uint32_t callerAddressBase = 0x0B000000;
    constexpr uint32_t flowsPerAddress = 32'768;
    constexpr uint16_t firstCallerPort = 16'384;
    constexpr Base::milliseconds initialRetransmissionTimeout { 300 };
    constexpr Base::milliseconds maximumRetransmissionTimeout { 4000 };
    constexpr uint8_t openingAttemptLimit = 4;
    constexpr uint8_t establishedAttemptLimit = 8;
    constexpr uint16_t requestBytes = 200;

    Base::nanoseconds fromSeconds(double seconds) { return Base::nanoseconds(static_cast<int64_t>(seconds * 1e9)); }

}

CallerPool::CallerPool(EventLoop& loop, Oracle& oracle, const ClassTable& classes, Options options)
    : loop_(loop)
    , oracle_(oracle)
    , classes_(classes)
    , options_(std::move(options))
    , random_(options_.seed)
{
}

void CallerPool::start()
{
    running_ = true;
    for (std::size_t i = 0; i < classes_.size(); ++i)
        scheduleNext(i);
}

void CallerPool::scheduleNext(std::size_t portClass)
{
    const double rate = classes_.at(portClass).load.flowsPerSecond * options_.loadFactor;
    if (rate <= 0)
        return;
    const double gap = -std::log(1 - random_.unit()) / rate;
    loop_.after(fromSeconds(gap), [this, portClass] {
        if (!running_)
            return;
        openFlow(portClass, 0);
        scheduleNext(portClass);
    });
}

Packet::FlowKey CallerPool::makeKey(const ClassInfo& info, FlowIndex index)
{
    const bool isTcp = info.portClass.protocol == Configuration::Protocol::Tcp;
    return { .caller = { .address = { callerAddressBase + index / flowsPerAddress },
                 .port = static_cast<uint16_t>(firstCallerPort + index % flowsPerAddress) },
        .service = info.endpoint,
        .protocol = isTcp ? Packet::IpProtocol::Tcp : Packet::IpProtocol::Udp };
}

FlowIndex CallerPool::openFlow(std::size_t portClass, uint32_t retries)
{
    const auto index = static_cast<FlowIndex>(flows_.size());
    const auto& info = classes_.at(portClass);
    Flow flow;
    flow.key = makeKey(info, index);
    flow.portClass = static_cast<uint16_t>(portClass);
    flow.longLived = random_.chance(info.load.longLivedShare);
    flow.requestsLeft = flow.longLived ? ~0U : static_cast<uint32_t>(1 + random_.below(2 * info.load.meanRequests));
    if (info.load.meanRequests == 1)
        flow.requestsLeft = 1;
    flow.retries = retries;
    flow.thinkTime = flow.longLived ? info.load.longThinkTime : info.load.thinkTime;
    if (!ended_.empty() && random_.chance(options_.fiveTupleReuseProbability)) {
        const auto old = ended_.back();
        ended_.pop_back();
        if (flows_[old].portClass == portClass) {
            flow.key = flows_[old].key;
            flows_[old].successor = index;
        }
    }
    flows_.push_back(flow);
    startFlow(index);
    return index;
}

FlowIndex CallerPool::openLongLivedFlow(std::size_t portClass, Base::nanoseconds thinkTime)
{
    const auto index = openFlow(portClass, 0);
    flows_[index].longLived = true;
    flows_[index].requestsLeft = ~0U;
    flows_[index].thinkTime = thinkTime;
    return index;
}

void CallerPool::startFlow(FlowIndex index)
{
    auto& flow = flows_[index];
    ++oracle_.counts().flows;
    flow.openedAt = loop_.now();
    flow.request = 1;
    flow.requestedAt = loop_.now();
    flow.requestSecond = oracle_.recordRequest(loop_.now(), flow.portClass);
    sendCurrent(index);
}

void CallerPool::sendCurrent(FlowIndex index)
{
    auto& flow = flows_[index];
    WirePacket packet;
    packet.flow = index;
    packet.portClass = flow.portClass;
    packet.summary.key = flow.key;
    packet.connection = flow.connection;
    if (flow.state == State::Opening && !isUdp(flow)) {
        packet.summary.flags.syn = true;
    } else if (flow.state == State::Ending) {
        packet.summary.flags = { .ack = true, .fin = true };
    } else {
        packet.summary.flags.ack = !isUdp(flow);
        packet.summary.payloadLength = requestBytes;
        packet.request = flow.request;
        packet.summary.sequence = isUdp(flow) ? 0 : flow.request;
    }
    options_.send(packet);
    armTimer(index);
}

void CallerPool::armTimer(FlowIndex index)
{
    auto& flow = flows_[index];
    const auto timer = ++flow.timer;
    const auto timeout = std::min<Base::milliseconds>(
        maximumRetransmissionTimeout, initialRetransmissionTimeout * (1 << std::min<int>(flow.attempts, 5)));
    loop_.after(timeout, [this, index, timer] {
        if (flows_[index].timer == timer)
            handleTimeout(index);
    });
}

void CallerPool::handleTimeout(FlowIndex index)
{
    auto& flow = flows_[index];
    ++flow.attempts;
    if (!flow.established && flow.attempts >= openingAttemptLimit)
        return abandonOpening(index);
    if (flow.attempts >= establishedAttemptLimit)
        return flow.state == State::Ending ? markEnded(index) : recordBreakAndCancel(index);
    sendCurrent(index);
}

void CallerPool::handlePacket(const WirePacket& packet)
{
    const auto index = packet.flow;
    if (flows_[index].state == State::Ended) {
        if (flows_[index].successor != 0 && isUdp(flows_[index]) && packet.request != 0)
            ++oracle_.counts().misdeliveredResponses;
        if (packet.summary.flags.syn)
            sendReset(index, packet.connection);
        return;
    }
    if (packet.refusal)
        return handleRefusal(index, packet);
    const bool isResponseToSyn = packet.summary.flags.ack;
    if (packet.summary.flags.rst && flows_[index].established && isResponseToSyn)
        return;
    if (packet.summary.flags.rst)
        return handleReset(index);
    handleResponse(index, packet);
}

void CallerPool::handleRefusal(FlowIndex index, const WirePacket& packet)
{
    auto& flow = flows_[index];
    if (flow.established)
        return flow.state == State::Ending ? markEnded(index) : recordBreakAndCancel(index);
    ++oracle_.counts().refused;
    ++oracle_.counts().refusalsByReason[std::string(toString(packet.refusalReason))];
    if (options_.hasRoom(classes_.at(flow.portClass)))
        ++oracle_.counts().refusedWithRoom;
    markEnded(index);
    if (*packet.refusal == ::Flow::ExecutionStatus::NotRun)
        retryAfterRefusal(index);
}

void CallerPool::retryAfterRefusal(FlowIndex index)
{
    const auto& flow = flows_[index];
    if (flow.retries >= options_.retriesAfterRefusal)
        return;
    loop_.after(options_.retryDelay, [this, portClass = flow.portClass, retries = flow.retries + 1] {
        if (running_)
            openFlow(portClass, retries);
    });
}

void CallerPool::handleReset(FlowIndex index)
{
    auto& flow = flows_[index];
    if (flow.established)
        return flow.state == State::Ending ? markEnded(index) : recordBreakAndCancel(index);
    ++oracle_.counts().notEstablished;
    markEnded(index);
}

void CallerPool::handleResponse(FlowIndex index, const WirePacket& packet)
{
    auto& flow = flows_[index];
    if (!flow.established)
        establish(index, packet);
    if (flow.state == State::Ending && packet.summary.flags.fin)
        return markEnded(index);
    if (flow.state != State::Waiting || packet.request != flow.request)
        return;
    ++flow.timer;
    flow.state = State::Thinking;
    const auto& info = classes_.at(flow.portClass);
    if (loop_.now() - flow.requestedAt <= info.portClass.deadline)
        oracle_.recordResponseInTime(flow.portClass, flow.requestSecond);
    else
        ++oracle_.counts().lateResponses;
    if (--flow.requestsLeft == 0)
        return closeFlow(index);
    nextRequest(index);
}

void CallerPool::establish(FlowIndex index, const WirePacket& packet)
{
    auto& flow = flows_[index];
    flow.established = true;
    flow.backendServer = packet.backendServer;
    flow.connection = packet.connection;
    flow.attempts = 0;
    ++oracle_.counts().established;
    ++establishedCount_;
    flow.state = State::Waiting;
    if (!isUdp(flow))
        sendCurrent(index);
}

void CallerPool::nextRequest(FlowIndex index)
{
    auto& flow = flows_[index];
    const auto pause = fromSeconds(Base::toSeconds(flow.thinkTime) * (0.5 + random_.unit()));
    const auto timer = flow.timer;
    loop_.after(pause, [this, index, timer] {
        if (flows_[index].timer != timer || flows_[index].state != State::Thinking)
            return;
        if (running_)
            sendRequest(index);
    });
}

void CallerPool::sendRequest(FlowIndex index)
{
    auto& flow = flows_[index];
    ++flow.request;
    flow.attempts = 0;
    flow.state = State::Waiting;
    flow.requestedAt = loop_.now();
    flow.requestSecond = oracle_.recordRequest(loop_.now(), flow.portClass);
    sendCurrent(index);
}

void CallerPool::closeFlow(FlowIndex index)
{
    if (isUdp(flows_[index]))
        return markEnded(index);
    flows_[index].state = State::Ending;
    flows_[index].attempts = 0;
    sendCurrent(index);
}

void CallerPool::recordBreakAndCancel(FlowIndex index)
{
    auto& flow = flows_[index];
    const auto cause = oracle_.breakCauseAt(loop_.now(), flow.backendServer, flow.openedAt);
    if (cause == BreakCause::DomainOut && flow.state == State::Waiting)
        oracle_.recordAbandonedRequest(flow.portClass, flow.requestSecond);
    oracle_.recordBrokenFlow(loop_.now(), index, flow.backendServer, flow.openedAt);
    abortFlow(index);
}

void CallerPool::abandonOpening(FlowIndex index)
{
    ++oracle_.counts().notEstablished;
    abortFlow(index);
}

void CallerPool::abortFlow(FlowIndex index)
{
    markEnded(index);
    if (!isUdp(flows_[index]))
        sendReset(index, flows_[index].connection);
}

void CallerPool::sendReset(FlowIndex index, uint64_t connection)
{
    const auto& flow = flows_[index];
    WirePacket packet;
    packet.connection = connection;
    packet.flow = index;
    packet.portClass = flow.portClass;
    packet.summary.key = flow.key;
    packet.summary.flags = { .ack = true, .rst = true };
    options_.send(packet);
}

void CallerPool::markEnded(FlowIndex index)
{
    auto& flow = flows_[index];
    if (flow.established)
        --establishedCount_;
    flow.state = State::Ended;
    ++flow.timer;
    if (options_.fiveTupleReuseProbability > 0 && flow.successor == 0)
        ended_.push_back(index);
}

std::size_t CallerPool::establishedOn(Base::BackendServerId id) const
{
    return static_cast<std::size_t>(std::count_if(flows_.begin(), flows_.end(),
        [id](const Flow& flow) { return flow.established && flow.state != State::Ended && flow.backendServer == id; }));
}

void CallerPool::abortFlowsOn(Base::BackendServerId id)
{
    for (FlowIndex index = 0; index < flows_.size(); ++index) {
        const auto& flow = flows_[index];
        if (flow.established && flow.state != State::Ended && flow.state != State::Ending && flow.backendServer == id)
            recordBreakAndCancel(index);
    }
}

}
