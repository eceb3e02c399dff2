// standin-fabric: simulates the network between callers and balancers. Callers send IPv4 packets as UDP datagrams to
// the caller port; each is forwarded unchanged to a random balancer. Balancers send packets for callers to the balancer
// port; each is forwarded to the socket that last sent a packet whose source was the destination address and port.

#include <Common/EventLoop.h>
#include <Common/ProgramOptions.h>
#include <Common/SprayList.h>
#include <Common/UdpSocket.h>
#include <Common/WirePacket.h>
#include <unordered_map>

namespace {

using namespace StandIn;

constexpr Base::milliseconds balancerListRefreshInterval { 50 };

class Fabric {
public:
    Fabric(UdpSocket callerSide, UdpSocket balancerSide, SprayList balancers, double lossProbability, uint64_t seed)
        : callerSide_(std::move(callerSide))
        , balancerSide_(std::move(balancerSide))
        , balancers_(std::move(balancers))
        , lossProbability_(lossProbability)
        , random_(seed)
    {
    }

    void attachTo(EventLoop& loop)
    {
        loop.watch(callerSide_.descriptor(), [this] { forwardFromCallers(); });
        loop.watch(balancerSide_.descriptor(), [this] { forwardFromBalancers(); });
        loop.every(balancerListRefreshInterval, [this] { balancers_.refresh(); });
    }

private:
    void forwardFromCallers()
    {
        while (auto datagram = callerSide_.receive()) {
            const auto packet = parse(datagram->bytes);
            if (!packet)
                continue;
            callers_[packet->source] = datagram->from;
            const auto balancer = balancers_.pick();
            if (balancer && !random_.chance(lossProbability_))
                balancerSide_.send(*balancer, datagram->bytes);
        }
    }

    void forwardFromBalancers()
    {
        while (auto datagram = balancerSide_.receive()) {
            const auto packet = parse(datagram->bytes);
            if (!packet || random_.chance(lossProbability_))
                continue;
            const auto caller
                = callers_.find(packet->transport == Transport::Icmp ? packet->source : packet->destination);
            if (caller != callers_.end())
                callerSide_.send(caller->second, datagram->bytes);
        }
    }

    UdpSocket callerSide_;
    UdpSocket balancerSide_;
    SprayList balancers_;
    double lossProbability_;
    Base::Random random_;
    std::unordered_map<Ipv4Endpoint, Ipv4Endpoint> callers_;
};

int runFabric(const cxxopts::ParseResult& arguments)
{
    const auto seed = arguments["seed"].as<uint64_t>();
    auto callerSide = UdpSocket::create(arguments["caller-port"].as<uint16_t>()).value();
    auto balancerSide = UdpSocket::create(arguments["balancer-port"].as<uint16_t>()).value();
    announceListening("callers", callerSide.endpoint().toString());
    announceListening("balancers", balancerSide.endpoint().toString());
    EventLoop loop;
    Fabric fabric(std::move(callerSide), std::move(balancerSide),
        SprayList(arguments["balancers"].as<std::string>(), seed), arguments["loss"].as<double>(), seed + 1);
    fabric.attachTo(loop);
    loop.run();
    return 0;
}

}

int main(int argc, char** argv)
{
    cxxopts::Options options("standin-fabric", "Sprays each packet over the balancers at random.");
    options.add_options()("balancers", "file with one balancer data endpoint a line", cxxopts::value<std::string>());
    options.add_options()(
        "caller-port", "UDP port for callers; 0: chosen by the kernel", cxxopts::value<uint16_t>()->default_value("0"));
    options.add_options()("balancer-port", "UDP port for balancers; 0: chosen by the kernel",
        cxxopts::value<uint16_t>()->default_value("0"));
    options.add_options()("loss", "share of packets lost, 0 to 1", cxxopts::value<double>()->default_value("0"));
    options.add_options()("seed", "seed of the spraying", cxxopts::value<uint64_t>()->default_value("1"));
    return StandIn::runProgram(argc, argv, std::move(options), runFabric);
}
