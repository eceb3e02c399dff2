#pragma once

/// Paths of configuration objects and their fields, as operators write them.

#include <LibBase/Error.h>
#include <string>
#include <string_view>

namespace Configuration {

/// Maximum length of the name of a service, backend server, port class, failure domain or region.
constexpr std::size_t maximumNameBytes = 63;

/// "service/NAME".
std::string servicePath(std::string_view service);
/// "service/NAME/backend-server/NAME".
std::string backendServerPath(std::string_view service, std::string_view backendServer);
/// "domain/NAME".
std::string domainPath(std::string_view failureDomain);

/// Returns the path of the object that contains a path: "service/rota" for
/// "service/rota/backend-server/rota-3/weight". Returns the path itself if it has at most two components.
std::string rootPath(std::string_view path);

/// Returns whether path equals ancestor or lies below it.
bool isWithin(std::string_view path, std::string_view ancestor);

/// Fails with InvalidArgument, naming the field, unless the name is 1 to 63 lower-case letters, digits, '-', '_' or
/// '.'.
Base::ErrorOr<void> validateName(const std::string& field, std::string_view name);

}
