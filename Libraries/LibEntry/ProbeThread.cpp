#include <LibEntry/ProbeThread.h>

#include <LibEntry/Events.h>
#include <LibLog/Log.h>
#include <LibPeer/Sockets.h>
#include <algorithm>
#include <cerrno>
#include <unistd.h>

namespace Entry {

namespace {

    constexpr std::size_t ringCapacity = 256;
    /// A host answers within a round trip of a few milliseconds; a second connection covers the loss of a packet.
    constexpr Base::milliseconds secondConnectionDelay { 40 };
    constexpr Base::milliseconds probeTimeout { 90 };
    constexpr Base::milliseconds pollInterval { 10 };
    constexpr Base::milliseconds idleInterval { 5000 };

    void closeAll(const std::vector<int>& sockets)
    {
        for (const int socket : sockets)
            ::close(socket);
    }

}

ProbeThread::ProbeThread(std::function<void()> onResult)
    : onResult_(std::move(onResult))
    , requests_(ringCapacity)
    , results_(ringCapacity)
{
}

void ProbeThread::start()
{
    worker_.start([this] { run(); });
}

bool ProbeThread::request(const Steering::ProbeRequest& request)
{
    if (!requests_.tryPush(request))
        return false;
    worker_.wake();
    return true;
}

void ProbeThread::run()
{
    while (!worker_.isStopping()) {
        startRequested();
        if (probes_.empty())
            worker_.pause(idleInterval);
        else
            poll();
    }
    for (const auto& probe : probes_)
        closeAll(probe.sockets);
}

void ProbeThread::startRequested()
{
    Steering::ProbeRequest request;
    while (requests_.tryPop(request)) {
        Probe probe { .request = request, .sockets = {}, .startedAt = std::chrono::steady_clock::now() };
        if (tryConnect(probe))
            probes_.push_back(std::move(probe));
        else
            finish({ .server = request.server, .isReachable = true });
    }
}

Steering::ProbeAnswer ProbeThread::answerOf(const Probe& probe, const std::vector<pollfd>& descriptors)
{
    using Steering::ProbeAnswer;
    auto answer = ProbeAnswer::None;
    for (const int socket : probe.sockets) {
        const auto found = std::ranges::find(descriptors, socket, &pollfd::fd);
        if (found == descriptors.end() || found->revents == 0)
            continue;
        const int error = Peer::pendingSocketError(socket);
        if (error == 0)
            return ProbeAnswer::Accepted;
        if (error == ECONNREFUSED)
            answer = ProbeAnswer::Refused;
    }
    return answer;
}

bool ProbeThread::tryConnect(Probe& probe)
{
    const auto socket = Base::capture([&] { return Peer::startConnecting(probe.request.address); });
    if (socket.isOk()) {
        probe.sockets.push_back(*socket.value);
        return true;
    }
    Log::write(Events::probeFailed,
        Log::Fields().add("server", probe.request.server.toString()).add("error", socket.error.detail));
    return false;
}

void ProbeThread::poll()
{
    std::vector<pollfd> descriptors;
    for (const auto& probe : probes_) {
        for (const int socket : probe.sockets)
            descriptors.push_back({ .fd = socket, .events = POLLOUT, .revents = 0 });
    }
    ::poll(descriptors.data(), descriptors.size(), static_cast<int>(pollInterval.count()));
    const auto isAnswered = [&](int socket) {
        const auto found = std::ranges::find(descriptors, socket, &pollfd::fd);
        return found != descriptors.end() && found->revents != 0;
    };
    // Answers go before timeouts, since this thread may have been delayed.
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(probes_, [&](Probe& probe) {
        const auto age = now - probe.startedAt;
        const auto answer = answerOf(probe, descriptors);
        bool isReachable = std::ranges::any_of(probe.sockets, isAnswered);
        if (!isReachable && probe.sockets.size() == 1 && age >= secondConnectionDelay)
            isReachable = !tryConnect(probe);
        if (!isReachable && age < probeTimeout)
            return false;
        closeAll(probe.sockets);
        finish({ .server = probe.request.server, .isReachable = isReachable, .answer = answer });
        return true;
    });
}

void ProbeThread::finish(const Steering::ServerProbed& result)
{
    // The packet thread asks for at most one probe of each server at a time and takes results in every round.
    while (!results_.tryPush(result) && !worker_.isStopping())
        worker_.pause(pollInterval);
    onResult_();
}

}
