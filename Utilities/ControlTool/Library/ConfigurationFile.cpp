#include "ConfigurationFile.h"
#include "ObjectReader.h"
#include <LibConfiguration/Difference.h>
#include <LibOperator/WireModel.h>
#include <algorithm>

namespace ControlTool {

using namespace Configuration;
using Base::ErrorCode;
using Base::ErrorOr;
using Base::makeError;
using nlohmann::json;

namespace {

    /// Parses an enumerator by its name. Returns an empty string, or a description of the expected values.
    template <typename Enumeration>
    std::string parseEnumerator(const std::string& text, Enumeration& target, std::initializer_list<Enumeration> all)
    {
        std::string expected;
        for (const auto value : all) {
            if (toString(value) == text) {
                target = value;
                return {};
            }
            expected += (expected.empty() ? "" : ", ") + toString(value);
        }
        return "one of " + expected;
    }

    std::string parseEndpoint(const std::string& text, Ipv4Endpoint& target)
    {
        auto endpoint = Base::capture([&] { return Ipv4Endpoint::parse(text); });
        if (!endpoint.isOk())
            return "ADDRESS:PORT";
        target = *endpoint.value;
        return {};
    }

    /// The element with the name of a JSON object, or a default-constructed one.
    template <typename Element>
    Element findByNameOrDefault(const std::vector<Element>& elements, const json& object)
    {
        const auto name = object.is_object() && object.contains("name") && object["name"].is_string()
            ? object["name"].get<std::string>()
            : std::string {};
        auto found = std::find_if(
            elements.begin(), elements.end(), [&](const Element& element) { return element.name == name; });
        return found == elements.end() ? Element {} : *found;
    }

    ErrorOr<PortClass> readPortClass(const json& object, const std::string& path, PortClass portClass)
    {
        ObjectReader reader(object, path);
        reader.read("name", portClass.name);
        reader.read("port", portClass.port);
        reader.readParsed("protocol", [&](const std::string& text) {
            return parseEnumerator(text, portClass.protocol, { Protocol::Tcp, Protocol::Udp });
        });
        reader.read("weight", portClass.weight);
        reader.read("priority", portClass.priority);
        reader.read("idempotent", portClass.idempotent);
        reader.readParsed("slot_use", [&](const std::string& text) {
            return parseEnumerator(text, portClass.slotUse, { SlotUse::None, SlotUse::PerFlow, SlotUse::PerRequest });
        });
        reader.read("deadline_ms", portClass.deadline);
        reader.read("retry_permille", portClass.retryPermille);
        reader.read("idle_timeout_ms", portClass.idleTimeout);
        TRY(reader.finish());
        return portClass;
    }

    ErrorOr<BackendServer> readBackendServer(const json& object, const std::string& path, BackendServer server)
    {
        ObjectReader reader(object, path);
        reader.read("name", server.name);
        reader.read("failure_domain", server.failureDomain);
        reader.readParsed("tunnel", [&](const std::string& text) { return parseEndpoint(text, server.tunnel); });
        reader.readParsed(
            "management", [&](const std::string& text) { return parseEndpoint(text, server.management); });
        reader.read("weight", server.weight);
        reader.read("slots", server.slots);
        reader.read("connections", server.connections);
        reader.readParsed("state", [&](const std::string& text) {
            return parseEnumerator(text, server.state,
                { BackendServerState::Active, BackendServerState::Draining, BackendServerState::Out });
        });
        reader.read("warm_up_ms", server.warmUp);
        TRY(reader.finish());
        return server;
    }

    ErrorOr<void> readAddress(const json& value, const std::string& path, std::vector<Ipv4Address>& addresses)
    {
        auto address = Base::capture([&]() -> ErrorOr<Ipv4Address> {
            if (!value.is_string())
                return makeError(ErrorCode::InvalidArgument, path);
            return Ipv4Address::parse(value.get<std::string>());
        });
        if (!address.isOk())
            return makeError(ErrorCode::InvalidArgument, path + ": expected an IPv4 address");
        addresses.push_back(*address.value);
        return {};
    }

    ErrorOr<Service> readService(const json& object, const std::string& path, const Service& current)
    {
        auto service = current;
        ObjectReader reader(object, path);
        reader.read("name", service.name);
        reader.read("prefer_local_domain", service.preferLocalDomain);
        if (reader.has("addresses"))
            service.addresses.clear();
        reader.readEach("addresses", [&](const json& value, const std::string& valuePath) {
            return readAddress(value, valuePath, service.addresses);
        });
        if (reader.has("port_classes"))
            service.portClasses.clear();
        reader.readEach("port_classes", [&](const json& value, const std::string& valuePath) -> ErrorOr<void> {
            TRY_ASSIGN(portClass, readPortClass(value, valuePath, findByNameOrDefault(current.portClasses, value)));
            service.portClasses.push_back(portClass);
            return {};
        });
        if (reader.has("backend_servers"))
            service.backendServers.clear();
        reader.readEach("backend_servers", [&](const json& value, const std::string& valuePath) -> ErrorOr<void> {
            TRY_ASSIGN(server, readBackendServer(value, valuePath, findByNameOrDefault(current.backendServers, value)));
            service.backendServers.push_back(server);
            return {};
        });
        TRY(reader.finish());
        return service;
    }

    ErrorOr<FailureDomain> readFailureDomain(const json& object, const std::string& path, FailureDomain failureDomain)
    {
        ObjectReader reader(object, path);
        reader.read("name", failureDomain.name);
        reader.read("region", failureDomain.region);
        reader.readParsed("state", [&](const std::string& text) {
            return parseEnumerator(text, failureDomain.state, { FailureDomainState::In, FailureDomainState::Out });
        });
        TRY(reader.finish());
        return failureDomain;
    }

    /// The objects of the current configuration.
    struct CurrentObjects {
        std::vector<Service> services;
        std::vector<FailureDomain> failureDomains;
    };

    ErrorOr<CurrentObjects> currentObjects(const eelgrasshatch::operators::Configuration& current)
    {
        CurrentObjects objects;
        for (const auto& wire : current.services()) {
            TRY_ASSIGN(service, Operator::fromWire(wire));
            objects.services.push_back(std::move(service));
        }
        for (const auto& wire : current.failure_domains())
            objects.failureDomains.push_back(Operator::fromWire(wire));
        return objects;
    }

}

ErrorOr<std::vector<Operation>> operationsFromFile(
    std::string_view fileText, const eelgrasshatch::operators::Configuration& current)
{
    const auto document = json::parse(fileText, nullptr, false, true);
    if (document.is_discarded())
        return makeError(ErrorCode::InvalidArgument, "expected JSON (comments allowed)");
    TRY_ASSIGN(objects, currentObjects(current));
    std::vector<Operation> operations;
    ObjectReader reader(document, "$");
    reader.readEach("failure_domains", [&](const json& value, const std::string& path) -> ErrorOr<void> {
        TRY_ASSIGN(failureDomain, readFailureDomain(value, path, findByNameOrDefault(objects.failureDomains, value)));
        operations.emplace_back(PutFailureDomain { failureDomain });
        return {};
    });
    reader.readEach("services", [&](const json& value, const std::string& path) -> ErrorOr<void> {
        TRY_ASSIGN(service, readService(value, path, findByNameOrDefault(objects.services, value)));
        operations.emplace_back(PutService { service });
        return {};
    });
    TRY(reader.finish());
    return operations;
}

}
