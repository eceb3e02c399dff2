#include <LibConfiguration/ModelCodec.h>
#include <LibConfiguration/Paths.h>
#include <LibOperator/WireModel.h>
#include <limits>

namespace Operator {

using namespace Configuration;
using Base::ErrorCode;
using Base::ErrorOr;
using Base::makeError;

namespace {

    ErrorOr<Ipv4Endpoint> parseEndpoint(const std::string& field, const std::string& text)
    {
        auto endpoint = Base::capture([&] { return Ipv4Endpoint::parse(text); });
        if (endpoint.isOk())
            return *endpoint.value;
        return makeError(ErrorCode::InvalidArgument, field + ": expected ADDRESS:PORT, got '" + text + "'");
    }

    ErrorOr<Ipv4Address> parseAddress(const std::string& field, const std::string& text)
    {
        auto address = Base::capture([&] { return Ipv4Address::parse(text); });
        if (address.isOk())
            return *address.value;
        return makeError(ErrorCode::InvalidArgument, field + ": expected an IPv4 address, got '" + text + "'");
    }

    Base::milliseconds clampedMilliseconds(uint64_t count)
    {
        constexpr auto maximum = static_cast<uint64_t>(std::numeric_limits<int64_t>::max() / 1'000'000);
        return Base::milliseconds(std::min(count, maximum));
    }

    Wire::SlotUse toWire(SlotUse slotUse)
    {
        switch (slotUse) {
        case SlotUse::None:
            return Wire::NONE;
        case SlotUse::PerRequest:
            return Wire::PER_REQUEST;
        case SlotUse::PerFlow:
            break;
        }
        return Wire::PER_FLOW;
    }

    ErrorOr<SlotUse> fromWire(const std::string& field, Wire::SlotUse slotUse)
    {
        switch (slotUse) {
        case Wire::NONE:
            return SlotUse::None;
        case Wire::PER_FLOW:
            return SlotUse::PerFlow;
        case Wire::PER_REQUEST:
            return SlotUse::PerRequest;
        default:
            return makeError(ErrorCode::InvalidArgument, field + ": unknown value");
        }
    }

    Wire::BackendServerState toWire(BackendServerState state)
    {
        switch (state) {
        case BackendServerState::Draining:
            return Wire::DRAINING;
        case BackendServerState::Out:
            return Wire::OUT;
        case BackendServerState::Active:
            break;
        }
        return Wire::ACTIVE;
    }

    ErrorOr<BackendServerState> fromWire(const std::string& field, Wire::BackendServerState state)
    {
        switch (state) {
        case Wire::ACTIVE:
            return BackendServerState::Active;
        case Wire::DRAINING:
            return BackendServerState::Draining;
        case Wire::OUT:
            return BackendServerState::Out;
        default:
            return makeError(ErrorCode::InvalidArgument, field + ": unknown value");
        }
    }

    Wire::PortClass toWire(const PortClass& portClass)
    {
        Wire::PortClass wire;
        wire.set_name(portClass.name);
        wire.set_port(portClass.port);
        wire.set_protocol(portClass.protocol == Protocol::Udp ? Wire::UDP : Wire::TCP);
        wire.set_weight(portClass.weight);
        wire.set_priority(portClass.priority);
        wire.set_idempotent(portClass.idempotent);
        wire.set_slot_use(toWire(portClass.slotUse));
        wire.set_deadline_ms(static_cast<uint64_t>(portClass.deadline.count()));
        wire.set_retry_permille(portClass.retryPermille);
        wire.set_idle_timeout_ms(static_cast<uint64_t>(portClass.idleTimeout.count()));
        return wire;
    }

    ErrorOr<PortClass> fromWire(const std::string& path, const Wire::PortClass& wire)
    {
        if (wire.port() > std::numeric_limits<uint16_t>::max())
            return makeError(ErrorCode::OutOfRange, path + "/port: expected 1 to 65535");
        if (wire.protocol() != Wire::TCP && wire.protocol() != Wire::UDP)
            return makeError(ErrorCode::InvalidArgument, path + "/protocol: unknown value");
        TRY_ASSIGN(slotUse, fromWire(path + "/slot-use", wire.slot_use()));
        return PortClass { .name = wire.name(),
            .port = static_cast<uint16_t>(wire.port()),
            .protocol = wire.protocol() == Wire::UDP ? Protocol::Udp : Protocol::Tcp,
            .weight = wire.weight(),
            .priority = wire.priority(),
            .idempotent = wire.idempotent(),
            .slotUse = slotUse,
            .deadline = clampedMilliseconds(wire.deadline_ms()),
            .retryPermille = wire.retry_permille(),
            .idleTimeout = clampedMilliseconds(wire.idle_timeout_ms()) };
    }

