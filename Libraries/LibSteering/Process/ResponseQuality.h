#pragma once

#include <LibBase/Time.h>
#include <LibSteering/Process/ServerTable.h>
#include <boost/unordered/unordered_flat_map.hpp>
#include <map>
#include <optional>
#include <vector>

namespace Steering {

/// Reduces the new flows of backend servers that fail requests quickly. Such a server has few requests in flight, so
/// that least-loaded selection would send it more than its share.
///
/// Flow contents are not inspected; a failure is recognized by a response far shorter than nearly all responses of the
/// same service address. A short response keeps counting as a request in flight for a back-off period. The more of the
/// server's recent responses were short, compared with the median server of its service, the longer the period. Peers
/// learn of it from load reports. If all servers send short responses alike, nothing changes, and a service never runs
/// out of servers.
class ResponseQuality {
public:
    struct Options {
        /// Back-off period for a short response of a server that sends only short responses.
        Base::milliseconds maximumBackOff { 10'000 };
        /// Limit of concurrent back-off periods, over all servers.
        std::size_t maximumBackOffs { 20'000 };
    };

    /// A short response that started a back-off period.
    struct ShortAnswer {
        uint32_t bytes { 0 };
        /// Length that nine in ten responses of the service address reach.
        uint32_t usualBytes { 0 };
        Base::milliseconds heldFor { 0 };
    };

    ResponseQuality(Options options, ServerTable& servers)
        : options_(options)
        , servers_(servers)
    {
    }

    /// Rates a complete response. Returns a value if it starts a back-off period of the server.
    std::optional<ShortAnswer> recordResponse(
        Base::TimePoint now, const Base::Ipv4Endpoint& service, BackendServerNumber, uint32_t bytes);
    /// Ends back-off periods that are over and removes service addresses without responses for 10 minutes. Called every
    /// 250 ms.
    void expire(Base::TimePoint now);

private:
    /// Estimate of the response lengths of one service address.
    struct LengthEstimate {
        /// Running estimate of the length that nine in ten responses reach.
        double bytes { 0 };
        uint64_t responses { 0 };
        Base::TimePoint lastResponseAt {};
    };

    struct Baseline {
        double medianShortShare { 0 };
        Base::TimePoint validUntil {};
    };

    /// Updates the estimate. Returns whether the response is far shorter than usual.
    bool updateEstimate(LengthEstimate&, uint32_t bytes) const;
    double medianShortShare(Base::TimePoint now, ServiceIndex);

    Options options_;
    ServerTable& servers_;
    boost::unordered_flat_map<Base::Ipv4Endpoint, LengthEstimate, std::hash<Base::Ipv4Endpoint>> lengthEstimates_;
    std::map<ServiceIndex, Baseline> baselines_;
    /// Servers in a back-off period, ordered by its end.
    std::multimap<Base::TimePoint, BackendServerNumber> backOffs_;
};

}
