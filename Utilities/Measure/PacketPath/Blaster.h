#pragma once

#include "PacketLoad.h"
#include <LibBase/Time.h>
#include <atomic>
#include <thread>
#include <vector>

namespace Measure::PacketPath {

/// Sends the packets of a load to one endpoint at the maximum rate, from several threads.
class Blaster {
public:
    Blaster(const PacketLoad&, const Base::Ipv4Endpoint& destination, std::size_t threads);
    ~Blaster();
    Blaster(const Blaster&) = delete;
    Blaster& operator=(const Blaster&) = delete;

private:
    void run(std::size_t index, std::size_t threads);

    const PacketLoad& load_;
    Base::Ipv4Endpoint destination_;
    std::atomic<bool> stopping_ { false };
    std::vector<std::thread> threads_;
};

}