    std::optional<Base::WallTime> expiryFromWire(uint64_t count)
    {
        if (count == 0)
            return std::nullopt;
        return fromMilliseconds(clampedMilliseconds(count));
    }

    /// Visitor that sets the matching oneof member of the wire message.
    struct OperationToWire {
        Wire::Operation& wire;

        void operator()(const PutService& put) const { *wire.mutable_put_service() = Operator::toWire(put.service); }
        void operator()(const RemoveService& remove) const { wire.set_remove_service(remove.service); }
        void operator()(const PutBackendServer& put) const
        {
            wire.mutable_put_backend_server()->set_service(put.service);
            *wire.mutable_put_backend_server()->mutable_backend_server() = Operator::toWire(put.backendServer);
        }
        void operator()(const RemoveBackendServer& remove) const
        {
            wire.mutable_remove_backend_server()->set_service(remove.service);
            wire.mutable_remove_backend_server()->set_backend_server(remove.backendServer);
        }
        void operator()(const PutFailureDomain& put) const
        {
            *wire.mutable_put_failure_domain() = Operator::toWire(put.failureDomain);
        }
        void operator()(const RemoveFailureDomain& remove) const
        {
            wire.set_remove_failure_domain(remove.failureDomain);
        }
        void operator()(const Protect& protect) const
        {
            wire.mutable_protect()->set_path(protect.protection.path);
            if (protect.protection.expiresAt)
                wire.mutable_protect()->set_expires_at_ms(toMilliseconds(*protect.protection.expiresAt));
        }
        void operator()(const Unprotect& unprotect) const { wire.set_unprotect(unprotect.path); }
    };

}

Wire::Service toWire(const Service& service)
{
    Wire::Service wire;
    wire.set_id(service.id.value);
    wire.set_name(service.name);
    for (const auto& address : service.addresses)
        wire.add_addresses(address.toString());
    for (const auto& portClass : service.portClasses)
        *wire.add_port_classes() = toWire(portClass);
    for (const auto& backendServer : service.backendServers)
        *wire.add_backend_servers() = toWire(backendServer);
    wire.set_prefer_local_domain(service.preferLocalDomain);
    wire.set_changed_at(service.changedAt.value);
    return wire;
}

Wire::BackendServer toWire(const BackendServer& backendServer)
{
    Wire::BackendServer wire;
    wire.set_id(backendServer.id.value);
    wire.set_name(backendServer.name);
    wire.set_failure_domain(backendServer.failureDomain);
    wire.set_tunnel(backendServer.tunnel.toString());
    wire.set_management(backendServer.management.toString());
    wire.set_weight(backendServer.weight);
    wire.set_slots(backendServer.slots);
    wire.set_connections(backendServer.connections);
    wire.set_state(toWire(backendServer.state));
    wire.set_warm_up_ms(static_cast<uint64_t>(backendServer.warmUp.count()));
    return wire;
}

Wire::FailureDomain toWire(const FailureDomain& failureDomain)
{
    Wire::FailureDomain wire;
    wire.set_name(failureDomain.name);
    wire.set_region(failureDomain.region);
    wire.set_out(failureDomain.state == FailureDomainState::Out);
    wire.set_changed_at(failureDomain.changedAt.value);
    return wire;
}

Wire::Protection toWire(const Protection& protection)
{
    Wire::Protection wire;
    wire.set_path(protection.path);
    wire.set_reason(protection.reason);
    wire.set_author(protection.author);
    wire.set_since(protection.since.value);
    wire.set_expires_at_ms(protection.expiresAt ? toMilliseconds(*protection.expiresAt) : 0);
    return wire;
}

Wire::Difference toWire(const Difference& difference)
{
    Wire::Difference wire;
    wire.set_path(difference.path);
    if (difference.before)
        wire.set_before(*difference.before);
    if (difference.after)
        wire.set_after(*difference.after);
    return wire;
}

Wire::ChangeRecord toWire(const Change& change)
{
    Wire::ChangeRecord wire;
    wire.set_revision(change.revision.value);
    wire.set_request_id(change.requestId);
    wire.set_author(change.author);
    wire.set_reason(change.reason);
    wire.set_accepted_at_ms(toMilliseconds(change.acceptedAt));
    wire.set_base_revision(change.base.value);
    wire.set_path(objectPath(change.operation));
    for (const auto& path : change.overrides)
        wire.add_overrides(path);
    for (const auto& difference : change.differences)
        *wire.add_differences() = toWire(difference);
    wire.set_difference_count(change.differenceCount);
    return wire;
}

Wire::Operation toWire(const Configuration::Operation& operation)
{
    Wire::Operation wire;
    std::visit(OperationToWire { wire }, operation);
    return wire;
}

ErrorOr<Service> fromWire(const Wire::Service& wire)
{
    const auto path = servicePath(wire.name());
    Service service { .id = { wire.id() }, .name = wire.name() };
    for (const auto& text : wire.addresses()) {
        TRY_ASSIGN(address, parseAddress(path + "/addresses", text));
        service.addresses.push_back(address);
    }
    for (const auto& entry : wire.port_classes()) {
        TRY_ASSIGN(portClass, fromWire(path + "/port-class/" + entry.name(), entry));
        service.portClasses.push_back(portClass);
    }
    for (const auto& entry : wire.backend_servers()) {
        TRY_ASSIGN(backendServer, fromWire(backendServerPath(wire.name(), entry.name()), entry));
        service.backendServers.push_back(backendServer);
    }
    service.preferLocalDomain = wire.prefer_local_domain();
    service.changedAt = { wire.changed_at() };
    return service;
}

ErrorOr<BackendServer> fromWire(const std::string& path, const Wire::BackendServer& wire)
{
    TRY_ASSIGN(tunnel, parseEndpoint(path + "/tunnel", wire.tunnel()));
    TRY_ASSIGN(management, parseEndpoint(path + "/management", wire.management()));
    TRY_ASSIGN(state, fromWire(path + "/state", wire.state()));
    return BackendServer { .id = { wire.id() },
        .name = wire.name(),
        .failureDomain = wire.failure_domain(),
        .tunnel = tunnel,
        .management = management,
        .weight = wire.weight(),
        .slots = wire.slots(),
        .connections = wire.connections(),
        .state = state,
        .warmUp = clampedMilliseconds(wire.warm_up_ms()) };
}

FailureDomain fromWire(const Wire::FailureDomain& wire)
{
    return { .name = wire.name(),
        .region = wire.region(),
        .state = wire.out() ? FailureDomainState::Out : FailureDomainState::In,
        .changedAt = { wire.changed_at() } };
}

Protection fromWire(const Wire::Protection& wire)
{
    return { .path = wire.path(),
        .reason = wire.reason(),
        .author = wire.author(),
        .since = { wire.since() },
        .expiresAt = expiryFromWire(wire.expires_at_ms()) };
}

ErrorOr<Configuration::Operation> fromWire(const Wire::Operation& wire)
{
    switch (wire.kind_case()) {
    case Wire::Operation::kPutService: {
        TRY_ASSIGN(service, fromWire(wire.put_service()));
        return Configuration::Operation { PutService { std::move(service) } };
    }
    case Wire::Operation::kRemoveService:
        return Configuration::Operation { RemoveService { wire.remove_service() } };
    case Wire::Operation::kPutBackendServer: {
        const auto& put = wire.put_backend_server();
        const auto path = backendServerPath(put.service(), put.backend_server().name());
        TRY_ASSIGN(backendServer, fromWire(path, put.backend_server()));
        return Configuration::Operation { PutBackendServer { put.service(), std::move(backendServer) } };
    }
    case Wire::Operation::kRemoveBackendServer:
        return Configuration::Operation { RemoveBackendServer {
            wire.remove_backend_server().service(), wire.remove_backend_server().backend_server() } };
    case Wire::Operation::kPutFailureDomain:
        return Configuration::Operation { PutFailureDomain { fromWire(wire.put_failure_domain()) } };
    case Wire::Operation::kRemoveFailureDomain:
        return Configuration::Operation { RemoveFailureDomain { wire.remove_failure_domain() } };
    case Wire::Operation::kProtect: {
        Protection protection { .path = wire.protect().path() };
        protection.expiresAt = expiryFromWire(wire.protect().expires_at_ms());
        return Configuration::Operation { Protect { std::move(protection) } };
    }
    case Wire::Operation::kUnprotect:
        return Configuration::Operation { Unprotect { wire.unprotect() } };
    case Wire::Operation::KIND_NOT_SET:
        break;
    }
    return makeError(ErrorCode::InvalidArgument, "operation: expected one of the schema's operations");
}

ErrorOr<Change> fromWire(const Wire::ChangeRequest& wire)
{
    TRY_ASSIGN(operation, fromWire(wire.operation()));
    Change change { .requestId = wire.request_id(),
        .author = wire.author(),
        .reason = wire.reason(),
        .base = { wire.base_revision() },
        .operation = std::move(operation) };
    for (const auto& path : wire.overrides())
        change.overrides.push_back(path);
    return change;
}

}
