#include <LibSteering/Process/ResponseQuality.h>
#include <LibSteering/Process/Room.h>

#include <algorithm>

namespace Steering {

namespace {

    /// A response shorter than this share of the usual length is short. Failures are error pages of a few hundred
    /// bytes; complete responses of one address rarely differ that much from the shortest tenth of them.
    constexpr double shortResponseFactor = 0.6;
    constexpr double shortestQuantile = 0.1;
    /// Responses needed before the estimate of the usual length is used; the first ones change it in larger steps.
    constexpr uint64_t minimumResponses = 64;
    constexpr double minimumStep = 0.05;
    /// Weight of a new response in a server's moving average of short ones.
    constexpr double shortShareSmoothingFactor = 0.125;
    /// Random variation makes the shares of equal servers differ by less than this factor.
    constexpr double randomSpreadFactor = 2.0;
    constexpr Base::milliseconds baselineUpdateInterval { 1000 };
    /// The estimate of an address without responses for this long is removed; it is learned again within seconds.
    constexpr Base::minutes idleAddressTimeout { 10 };

    /// Whether the server holds as many requests as it is meant to, without the back-off periods.
    bool isFull(const Server& server)
    {
        return server.inFlight() - std::min(server.ownBackOffs, server.ownInFlight)
            >= server.entry.slots * Room::placesPerSlot;
    }

}

bool ResponseQuality::updateEstimate(LengthEstimate& usual, uint32_t bytes) const
{
    ++usual.responses;
    const auto length = static_cast<double>(std::max<uint32_t>(bytes, 1));
    if (usual.responses == 1) {
        usual.bytes = length;
        return false;
    }
    const bool isShort = usual.responses > minimumResponses && length < usual.bytes * shortResponseFactor;
    // Steps up and down balance where the shortest tenth of the responses lies below the estimate.
    const double step = std::max(minimumStep, 1.0 / static_cast<double>(usual.responses));
    usual.bytes = length > usual.bytes ? usual.bytes * (1 + step * shortestQuantile)
                                       : usual.bytes / (1 + step * (1 - shortestQuantile));
    return isShort;
}

double ResponseQuality::medianShortShare(Base::TimePoint now, ServiceIndex service)
{
    auto& baseline = baselines_[service];
    if (now < baseline.validUntil)
        return baseline.medianShortShare;
    std::vector<double> shares;
    for (const auto index : servers_.serversOf(service)) {
        if (servers_.at(index).presence == Presence::Listed)
            shares.push_back(servers_.at(index).shortResponseShare);
    }
    baseline.validUntil = now + baselineUpdateInterval;
    baseline.medianShortShare = 0;
    if (shares.empty())
        return 0;
    const auto middle = shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 2);
    std::ranges::nth_element(shares, middle);
    baseline.medianShortShare = *middle;
    return *middle;
}

std::optional<ResponseQuality::ShortResponse> ResponseQuality::recordResponse(
    Base::TimePoint now, const Base::Ipv4Endpoint& service, BackendServerNumber number, uint32_t bytes)
{
    const auto index = servers_.find(number);
    if (!index)
        return std::nullopt;
    auto& server = servers_.at(*index);
    auto& usual = usual_[service];
    usual.lastResponseAt = now;
    // A full server rejects requests, which is no failure.
    if (isFull(server) && bytes < usual.bytes * shortResponseFactor)
        return std::nullopt;
    const bool isShort = updateEstimate(usual, bytes);
    server.shortResponseShare += ((isShort ? 1.0 : 0.0) - server.shortResponseShare) * shortShareSmoothingFactor;
    if (!isShort || backOffs_.size() >= options_.maximumBackOffs)
        return std::nullopt;
    const double excess = server.shortResponseShare - medianShortShare(now, server.service) * randomSpreadFactor;
    if (excess <= 0)
        return std::nullopt;
    const auto backOff = std::chrono::duration_cast<Base::milliseconds>(options_.maximumBackOff * excess);
    ++server.ownInFlight;
    ++server.ownBackOffs;
    backOffs_.emplace(now + backOff, number);
    return ShortResponse { .bytes = bytes, .usualBytes = static_cast<uint32_t>(usual.bytes), .backOffTime = backOff };
}

void ResponseQuality::expire(Base::TimePoint now)
{
    while (!backOffs_.empty() && backOffs_.begin()->first <= now) {
        const auto number = backOffs_.begin()->second;
        servers_.decrementOwnInFlight(number);
        if (const auto index = servers_.find(number); index && servers_.at(*index).ownBackOffs > 0)
            --servers_.at(*index).ownBackOffs;
        backOffs_.erase(backOffs_.begin());
    }
    boost::unordered::erase_if(
        usual_, [&](const auto& entry) { return now - entry.second.lastResponseAt > idleAddressTimeout; });
}

}
