#include <LibDatagram/Wakeup.h>

#include <LibBase/Verify.h>
#include <array>
#include <cstdint>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace Datagram {

Wakeup::Wakeup()
    : event_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    VERIFY(event_ >= 0);
}

Wakeup::~Wakeup() { ::close(event_); }

void Wakeup::wake()
{
    std::atomic_thread_fence(std::memory_order_seq_cst);
    if (!sleeping_.load(std::memory_order_relaxed) || !sleeping_.exchange(false))
        return;
    const uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(event_, &one, sizeof(one));
}

void Wakeup::wait(const Sockets& sockets, Base::milliseconds timeout) const
{
    std::array<pollfd, 3> entries { pollfd { .fd = event_, .events = POLLIN, .revents = 0 },
        pollfd { .fd = sockets[0], .events = POLLIN, .revents = 0 },
        pollfd { .fd = sockets[1], .events = POLLIN, .revents = 0 } };
    ::poll(entries.data(), entries.size(), static_cast<int>(timeout.count()));
    if ((entries[0].revents & POLLIN) != 0) {
        uint64_t count = 0;
        [[maybe_unused]] const auto bytesRead = ::read(event_, &count, sizeof(count));
    }
}

}
