#pragma once

/// Flattens configuration objects into fields by path and compares them, for plans, history and protections.

#include <LibConfiguration/Change.h>
#include <map>
#include <string>
#include <vector>

namespace Configuration {

/// Field values by path, formatted for operators.
using Fields = std::map<std::string, std::string>;

/// Returns the fields of a service, its port classes and its backend servers.
Fields fieldsOf(const Service&);
/// Returns the fields of one backend server of a service.
Fields fieldsOf(const std::string& service, const BackendServer&);
Fields fieldsOf(const FailureDomain&);
/// Returns the fields of a protection, with paths below "protection/PATH".
Fields fieldsOf(const Protection&);

/// Returns the fields that differ, sorted by path.
std::vector<Difference> differences(const Fields& before, const Fields& after);

/// Returns the fields an operation would alter in a snapshot, sorted by path. Empty if the object exists neither before
/// nor after.
std::vector<Difference> differences(const Snapshot&, const Operation&);

/// Return the lower-case name of an enumerator, as used in paths, tables and files.
std::string toString(Protocol);
std::string toString(SlotUse);
std::string toString(BackendServerState);
std::string toString(FailureDomainState);

}
