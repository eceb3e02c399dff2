#pragma once

#include <LibBase/Identifiers.h>
#include <LibBase/Ipv4Endpoint.h>
#include <LibBase/Time.h>
#include <LibSettings/Schema.h>
#include <LibSteering/Process/DisseminationTimes.h>
#include <map>
#include <string>
#include <vector>

namespace Entry {

/// The settings of entryd; see docs/SETTINGS.md.
struct EntrySettings {
    std::string name;
    std::string failureDomain;
    /// "FAILURE_DOMAIN=REGION" for each failure domain.
    std::vector<std::string> regions;
    bool debugEvents { false };

    struct Control {
        Base::Ipv4Endpoint endpoint;
        /// Port 0 means that the endpoint itself is advertised.
        Base::Ipv4Endpoint advertised;
        std::vector<Base::Ipv4Endpoint> seeds;
        std::vector<std::string> keys;
    } control;

    Base::Ipv4Endpoint data;
    Base::Ipv4Endpoint reports;
    /// Port 0 means that the endpoint itself is advertised.
    Base::Ipv4Endpoint advertisedReports;
    Base::Ipv4Endpoint readiness;
    Base::Ipv4Endpoint metrics;

    struct Store {
        Base::Ipv4Endpoint endpoint;
        Base::milliseconds callTimeout { 1000 };
        Base::milliseconds watchTimeout { Steering::DisseminationTimes::watchTimeout };
        Base::milliseconds leaseDuration { 30'000 };
        std::size_t watchersPerDomain { 1 };
    } store;

    struct Limits {
        std::size_t maximumFlows { 200'000 };
        Base::milliseconds flowLifetime { 60'000 };
        double linkMegabits { 0 };
    } limits;

    struct WarmUp {
        double overshoot { 1.0 };
        double slack { 0 };
    } warmUp;

    struct Stop {
        Base::milliseconds grace { 6000 };
    } stop;

    /// This entry VM's identity: the address at which peers reach its control endpoint.
    Base::EntryVmId identity() const
    {
        return Base::EntryVmId::fromEndpoint(control.advertised.port != 0 ? control.advertised : control.endpoint);
    }
    /// Address to which peers send load reports.
    Base::Ipv4Endpoint reportsForPeers() const { return advertisedReports.port != 0 ? advertisedReports : reports; }
};

/// Adds the keys of the settings file to the schema.
void declareSettings(Settings::Schema&, EntrySettings&);

/// Reads a settings file. The detail of an error contains the file and the key.
Base::ErrorOr<EntrySettings> readSettings(const std::string& file);

/// Region by failure domain. Returns ErrorCode::InvalidArgument if an entry has no '='.
Base::ErrorOr<std::map<std::string, std::string>> regionsOf(const EntrySettings&);

}
