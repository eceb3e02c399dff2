#include <LibConfiguration/Difference.h>
#include <LibConfiguration/Paths.h>
#include <algorithm>
#include <type_traits>

namespace Configuration {

namespace {

    std::string toText(Base::milliseconds duration) { return std::to_string(duration.count()) + " ms"; }

    std::string toText(bool value) { return value ? "true" : "false"; }

    std::string joinAddresses(std::vector<Ipv4Address> addresses)
    {
        std::sort(addresses.begin(), addresses.end());
        std::string text;
        for (const auto& address : addresses)
            text += (text.empty() ? "" : ", ") + address.toString();
        return text;
    }

    void addFields(Fields& fields, const std::string& path, const PortClass& portClass)
    {
        fields[path + "/port"] = std::to_string(portClass.port);
        fields[path + "/protocol"] = toString(portClass.protocol);
        fields[path + "/weight"] = std::to_string(portClass.weight);
        fields[path + "/priority"] = std::to_string(portClass.priority);
        fields[path + "/idempotent"] = toText(portClass.idempotent);
        fields[path + "/slot-use"] = toString(portClass.slotUse);
        fields[path + "/deadline"] = toText(portClass.deadline);
        fields[path + "/retry-permille"] = std::to_string(portClass.retryPermille);
        fields[path + "/idle-timeout"] = toText(portClass.idleTimeout);
    }

    void addFields(Fields& fields, const std::string& path, const BackendServer& backendServer)
    {
        fields[path + "/failure-domain"] = backendServer.failureDomain;
        fields[path + "/tunnel"] = backendServer.tunnel.toString();
        fields[path + "/management"] = backendServer.management.toString();
        fields[path + "/weight"] = std::to_string(backendServer.weight);
        fields[path + "/slots"] = std::to_string(backendServer.slots);
        fields[path + "/connections"] = std::to_string(backendServer.connections);
        fields[path + "/state"] = toString(backendServer.state);
        fields[path + "/warm-up"] = toText(backendServer.warmUp);
    }

    Fields serviceFields(const Snapshot& snapshot, const std::string& name)
    {
        const auto* service = snapshot.findService(name);
        return service == nullptr ? Fields {} : fieldsOf(*service);
    }

    Fields backendServerFields(const Snapshot& snapshot, const std::string& service, const std::string& name)
    {
        const auto* found = snapshot.findService(service);
        if (found == nullptr)
            return {};
        for (const auto& backendServer : found->backendServers) {
            if (backendServer.name == name)
                return fieldsOf(service, backendServer);
        }
        return {};
    }

    Fields domainFields(const Snapshot& snapshot, const std::string& name)
    {
        auto found = snapshot.failureDomains.find(name);
        return found == snapshot.failureDomains.end() ? Fields {} : fieldsOf(found->second);
    }

    Fields protectionFields(const Snapshot& snapshot, const std::string& path)
    {
        for (const auto& protection : snapshot.protections) {
            if (protection.path == path)
                return fieldsOf(protection);
        }
        return {};
    }

    struct OperationDifferences {
        const Snapshot& snapshot;

        auto operator()(const PutService& put) const
        {
            return differences(serviceFields(snapshot, put.service.name), fieldsOf(put.service));
        }
        auto operator()(const RemoveService& remove) const
        {
            return differences(serviceFields(snapshot, remove.service), {});
        }
        auto operator()(const PutBackendServer& put) const
        {
            return differences(backendServerFields(snapshot, put.service, put.backendServer.name),
                fieldsOf(put.service, put.backendServer));
        }
        auto operator()(const RemoveBackendServer& remove) const
        {
            return differences(backendServerFields(snapshot, remove.service, remove.backendServer), {});
        }
        auto operator()(const PutFailureDomain& put) const
        {
            return differences(domainFields(snapshot, put.failureDomain.name), fieldsOf(put.failureDomain));
        }
        auto operator()(const RemoveFailureDomain& remove) const
        {
            return differences(domainFields(snapshot, remove.failureDomain), {});
        }
        auto operator()(const Protect& protect) const
        {
            return differences(protectionFields(snapshot, protect.protection.path), fieldsOf(protect.protection));
        }
        auto operator()(const Unprotect& unprotect) const
        {
            return differences(protectionFields(snapshot, unprotect.path), {});
        }
    };

}

std::string toString(Protocol protocol) { return protocol == Protocol::Tcp ? "tcp" : "udp"; }

std::string toString(SlotUse slotUse)
{
    switch (slotUse) {
    case SlotUse::None:
        return "none";
    case SlotUse::PerFlow:
        return "per-flow";
    case SlotUse::PerRequest:
        return "per-request";
    }
    return "unknown";
}

std::string toString(BackendServerState state)
{
    switch (state) {
    case BackendServerState::Active:
        return "active";
    case BackendServerState::Draining:
        return "draining";
    case BackendServerState::Out:
        return "out";
    }
    return "unknown";
}

std::string toString(FailureDomainState state) { return state == FailureDomainState::In ? "in" : "out"; }

Fields fieldsOf(const Service& service)
{
    Fields fields;
    const auto path = servicePath(service.name);
    fields[path + "/addresses"] = joinAddresses(service.addresses);
    fields[path + "/prefer-local-domain"] = toText(service.preferLocalDomain);
    for (const auto& portClass : service.portClasses)
        addFields(fields, path + "/port-class/" + portClass.name, portClass);
    for (const auto& backendServer : service.backendServers)
        addFields(fields, backendServerPath(service.name, backendServer.name), backendServer);
    return fields;
}

Fields fieldsOf(const std::string& service, const BackendServer& backendServer)
{
    Fields fields;
    addFields(fields, backendServerPath(service, backendServer.name), backendServer);
    return fields;
}

Fields fieldsOf(const FailureDomain& failureDomain)
{
    const auto path = domainPath(failureDomain.name);
    return { { path + "/region", failureDomain.region }, { path + "/state", toString(failureDomain.state) } };
}

Fields fieldsOf(const Protection& protection)
{
    const auto path = "protection/" + protection.path;
    Fields fields { { path + "/reason", protection.reason }, { path + "/author", protection.author } };
    if (protection.expiresAt)
        fields[path + "/expires-at"] = std::to_string(protection.expiresAt->time_since_epoch().count()) + " ms";
    return fields;
}

std::vector<Difference> differences(const Fields& before, const Fields& after)
{
    std::vector<Difference> result;
    for (const auto& [path, value] : before) {
        auto found = after.find(path);
        if (found == after.end())
            result.push_back({ path, value, std::nullopt });
        else if (found->second != value)
            result.push_back({ path, value, found->second });
    }
    for (const auto& [path, value] : after) {
        if (!before.contains(path))
            result.push_back({ path, std::nullopt, value });
    }
    std::sort(result.begin(), result.end(),
        [](const Difference& left, const Difference& right) { return left.path < right.path; });
    return result;
}

std::vector<Difference> differences(const Snapshot& snapshot, const Operation& operation)
{
    return std::visit(OperationDifferences { snapshot }, operation);
}

}
