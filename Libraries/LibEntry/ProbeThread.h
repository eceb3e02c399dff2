#pragma once

#include <LibBase/Ring.h>
#include <LibEntry/Worker.h>
#include <LibSteering/Events.h>
#include <functional>
#include <poll.h>
#include <vector>

namespace Entry {

/// Opens TCP connections to backend servers to find out whether their hosts can be reached, and closes them at once. A
/// refused connection counts as an answer. A server also counts as reachable if the connection fails for a local
/// reason, such as a lack of descriptors, since that shows nothing about the server.
class ProbeThread {
public:
    /// onResult is called by the probe thread after results were added.
    explicit ProbeThread(std::function<void()> onResult);

    void start();
    void stop() { worker_.stop(); }
    void requestStop() { worker_.requestStop(); }

    /// Returns false if too many probes are waiting; there will be no result then. Packet thread only.
    bool request(const Steering::ProbeRequest&);
    /// Returns false if there is no result. Packet thread only.
    bool tryPopResult(Steering::ServerProbed& result) { return results_.tryPop(result); }
    bool hasResults() const { return !results_.isEmpty(); }

private:
    struct Probe {
        Steering::ProbeRequest request;
        std::vector<int> sockets;
        Base::TimePoint startedAt;
    };

    void run();
    void startRequested();
    /// Returns false if the connection failed for a local reason.
    static bool tryConnect(Probe&);
    /// What the descriptors show about the probe's connections.
    static Steering::ProbeAnswer answerOf(const Probe&, const std::vector<pollfd>&);
    /// Waits until a connection is answered or the next timeout is due, and finishes probes.
    void poll();
    void finish(const Steering::ServerProbed&);

    std::function<void()> onResult_;
    Worker worker_;
    Base::Ring<Steering::ProbeRequest> requests_;
    Base::Ring<Steering::ServerProbed> results_;
    std::vector<Probe> probes_;
};

}
