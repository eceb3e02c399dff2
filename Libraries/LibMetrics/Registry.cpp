#include <LibMetrics/Registry.h>

#include <prometheus/text_serializer.h>

namespace Metrics {

Registry::Registry()
    : registry_(std::make_shared<prometheus::Registry>())
{
}

prometheus::Counter& Registry::counter(const std::string& name, const std::string& help, const Labels& labels)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(*registry_).Add(labels);
}

prometheus::Gauge& Registry::gauge(const std::string& name, const std::string& help, const Labels& labels)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(*registry_).Add(labels);
}

prometheus::Histogram& Registry::histogram(
    const std::string& name, const std::string& help, const std::vector<double>& upperBounds, const Labels& labels)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(*registry_).Add(labels, upperBounds);
}

std::string Registry::text() const { return prometheus::TextSerializer().Serialize(registry_->Collect()); }

void raiseTo(prometheus::Counter& counter, double total)
{
    const double difference = total - counter.Value();
    if (difference > 0)
        counter.Increment(difference);
}

}
