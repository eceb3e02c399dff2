#pragma once

#include <LibConfiguration/Snapshot.h>
#include <cstddef>

namespace Measure {

/// Creates a configuration with the target's proportions: three backend servers behind each address, one address and
/// one port class for each service, spread over four failure domains.
Configuration::Snapshot sampleConfiguration(std::size_t backendServers);

}
