#include "ResourceUse.h"

#include <ctime>
#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace Measure {

std::size_t heapBytesInUse()
{
    const auto information = ::mallinfo2();
    return information.uordblks + information.hblkhd;
}

Base::nanoseconds threadProcessorTime()
{
    timespec time {};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + Base::nanoseconds(time.tv_nsec);
}

std::size_t residentBytes()
{
    std::size_t total = 0;
    std::size_t resident = 0;
    std::ifstream("/proc/self/statm") >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

}
