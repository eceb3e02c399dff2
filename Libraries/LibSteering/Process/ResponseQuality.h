#pragma once

#include <LibBase/Time.h>
#include <LibSteering/Process/ServerTable.h>
#include <boost/unordered/unordered_flat_map.hpp>
#include <map>
#include <optional>
#include <vector>

namespace Steering {

/// Reduces the new flows of backend servers that fail requests quickly: with few requests in flight, least-loaded
/// selection would send them more than their share.
///
/// Flow contents are not read; a failure is a response far shorter than nearly all of the same service address. It
/// keeps counting as a request in flight, also in load reports, for a back-off period, which grows with the server's
/// share of short responses, compared with the median server of its service. If all servers send short responses alike,
/// nothing changes, and a service never runs out of servers.
class ResponseQuality {
public:
    struct Options {
        /// For a short response of a server that sends only short ones.
        Base::milliseconds maximumBackOff { 10'000 };
        /// Concurrent back-off periods, over all servers.
        std::size_t maximumBackOffs { 20'000 };
    };

    /// A short response that started a back-off period.
    struct ShortResponse {
        uint32_t bytes { 0 };
        /// Length that nine in ten responses of the address reach.
        uint32_t usualBytes { 0 };
        Base::milliseconds backOffTime { 0 };
    };

    ResponseQuality(Options options, ServerTable& servers)
        : options_(options)
        , servers_(servers)
    {
    }

    /// Rates a complete response. Returns a value if it starts a back-off period.
    std::optional<ShortResponse> recordResponse(
        Base::TimePoint now, const Base::Ipv4Endpoint& service, BackendServerNumber, uint32_t bytes);
    /// Ends back-off periods and removes addresses without responses for 10 minutes. Called every 250 ms.
    void expire(Base::TimePoint now);

private:
    /// Response lengths of one service address.
    struct LengthEstimate {
        /// Estimate of the length that nine in ten responses reach.
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
    boost::unordered_flat_map<Base::Ipv4Endpoint, LengthEstimate, std::hash<Base::Ipv4Endpoint>> usual_;
    std::map<ServiceIndex, Baseline> baselines_;
    /// Servers in a back-off period, ordered by its end.
    std::multimap<Base::TimePoint, BackendServerNumber> backOffs_;
};

}
