#pragma once

#include <LibBase/Ipv4Endpoint.h>
#include <LibBase/Random.h>
#include <optional>
#include <string>
#include <vector>

namespace StandIn {

/// The balancers over which packets are distributed at random, read from a file with one data endpoint per line.
class SprayList {
public:
    SprayList(std::string path, uint64_t seed);

    /// Reads the file again. An unreadable file leaves the list unchanged; lines that do not parse are skipped.
    void refresh();
    /// Returns a random balancer, or nullopt if the list is empty.
    std::optional<Base::Ipv4Endpoint> pick();

private:
    std::string path_;
    Base::Random random_;
    std::vector<Base::Ipv4Endpoint> balancers_;
};

}
