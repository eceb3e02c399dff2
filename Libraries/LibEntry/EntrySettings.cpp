#include <LibEntry/EntrySettings.h>

namespace Entry {

namespace {

    constexpr Settings::Range nameBytes { .minimum = 1, .maximum = 64 };
    constexpr Settings::Range keyBytes { .minimum = 16, .maximum = 256 };

    void declareEndpoints(Settings::Schema& schema, EntrySettings& settings)
    {
        schema.addEndpoint("control.endpoint", settings.control.endpoint,
            { .documentation
                = "TCP address where other entry VMs ask for the store's records; this entry VM's identity.",
                .required = true,
                .listens = true });
        schema.addEndpoint("control.advertised", settings.control.advertised,
            { .documentation
                = "Where other entry VMs reach the control endpoint, if not at its own address; the identity "
                  "then." });
        schema.addEndpoint("reports.advertised", settings.advertisedReports,
            { .documentation = "Where other entry VMs reach the reports endpoint, if not at its own address." });
        schema.addEndpointList("control.seeds", settings.control.seeds, { .maximum = 64 },
            { .documentation = "Control endpoints of entry VMs to ask while the store does not answer." });
        schema.addTextList("control.keys", settings.control.keys, { .minimum = 1, .maximum = 2 }, keyBytes,
            { .documentation
                = "Secrets shared by all entry VMs: the first signs, each is accepted (see keys-and-peers.md).",
                .required = true });
        schema.addEndpoint("data.endpoint", settings.data,
            { .documentation = "UDP address for the fabric's packets.", .required = true, .listens = true });
        schema.addEndpoint("reports.endpoint", settings.reports,
            { .documentation = "UDP address for load reports of other entry VMs.", .required = true });
        schema.addEndpoint("readiness.endpoint", settings.readiness,
            { .documentation = "HTTP address where the fabric asks whether callers may be sent here.",
                .required = true,
                .listens = true });
        schema.addEndpoint("metrics.endpoint", settings.metrics,
            { .documentation = "HTTP address of the metrics (/metrics).", .required = true, .listens = true });
    }

    void declareStore(Settings::Schema& schema, EntrySettings::Store& store)
    {
        schema.addEndpoint(
            "store.endpoint", store.endpoint, { .documentation = "The platform's store.", .required = true });
        schema.addMilliseconds("store.call_timeout_ms", store.callTimeout, { .minimum = 50, .maximum = 60'000 },
            { .documentation = "How long a call may take; a watch gets this on top of its own time." });
        schema.addMilliseconds("store.watch_ms", store.watchTimeout, { .minimum = 100, .maximum = 30'000 },
            { .documentation = "How long a watch waits for changes. A connection that went silent is noticed a quarter "
                               "of a second after this; then another entry VM watches the store." });
        schema.addInteger("store.watchers_per_domain", store.watchersPerDomain, { .minimum = 1, .maximum = 64 },
            { .documentation = "Entry VMs of each failure domain that follow the store; the others hear from them.",
                .unit = "entry VMs" });
        schema.addMilliseconds("store.lease_ms", store.leaseDuration, { .minimum = 1000, .maximum = 600'000 },
            { .documentation = "How long this entry VM stays listed after it was last heard of." });
    }

}

void declareSettings(Settings::Schema& schema, EntrySettings& settings)
{
    schema.addText("name", settings.name, nameBytes, { .documentation = "Name of this entry VM.", .required = true });
    schema.addText("failure_domain", settings.failureDomain, nameBytes,
        { .documentation = "Name of the failure domain this entry VM is in.", .required = true });
    schema.addTextList("regions", settings.regions, { .minimum = 1, .maximum = 256 }, { .minimum = 3, .maximum = 129 },
        { .documentation = "\"FAILURE_DOMAIN=REGION\" for each failure domain.", .required = true });
    schema.addBoolean("log.debug", settings.debugEvents,
        { .documentation = "Whether debug events are written; read again at SIGHUP." });
    declareEndpoints(schema, settings);
    declareStore(schema, settings.store);
    schema.addInteger("limits.maximum_flows", settings.limits.maximumFlows, { .minimum = 1, .maximum = 10'000'000 },
        { .documentation
            = "Most flows whose progress is followed; further ones are forwarded, but not counted as work.",
            .unit = "flows" });
    schema.addReal("limits.link_megabits", settings.limits.linkMegabits, { .maximum = 1'000'000 },
        { .documentation = "Capacity of this entry VM's link; the widest links of a failure domain follow the store.",
            .unit = "Mbit/s" });
    schema.addMilliseconds("limits.flow_lifetime_ms", settings.limits.flowLifetime,
        { .minimum = 1000, .maximum = 86'400'000 },
        { .documentation = "How long packets still reach a backend server whose entry is gone." });
    schema.addSeconds("limits.flow_lifetime_s", settings.limits.flowLifetime, { .minimum = 1, .maximum = 86'400 },
        { .documentation = "The same in seconds; goes before `limits.flow_lifetime_ms`." });
    schema.addReal("warm_up.overshoot", settings.warmUp.overshoot, { .minimum = 0, .maximum = 100 },
        { .documentation = "Factor on a cold backend server's rate that it still bears." });
    schema.addReal("warm_up.slack", settings.warmUp.slack, { .minimum = 0, .maximum = 1000 },
        { .documentation = "Requests in a second beyond that rate that a cold backend server still bears.",
            .unit = "requests" });
    schema.addMilliseconds("stop.grace_ms", settings.stop.grace, { .minimum = 0, .maximum = 3'600'000 },
        { .documentation = "Time after which a process that was asked to stop is killed; packets are forwarded until "
                           "1.5 s before that at the longest." });
    schema.addSeconds("stop.grace_s", settings.stop.grace, { .minimum = 0, .maximum = 3600 },
        { .documentation = "The same in seconds; goes before `stop.grace_ms`." });
}

Base::ErrorOr<EntrySettings> readSettings(const std::string& file)
{
    EntrySettings settings;
    Settings::Schema schema;
    declareSettings(schema, settings);
    TRY(schema.readFile(file));
    TRY(regionsOf(settings));
    return settings;
}

Base::ErrorOr<std::map<std::string, std::string>> regionsOf(const EntrySettings& settings)
{
    std::map<std::string, std::string> regions;
    for (const auto& text : settings.regions) {
        const auto separator = text.find('=');
        if (separator == std::string::npos)
            return Base::makeError(Base::ErrorCode::InvalidArgument, "regions: expected \"FAILURE_DOMAIN=REGION\"");
        regions[text.substr(0, separator)] = text.substr(separator + 1);
    }
    return regions;
}

}
