#include <LibConfiguration/Paths.h>
#include <LibConfiguration/Validation.h>
#include <set>

namespace Configuration {

using Base::ErrorCode;
using Base::ErrorOr;
using Base::makeError;

namespace {

    template <typename Integer>
    ErrorOr<void> validateRange(const std::string& field, Integer value, Integer minimum, Integer maximum)
    {
        if (value >= minimum && value <= maximum)
            return {};
        return makeError(ErrorCode::OutOfRange,
            field + ": expected " + std::to_string(minimum) + " to " + std::to_string(maximum) + ", got "
                + std::to_string(value));
    }

    template <typename Enumeration>
    ErrorOr<void> validateEnumerator(const std::string& field, Enumeration value, Enumeration last)
    {
        if (value <= last)
            return {};
        return makeError(ErrorCode::InvalidArgument, field + ": unknown value");
    }

    ErrorOr<void> validateMilliseconds(
        const std::string& field, Base::milliseconds value, Base::milliseconds minimum, Base::milliseconds maximum)
    {
        return validateRange<int64_t>(field + " (ms)", value.count(), minimum.count(), maximum.count());
    }

    ErrorOr<void> validateEndpoint(const std::string& field, const Ipv4Endpoint& endpoint)
    {
        if (endpoint.address.value != 0 && endpoint.port != 0)
            return {};
        return makeError(ErrorCode::InvalidArgument, field + ": expected an address and a port, both not zero");
    }

    ErrorOr<void> validateText(const std::string& field, const std::string& text, std::size_t maximumBytes)
    {
        if (!text.empty() && text.size() <= maximumBytes)
            return {};
        return makeError(
            ErrorCode::InvalidArgument, field + ": expected 1 to " + std::to_string(maximumBytes) + " bytes");
    }

    ErrorOr<void> validateCount(const std::string& field, std::size_t count, std::size_t minimum, std::size_t maximum)
    {
        return validateRange<std::size_t>(field + " (count)", count, minimum, maximum);
    }

    boost::leaf::error_id duplicateError(const std::string& field)
    {
        return makeError(ErrorCode::InvalidArgument, field + ": stands twice in the service");
    }

    ErrorOr<void> validateAddresses(const std::string& path, const Service& service)
    {
        TRY(validateCount(path + "/addresses", service.addresses.size(), 1, maximumAddresses));
        std::set<Ipv4Address> seen;
        for (const auto& address : service.addresses) {
            if (address.value == 0)
                return makeError(ErrorCode::InvalidArgument, path + "/addresses: expected addresses that are not zero");
            if (!seen.insert(address).second)
                return duplicateError(path + "/addresses/" + address.toString());
        }
        return {};
    }

    ErrorOr<void> validatePortClasses(const std::string& path, const Service& service)
    {
        TRY(validateCount(path + "/port-class", service.portClasses.size(), 1, maximumPortClasses));
        std::set<std::string> names;
        std::set<std::pair<uint16_t, Protocol>> ports;
        for (const auto& portClass : service.portClasses) {
            const auto classPath = path + "/port-class/" + portClass.name;
            TRY(validatePortClass(classPath, portClass));
            if (!names.insert(portClass.name).second)
                return duplicateError(classPath);
            if (!ports.insert({ portClass.port, portClass.protocol }).second)
                return duplicateError(classPath + "/port");
        }
        return {};
    }

    ErrorOr<void> validateBackendServers(const std::string& path, const Service& service)
    {
        TRY(validateCount(path + "/backend-server", service.backendServers.size(), 0, maximumBackendServers));
        std::set<std::string> names;
        std::set<Ipv4Endpoint> tunnels;
        for (const auto& backendServer : service.backendServers) {
            const auto serverPath = backendServerPath(service.name, backendServer.name);
            TRY(validateBackendServer(serverPath, backendServer));
            if (!names.insert(backendServer.name).second)
                return duplicateError(serverPath);
            if (!tunnels.insert(backendServer.tunnel).second)
                return duplicateError(serverPath + "/tunnel");
        }
        return {};
    }

}

ErrorOr<void> validatePortClass(const std::string& path, const PortClass& portClass)
{
    using std::chrono::hours;
    using std::chrono::minutes;
    TRY(validateName(path + "/name", portClass.name));
    TRY(validateRange<uint32_t>(path + "/port", portClass.port, 1, 65535));
    TRY(validateEnumerator(path + "/protocol", portClass.protocol, Protocol::Udp));
    TRY(validateRange<uint32_t>(path + "/weight", portClass.weight, 1, 1000));
    TRY(validateRange<uint32_t>(path + "/priority", portClass.priority, 0, 15));
    TRY(validateEnumerator(path + "/slot-use", portClass.slotUse, SlotUse::PerRequest));
    TRY(validateMilliseconds(path + "/deadline", portClass.deadline, Base::milliseconds { 1 }, minutes { 10 }));
    TRY(validateRange<uint32_t>(path + "/retry-permille", portClass.retryPermille, 0, 1000));
    return validateMilliseconds(path + "/idle-timeout", portClass.idleTimeout, Base::seconds { 1 }, hours { 24 });
}

ErrorOr<void> validateBackendServer(const std::string& path, const BackendServer& backendServer)
{
    TRY(validateName(path + "/name", backendServer.name));
    TRY(validateName(path + "/failure-domain", backendServer.failureDomain));
    TRY(validateEndpoint(path + "/tunnel", backendServer.tunnel));
    TRY(validateEndpoint(path + "/management", backendServer.management));
    TRY(validateRange<uint32_t>(path + "/weight", backendServer.weight, 0, 1000));
    TRY(validateRange<uint32_t>(path + "/slots", backendServer.slots, 1, 65535));
    TRY(validateRange<uint32_t>(path + "/connections", backendServer.connections, 1, 1'000'000));
    TRY(validateEnumerator(path + "/state", backendServer.state, BackendServerState::Out));
    return validateMilliseconds(
        path + "/warm-up", backendServer.warmUp, Base::milliseconds { 0 }, std::chrono::hours { 1 });
}

ErrorOr<void> validateService(const Service& service)
{
    const auto path = servicePath(service.name);
    TRY(validateName(path + "/name", service.name));
    TRY(validateAddresses(path, service));
    TRY(validatePortClasses(path, service));
    return validateBackendServers(path, service);
}

ErrorOr<void> validateFailureDomain(const FailureDomain& failureDomain)
{
    const auto path = domainPath(failureDomain.name);
    TRY(validateName(path + "/name", failureDomain.name));
    TRY(validateName(path + "/region", failureDomain.region));
    return validateEnumerator(path + "/state", failureDomain.state, FailureDomainState::Out);
}

ErrorOr<void> validateAttribution(const Change& change)
{
    TRY(validateText("request_id", change.requestId, maximumRequestIdBytes));
    TRY(validateText("author", change.author, maximumAuthorBytes));
    TRY(validateText("reason", change.reason, maximumReasonBytes));
    return validateCount("overrides", change.overrides.size(), 0, maximumOverrides);
}

}
