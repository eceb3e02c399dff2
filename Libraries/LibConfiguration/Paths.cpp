#include <LibConfiguration/Paths.h>
#include <algorithm>

namespace Configuration {

std::string servicePath(std::string_view service) { return "service/" + std::string(service); }

std::string backendServerPath(std::string_view service, std::string_view backendServer)
{
    return servicePath(service) + "/backend-server/" + std::string(backendServer);
}

std::string domainPath(std::string_view failureDomain) { return "domain/" + std::string(failureDomain); }

std::string rootPath(std::string_view path)
{
    auto first = path.find('/');
    if (first == std::string_view::npos)
        return std::string(path);
    return std::string(path.substr(0, path.find('/', first + 1)));
}

bool isWithin(std::string_view path, std::string_view ancestor)
{
    if (!path.starts_with(ancestor))
        return false;
    return path.size() == ancestor.size() || path[ancestor.size()] == '/';
}

namespace {

    bool isNameCharacter(char character)
    {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-'
            || character == '_' || character == '.';
    }

}

Base::ErrorOr<void> validateName(const std::string& field, std::string_view name)
{
    bool const isAllowed
        = !name.empty() && name.size() <= maximumNameBytes && std::all_of(name.begin(), name.end(), isNameCharacter);
    if (isAllowed)
        return {};
    return Base::makeError(
        Base::ErrorCode::InvalidArgument, field + ": expected 1 to 63 lower-case letters, digits, '-', '_' or '.'");
}

}
