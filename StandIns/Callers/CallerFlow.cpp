#include "CallerFlow.h"

namespace StandIn {

static constexpr Base::milliseconds udpRetransmissionTimeout { 400 };
static constexpr unsigned udpTransmissionLimit = 6;
/// A flow whose request gets no response within this time fails as stalled.
static constexpr Base::milliseconds responseTimeout { 6000 };
static constexpr Base::milliseconds closeTimeout { 4000 };

CallerFlow::CallerFlow(Options options, Base::TimePoint now)
    : options_(std::move(options))
    , remainingRequests_(options_.longLived ? options_.plan->longLivedRequests : 1)
    , openedAt_(now)
    , nextRequestAt_(now)
    , openedWallMilliseconds_(options_.wallMilliseconds())
{
    options_.statistics->opened++;
    if (!isTcp())
        return;
    tcp_ = std::make_unique<TcpFlow>(TcpFlow::Options {
        .local = options_.caller,
        .remote = options_.plan->endpoint,
        .initialSequence = options_.initialSequence,
        .sendPacket = options_.sendPacket,
        .onData = [this](std::string_view data) { buffer_.append(data); },
    });
    tcp_->connect(now);
}

void CallerFlow::sendRequest(Base::TimePoint now)
{
    remainingRequests_--;
    pendingRequest_ = WorkRequest { .id = options_.nextRequestId(),
        .service = options_.plan->service,
        .portClass = options_.plan->portClass,
        .idempotent = options_.plan->idempotent };
    requestedAt_ = now;
    requestSecond_ = options_.wallMilliseconds() / 1000;
    options_.statistics->requests++;
    options_.statistics->requestsBySecond[requestSecond_].first++;
    transmissions_ = 0;
    if (isTcp())
        tcp_->write(now, encodeRequest(*pendingRequest_));
    else
        transmitUdp(now);
}

void CallerFlow::transmitUdp(Base::TimePoint now)
{
    transmissions_++;
    nextTransmissionAt_ = now + udpRetransmissionTimeout;
    options_.sendPacket({ .source = options_.caller,
        .destination = options_.plan->endpoint,
        .transport = Transport::Udp,
        .payload = encodeRequest(*pendingRequest_) });
}

void CallerFlow::receive(Base::TimePoint now, const WirePacket& packet)
{
    if (packet.transport == Transport::Icmp) {
        fail(isEstablished_ ? FlowFailure::Reset : FlowFailure::Refused);
        return;
    }
    if (isTcp())
        tcp_->receive(now, packet);
    else
        buffer_ = packet.payload;
    while (auto line = extractLine(buffer_))
        handleLine(now, *line);
}

void CallerFlow::handleLine(Base::TimePoint now, const std::string& line)
{
    const auto response = decodeResponse(line, !isTcp());
    if (!response) {
        options_.statistics->corrupt++;
        return;
    }
    if (pendingRequest_ && response->id == pendingRequest_->id)
        handleResponse(now, *response);
    else if (isTcp())
        options_.statistics->corrupt++;
}

void CallerFlow::handleResponse(Base::TimePoint now, const WorkResponse& response)
{
    auto& statistics = *options_.statistics;
    const auto latency = now - requestedAt_;
    statistics.answered++;
    statistics.latenciesMilliseconds.push_back(Base::toSeconds(latency) * 1000);
    if (latency > options_.plan->deadline)
        statistics.late++;
    else
        statistics.requestsBySecond[requestSecond_].second++;
    if (backendServer_.empty()) {
        backendServer_ = response.backendServer;
        failureDomain_ = response.failureDomain;
        statistics.flowsByBackendServer[backendServer_]++;
        isEstablished_ = true;
    }
    pendingRequest_.reset();
    nextRequestAt_ = now + options_.plan->pauseBetweenRequests;
}

void CallerFlow::tick(Base::TimePoint now)
{
    if (hasEnded_)
        return;
    if (isTcp())
        tickTcp(now);
    else
        tickUdp(now);
    if (!hasEnded_ && pendingRequest_ && now - requestedAt_ > responseTimeout)
        fail(FlowFailure::Stalled);
}

void CallerFlow::tickTcp(Base::TimePoint now)
{
    tcp_->tick(now);
    const auto state = tcp_->state();
    if (state == TcpFlow::State::Reset || state == TcpFlow::State::TimedOut) {
        const bool wasReset = state == TcpFlow::State::Reset;
        if (isClosing_ && !pendingRequest_)
            finish();
        else if (isEstablished_)
            fail(wasReset ? FlowFailure::Reset : FlowFailure::Stalled);
        else
            fail(wasReset ? FlowFailure::Refused : FlowFailure::NotEstablished);
        return;
    }
    if (state == TcpFlow::State::SynSent)
        return;
    isEstablished_ = true;
    if (tcp_->isFinished() || (isClosing_ && now - closedAt_ > closeTimeout)) {
        finish();
        return;
    }
    if (pendingRequest_ || isClosing_ || now < nextRequestAt_)
        return;
    if (remainingRequests_ > 0) {
        sendRequest(now);
        return;
    }
    isClosing_ = true;
    closedAt_ = now;
    tcp_->close(now);
}

void CallerFlow::tickUdp(Base::TimePoint now)
{
    if (!pendingRequest_) {
        if (remainingRequests_ == 0)
            finish();
        else if (now >= nextRequestAt_)
            sendRequest(now);
        return;
    }
    if (now < nextTransmissionAt_)
        return;
    if (transmissions_ >= udpTransmissionLimit)
        fail(isEstablished_ ? FlowFailure::Stalled : FlowFailure::NotEstablished);
    else
        transmitUdp(now);
}

void CallerFlow::fail(FlowFailure failure)
{
    if (hasEnded_)
        return;
    hasEnded_ = true;
    FailedFlow flow { .flow = options_.id,
        .failure = failure,
        .wallMilliseconds = options_.wallMilliseconds(),
        .openedWallMilliseconds = openedWallMilliseconds_,
        .backendServer = backendServer_,
        .failureDomain = failureDomain_,
        .unanswered = {} };
    if (pendingRequest_)
        flow.unanswered.push_back(pendingRequest_->id);
    options_.statistics->failed.push_back(std::move(flow));
}

void CallerFlow::finish()
{
    hasEnded_ = true;
    options_.statistics->finished++;
}

}
