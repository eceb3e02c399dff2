#pragma once

#include <LibBase/Ipv4Endpoint.h>
#include <LibBase/Time.h>
#include <LibSettings/Schema.h>
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

    struct Control {
        Base::Ipv4Endpoint endpoint;
        std::vector<Base::Ipv4Endpoint> seeds;
        std::vector<std::string> keys;
    } control;

    Base::Ipv4Endpoint data;
    Base::Ipv4Endpoint reports;
    Base::Ipv4Endpoint readiness;
    Base::Ipv4Endpoint metrics;

    struct Store {
        Base::Ipv4Endpoint endpoint;
        Base::milliseconds callTimeout { 1000 };
        Base::milliseconds watchTime { 4000 };
        Base::milliseconds leaseTime { 30'000 };
        std::size_t watchersPerDomain { 1 };
    } store;

    struct Limits {
        std::size_t maximumFlows { 200'000 };
        Base::milliseconds flowLifetime { 60'000 };
    } limits;

    struct WarmUp {
        double overshoot { 1.0 };
        double slack { 0 };
    } warmUp;

    struct Stop {
        Base::milliseconds grace { 6000 };
    } stop;
};

/// Declares the keys of the settings file.
void declareSettings(Settings::Schema&, EntrySettings&);

/// Region of each failure domain. InvalidArgument for a text of another form.
Base::ErrorOr<std::map<std::string, std::string>> regionsOf(const EntrySettings&);

}
