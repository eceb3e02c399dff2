#pragma once

#include <LibEntry/BeliefFeed.h>
#include <LibEntry/EntrySettings.h>
#include <LibEntry/Worker.h>
#include <LibPeer/PeerTransport.h>

namespace Entry {

/// Answers other entry VMs that ask for the store's records.
class RelayThread {
public:
    /// Unavailable when the control endpoint cannot be bound.
    static Base::ErrorOr<std::unique_ptr<RelayThread>> create(const EntrySettings&, BeliefFeed&);

    void start();
    void askToStop() { worker_.askToStop(); }
    void stop() { worker_.stop(); }

private:
    explicit RelayThread(BeliefFeed& feed)
        : feed_(feed)
    {
    }

    std::vector<std::byte> answer(std::span<const std::byte> question);

    BeliefFeed& feed_;
    std::unique_ptr<Peer::PeerTransport> transport_;
    /// The last answer: after a change, all peers ask the same.
    uint64_t answeredAfter_ { 0 };
    uint64_t answeredRevision_ { 0 };
    std::vector<std::byte> lastAnswer_;
    Worker worker_;
};

}
