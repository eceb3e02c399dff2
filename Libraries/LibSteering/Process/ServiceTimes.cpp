#include <LibSteering/Process/ServiceTimes.h>

#include <algorithm>
#include <cmath>

namespace Steering {

namespace {

    /// Peers may have filled the other half of the slots since their last reports.
    constexpr uint32_t knownSlotDivisor = 2;
    /// Requests that waited for a slot although it seemed free lie above, since load reports are old when they arrive.
    constexpr double estimatedQuantile = 0.25;
    /// The first samples change an estimate in larger steps, later ones by at least these shares.
    constexpr double minimumUsualStep = 0.02;
    constexpr double minimumServerStep = 0.06;
    /// Samples of a service address needed before its usual time is used.
    constexpr uint32_t minimumUsualSamples = 64;
    /// Samples of a server needed before its estimate is used.
    constexpr uint32_t minimumServerSamples = 16;
    /// A server differs clearly beyond this ratio, and no longer below the smaller one.
    constexpr double clearRatio = 1.25;
    constexpr double unclearRatio = 1.12;
    /// An error of measurement must not attract all flows to a server, or keep all of them away.
    constexpr double minimumRelativeTime = 0.5;
    constexpr double maximumRelativeTime = 4;
    /// A server without samples for this long has half of its estimated difference left.
    constexpr Base::seconds halfLife { 30 };
    constexpr Base::minutes idleTimeout { 10 };
    constexpr Base::milliseconds updateInterval { 1000 };
    /// Several consecutive lost reports.
    constexpr Base::milliseconds reportLifetime { 2000 };
    /// A server that fails requests quickly looks fast. Beyond this share of short responses it does not count as such.
    constexpr double maximumShortShareOfFastServers = 0.05;

    /// An entry VM sends up to 100 load reports a second: 12 bytes for each of these take 10 of the 25 kB/s for
    /// control.
    constexpr std::size_t speedsPerReport = 8;

