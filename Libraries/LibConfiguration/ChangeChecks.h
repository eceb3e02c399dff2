#pragma once

/// Preconditions for applying a change to a snapshot, beyond the validity of its values.

#include <LibBase/Error.h>
#include <LibConfiguration/Change.h>

namespace Configuration {

/// Fails with Conflict unless the change's revision directly follows the snapshot's.
Base::ErrorOr<void> checkRevisionFollows(const Snapshot&, const Change&);
/// Fails with Conflict unless the change is based on its object's current revision.
Base::ErrorOr<void> checkBaseRevision(const Snapshot&, const Change&);
/// Fails with Protected if the change alters a protected field without overriding the protection.
Base::ErrorOr<void> checkProtections(const Snapshot&, const Change&);
/// Fails with InvalidArgument if an address already belongs to another service.
Base::ErrorOr<void> checkAddressesAreFree(const Snapshot&, const Service&);
/// Fails with InvalidArgument if a backend server refers to a failure domain that does not exist.
Base::ErrorOr<void> checkDomainsExist(const Snapshot&, const Service&);

}
