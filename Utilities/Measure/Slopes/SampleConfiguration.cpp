#include "SampleConfiguration.h"

#include <algorithm>

namespace Measure {

static constexpr std::size_t backendServersPerService = 3;
static constexpr std::size_t domainCount = 4;
static constexpr uint32_t firstServiceAddress = 0x0A800001;
static constexpr uint32_t firstBackendServerAddress = 0x0B000001;

static std::string domainName(std::size_t index) { return "domain-" + std::to_string(index % domainCount); }

static Configuration::BackendServer sampleBackendServer(std::size_t index)
{
    const Base::Ipv4Address address { firstBackendServerAddress + static_cast<uint32_t>(index) };
    return {
        .id = { static_cast<uint32_t>(index + 1) },
        .name = "server-" + std::to_string(index),
        .failureDomain = domainName(index),
        .tunnel = { .address = address, .port = 5555 },
        .management = { .address = address, .port = 8080 },
    };
}

static Configuration::Service sampleService(
    std::size_t index, std::size_t firstBackendServer, std::size_t backendServers)
{
    Configuration::Service service;
    service.id = { static_cast<uint32_t>(index + 1) };
    service.name = "service-" + std::to_string(index);
    service.addresses = { { firstServiceAddress + static_cast<uint32_t>(index) } };
    service.portClasses = { { .name = "main", .port = 443, .slotUse = Configuration::SlotUse::None } };
    for (std::size_t offset = 0; offset < backendServers; ++offset)
        service.backendServers.push_back(sampleBackendServer(firstBackendServer + offset));
    service.changedAt = { 1 };
    return service;
}

Configuration::Snapshot sampleConfiguration(std::size_t backendServers)
{
    Configuration::Snapshot snapshot;
    snapshot.revision = { 1 };
    for (std::size_t index = 0; index < domainCount; ++index)
        snapshot.failureDomains[domainName(index)]
            = { .name = domainName(index), .region = "region-" + std::to_string(index / 2), .changedAt = { 1 } };
    std::size_t services = 0;
    for (std::size_t first = 0; first < backendServers; first += backendServersPerService) {
        auto service = sampleService(services++, first, std::min(backendServersPerService, backendServers - first));
        snapshot.services[service.name] = std::move(service);
    }
    snapshot.nextServiceId = static_cast<uint32_t>(services + 1);
    snapshot.nextBackendServerId = static_cast<uint32_t>(backendServers + 1);
    return snapshot;
}

}
