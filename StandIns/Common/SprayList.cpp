#include "SprayList.h"

#include <fstream>

namespace StandIn {

SprayList::SprayList(std::string path, uint64_t seed)
    : path_(std::move(path))
    , random_(seed)
{
    refresh();
}

void SprayList::refresh()
{
    std::ifstream file(path_);
    if (!file)
        return;
    std::vector<Base::Ipv4Endpoint> read;
    for (std::string line; std::getline(file, line);) {
        auto endpoint = Base::capture([&] { return Base::Ipv4Endpoint::parse(line); });
        if (endpoint.isOk())
            read.push_back(*endpoint.value);
    }
    balancers_ = std::move(read);
}

std::optional<Base::Ipv4Endpoint> SprayList::pick()
{
    if (balancers_.empty())
        return std::nullopt;
    return balancers_[random_.below(balancers_.size())];
}

}
