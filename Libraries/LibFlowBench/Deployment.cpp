#include <LibFlowBench/Deployment.h>

namespace FlowBench {

namespace {

    constexpr uint32_t serviceAddressBase = 0x0A640000;
    constexpr uint32_t serverAddressBase = 0x0AC80000;
    constexpr uint16_t tunnelPort = 5555;
    constexpr uint16_t managementPort = 8080;

    void addService(Deployment& deployment, const std::string& name, std::vector<Configuration::PortClass> classes,
        std::size_t backendServers)
    {
        auto& snapshot = deployment.snapshot;
        Configuration::Service service;
        service.id = { snapshot.nextServiceId++ };
        service.name = name;
        service.addresses = { { serviceAddressBase + service.id.value } };
        service.portClasses = std::move(classes);
        service.changedAt = { 1 };
        snapshot.services[name] = service;
        for (std::size_t i = 0; i < backendServers; ++i)
            addBackendServer(snapshot, name, deployment.failureDomains[i % deployment.failureDomains.size()]);
    }

    void addFailureDomains(Deployment& deployment)
    {
        deployment.snapshot.revision = { 1 };
        for (const auto& name : deployment.failureDomains)
            deployment.snapshot.failureDomains[name] = { .name = name, .region = deployment.name, .changedAt = { 1 } };
    }

}

Configuration::BackendServer& addBackendServer(
    Configuration::Snapshot& snapshot, const std::string& service, const std::string& failureDomain)
{
    const auto id = snapshot.nextBackendServerId++;
    Configuration::BackendServer server;
    server.id = { id };
    server.name = service + "-" + std::to_string(id);
    server.failureDomain = failureDomain;
    server.tunnel = { .address = { serverAddressBase + id }, .port = tunnelPort };
    server.management = { .address = { serverAddressBase + id }, .port = managementPort };
    auto& servers = snapshot.services.at(service).backendServers;
    servers.push_back(server);
    return servers.back();
}

Deployment midshires()
{
    using Configuration::SlotUse;
    Deployment deployment;
    deployment.name = "midshires";
    deployment.failureDomains = { "brum", "notts", "leic" };
    addFailureDomains(deployment);
    addService(deployment, "rota",
        { { .name = "claim", .port = 443, .weight = 2, .priority = 0, .slotUse = SlotUse::PerRequest },
            { .name = "view", .port = 80, .priority = 1, .idempotent = true, .slotUse = SlotUse::PerRequest } },
        14);
    addService(deployment, "sheets",
        { { .name = "sheet",
            .port = 631,
            .priority = 2,
            .idempotent = true,
            .slotUse = SlotUse::PerFlow,
            .deadline = Base::milliseconds(5000) } },
        4);
    deployment.loads = {
        { .service = "rota", .portClass = "claim", .flowsPerSecond = 60, .longLivedShare = 0.03 },
        { .service = "rota", .portClass = "view", .flowsPerSecond = 180, .longLivedShare = 0.01 },
        { .service = "sheets",
            .portClass = "sheet",
            .flowsPerSecond = 20,
            .meanRequests = 1,
            .longLivedShare = 0,
            .serviceTime = Base::milliseconds(60) },
    };
    return deployment;
}

Deployment kiprono()
{
    using Configuration::SlotUse;
    Deployment deployment;
    deployment.name = "kiprono";
    deployment.failureDomains = { "nyeri-a", "nyeri-b", "nyeri-c" };
    deployment.betweenDomains = Base::microseconds(900);
    deployment.toCallers = Base::microseconds(1000);
    addFailureDomains(deployment);
    addService(deployment, "shim-desk",
        { { .name = "wobble-log", .port = 443, .weight = 2, .priority = 0, .slotUse = SlotUse::PerRequest },
            { .name = "shim-chart",
                .port = 4433,
                .protocol = Configuration::Protocol::Udp,
                .priority = 1,
                .idempotent = true,
                .slotUse = SlotUse::PerRequest,
                .idleTimeout = Base::milliseconds(10'000) } },
        14);
    addService(deployment, "guide-vault",
        { { .name = "guide",
            .port = 80,
            .priority = 2,
            .idempotent = true,
            .slotUse = SlotUse::PerFlow,
            .deadline = Base::milliseconds(10'000) } },
        4);
    deployment.loads = {
        { .service = "shim-desk", .portClass = "wobble-log", .flowsPerSecond = 80, .longLivedShare = 0.03 },
        { .service = "shim-desk", .portClass = "shim-chart", .flowsPerSecond = 160, .longLivedShare = 0.01 },
        { .service = "guide-vault",
            .portClass = "guide",
            .flowsPerSecond = 20,
            .meanRequests = 1,
            .longLivedShare = 0,
            .serviceTime = Base::milliseconds(60) },
    };
    return deployment;
}

}
