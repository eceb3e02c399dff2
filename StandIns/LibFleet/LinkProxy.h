#pragma once

#include <Common/EventLoop.h>
#include <LibBase/Ipv4Endpoint.h>
#include <map>
#include <memory>

namespace StandIn {

/// Faults that a proxy applies to the traffic it forwards.
struct LinkFault {
    /// Traffic towards the entry VM (inbound) or from it (outbound) is dropped.
    bool dropsInbound { false };
    bool dropsOutbound { false };
    Base::milliseconds delay { 0 };
};

/// Proxy on loopback between an entry VM and its peers: a TCP endpoint for its control connections and a UDP endpoint
/// for the load reports sent to it.
class LinkProxy {
public:
    LinkProxy(EventLoop&, const Base::Ipv4Endpoint& control, const Base::Ipv4Endpoint& reports);
    ~LinkProxy();
    LinkProxy(const LinkProxy&) = delete;
    LinkProxy& operator=(const LinkProxy&) = delete;

    Base::Ipv4Endpoint control() const;
    Base::Ipv4Endpoint reports() const;
    void setFault(const LinkFault& fault) { fault_ = fault; }
    /// Resets all open connections.
    void resetConnections();

private:
    struct Connection {
        int peerSocket { -1 };
        int entryVmSocket { -1 };
    };

    void accept();
    void forwardBytes(const std::shared_ptr<Connection>&, bool isInbound);
    void forwardDatagrams();
    void close(const std::shared_ptr<Connection>&, bool isReset);

    EventLoop& loop_;
    Base::Ipv4Endpoint controlTarget_;
    Base::Ipv4Endpoint reportTarget_;
    int listener_;
    int reportSocket_;
    LinkFault fault_;
    std::map<int, std::shared_ptr<Connection>> connections_;
    std::shared_ptr<bool> alive_ { std::make_shared<bool>(true) };
};

}
