#pragma once

#include <LibSteering/Process/LoadReport.h>
#include <LibSteering/Process/ServerTable.h>
#include <boost/unordered/unordered_flat_map.hpp>
#include <map>
#include <span>
#include <vector>

namespace Steering {

/// Estimates how long each backend server works on a request, relative to the median server of its service, and sets
/// Server::relativeServiceTime, which is part of the cost in ServerChoice.
///
/// A sample is the time from the last byte of a request to the first acknowledgement of its response, of requests that
/// found a free slot, so that queueing does not count as slowness. Each sample is divided by the usual time of its
/// service address, since the routes of one service may differ in work. An estimate is a running lower quartile: long
/// requests, and those that waited unnoticed, hardly change it. Without samples it approaches that of the service.
/// Entry VMs share the estimates of servers that clearly differ from their service. Equal servers have a relative
/// service time of exactly 1.
class ServiceTimes {
public:
    struct Options {
        /// Limit of servers in one load report, at most 12 bytes each.
        std::size_t maximumReported { 64 };
    };

    ServiceTimes(Options options, ServerTable& servers)
        : options_(options)
        , servers_(servers)
    {
    }

    /// Whether a request, which is counted as in flight already, most likely found a free slot at the server.
    static bool isSample(const Server&);
    void recordResponse(
        Base::TimePoint now, const Base::Ipv4Endpoint& service, BackendServerNumber, Base::microseconds time);
    void acceptReport(Base::TimePoint now, Base::EntryVmId sender, std::span<const ServerSpeed>);
    /// Updates the relative service times of all servers. Called every 250 ms; acts once a second.
    void update(Base::TimePoint now);
    /// The own estimates that clearly differ, for load reports; the most different ones if there are too many.
    const std::vector<ServerSpeed>& ownSpeeds() const { return ownSpeeds_; }
    /// The next few of them in turn, for one load report.
    std::vector<ServerSpeed> takeReportedSpeeds();

private:
    struct UsualTime {
        double microseconds { 0 };
        uint32_t samples { 0 };
        Base::TimePoint lastSampleAt {};
    };

    struct PeerEstimate {
        Base::EntryVmId peer;
        double relativeTime { 1 };
        Base::TimePoint receivedAt {};
    };

    struct Estimate {
        /// Relative to the usual times of the service addresses.
        double ownTime { 1 };
        uint32_t samples { 0 };
        Base::TimePoint lastSampleAt {};
        /// The server process that the estimate belongs to.
        Base::milliseconds startedAt { 0 };
        std::vector<PeerEstimate> peers;
    };

    static void updateQuantile(double& estimate, uint32_t& samples, double sample, double minimumStep);
    /// The logarithm of the own estimate, reduced by its age.
    static double agedLogarithm(Base::TimePoint now, const Estimate&);
    std::map<ServiceIndex, double> medianLogarithms(Base::TimePoint now) const;
    void updateServer(Base::TimePoint now, Server&, const Estimate&, double medianLogarithm);

    Options options_;
    ServerTable& servers_;
    boost::unordered_flat_map<Base::Ipv4Endpoint, UsualTime, std::hash<Base::Ipv4Endpoint>> usual_;
    boost::unordered_flat_map<BackendServerNumber, Estimate, std::hash<BackendServerNumber>> estimates_;
    std::vector<ServerSpeed> ownSpeeds_;
    /// Number of speeds that were reported, over all reports.
    std::size_t reportedSpeeds_ { 0 };
    Base::TimePoint nextUpdate_ {};
};

}
