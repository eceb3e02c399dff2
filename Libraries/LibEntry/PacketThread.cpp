#include <LibEntry/PacketThread.h>

#include <LibEntry/Events.h>
#include <LibEntry/FlowLog.h>
#include <LibLog/Log.h>
#include <LibPeer/Sockets.h>
#include <LibSteering/Process/DisseminationTimes.h>
#include <algorithm>
#include <array>
#include <cstring>
#include <ctime>
#include <netinet/in.h>
#include <platform/RequestId.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Entry {

namespace {

    /// Packets are queued in the socket while the process's CPU quota is used up; this holds one second of a busy
    /// machine's packets.
    constexpr int receiveBufferBytes = 2 * 1024 * 1024;
    /// Callers retransmit a first packet after 200 ms and again after 400 ms, so older packets are useless.
    constexpr Base::milliseconds initialConfigurationTimeout { 400 };
    constexpr std::size_t maximumReportBytes = 65'000;
    /// Requests take 15 to 20 ms and backend servers have two slots, so older load counts are of little use for the
    /// next choice. Other failure domains matter only when the own one is full, and traffic to them is charged, so they
    /// get fewer reports.
    constexpr auto nearReportInterval = Steering::DisseminationTimes::nearReportInterval;
    constexpr Base::milliseconds farReportInterval { 200 };
    /// Limits the reports that an entry VM sends to about 100/s, regardless of the number of peers.
    constexpr Base::milliseconds reportIntervalPerPeer { 10 };
    constexpr Base::milliseconds statisticsInterval { 1000 };
    /// A longer round delays queued packets by a noticeable part of a handshake.
    constexpr Base::milliseconds lateRoundThreshold { 5 };
    /// Maximum sleep if no timer is due earlier.
    constexpr auto maximumSleep = Steering::DisseminationTimes::roleCheckInterval;
    /// A round that takes longer means that the process did not run. By then, callers have abandoned their first
    /// packets and retransmitted all others.
    constexpr Base::milliseconds processPauseThreshold { 1500 };
    /// Thousands of backend servers are listed at startup; packets wait for at most this many events at a time.
    constexpr int stateEventsPerRoundLimit = 256;

    uint64_t initialReportSequence()
    {
        // Reports of a restarted process must have higher numbers than earlier ones. Microseconds suffice, since no
        // process sends a million reports per second.
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<uint64_t>(std::chrono::duration_cast<Base::microseconds>(sinceEpoch).count());
    }

}

/// Buffers for one batch of packets, allocated once.
struct PacketThread::Buffers {
    std::array<std::array<std::byte, bufferBytes>, batchSize> packets;
    std::array<std::array<std::byte, Platform::packetHeaderBytes>, batchSize> resets;
    std::size_t resetCount { 0 };
    std::array<iovec, batchSize> parts {};
    std::array<mmsghdr, batchSize> messages {};
    std::array<std::byte, maximumReportBytes> report;
};

