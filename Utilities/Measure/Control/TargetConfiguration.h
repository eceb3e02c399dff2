#pragma once

#include <LibConfiguration/Snapshot.h>

namespace Measure {

/// Creates a configuration of the target size: 28,000 backend servers behind 9,200 addresses in four failure domains,
/// with services that differ in their number of backend servers.
Configuration::Snapshot makeTargetConfiguration(uint64_t seed);

}
