#pragma once

// What all stand-ins of one run share: the loop, the record of the run, the platform's ports and open flows.

#include "Packet.h"
#include <fstream>
#include <random>

namespace Review {

struct World {
    Loop loop;
    std::ofstream record;
    std::mt19937_64 random { 7 };
    uint16_t dataPort { 0 };
    /// Targets at which flows are open, by client endpoint: from the moment at which a target has the end of the
    /// handshake until the flow or the target ends.
    std::map<Endpoint, Endpoint> openAt;
    /// When clients sent the first SYN of their flows.
    std::map<Endpoint, Clock::time_point> openedAt;
    /// A route that the configuration drops; requests that are sent later than the time may not run.
    Endpoint droppedRoute;
    Clock::time_point droppedRouteEndsAt { Clock::time_point::max() };
    std::map<std::string, uint64_t> counts;

    void write(const std::string& line) { record << loop.elapsed().count() << " " << line << "\n"; }
    void count(const std::string& what) { ++counts[what]; }
};

}
