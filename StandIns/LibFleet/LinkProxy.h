#pragma once

#include <Common/EventLoop.h>
#include <LibBase/Ipv4Endpoint.h>
#include <map>
#include <memory>

namespace StandIn {

/// What a proxy does to what passes.
struct LinkFault {
    /// Nothing passes towards the entry VM, or from it.
    bool cutsThere { false };
    bool cutsBack { false };
    Base::milliseconds delay { 0 };
};

/// Stands between an entry VM and its peers, on loopback: a TCP endpoint for its control connections and a UDP endpoint
/// for its load reports.
class LinkProxy {
public:
    LinkProxy(EventLoop&, const Base::Ipv4Endpoint& control, const Base::Ipv4Endpoint& reports);
    ~LinkProxy();
    LinkProxy(const LinkProxy&) = delete;
    LinkProxy& operator=(const LinkProxy&) = delete;

    Base::Ipv4Endpoint control() const;
    Base::Ipv4Endpoint reports() const;
    void setFault(const LinkFault& fault) { fault_ = fault; }
    /// Resets each open connection.
    void resetConnections();

private:
    struct Pair {
        int outside { -1 };
        int inside { -1 };
    };

    void accept();
    void passBytes(const std::shared_ptr<Pair>&, bool isInward);
    void passDatagrams();
    void close(const std::shared_ptr<Pair>&, bool isReset);

    EventLoop& loop_;
    Base::Ipv4Endpoint insideControl_;
    Base::Ipv4Endpoint insideReports_;
    int listener_;
    int datagrams_;
    LinkFault fault_;
    std::map<int, std::shared_ptr<Pair>> pairs_;
    std::shared_ptr<bool> alive_ { std::make_shared<bool>(true) };
};

}
