#pragma once

#include <LibEntry/EntrySettings.h>
#include <LibEntry/StateFeed.h>
#include <LibEntry/Worker.h>
#include <LibPeer/PeerTransport.h>

namespace Entry {

/// Serves the store's records to other entry VMs.
class RelayThread {
public:
    /// Returns ErrorCode::Unavailable if the control endpoint cannot be bound.
    static Base::ErrorOr<std::unique_ptr<RelayThread>> create(const EntrySettings&, StateFeed&);

    void start();
    void requestStop() { worker_.requestStop(); }
    void stop() { worker_.stop(); }

private:
    explicit RelayThread(StateFeed& feed)
        : feed_(feed)
    {
    }

    std::vector<std::byte> handleRequest(std::span<const std::byte> payload);
    /// The complete state, at most half a second old: after a mass start several peers ask for it within that time.
    const std::vector<std::byte>& completeState();

    StateFeed& feed_;
    std::unique_ptr<Peer::PeerTransport> transport_;
    /// The last response and its request, cached because all peers send the same request after a change.
    Base::StorePosition cachedAfter_;
    Base::StorePosition cachedPosition_;
    std::vector<std::byte> cachedResponse_;
    std::vector<std::byte> completeState_;
    uint64_t completeStateEra_ { 0 };
    Base::TimePoint completeStateAt_ {};
    Worker worker_;
};

}
