#include "TcpFlow.h"

#include <algorithm>

namespace StandIn {

static constexpr unsigned maximumBackoffDoublings = 3;

/// Whether sequence number a precedes b, modulo 2^32.
static bool isBefore(uint32_t a, uint32_t b) { return static_cast<int32_t>(a - b) < 0; }

TcpFlow::TcpFlow(Options options)
    : options_(std::move(options))
    , nextSequence_(options_.initialSequence)
{
}

void TcpFlow::connect(Base::TimePoint now) { queueSegment(now, TcpSyn, {}); }

void TcpFlow::accept(Base::TimePoint now, const WirePacket& synPacket)
{
    state_ = State::SynReceived;
    expectedSequence_ = synPacket.sequence + 1;
    queueSegment(now, TcpSyn | TcpAck, {});
}

void TcpFlow::write(Base::TimePoint now, std::string_view payload)
{
    while (!payload.empty()) {
        const auto part = payload.substr(0, segmentBytes);
        queueSegment(now, TcpPush | TcpAck, std::string(part));
        payload.remove_prefix(part.size());
    }
}

void TcpFlow::close(Base::TimePoint now)
{
    if (localClosed_)
        return;
    localClosed_ = true;
    queueSegment(now, TcpFin | TcpAck, {});
}

void TcpFlow::abort()
{
    sendControl(TcpReset | TcpAck);
    state_ = State::Reset;
    unacknowledged_.clear();
}

void TcpFlow::queueSegment(Base::TimePoint now, uint8_t flags, std::string payload)
{
    unacknowledged_.push_back(
        { .sequence = nextSequence_, .flags = flags, .payload = std::move(payload), .nextTransmission = now });
    nextSequence_ += unacknowledged_.back().length();
    if (state_ != State::SynSent || flags == TcpSyn)
        transmit(now, unacknowledged_.back());
}

void TcpFlow::transmit(Base::TimePoint now, Segment& segment)
{
    const auto backoff
        = options_.initialRetransmissionTimeout * (1U << std::min(segment.transmissions, maximumBackoffDoublings));
    segment.transmissions++;
    segment.nextTransmission = now + backoff;
    options_.sendPacket({ .source = options_.local,
        .destination = options_.remote,
        .transport = Transport::Tcp,
        .flags = segment.flags,
        .sequence = segment.sequence,
        .acknowledgement = expectedSequence_,
        .payload = segment.payload });
}

void TcpFlow::sendControl(uint8_t flags)
{
    options_.sendPacket({ .source = options_.local,
        .destination = options_.remote,
        .transport = Transport::Tcp,
        .flags = flags,
        .sequence = nextSequence_,
        .acknowledgement = expectedSequence_ });
}

void TcpFlow::tick(Base::TimePoint now)
{
    if (state_ == State::Reset || state_ == State::TimedOut)
        return;
    for (auto& segment : unacknowledged_) {
        if (state_ == State::SynSent && segment.flags != TcpSyn)
            break;
        if (segment.nextTransmission > now)
            continue;
        if (segment.transmissions >= options_.maximumTransmissions) {
            state_ = State::TimedOut;
            return;
        }
        transmit(now, segment);
    }
}

void TcpFlow::handleAcknowledgement(uint32_t acknowledgement)
{
    while (!unacknowledged_.empty()) {
        const auto& first = unacknowledged_.front();
        if (first.transmissions == 0 || isBefore(acknowledgement, first.sequence + first.length()))
            break;
        unacknowledged_.pop_front();
    }
}

bool TcpFlow::handleSyn(Base::TimePoint now, const WirePacket& packet)
{
    const bool isSynAck = (packet.flags & TcpAck) != 0;
    if (state_ != State::SynSent) {
        if (isSynAck)
            sendControl(TcpAck);
        else if (state_ == State::SynReceived)
            transmit(now, unacknowledged_.front());
        return false;
    }
    if (!isSynAck || packet.acknowledgement != options_.initialSequence + 1)
        return false;
    state_ = State::Established;
    expectedSequence_ = packet.sequence + 1;
    handleAcknowledgement(packet.acknowledgement);
    sendControl(TcpAck);
    for (auto& segment : unacknowledged_)
        transmit(now, segment);
    return true;
}

void TcpFlow::handlePayload(const WirePacket& packet)
{
    const auto end = packet.sequence + static_cast<uint32_t>(packet.payload.size());
    if (!packet.payload.empty() && !isBefore(packet.sequence, expectedSequence_))
        outOfOrder_.emplace(packet.sequence, packet.payload);
    if ((packet.flags & TcpFin) != 0)
        finSequence_ = end;
    deliverInOrder();
    if (!packet.payload.empty() || (packet.flags & TcpFin) != 0)
        sendControl(TcpAck);
}

void TcpFlow::deliverInOrder()
{
    for (auto entry = outOfOrder_.find(expectedSequence_); entry != outOfOrder_.end();
         entry = outOfOrder_.find(expectedSequence_)) {
        const auto payload = std::move(entry->second);
        outOfOrder_.erase(entry);
        expectedSequence_ += static_cast<uint32_t>(payload.size());
        options_.onData(payload);
    }
    if (!remoteClosed_ && finSequence_ && *finSequence_ == expectedSequence_) {
        remoteClosed_ = true;
        expectedSequence_++;
    }
}

void TcpFlow::updateFinished()
{
    if (localClosed_ && remoteClosed_ && unacknowledged_.empty())
        state_ = State::Closed;
}

void TcpFlow::receive(Base::TimePoint now, const WirePacket& packet)
{
    if (state_ == State::Reset || state_ == State::TimedOut)
        return;
    if ((packet.flags & TcpReset) != 0) {
        const bool isAcceptable
            = state_ == State::SynSent ? packet.acknowledgement == options_.initialSequence + 1 : true;
        if (isAcceptable)
            state_ = State::Reset;
        return;
    }
    if ((packet.flags & TcpSyn) != 0) {
        handleSyn(now, packet);
        return;
    }
    if (state_ == State::SynSent)
        return;
    if (state_ == State::SynReceived && packet.acknowledgement == options_.initialSequence + 1)
        state_ = State::Established;
    handleAcknowledgement(packet.acknowledgement);
    handlePayload(packet);
    updateFinished();
}

}
