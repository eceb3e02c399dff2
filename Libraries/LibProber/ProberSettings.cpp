#include <LibProber/ProberSettings.h>

namespace Prober {

void declareSettings(Settings::Schema& schema, ProberSettings& settings)
{
    schema.addEndpoint("balancer.endpoint", settings.balancer.endpoint,
        { .documentation = "Control endpoint of the balancer on this entry VM.", .required = true });
    schema.addTextList("balancer.keys", settings.balancer.keys, { .minimum = 1, .maximum = 2 },
        { .minimum = 16, .maximum = 256 }, { .documentation = "As control.keys of the balancer.", .required = true });
    schema.addMilliseconds("balancer.timeout_ms", settings.balancer.timeout, { .minimum = 10, .maximum = 60'000 },
        { .documentation = "How long the balancer may take to answer." });
    schema.addMilliseconds("probe.interval_ms", settings.probe.interval, { .minimum = 10, .maximum = 600'000 },
        { .documentation = "Time between two probes of a backend server, plus up to a quarter at random." });
    schema.addMilliseconds("probe.timeout_ms", settings.probe.timeout, { .minimum = 10, .maximum = 60'000 },
        { .documentation = "How long a backend server may take to answer one probe." });
    schema.addInteger("probe.maximum_concurrent", settings.probe.maximumConcurrent, { .minimum = 1, .maximum = 1024 },
        { .documentation = "Most probes at once.", .unit = "probes" });
    schema.addMilliseconds("probe.report_interval_ms", settings.probe.reportInterval,
        { .minimum = 10, .maximum = 60'000 }, { .documentation = "Time between two reports to the balancer." });
    schema.addEndpoint("metrics.endpoint", settings.metrics.endpoint,
        { .documentation = "HTTP address of the metrics (/metrics).", .listens = true });
}

}
