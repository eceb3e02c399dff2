#include <LibConfiguration/Snapshot.h>
#include <algorithm>

namespace Configuration {

const Service* Snapshot::findService(ServiceId id) const
{
    for (const auto& [name, service] : services) {
        if (service.id == id)
            return &service;
    }
    return nullptr;
}

const Service* Snapshot::findService(const std::string& name) const
{
    auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

const AcceptedRequest* Snapshot::findRequest(const std::string& requestId) const
{
    auto found = std::find_if(requests.rbegin(), requests.rend(),
        [&](const AcceptedRequest& request) { return request.requestId == requestId; });
    return found == requests.rend() ? nullptr : &*found;
}

}
