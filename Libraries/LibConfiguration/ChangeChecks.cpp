#include <LibConfiguration/ChangeChecks.h>
#include <LibConfiguration/Difference.h>
#include <LibConfiguration/Paths.h>
#include <algorithm>

namespace Configuration {

using Base::ErrorCode;
using Base::ErrorOr;
using Base::makeError;

namespace {

    const Protection* findProtection(const Snapshot& snapshot, const std::string& path)
    {
        auto found = std::find_if(snapshot.protections.begin(), snapshot.protections.end(),
            [&](const Protection& protection) { return protection.path == path; });
        return found == snapshot.protections.end() ? nullptr : &*found;
    }

    bool appliesTo(const Protection& protection, const Change& change)
    {
        if (protection.expiresAt && *protection.expiresAt <= change.acceptedAt)
            return false;
        return std::find(change.overrides.begin(), change.overrides.end(), protection.path) == change.overrides.end();
    }

    boost::leaf::error_id protectedError(const Protection& protection, const std::string& path)
    {
        return makeError(ErrorCode::Protected,
            path + ": protected by " + protection.path + " (" + protection.author + ", revision "
                + std::to_string(protection.since.value) + ": " + protection.reason + ")");
    }

}

ErrorOr<void> checkRevisionFollows(const Snapshot& snapshot, const Change& change)
{
    if (change.revision.value != snapshot.revision.value + 1)
        return makeError(ErrorCode::Conflict,
            "revision " + std::to_string(change.revision.value) + " does not follow "
                + std::to_string(snapshot.revision.value));
    return {};
}

ErrorOr<void> checkBaseRevision(const Snapshot& snapshot, const Change& change)
{
    const auto current = currentRevision(snapshot, change.operation);
    if (change.base == current)
        return {};
    return makeError(ErrorCode::Conflict,
        objectPath(change.operation) + ": based on revision " + std::to_string(change.base.value)
            + ", last changed in revision " + std::to_string(current.value));
}

ErrorOr<void> checkProtections(const Snapshot& snapshot, const Change& change)
{
    if (std::holds_alternative<Unprotect>(change.operation))
        return {};
    if (const auto* protect = std::get_if<Protect>(&change.operation)) {
        const auto* existing = findProtection(snapshot, protect->protection.path);
        if (existing != nullptr && appliesTo(*existing, change))
            return protectedError(*existing, existing->path);
        return {};
    }
    if (snapshot.protections.empty())
        return {};
    const auto altered = differences(snapshot, change.operation);
    for (const auto& protection : snapshot.protections) {
        if (!appliesTo(protection, change))
            continue;
        for (const auto& difference : altered) {
            if (isWithin(difference.path, protection.path))
                return protectedError(protection, difference.path);
        }
    }
    return {};
}

ErrorOr<void> checkAddressesAreFree(const Snapshot& snapshot, const Service& service)
{
    for (const auto& [name, other] : snapshot.services) {
        if (name == service.name)
            continue;
        for (const auto& address : service.addresses) {
            if (std::find(other.addresses.begin(), other.addresses.end(), address) == other.addresses.end())
                continue;
            return makeError(ErrorCode::InvalidArgument,
                servicePath(service.name) + "/addresses/" + address.toString() + ": belongs to service/" + name);
        }
    }
    return {};
}

ErrorOr<void> checkDomainsExist(const Snapshot& snapshot, const Service& service)
{
    for (const auto& backendServer : service.backendServers) {
        if (!snapshot.failureDomains.contains(backendServer.failureDomain))
            return makeError(ErrorCode::InvalidArgument,
                backendServerPath(service.name, backendServer.name)
                    + "/failure-domain: expected an existing failure domain, got '" + backendServer.failureDomain
                    + "'");
    }
    return {};
}

}
