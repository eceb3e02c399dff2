#include "TargetConfiguration.h"

#include <LibBase/Random.h>
#include <string>

namespace Measure {

namespace {

    constexpr uint32_t backendServers = 28'000;
    constexpr uint32_t addresses = 9200;
    constexpr uint32_t addressesPerService = 4;
    constexpr uint32_t services = addresses / addressesPerService;
    constexpr uint32_t domains = 4;

    std::string domainName(uint32_t domain) { return "zone-" + std::to_string(domain); }

    Configuration::BackendServer makeBackendServer(uint32_t number, Base::Random& random)
    {
        const Base::Ipv4Address address { 0x0D000001 + number };
        return { .id = { number + 1 },
            .name = "server-" + std::to_string(number),
            .failureDomain = domainName(static_cast<uint32_t>(random.below(domains))),
            .tunnel = { .address = address, .port = 6080 },
            .management = { .address = address, .port = 8080 },
            .weight = static_cast<uint32_t>(50 + random.below(100)) };
    }

    Configuration::Service makeService(
        uint32_t number, Base::Random& random, uint32_t firstServer, uint32_t serverCount)
    {
        Configuration::Service service { .id = { number + 1 },
            .name = "service-" + std::to_string(number),
            .changedAt = { 1 + random.below(100'000) } };
        for (uint32_t index = 0; index < addressesPerService; ++index)
            service.addresses.push_back({ 0x0B000001 + number * addressesPerService + index });
        service.portClasses = { { .name = "view", .port = 443, .weight = 1, .priority = 1, .idempotent = true },
            { .name = "claim", .port = 444, .weight = 2 } };
        for (uint32_t index = 0; index < serverCount; ++index)
            service.backendServers.push_back(makeBackendServer(firstServer + index, random));
        return service;
    }

}

Configuration::Snapshot makeTargetConfiguration(uint64_t seed)
{
    Base::Random random(seed);
    Configuration::Snapshot snapshot { .revision = { 100'000 },
        .acceptedAt = Base::WallTime(Base::milliseconds(1'000'000'000)),
        .nextServiceId = services + 1,
        .nextBackendServerId = backendServers + 1 };
    for (uint32_t domain = 0; domain < domains; ++domain)
        snapshot.failureDomains[domainName(domain)]
            = { .name = domainName(domain), .region = "region-" + std::to_string(domain % 2), .changedAt = { 1 } };
    uint32_t next = 0;
    for (uint32_t number = 0; number < services; ++number) {
        const auto count = (number + 1) * backendServers / services - next;
        auto service = makeService(number, random, next, static_cast<uint32_t>(count));
        next += static_cast<uint32_t>(count);
        snapshot.services[service.name] = std::move(service);
    }
    return snapshot;
}

}
