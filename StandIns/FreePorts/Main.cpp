// standin-free-ports: prints ports of 127.0.0.1 that are free for TCP and UDP, one per line, for programs whose
// endpoints must be known to others before they start. The kernel chooses the ports.

#include <Common/ProgramOptions.h>
#include <Common/UdpSocket.h>
#include <cstdio>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace StandIn;

/// Maximum number of ports per call.
constexpr unsigned portCountLimit = 2000;
/// Attempts per port, since a port that is free for UDP may be in use for TCP.
constexpr unsigned attemptsPerPort = 8;

/// Whether a TCP socket can be bound to the port at the moment.
bool isFreeForTcp(uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return false;
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool isFree = ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    ::close(descriptor);
    return isFree;
}

int printFreePorts(const cxxopts::ParseResult& arguments)
{
    const auto count = arguments["count"].as<unsigned>();
    if (count == 0 || count > portCountLimit) {
        std::fprintf(stderr, "standin-free-ports: --count: expected 1 to %u\n", portCountLimit);
        return 2;
    }
    std::vector<UdpSocket> reserved;
    std::vector<uint16_t> ports;
    for (unsigned attempt = 0; attempt < count * attemptsPerPort && ports.size() < count; ++attempt) {
        reserved.push_back(UdpSocket::create(0).value());
        if (isFreeForTcp(reserved.back().endpoint().port))
            ports.push_back(reserved.back().endpoint().port);
    }
    for (const auto port : ports)
        std::printf("%u\n", port);
    return ports.size() == count ? 0 : 1;
}

}

int main(int argc, char** argv)
{
    cxxopts::Options options("standin-free-ports", "Prints free ports of 127.0.0.1, one a line.");
    options.add_options()("count", "how many", cxxopts::value<unsigned>()->default_value("1"));
    return StandIn::runProgram(argc, argv, std::move(options), printFreePorts);
}