    constexpr double thousandths = 1000;

}

void ServiceTimes::updateQuantile(double& estimate, uint32_t& samples, double sample, double minimumStep)
{
    ++samples;
    if (samples == 1) {
        estimate = sample;
        return;
    }
    // Steps up and down balance where this share of the samples lies below the estimate.
    const double step = std::max(minimumStep, 1.0 / samples);
    estimate = sample > estimate ? estimate * (1 + step * estimatedQuantile)
                                 : estimate / (1 + step * (1 - estimatedQuantile));
}

bool ServiceTimes::isSample(const Server& server)
{
    return server.inFlight() <= std::max<uint32_t>(1, server.entry.slots / knownSlotDivisor);
}

void ServiceTimes::recordResponse(
    Base::TimePoint now, const Base::Ipv4Endpoint& service, BackendServerNumber number, Base::microseconds time)
{
    const auto index = servers_.find(number);
    if (!index || time <= Base::microseconds(0))
        return;
    const auto sample = static_cast<double>(time.count());
    auto& usual = usual_[service];
    usual.lastSampleAt = now;
    updateQuantile(usual.microseconds, usual.samples, sample, minimumUsualStep);
    if (usual.samples < minimumUsualSamples)
        return;
    const auto& entry = servers_.at(*index).entry;
    auto& estimate = estimates_[number];
    if (estimate.startedAt != entry.startedAt)
        estimate = { .startedAt = entry.startedAt };
    estimate.lastSampleAt = now;
    const auto ratio = std::clamp(sample / usual.microseconds, minimumRelativeTime / 2, maximumRelativeTime * 2);
    updateQuantile(estimate.ownTime, estimate.samples, ratio, minimumServerStep);
}

void ServiceTimes::acceptReport(Base::TimePoint now, Base::EntryVmId sender, std::span<const ServerSpeed> speeds)
{
    for (const auto& speed : speeds) {
        const auto index = servers_.find(speed.number);
        if (!index)
            continue;
        auto& estimate = estimates_[speed.number];
        if (estimate.samples == 0)
            estimate.startedAt = servers_.at(*index).entry.startedAt;
        const PeerEstimate reported { .peer = sender,
            .relativeTime
            = std::clamp(speed.relativeThousandths / thousandths, minimumRelativeTime, maximumRelativeTime),
            .receivedAt = now };
        const auto known = std::ranges::find(estimate.peers, sender, &PeerEstimate::peer);
        if (known != estimate.peers.end())
            *known = reported;
        else
            estimate.peers.push_back(reported);
    }
}

double ServiceTimes::agedLogarithm(Base::TimePoint now, const Estimate& estimate)
{
    const double halvings = Base::toSeconds(now - estimate.lastSampleAt) / Base::toSeconds(halfLife);
    return std::log(estimate.ownTime) * std::exp2(-halvings);
}

std::map<ServiceIndex, double> ServiceTimes::medianLogarithms(Base::TimePoint now) const
{
    std::map<ServiceIndex, std::vector<double>> logarithms;
    for (const auto& [number, estimate] : estimates_) {
        const auto index = servers_.find(number);
        if (index && estimate.samples >= minimumServerSamples)
            logarithms[servers_.at(*index).service].push_back(agedLogarithm(now, estimate));
    }
    std::map<ServiceIndex, double> medians;
    for (auto& [service, values] : logarithms) {
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::ranges::nth_element(values, middle);
        medians[service] = *middle;
    }
    return medians;
}

void ServiceTimes::updateServer(Base::TimePoint now, Server& server, const Estimate& estimate, double medianLogarithm)
{
    const double clear = std::log(clearRatio);
    double sum = 0;
    std::size_t count = 0;
    if (estimate.samples >= minimumServerSamples) {
        sum = agedLogarithm(now, estimate) - medianLogarithm;
        count = 1;
        if (std::abs(sum) >= clear) {
            const auto relative = std::clamp(std::exp(sum), minimumRelativeTime, maximumRelativeTime);
            ownSpeeds_.push_back({ .number = server.entry.number,
                .relativeThousandths = static_cast<uint32_t>(std::lround(relative * thousandths)) });
        }
    }
    for (const auto& peer : estimate.peers) {
        sum += std::log(peer.relativeTime);
        ++count;
    }
    const double logarithm = count > 0 ? sum / static_cast<double>(count) : 0;
    const bool wasDifferent = server.relativeServiceTime != 1;
    if (std::abs(logarithm) < (wasDifferent ? std::log(unclearRatio) : clear)) {
        server.relativeServiceTime = 1;
        return;
    }
    const double minimum = server.shortResponseShare > maximumShortShareOfFastServers ? 1 : minimumRelativeTime;
    server.relativeServiceTime = std::clamp(std::exp(logarithm), minimum, maximumRelativeTime);
}

void ServiceTimes::update(Base::TimePoint now)
{
    if (now < nextUpdate_)
        return;
    nextUpdate_ = now + updateInterval;
    ownSpeeds_.clear();
    auto medians = medianLogarithms(now);
    for (auto& [number, estimate] : estimates_) {
        std::erase_if(estimate.peers, [&](const PeerEstimate& peer) { return now - peer.receivedAt > reportLifetime; });
        const auto index = servers_.find(number);
        if (!index)
            continue;
        auto& server = servers_.at(*index);
        if (estimate.startedAt != server.entry.startedAt)
            estimate = { .startedAt = server.entry.startedAt };
        updateServer(now, server, estimate, medians[server.service]);
    }
    if (ownSpeeds_.size() > options_.maximumReported) {
        std::ranges::sort(ownSpeeds_, std::greater<> {},
            [](const ServerSpeed& speed) { return std::abs(std::log(speed.relativeThousandths / thousandths)); });
        ownSpeeds_.resize(options_.maximumReported);
    }
    boost::unordered::erase_if(estimates_, [&](const auto& entry) {
        const auto& [number, estimate] = entry;
        return !servers_.find(number) || (estimate.peers.empty() && now - estimate.lastSampleAt > idleTimeout);
    });
    boost::unordered::erase_if(
        usual_, [&](const auto& entry) { return now - entry.second.lastSampleAt > idleTimeout; });
}

std::vector<ServerSpeed> ServiceTimes::takeReportedSpeeds()
{
    std::vector<ServerSpeed> reported;
    for (std::size_t count = 0; count < std::min(speedsPerReport, ownSpeeds_.size()); ++count)
        reported.push_back(ownSpeeds_[reportedSpeeds_++ % ownSpeeds_.size()]);
    return reported;
}

}
