#include <LibConfiguration/ModelCodec.h>
#include <LibConfiguration/RecordReader.h>
#include <algorithm>

namespace Configuration {

using Base::ErrorOr;
using nlohmann::json;

namespace {

    constexpr std::size_t maximumTextBytes = 4096;
    constexpr uint64_t maximumU32 = std::numeric_limits<uint32_t>::max();
    constexpr uint64_t maximumU16 = std::numeric_limits<uint16_t>::max();
    constexpr uint64_t maximumPackedEndpoint = (uint64_t { 1 } << 48) - 1;

    uint64_t toCount(Base::milliseconds duration)
    {
        return static_cast<uint64_t>(std::max<int64_t>(duration.count(), 0));
    }

    Ipv4Endpoint endpoint(RecordReader& reader)
    {
        return Ipv4Endpoint::fromPacked(reader.number(0, maximumPackedEndpoint));
    }

    uint32_t number32(RecordReader& reader, uint32_t fallback)
    {
        return static_cast<uint32_t>(reader.number(fallback, maximumU32));
    }

}

uint64_t toMilliseconds(Base::WallTime time) { return toCount(time.time_since_epoch()); }

Base::WallTime fromMilliseconds(std::chrono::milliseconds time) { return Base::WallTime(time); }

json toRecord(const PortClass& portClass)
{
    return json::array({ portClass.name, portClass.port, static_cast<uint64_t>(portClass.protocol), portClass.weight,
        portClass.priority, portClass.idempotent, static_cast<uint64_t>(portClass.slotUse), toCount(portClass.deadline),
        portClass.retryPermille, toCount(portClass.idleTimeout) });
}

json toRecord(const BackendServer& backendServer)
{
    return json::array({ backendServer.id.value, backendServer.name, backendServer.failureDomain,
        backendServer.tunnel.packed(), backendServer.management.packed(), backendServer.weight, backendServer.slots,
        backendServer.connections, static_cast<uint64_t>(backendServer.state), toCount(backendServer.warmUp) });
}

json toRecord(const Service& service)
{
    auto addresses = json::array();
    for (const auto& address : service.addresses)
        addresses.push_back(address.value);
    auto portClasses = json::array();
    for (const auto& portClass : service.portClasses)
        portClasses.push_back(toRecord(portClass));
    auto backendServers = json::array();
    for (const auto& backendServer : service.backendServers)
        backendServers.push_back(toRecord(backendServer));
    return json::array({ service.id.value, service.name, std::move(addresses), std::move(portClasses),
        std::move(backendServers), service.preferLocalDomain, service.changedAt.value });
}

json toRecord(const FailureDomain& failureDomain)
{
    return json::array({ failureDomain.name, failureDomain.region, static_cast<uint64_t>(failureDomain.state),
        failureDomain.changedAt.value });
}

json toRecord(const Protection& protection)
{
    auto record = json::array({ protection.path, protection.reason, protection.author, protection.since.value });
    record.push_back(protection.expiresAt ? json(toMilliseconds(*protection.expiresAt)) : json(nullptr));
    return record;
}

json toRecord(const AcceptedRequest& request)
{
    return json::array(
        { request.requestId, request.revision.value, toMilliseconds(request.acceptedAt), request.digest });
}

ErrorOr<PortClass> portClassFromRecord(const json& record)
{
    PortClass portClass;
    RecordReader reader(record, 3);
    portClass.name = reader.text(maximumTextBytes);
    portClass.port = static_cast<uint16_t>(reader.number(0, maximumU16));
    portClass.protocol = reader.enumerator(portClass.protocol, Protocol::Udp);
    portClass.weight = number32(reader, portClass.weight);
    portClass.priority = number32(reader, portClass.priority);
    portClass.idempotent = reader.flag(portClass.idempotent);
    portClass.slotUse = reader.enumerator(portClass.slotUse, SlotUse::PerRequest);
    portClass.deadline = reader.milliseconds(portClass.deadline);
    portClass.retryPermille = number32(reader, portClass.retryPermille);
    portClass.idleTimeout = reader.milliseconds(portClass.idleTimeout);
    TRY(reader.finish("port class"));
    return portClass;
}

ErrorOr<BackendServer> backendServerFromRecord(const json& record)
{
    BackendServer backendServer;
    RecordReader reader(record, 5);
    backendServer.id = { number32(reader, 0) };
    backendServer.name = reader.text(maximumTextBytes);
    backendServer.failureDomain = reader.text(maximumTextBytes);
    backendServer.tunnel = endpoint(reader);
    backendServer.management = endpoint(reader);
    backendServer.weight = number32(reader, backendServer.weight);
    backendServer.slots = number32(reader, backendServer.slots);
    backendServer.connections = number32(reader, backendServer.connections);
    backendServer.state = reader.enumerator(backendServer.state, BackendServerState::Out);
    backendServer.warmUp = reader.milliseconds(backendServer.warmUp);
    TRY(reader.finish("backend server"));
    return backendServer;
}

ErrorOr<Service> serviceFromRecord(const json& record)
{
    Service service;
    RecordReader reader(record, 5);
    service.id = { number32(reader, 0) };
    service.name = reader.text(maximumTextBytes);
    for (const auto& address : reader.array()) {
        if (!address.is_number_unsigned() || address.get<uint64_t>() > maximumU32)
            reader.markMalformed();
        else
            service.addresses.push_back({ address.get<uint32_t>() });
    }
    for (const auto& portClass : reader.array()) {
        TRY_ASSIGN(decoded, portClassFromRecord(portClass));
        service.portClasses.push_back(std::move(decoded));
    }
    for (const auto& backendServer : reader.array()) {
        TRY_ASSIGN(decoded, backendServerFromRecord(backendServer));
        service.backendServers.push_back(std::move(decoded));
    }
    service.preferLocalDomain = reader.flag(false);
    service.changedAt = { reader.number(0) };
    TRY(reader.finish("service"));
    return service;
}

ErrorOr<FailureDomain> failureDomainFromRecord(const json& record)
{
    FailureDomain failureDomain;
    RecordReader reader(record, 3);
    failureDomain.name = reader.text(maximumTextBytes);
    failureDomain.region = reader.text(maximumTextBytes);
    failureDomain.state = reader.enumerator(failureDomain.state, FailureDomainState::Out);
    failureDomain.changedAt = { reader.number(0) };
    TRY(reader.finish("failure domain"));
    return failureDomain;
}

ErrorOr<Protection> protectionFromRecord(const json& record)
{
    Protection protection;
    RecordReader reader(record, 4);
    protection.path = reader.text(maximumTextBytes);
    protection.reason = reader.text(maximumTextBytes);
    protection.author = reader.text(maximumTextBytes);
    protection.since = { reader.number(0) };
    if (const auto* expiry = reader.optional()) {
        const auto holder = json::array({ *expiry });
        RecordReader expiryReader(holder, 1);
        protection.expiresAt = fromMilliseconds(expiryReader.milliseconds({}));
        TRY(expiryReader.finish("protection's expiry"));
    }
    TRY(reader.finish("protection"));
    return protection;
}

ErrorOr<AcceptedRequest> acceptedRequestFromRecord(const json& record)
{
    AcceptedRequest request;
    RecordReader reader(record, 3);
    request.requestId = reader.text(maximumTextBytes);
    request.revision = { reader.number(0) };
    request.acceptedAt = fromMilliseconds(reader.milliseconds({}));
    request.digest = reader.number(0);
    TRY(reader.finish("accepted request"));
    return request;
}

}