Base::ErrorOr<std::unique_ptr<PacketThread>> PacketThread::create(
    const EntrySettings& settings, StateFeed& feed, CatchUpThread& catchUp, StoreThread& store)
{
    TRY_ASSIGN(authenticator, Peer::Authenticator::create(settings.control.keys));
    TRY_ASSIGN(regions, regionsOf(settings));
    TRY_ASSIGN(dataSocket, Peer::bindUdp(settings.data, false));
    TRY_ASSIGN(reportSocket, Peer::bindUdp(settings.reports, false));
    ::setsockopt(dataSocket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
    return std::unique_ptr<PacketThread>(
        new PacketThread(settings, feed, catchUp, store, std::move(authenticator), dataSocket, reportSocket,
            { .self = settings.identity(),
                .failureDomain = settings.failureDomain,
                .linkMegabits = static_cast<uint64_t>(settings.limits.linkMegabits),
                .regions = std::move(regions),
                .warmUpOvershoot = settings.warmUp.overshoot,
                .warmUpSlack = settings.warmUp.slack,
                .flowLifetime = settings.limits.flowLifetime,
                .maximumFlows = settings.limits.maximumFlows,
                .seed = Base::hashText(settings.name),
                .onDecision = logFlowDecision,
                .onContestedServer = logContestedServer }));
}

PacketThread::PacketThread(const EntrySettings& settings, StateFeed& feed, CatchUpThread& catchUp, StoreThread& store,
    Peer::Authenticator authenticator, int dataSocket, int reportSocket,
    const Steering::SteeringDecider::Options& options)
    : settings_(settings)
    , feed_(feed)
    , catchUp_(catchUp)
    , store_(store)
    , authenticator_(std::move(authenticator))
    , dataSocket_(dataSocket)
    , reportSocket_(reportSocket)
    , decider_(options)
    , watcherChoice_({ .self = options.self,
          .failureDomain = options.failureDomain,
          .linkMegabits = static_cast<uint64_t>(settings.limits.linkMegabits),
          .watchersPerDomain = settings.store.watchersPerDomain })
    , buffers_(std::make_unique<Buffers>())
    , probes_([this] { wakeup_.wake(); })
    , reportSequence_(initialReportSequence())
{
    batch_.setSegmentation(false);
}

PacketThread::~PacketThread()
{
    stop();
    ::close(dataSocket_);
    ::close(reportSocket_);
}

void PacketThread::start()
{
    probes_.start();
    worker_.start([this] { run(); });
}

void PacketThread::stop()
{
    worker_.requestStop();
    wakeup_.wake();
    worker_.stop();
    probes_.stop();
}

Base::milliseconds PacketThread::timeSinceLastPacket() const
{
    return std::chrono::duration_cast<Base::milliseconds>(std::chrono::steady_clock::now() - lastPacketAt_.load());
}

PacketStatistics PacketThread::statistics() const
{
    const std::scoped_lock lock(statisticsMutex_);
    return publishedStatistics_;
}

void PacketThread::run()
{
    startedAt_ = std::chrono::steady_clock::now();
    while (!worker_.isStopping()) {
        const Base::TimePoint now = std::chrono::steady_clock::now();
        if (now - expectedRoundStart_ > lateRoundThreshold && expectedRoundStart_ != Base::TimePoint {})
            decider_.recordStall(now - expectedRoundStart_);
        expectedRoundStart_ = now;
        detectProcessPause();
        applyStateEvents(now);
        // After startup, packets stay queued in the socket until the first configuration arrives or the timeout ends.
        const bool mayDecide = decider_.isComplete() || now - startedAt_ > initialConfigurationTimeout;
        // The responses that timers wait for may be among the unread packets, so those are processed first.
        if (mayDecide && processPackets(now))
            continue;
        processReports(now);
        sendHedgedAttempts(now);
        exchangeProbes(now);
        sendResets();
        updateWatcherRole(now);
        sendReports(now);
        publishStatistics(now);
        sleepUntilNextTimer(now);
    }
}

void PacketThread::detectProcessPause()
{
    // The steady clock stops while a machine is suspended; CLOCK_BOOTTIME does not.
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    const Base::TimePoint now { Base::seconds(time.tv_sec) + Base::nanoseconds(time.tv_nsec) };
    const auto gap = now - lastRoundAt_;
    if (lastRoundAt_ != Base::TimePoint {} && gap > processPauseThreshold) {
        // Queued packets would open flows and run requests whose callers have timed out.
        const auto discarded = discardQueuedPackets();
        statistics_.discarded += discarded;
        Log::write(Events::processPaused,
            Log::Fields()
                .add("milliseconds", std::chrono::duration_cast<Base::milliseconds>(gap).count())
                .add("discarded", discarded)
                .add("revision", feed_.revision()));
    }
    lastRoundAt_ = now;
}

void PacketThread::applyStateEvents(Base::TimePoint now)
{
    Steering::StateEvent event;
    for (int applied = 0; applied < stateEventsPerRoundLimit && feed_.tryPop(event); ++applied)
        decider_.handle(now, event);
    if (leaving_.load(std::memory_order_relaxed) && !isDeciderStopped_) {
        decider_.stop();
        isDeciderStopped_ = true;
    }
    const bool isReady = decider_.isReady(now);
    if (ready_.exchange(isReady) != isReady) {
        Log::write(Events::readinessChanged,
            Log::Fields()
                .add("ready", isReady)
                .add("isolated", decider_.isIsolated(now))
                .add("outnumbered", decider_.isOutnumbered())
                .add("stopping", isDeciderStopped_)
                .add("version", decider_.configurationVersion()));
    }
}

int PacketThread::receiveBatch()
{
    auto& buffers = *buffers_;
    for (std::size_t index = 0; index < batchSize; ++index) {
        // Leaves room in front of the packet for the number of its backend server.
        buffers.parts[index] = { .iov_base = buffers.packets[index].data() + Platform::serverNumberBytes,
            .iov_len = bufferBytes - Platform::serverNumberBytes };
        buffers.messages[index].msg_hdr = { .msg_iov = &buffers.parts[index], .msg_iovlen = 1 };
    }
    return ::recvmmsg(dataSocket_, buffers.messages.data(), batchSize, MSG_DONTWAIT, nullptr);
}

uint64_t PacketThread::discardQueuedPackets()
{
    // The limit is the capacity of the kernel's buffer, so that the loop ends even if packets keep arriving.
    constexpr uint64_t queuedPacketsLimit = receiveBufferBytes / Platform::packetHeaderBytes;
    uint64_t discarded = 0;
    while (discarded < queuedPacketsLimit) {
        const int received = receiveBatch();
        discarded += received > 0 ? static_cast<uint64_t>(received) : 0;
        if (received < static_cast<int>(batchSize))
            break;
    }
    return discarded;
}

bool PacketThread::processPackets(Base::TimePoint now)
{
    auto& buffers = *buffers_;
    const int received = receiveBatch();
    if (received <= 0)
        return false;
    lastPacketAt_.store(now, std::memory_order_relaxed);
    statistics_.received += static_cast<uint64_t>(received);
    buffers.resetCount = 0;
    for (int index = 0; index < received; ++index) {
        const auto place = static_cast<std::size_t>(index);
        const auto bytes = Platform::serverNumberBytes + buffers.messages[place].msg_len;
        if ((buffers.messages[place].msg_hdr.msg_flags & MSG_TRUNC) != 0)
            recordMalformed(buffers.messages[place].msg_len);
        else
            decidePacket(now, std::span(buffers.packets[place]).first(bytes));
    }
    transmit();
    return static_cast<std::size_t>(received) == batchSize;
}

void PacketThread::recordMalformed(std::size_t bytes)
{
    ++statistics_.malformed;
    Log::write(Events::packetMalformed, Log::Fields().add("bytes", bytes));
}

void PacketThread::decidePacket(Base::TimePoint now, std::span<std::byte> buffer)
{
    const auto packet = buffer.subspan(Platform::serverNumberBytes);
    const auto view = Platform::decodePacket(packet);
    if (!view) {
        recordMalformed(packet.size());
        return;
    }
    const auto verdict = decider_.decide(now, *view, packet);
    if (const auto request = view->dataBytes > 0 ? Platform::findRequestId(packet) : std::nullopt)
        logRequest(*request, *view, verdict, feed_.revision());
    if (verdict.kind == Steering::VerdictKind::Forward) {
        Platform::writeServerNumber(buffer.first<Platform::serverNumberBytes>(), verdict.number);
        Platform::writeToken(packet, verdict.token);
        batch_.add(verdict.server, buffer);
    } else if (verdict.kind == Steering::VerdictKind::Reset) {
        addReset(*view);
    }
}

void PacketThread::transmit() { statistics_.sendFailures += batch_.transmit(dataSocket_).failed; }

void PacketThread::processReports(Base::TimePoint now)
{
    for (std::size_t index = 0; index < batchSize; ++index) {
        auto& buffer = buffers_->report;
        const auto received = ::recv(reportSocket_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (received < 0)
            return;
        const auto bytes = std::span(buffer).first(static_cast<std::size_t>(received));
        ++statistics_.reportsReceived;
        const bool isAuthentic = bytes.size() > Peer::authenticationCodeBytes
            && authenticator_.isAuthentic(
                bytes.subspan(Peer::authenticationCodeBytes), bytes.first(Peer::authenticationCodeBytes));
        if (!isAuthentic) {
            ++statistics_.reportsIgnored;
            continue;
        }
        const auto report
            = Base::capture([&] { return Steering::decodeLoadReport(bytes.subspan(Peer::authenticationCodeBytes)); });
        if (!report.isOk()) {
            ++statistics_.reportsIgnored;
            continue;
        }
        const bool isAccepted = decider_.acceptReport(now, *report.value);
        statistics_.reportsIgnored += isAccepted ? 0 : 1;
        // A sender without a record here may hold newer records, for example after this process was restarted while the
        // store does not respond.
        if (isAccepted || !decider_.peers().contains(report.value->sender))
            updateCatchUpPeer(now, *report.value);
    }
}

void PacketThread::updateCatchUpPeer(Base::TimePoint now, const Steering::LoadReport& report)
{
    const auto peer = decider_.peers().find(report.sender);
    const bool isNear = peer != decider_.peers().end() && peer->second.failureDomain == settings_.failureDomain;
    const bool isStoreResponding = store_.view(now) == Steering::StoreView::Responding;
    catchUp_.updateCandidatePeer(now, report.sender, report.position, isNear && !isStoreResponding);
}

void PacketThread::sendHedgedAttempts(Base::TimePoint now)
{
    auto dueAttempts = decider_.handleTimers(now);
    std::size_t used = 0;
    for (const auto& attempt : dueAttempts) {
        // Received packets have already been forwarded, so their buffers are free.
        auto buffer
            = std::span(buffers_->packets[used++]).first(Platform::serverNumberBytes + Platform::packetHeaderBytes);
        const auto packet = buffer.subspan(Platform::serverNumberBytes);
        std::memcpy(packet.data(), attempt.bytes.data(), attempt.bytes.size());
        Platform::writeServerNumber(buffer.first<Platform::serverNumberBytes>(), attempt.verdict.number);
        Platform::writeToken(packet, attempt.verdict.token);
        batch_.add(attempt.verdict.server, buffer);
        if (used == batchSize) {
            transmit();
            used = 0;
        }
    }
    if (used > 0)
        transmit();
}

void PacketThread::exchangeProbes(Base::TimePoint now)
{
    Steering::ServerProbed result;
    while (probes_.tryPopResult(result)) {
        if (!result.isReachable)
            Log::write(Events::serverUnreachable, Log::Fields().add("server", result.server.toString()));
        decider_.handleProbe(now, result);
    }
    for (const auto& probe : decider_.takeProbes()) {
        ++statistics_.probes;
        // A server that was not probed counts as reachable.
        if (!probes_.request(probe)) {
            ++statistics_.probesSkipped;
            decider_.handleProbe(now, { .server = probe.server, .isReachable = true });
        }
    }
}

void PacketThread::sendResets()
{
    buffers_->resetCount = 0;
    for (const auto& reset : decider_.takeResets()) {
        addReset({ .flow = reset.flow, .acknowledged = reset.acknowledged });
        if (buffers_->resetCount < batchSize)
            continue;
        transmit();
        buffers_->resetCount = 0;
    }
    if (buffers_->resetCount > 0)
        transmit();
}

void PacketThread::addReset(const Steering::PacketView& packet)
{
    auto& reset = buffers_->resets[buffers_->resetCount++];
    reset = Platform::encodeReset(packet);
    // Callers receive packets at the same port number as the data endpoint.
    batch_.add({ .address = packet.flow.caller.address, .port = settings_.data.port }, reset);
}

void PacketThread::updateWatcherRole(Base::TimePoint now)
{
    if (!synchronizedAt_ && decider_.isComplete())
        synchronizedAt_ = now;
    store_.setWatching(watcherChoice_.isWatcher(now, decider_.peers(), synchronizedAt_.value_or(now)));
    const auto view = store_.view(now);
    if (view == Steering::StoreView::NotWatching) {
        feed_.setStoreReachable(
            Steering::WatcherChoice::isStoreResponding(now, view, decider_.peers()), "reported by peers");
    }
    // A watcher reports a new position immediately; other entry VMs report it at their next regular interval. That the
    // store no longer responds to it is reported immediately as well, so that another entry VM takes over.
    const bool hasNewPosition = view == Steering::StoreView::Responding && feed_.position() != reportedPosition_;
    if (hasNewPosition || view != reportedView_) {
        nextNearReport_ = now;
        nextFarReport_ = now;
    }
}

void PacketThread::sendReports(Base::TimePoint now)
{
    // Peers must not send a cold server their full share until the next regular report.
    if (decider_.restartSuspicionCount() != reportedSuspicionCount_) {
        nextNearReport_ = now;
        nextFarReport_ = now;
    }
    reportedSuspicionCount_ = decider_.restartSuspicionCount();
    const bool isNearDue = now >= nextNearReport_;
    const bool isFarDue = now >= nextFarReport_;
    if (!isNearDue && !isFarDue)
        return;
    const auto& topology = decider_.topology();
    const auto interval = [](Base::milliseconds shortest, std::size_t targets) {
        return std::max(shortest, reportIntervalPerPeer * static_cast<int64_t>(targets));
    };
    if (isNearDue)
        nextNearReport_ = now + interval(nearReportInterval, topology.ownDomainTargets().size());
    if (isFarDue)
        nextFarReport_ = now + interval(farReportInterval, topology.otherDomainTargets().size());
    if (decider_.peers().empty())
        return;
    const auto view = store_.view(now);
    const auto position = feed_.position();
    const auto body = Steering::encodeLoadReport({ .sender = settings_.identity(),
        .sequence = ++reportSequence_,
        .position = position,
        .store = view,
        .loads = decider_.ownLoads(),
        .demands = decider_.ownDemands(),
        .speeds = decider_.takeReportedSpeeds(),
        .possiblyRestarted = decider_.possiblyRestarted(now) });
    reportedPosition_ = position;
    reportedView_ = view;
    const auto code = authenticator_.sign(body);
    std::vector<std::byte> datagram(code.begin(), code.end());
    datagram.insert(datagram.end(), body.begin(), body.end());
    if (isNearDue)
        sendReport(topology.ownDomainTargets(), datagram);
    if (isFarDue)
        sendReport(topology.otherDomainTargets(), datagram);
}

void PacketThread::sendReport(const std::vector<Base::EntryVmId>& targets, std::span<const std::byte> datagram)
{
    for (const auto target : targets) {
        const auto peer = decider_.peers().find(target);
        if (peer == decider_.peers().end())
            continue;
        const auto& reports = peer->second.reports;
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(reports.address.value);
        address.sin_port = htons(reports.port);
        const auto sent = ::sendto(reportSocket_, datagram.data(), datagram.size(), MSG_DONTWAIT,
            reinterpret_cast<const sockaddr*>(&address), sizeof(address));
        ++(sent >= 0 ? statistics_.reportsSent : statistics_.sendFailures);
    }
}

void PacketThread::publishStatistics(Base::TimePoint now)
{
    if (now < nextPublish_)
        return;
    nextPublish_ = now + statisticsInterval;
    statistics_.steering = decider_.statistics();
    statistics_.room = decider_.admission().totalLoad();
    statistics_.shortServices = decider_.admission().shortServiceCount();
    statistics_.waiting = decider_.admission().waitingCount();
    statistics_.flows = decider_.flowCount();
    statistics_.servers = decider_.serverCount();
    statistics_.contestingEntries = decider_.contestingEntryCount();
    statistics_.peers = decider_.peers().size();
    statistics_.isReady = ready_.load(std::memory_order_relaxed);
    statistics_.configurationVersion = decider_.configurationVersion();
    const std::scoped_lock lock(statisticsMutex_);
    publishedStatistics_ = statistics_;
}

void PacketThread::sleepUntilNextTimer(Base::TimePoint now)
{
    auto due = std::min(decider_.nextTimer(now), nextNearReport_);
    const auto left = std::chrono::ceil<Base::milliseconds>(due - now);
    const auto atMost = std::clamp(left, Base::milliseconds(1), maximumSleep);
    const bool isWaiting = !decider_.isComplete() && now - startedAt_ <= initialConfigurationTimeout;
    // Waking up later than requested also counts as time without reading packets.
    expectedRoundStart_ = now + atMost;
    wakeup_.sleep({ isWaiting ? -1 : dataSocket_, reportSocket_ }, atMost, [this] {
        return feed_.isEmpty() && !probes_.hasResults() && !worker_.isStopping()
            && leaving_.load() == isDeciderStopped_;
    });
}

}
