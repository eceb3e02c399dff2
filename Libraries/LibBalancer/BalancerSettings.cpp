#include <LibBalancer/BalancerSettings.h>

#include <algorithm>

namespace Balancer {

namespace {

    constexpr Settings::Range nameBytes { .minimum = 1, .maximum = 64 };
    constexpr Settings::Range keyBytes { .minimum = 16, .maximum = 256 };

    void declareLocation(Settings::Schema& schema, BalancerSettings& settings)
    {
        schema.addText("failure_domain", settings.failureDomain, nameBytes,
            { .documentation = "Name of the failure domain this entry VM is in.", .required = true });
        schema.addText("region", settings.region, nameBytes,
            { .documentation = "Name of the region the failure domain belongs to.", .required = true });
    }

    void declareControl(Settings::Schema& schema, BalancerSettings::Control& control)
    {
        schema.addEndpoint("control.endpoint", control.endpoint,
            { .documentation = "TCP address for peers and local programs; it is this entry VM's identity.",
                .required = true,
                .listens = true });
        schema.addEndpointList("control.seeds", control.seeds, { .maximum = 64 },
            { .documentation = "Control endpoints of entry VMs to speak to first, before the VM list has been read." });
        schema.addTextList("control.keys", control.keys, { .minimum = 1, .maximum = 2 }, keyBytes,
            { .documentation
                = "Secrets shared by all entry VMs: the first signs, each is accepted (see keys-and-peers.md).",
                .required = true });
        schema.addInteger("control.bytes_per_second", control.bytesPerSecond, { .minimum = 1000, .maximum = 1'000'000 },
            { .documentation = "Most bytes that membership and configuration may send.", .unit = "B/s" });
        schema.addInteger("control.watchers_per_domain", control.watchersPerDomain, { .minimum = 1, .maximum = 16 },
            { .documentation = "Entry VMs of each failure domain that watch the store.", .unit = "entry VMs" });
    }

    void declareData(Settings::Schema& schema, BalancerSettings::Data& data)
    {
        schema.addEndpoint("data.endpoint", data.endpoint,
            { .documentation = "UDP address for packets of the fabric, answers of backend servers and hand-overs.",
                .required = true,
                .listens = true });
        schema.addEndpoint("data.fabric", data.fabric,
            { .documentation = "UDP address of the fabric, where packets for callers go.", .required = true });
        schema.addInteger("data.threads", data.threads, { .minimum = 1, .maximum = 64 },
            { .documentation = "Threads that receive and send packets.", .unit = "threads" });
        schema.addInteger("data.buffers_per_thread", data.buffersPerThread, { .minimum = 256, .maximum = 1'000'000 },
            { .documentation = "Packet buffers of each thread, 2 KiB each, allocated at the start.",
                .unit = "buffers" });
        schema.addBoolean("data.verify_checksums", data.verifyChecksums,
            { .documentation = "Whether TCP and UDP checksums are verified. IPv4 header checksums always are." });
    }

    void declareStore(Settings::Schema& schema, BalancerSettings::Store& store)
    {
        schema.addEndpoint("store.endpoint", store.endpoint,
            { .documentation = "The platform's key-value service and VM list.", .required = true });
        schema.addMilliseconds("store.call_deadline_ms", store.callDeadline, { .minimum = 50, .maximum = 60'000 },
            { .documentation = "How long a call may take; a watch gets this on top of its own time." });
        schema.addMilliseconds("store.vm_list_interval_ms", store.vmListInterval,
            { .minimum = 100, .maximum = 3'600'000 },
            { .documentation = "Time between two readings of the VM list, plus up to a quarter at random." });
    }

    void declareLimits(Settings::Schema& schema, BalancerSettings::Limits& limits)
    {
        schema.addInteger("limits.maximum_flows", limits.maximumFlows, { .minimum = 1, .maximum = 10'000'000 },
            { .documentation = "Most flow records held; first packets beyond it are refused.", .unit = "flows" });
        schema.addInteger("limits.maximum_queued", limits.maximumQueued, { .minimum = 1, .maximum = 100'000 },
            { .documentation = "Most first packets that wait for room.", .unit = "packets" });
        schema.addInteger("limits.flow_control_bytes_per_second", limits.flowControlBytesPerSecond,
            { .minimum = 256, .maximum = 1'000'000 },
            { .documentation = "Most bytes that flow decisions may send to peers.", .unit = "B/s" });
    }

}

void declareSettings(Settings::Schema& schema, BalancerSettings& settings)
{
    declareLocation(schema, settings);
    declareControl(schema, settings.control);
    declareData(schema, settings.data);
    declareStore(schema, settings.store);
    declareLimits(schema, settings.limits);
    schema.addEndpoint("metrics.endpoint", settings.metrics.endpoint,
        { .documentation = "HTTP address of the metrics (/metrics).", .listens = true });
    schema.addMilliseconds("stop.timeout_ms", settings.stop.timeout, { .minimum = 0, .maximum = 3'600'000 },
        { .documentation = "Longest time a graceful stop hands its state over." });
    schema.addMilliseconds("stop.linger_ms", settings.stop.linger, { .minimum = 0, .maximum = 600'000 },
        { .documentation = "How long packets are still forwarded after the hand-over has ended." });
}

Base::ErrorOr<void> checkSettings(const BalancerSettings& settings)
{
    const auto& seeds = settings.control.seeds;
    if (std::find(seeds.begin(), seeds.end(), settings.control.endpoint) != seeds.end()) {
        return Base::makeError(Base::ErrorCode::AlreadyExists,
            "control.seeds: expected other entry VMs, found control.endpoint " + settings.control.endpoint.toString());
    }
    if (settings.data.fabric == settings.data.endpoint) {
        return Base::makeError(Base::ErrorCode::AlreadyExists,
            "data.fabric: expected an address of its own, " + settings.data.fabric.toString()
                + " is also data.endpoint");
    }
    return {};
}

}
