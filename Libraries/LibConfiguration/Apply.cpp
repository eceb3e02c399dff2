/// Applies one change to a snapshot.

#include <LibConfiguration/Change.h>
#include <LibConfiguration/ChangeChecks.h>
#include <LibConfiguration/Difference.h>
#include <LibConfiguration/Paths.h>
#include <LibConfiguration/Validation.h>
#include <algorithm>

namespace Configuration {

using Base::ErrorCode;
using Base::ErrorOr;
using Base::makeError;

namespace {

    std::string pathOf(const PutService& put) { return servicePath(put.service.name); }
    std::string pathOf(const RemoveService& remove) { return servicePath(remove.service); }
    std::string pathOf(const PutBackendServer& put) { return servicePath(put.service); }
    std::string pathOf(const RemoveBackendServer& remove) { return servicePath(remove.service); }
    std::string pathOf(const PutFailureDomain& put) { return domainPath(put.failureDomain.name); }
    std::string pathOf(const RemoveFailureDomain& remove) { return domainPath(remove.failureDomain); }
    std::string pathOf(const Protect& protect) { return rootPath(protect.protection.path); }
    std::string pathOf(const Unprotect& unprotect) { return rootPath(unprotect.path); }

    bool pathExists(const Snapshot& snapshot, const std::string& path)
    {
        const auto root = rootPath(path);
        const auto name = root.substr(root.find('/') + 1);
        Fields fields;
        if (root.starts_with("service/") && snapshot.services.contains(name))
            fields = fieldsOf(snapshot.services.at(name));
        if (root.starts_with("domain/") && snapshot.failureDomains.contains(name))
            fields = fieldsOf(snapshot.failureDomains.at(name));
        return std::any_of(
            fields.begin(), fields.end(), [&](const auto& field) { return isWithin(field.first, path); });
    }

    boost::leaf::error_id notFound(const std::string& path)
    {
        return makeError(ErrorCode::NotFound, path + ": does not exist");
    }

    /// Returns the backend server with the given name, or nullptr. service may be nullptr.
    template <typename ServiceType>
    auto findBackendServer(ServiceType* service, const std::string& name) -> decltype(service->backendServers.data())
    {
        if (service == nullptr)
            return nullptr;
        auto& servers = service->backendServers;
        auto found = std::find_if(servers.begin(), servers.end(),
            [&](const BackendServer& backendServer) { return backendServer.name == name; });
        return found == servers.end() ? nullptr : &*found;
    }

    /// Keeps the identifier while the tunnel endpoint is unchanged. A different tunnel endpoint means a different
    /// machine, which gets a new identifier.
    void assignBackendServerId(const BackendServer* existing, BackendServer& backendServer, uint32_t& nextId)
    {
        if (existing != nullptr && existing->tunnel == backendServer.tunnel)
            backendServer.id = existing->id;
        else
            backendServer.id = BackendServerId { nextId++ };
    }

    ErrorOr<void> checkSuppliedId(const std::string& path, uint32_t supplied, uint32_t existing)
    {
        if (supplied == 0 || supplied == existing)
            return {};
        return makeError(ErrorCode::InvalidArgument, path + "/id: expected 0 or the assigned identifier");
    }

    ErrorOr<void> putService(Snapshot& snapshot, const Change& change, Service service)
    {
        TRY(validateService(service));
        TRY(checkDomainsExist(snapshot, service));
        TRY(checkAddressesAreFree(snapshot, service));
        const auto* existing = snapshot.findService(service.name);
        TRY(checkSuppliedId(servicePath(service.name), service.id.value, existing == nullptr ? 0 : existing->id.value));
        for (const auto& backendServer : service.backendServers) {
            const auto* known = findBackendServer(existing, backendServer.name);
            TRY(checkSuppliedId(backendServerPath(service.name, backendServer.name), backendServer.id.value,
                known == nullptr ? 0 : known->id.value));
        }
        service.id = existing == nullptr ? ServiceId { snapshot.nextServiceId++ } : existing->id;
        for (auto& backendServer : service.backendServers)
            assignBackendServerId(
                findBackendServer(existing, backendServer.name), backendServer, snapshot.nextBackendServerId);
        service.changedAt = change.revision;
        snapshot.tombstones.erase(servicePath(service.name));
        snapshot.services[service.name] = std::move(service);
        return {};
    }

    void removeProtectionsWithin(Snapshot& snapshot, const std::string& path)
    {
        std::erase_if(
            snapshot.protections, [&](const Protection& protection) { return isWithin(protection.path, path); });
    }

    /// Sets changedAt of the object that contains the path.
    void markObjectChanged(Snapshot& snapshot, const std::string& path, Revision revision)
    {
        const auto root = rootPath(path);
        const auto name = root.substr(root.find('/') + 1);
        if (root.starts_with("service/") && snapshot.services.contains(name))
            snapshot.services[name].changedAt = revision;
        if (root.starts_with("domain/") && snapshot.failureDomains.contains(name))
            snapshot.failureDomains[name].changedAt = revision;
    }

    struct Applier {
        Snapshot& snapshot;
        const Change& change;

        ErrorOr<void> operator()(const PutService& put) const { return putService(snapshot, change, put.service); }

        ErrorOr<void> operator()(const RemoveService& remove) const
        {
            if (snapshot.services.erase(remove.service) == 0)
                return notFound(servicePath(remove.service));
            removeProtectionsWithin(snapshot, servicePath(remove.service));
            snapshot.tombstones[servicePath(remove.service)] = change.revision;
            return {};
        }

