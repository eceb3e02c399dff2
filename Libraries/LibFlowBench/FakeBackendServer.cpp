#include <LibFlowBench/FakeBackendServer.h>
#include <algorithm>
#include <cmath>

namespace FlowBench {

FakeBackendServer::FakeBackendServer(EventLoop& loop, Oracle& oracle, const ClassTable& classes, Options options)
    : loop_(loop)
    , oracle_(oracle)
    , classes_(classes)
    , options_(std::move(options))
    , random_(options_.seed)
    , startedAt_(options_.startsWarm ? loop.now() - options_.warmUp : loop.now())
{
}

void FakeBackendServer::restart()
{
    stop();
    up_ = true;
    startedAt_ = loop_.now();
}

void FakeBackendServer::stop()
{
    up_ = false;
    ++incarnation_;
    slotsInUse_ = 0;
    flows_.clear();
    closed_.clear();
    requestQueue_.clear();
    oracle_.recordBackendServerDeath(options_.id, loop_.now());
}

void FakeBackendServer::setLimits(uint32_t slots, uint32_t connections)
{
    options_.slots = slots;
    options_.connections = connections;
}

double FakeBackendServer::warmUpProgress() const
{
    if (isWarm())
        return 1;
    return Base::toSeconds(loop_.now() - startedAt_) / Base::toSeconds(options_.warmUp);
}

bool FakeBackendServer::isPerFlow(uint16_t portClass) const
{
    return classes_.at(portClass).portClass.slotUse == Configuration::SlotUse::PerFlow;
}

bool FakeBackendServer::isPerRequest(uint16_t portClass) const
{
    return classes_.at(portClass).portClass.slotUse == Configuration::SlotUse::PerRequest;
}

void FakeBackendServer::handlePacket(const WirePacket& packet)
{
    if (!up_)
        return;
    countArrivalViolations(packet);
    if (packet.summary.flags.fin || packet.summary.flags.rst)
        return handleFinOrReset(packet);
    oracle_.recordReached(packet.flow, options_.id);
    const bool isUdp = packet.summary.key.protocol == Packet::IpProtocol::Udp;
    if (packet.summary.flags.syn || (isUdp && packet.request == 1))
        return handleFirstPacket(packet);
    const auto found = flows_.find(packet.summary.key);
    if (found == flows_.end()) {
        if (closed_.contains(packet.flow))
            return;
        return resetUnknownFlow(packet);
    }
    if (found->second.flow != packet.flow || packet.request == 0)
        return;
    if (!isUdp && found->second.connection != packet.connection)
        return resetUnknownFlow(packet);
    handleRequest(found->second, packet);
}

void FakeBackendServer::resetUnknownFlow(const WirePacket& packet)
{
    ++oracle_.counts().resetsByBackendServer;
    sendResponse(packet, { .rst = true }, 0);
}

void FakeBackendServer::countArrivalViolations(const WirePacket& packet)
{
    if (classes_.serviceAt(packet.summary.key.service.address) != options_.service)
        ++oracle_.counts().wrongService;
    if (outAfter_ && loop_.now() > *outAfter_ && !packet.isFromRecentlyResumedBalancer)
        ++oracle_.counts().packetsAfterOut;
}

void FakeBackendServer::handleFirstPacket(const WirePacket& packet)
{
    auto found = flows_.find(packet.summary.key);
    const bool isUdp = packet.summary.key.protocol == Packet::IpProtocol::Udp;
    if (found != flows_.end() && found->second.flow != packet.flow)
        close(packet.summary.key);
    if (closed_.contains(packet.flow))
        return;
    found = flows_.find(packet.summary.key);
    if (found == flows_.end()) {
        if (shedding_ || requestQueue_.size() >= options_.queueLimit)
            return sendResponse(packet, { .ack = true, .rst = true }, 0);
        openConnection(packet);
        found = flows_.find(packet.summary.key);
    }
    if (isUdp)
        return handleRequest(found->second, packet);
    sendResponse(packet, { .syn = true, .ack = true }, 0);
}

void FakeBackendServer::openConnection(const WirePacket& packet)
{
    countOpeningViolations(packet);
    ++opened_;
    flows_[packet.summary.key] = { .flow = packet.flow,
        .connection = Base::mix(options_.id.value, nextConnection_++),
        .portClass = packet.portClass,
        .lastPacket = loop_.now() };
    if (isPerFlow(packet.portClass))
        occupySlot(packet.flow);
}

void FakeBackendServer::countOpeningViolations(const WirePacket& packet)
{
    if (leavingAfter_ && loop_.now() > *leavingAfter_ && !packet.isFromRecentlyResumedBalancer)
        ++oracle_.counts().newWorkToLeaving;
    const auto connectionLimit = std::max(1.0, std::ceil(options_.connections * warmUpProgress()));
    if (static_cast<double>(flows_.size()) >= connectionLimit
        || (isPerFlow(packet.portClass) && slotsInUse_ >= options_.slots))
        closeEndedFlows();
    if (flows_.size() >= options_.connections)
        oracle_.recordLimitExceeded(packet.flow);
    else if (static_cast<double>(flows_.size()) >= connectionLimit)
        ++oracle_.counts().overRamp;
}

void FakeBackendServer::closeEndedFlows()
{
    std::vector<Packet::FlowKey> ended;
    for (const auto& [key, openFlow] : flows_) {
        if (options_.hasEnded(openFlow.flow))
            ended.push_back(key);
    }
    for (const auto& key : ended)
        close(key);
}

void FakeBackendServer::occupySlot(FlowIndex flow)
{
    if (slotsInUse_ >= options_.slots)
        oracle_.recordLimitExceeded(flow);
    else if (static_cast<double>(slotsInUse_) >= std::max(1.0, std::ceil(options_.slots * warmUpProgress())))
        ++oracle_.counts().overRamp;
    ++slotsInUse_;
}

void FakeBackendServer::handleRequest(OpenFlow& openFlow, const WirePacket& packet)
{
    openFlow.lastPacket = loop_.now();
    if (packet.request <= openFlow.lastCompletedRequest)
        return sendResponse(packet, { .ack = true }, packet.request);
    if (packet.request == openFlow.currentRequest)
        return;
    openFlow.currentRequest = packet.request;
    openFlow.isExecuting = true;
    if (!classes_.at(packet.portClass).portClass.idempotent)
        oracle_.recordExecution(packet.flow, packet.request);
    if (!isPerRequest(packet.portClass))
        return executeRequest(packet);
    if (slotsInUse_ >= options_.slots)
        closeEndedFlows();
    const bool full = slotsInUse_ >= options_.slots;
    occupySlot(packet.flow);
    if (!full)
        return executeRequest(packet);
    requestQueue_.push_back({ .packet = packet, .incarnation = incarnation_ });
}

void FakeBackendServer::executeRequest(const WirePacket& packet)
{
    const auto& info = classes_.at(packet.portClass);
    const double spread = 0.5 + random_.unit();
    const double factor = serviceTimeFactor_ * spread * (1 + (1 - warmUpProgress()));
    const auto milliseconds = static_cast<double>(info.load.serviceTime.count()) * factor;
    const Base::nanoseconds executionTime(static_cast<int64_t>(milliseconds * 1e6));
    loop_.after(executionTime, [this, packet, executionTime, incarnation = incarnation_] {
        if (incarnation == incarnation_)
            completeRequest(packet, executionTime);
    });
}

void FakeBackendServer::completeRequest(const WirePacket& packet, Base::nanoseconds executionTime)
{
    const auto found = flows_.find(packet.summary.key);
    if (found == flows_.end() || found->second.flow != packet.flow || !found->second.isExecuting)
        return;
    busyTime_ += executionTime;
    found->second.isExecuting = false;
    found->second.lastCompletedRequest = packet.request;
    if (isPerRequest(packet.portClass))
        --slotsInUse_;
    sendResponse(packet, { .ack = true }, packet.request);
    startQueuedRequest();
}

void FakeBackendServer::startQueuedRequest()
{
    while (!requestQueue_.empty()) {
        const auto queued = requestQueue_.front();
        requestQueue_.pop_front();
        const auto found = flows_.find(queued.packet.summary.key);
        if (found == flows_.end() || found->second.flow != queued.packet.flow || !found->second.isExecuting)
            continue;
        return executeRequest(queued.packet);
    }
}

void FakeBackendServer::handleFinOrReset(const WirePacket& packet)
{
    const auto found = flows_.find(packet.summary.key);
    if (found == flows_.end() || found->second.flow != packet.flow) {
        if (packet.summary.flags.fin && closed_.contains(packet.flow))
            return sendResponse(packet, { .ack = true, .fin = true }, 0);
        if (packet.summary.flags.fin)
            sendResponse(packet, { .rst = true }, 0);
        return;
    }
    close(packet.summary.key);
    if (packet.summary.flags.fin)
        sendResponse(packet, { .ack = true, .fin = true }, 0);
}

void FakeBackendServer::close(const Packet::FlowKey& key)
{
    const auto found = flows_.find(key);
    const bool occupiesSlot
        = isPerFlow(found->second.portClass) || (isPerRequest(found->second.portClass) && found->second.isExecuting);
    closed_[found->second.flow] = loop_.now();
    flows_.erase(found);
    if (!occupiesSlot)
        return;
    --slotsInUse_;
    startQueuedRequest();
}

void FakeBackendServer::sendResponse(const WirePacket& packet, Packet::TcpFlags flags, uint32_t request)
{
    WirePacket reply = packet;
    reply.summary.direction = Packet::Direction::ToCaller;
    reply.summary.flags = flags;
    reply.summary.payloadLength = request == 0 ? 0 : 800;
    reply.request = request;
    reply.backendServer = options_.id;
    const auto found = flows_.find(packet.summary.key);
    reply.connection = found != flows_.end() && found->second.flow == packet.flow ? found->second.connection : 0;
    if (packet.summary.key.protocol == Packet::IpProtocol::Udp && !flags.rst)
        reply.summary.flags = {};
    options_.send(reply);
}

bool FakeBackendServer::hasRoom(Configuration::SlotUse slotUse) const
{
    const bool freeSlot = slotUse == Configuration::SlotUse::None || slotsInUse_ < options_.slots;
    return up_ && isWarm() && !leavingAfter_ && !outAfter_ && freeSlot && flows_.size() < options_.connections;
}

Flow::BackendServerReport FakeBackendServer::report() const
{
    Flow::BackendServerReport report { .backendServer = options_.id,
        .healthy = up_,
        .slotsInUse = slotsInUse_,
        .connections = static_cast<uint32_t>(flows_.size()),
        .startToken = incarnation_,
        .observedAt = loop_.now() };
    if (reportFault_ == ReportFault::FalselyUnhealthy)
        report.healthy = false;
    if (reportFault_ == ReportFault::FalselyIdle)
        report.slotsInUse = 0;
    return report;
}

}
