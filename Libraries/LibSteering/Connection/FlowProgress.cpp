#include <LibSteering/Connection/FlowProgress.h>

#include <algorithm>

namespace Steering {

namespace {

    /// Compares sequence numbers, which wrap around.
    bool isAfter(uint32_t sequence, uint32_t other) { return static_cast<int32_t>(sequence - other) > 0; }

}

void FlowProgress::recordAttempt(FlowRecord& record, Server& server)
{
    ++server.ownInFlight;
    record.isCountedInFlight = true;
    record.attemptedServers[record.attemptCount++] = server.entry.number;
}

void FlowProgress::recordOpened(FlowRecord& record, Server& server, const PacketView& packet)
{
    stopCounting(record);
    ++server.ownInFlight;
    record.isCountedInFlight = true;
    record.state = FlowState::Open;
    record.server = server.entry.number;
    record.acknowledgedAtRequest = packet.acknowledged;
    record.requestEndSequence = packet.sequence;
}

FlowProgress::Progress FlowProgress::processPacket(Base::TimePoint now, FlowRecord& record, const PacketView& packet)
{
    const bool hasResponse = packet.acknowledges && isAfter(packet.acknowledged, record.acknowledgedAtRequest);
    const auto dataEnd = packet.sequence + packet.dataBytes;
    const bool isNewData = packet.dataBytes > 0 && isAfter(dataEnd, record.requestEndSequence);
    Progress progress { .startsResponse = hasResponse && record.isWithoutResponse() };
    if (packet.ends || packet.resets || hasResponse)
        stopCounting(record);
    // A caller that sends its next request, or ends the flow, has received the whole response. One that ends the flow
    // without a response has abandoned its request; this counts as a response of 0 bytes.
    const bool isNextRequest = isNewData && hasResponse;
    if (record.isAwaitingResponse && (isNextRequest || (packet.ends && packet.acknowledges))) {
        const auto bytes = hasResponse ? packet.acknowledged - record.acknowledgedAtRequest : 0;
        progress.shortResponse = responseQuality_.recordResponse(now, packet.flow.service, record.server, bytes);
        record.isAwaitingResponse = false;
    }
    if (!isNewData)
        return progress;
    record.requestEndSequence = dataEnd;
    progress.hasRequestData = true;
    if (record.isAwaitingResponse)
        return progress;
    record.isAwaitingResponse = true;
    progress.startsRequest = true;
    record.acknowledgedAtRequest = packet.acknowledged;
    const auto index = servers_.find(record.server);
    if (!record.isCountedInFlight && index) {
        ++servers_.at(*index).ownInFlight;
        record.isCountedInFlight = true;
    }
    return progress;
}

void FlowProgress::stopCounting(FlowRecord& record)
{
    if (!record.isCountedInFlight)
        return;
    record.isCountedInFlight = false;
    if (record.state != FlowState::Opening) {
        servers_.decrementOwnInFlight(record.server);
        return;
    }
    for (std::size_t index = 0; index < record.attemptCount; ++index)
        servers_.decrementOwnInFlight(record.attemptedServers[index]);
}

}