        ErrorOr<void> operator()(const PutBackendServer& put) const
        {
            const auto* existing = snapshot.findService(put.service);
            if (existing == nullptr)
                return notFound(servicePath(put.service));
            Service service = *existing;
            if (auto* known = findBackendServer(&service, put.backendServer.name))
                *known = put.backendServer;
            else
                service.backendServers.push_back(put.backendServer);
            return putService(snapshot, change, std::move(service));
        }

        ErrorOr<void> operator()(const RemoveBackendServer& remove) const
        {
            const auto path = backendServerPath(remove.service, remove.backendServer);
            auto found = snapshot.services.find(remove.service);
            if (found == snapshot.services.end() || findBackendServer(&found->second, remove.backendServer) == nullptr)
                return notFound(path);
            std::erase_if(found->second.backendServers,
                [&](const BackendServer& backendServer) { return backendServer.name == remove.backendServer; });
            found->second.changedAt = change.revision;
            removeProtectionsWithin(snapshot, path);
            return {};
        }

        ErrorOr<void> operator()(const PutFailureDomain& put) const
        {
            TRY(validateFailureDomain(put.failureDomain));
            auto failureDomain = put.failureDomain;
            failureDomain.changedAt = change.revision;
            snapshot.tombstones.erase(domainPath(failureDomain.name));
            snapshot.failureDomains[failureDomain.name] = failureDomain;
            return {};
        }

        ErrorOr<void> operator()(const RemoveFailureDomain& remove) const
        {
            const auto path = domainPath(remove.failureDomain);
            if (!snapshot.failureDomains.contains(remove.failureDomain))
                return notFound(path);
            for (const auto& [name, service] : snapshot.services) {
                for (const auto& backendServer : service.backendServers) {
                    if (backendServer.failureDomain == remove.failureDomain)
                        return makeError(ErrorCode::InvalidArgument,
                            path + ": still used by " + backendServerPath(name, backendServer.name));
                }
            }
            snapshot.failureDomains.erase(remove.failureDomain);
            removeProtectionsWithin(snapshot, path);
            snapshot.tombstones[path] = change.revision;
            return {};
        }

        ErrorOr<void> operator()(const Protect& protect) const
        {
            const auto& path = protect.protection.path;
            if (!pathExists(snapshot, path))
                return notFound(path);
            if (protect.protection.expiresAt && *protect.protection.expiresAt <= change.acceptedAt)
                return makeError(ErrorCode::OutOfRange, "protection/" + path + "/expires-at: expected a later time");
            auto protection = protect.protection;
            protection.since = change.revision;
            protection.author = change.author;
            protection.reason = change.reason;
            std::erase_if(snapshot.protections, [&](const Protection& other) { return other.path == path; });
            snapshot.protections.push_back(std::move(protection));
            markObjectChanged(snapshot, path, change.revision);
            return {};
        }

        ErrorOr<void> operator()(const Unprotect& unprotect) const
        {
            auto erased = std::erase_if(
                snapshot.protections, [&](const Protection& other) { return other.path == unprotect.path; });
            if (erased == 0)
                return notFound("protection/" + unprotect.path);
            markObjectChanged(snapshot, unprotect.path, change.revision);
            return {};
        }
    };

    /// Records the change's revision and request, and drops requests older than requestDeduplicationWindow.
    void recordAcceptance(Snapshot& snapshot, const Change& change)
    {
        snapshot.revision = change.revision;
        snapshot.acceptedAt = std::max(snapshot.acceptedAt, change.acceptedAt);
        std::erase_if(snapshot.requests, [&](const AcceptedRequest& request) {
            return request.acceptedAt + requestDeduplicationWindow < snapshot.acceptedAt;
        });
        if (snapshot.requests.size() >= maximumAcceptedRequests)
            snapshot.requests.erase(snapshot.requests.begin());
        snapshot.requests.push_back(
            { change.requestId, change.revision, snapshot.acceptedAt, digest(change.operation) });
    }

}

std::string objectPath(const Operation& operation)
{
    return std::visit([](const auto& alternative) { return pathOf(alternative); }, operation);
}

Revision currentRevision(const Snapshot& snapshot, const Operation& operation)
{
    return currentRevision(snapshot, objectPath(operation));
}

Revision currentRevision(const Snapshot& snapshot, const std::string& path)
{
    const auto name = path.substr(path.find('/') + 1);
    if (path.starts_with("service/") && snapshot.services.contains(name))
        return snapshot.services.at(name).changedAt;
    if (path.starts_with("domain/") && snapshot.failureDomains.contains(name))
        return snapshot.failureDomains.at(name).changedAt;
    auto removed = snapshot.tombstones.find(path);
    return removed == snapshot.tombstones.end() ? Revision {} : removed->second;
}

ErrorOr<void> applyTo(Snapshot& snapshot, const Change& change)
{
    TRY(checkRevisionFollows(snapshot, change));
    TRY(validateAttribution(change));
    TRY(checkBaseRevision(snapshot, change));
    TRY(checkProtections(snapshot, change));
    TRY(std::visit(Applier { snapshot, change }, change.operation));
    recordAcceptance(snapshot, change);
    return {};
}

ErrorOr<Snapshot> apply(const Snapshot& snapshot, const Change& change)
{
    auto next = snapshot;
    TRY(applyTo(next, change));
    return next;
}

}
