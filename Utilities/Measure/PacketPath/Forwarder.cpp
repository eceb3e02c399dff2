#include "Forwarder.h"

#include <ctime>
#include <pthread.h>

namespace Measure::PacketPath {

Base::nanoseconds processorTimeOf(const std::vector<std::thread>& threads)
{
    Base::nanoseconds sum { 0 };
    for (const auto& thread : threads) {
        clockid_t clock {};
        timespec time {};
        if (::pthread_getcpuclockid(const_cast<std::thread&>(thread).native_handle(), &clock) == 0
            && ::clock_gettime(clock, &time) == 0)
            sum += Base::seconds(time.tv_sec) + Base::nanoseconds(time.tv_nsec);
    }
    return sum;
}

}
