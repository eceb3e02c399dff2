#include <Common/TcpFlow.h>
#include <Common/Work.h>
#include <LibBase/Random.h>
#include <catch2/catch.hpp>
#include <memory>

using namespace StandIn;

namespace {

constexpr Ipv4Endpoint callerEndpoint { .address = { 0x0A000001 }, .port = 10'000 };
constexpr Ipv4Endpoint serviceEndpoint { .address = { 0x0AC80001 }, .port = 7001 };

/// Two endpoints connected by a simulated link that drops, duplicates and reorders packets, in virtual time.
class Link {
public:
    explicit Link(uint64_t seed, double fault)
        : random_(seed)
        , fault_(fault)
        , caller_(optionsFor(callerEndpoint, serviceEndpoint, callerText_, toServer_))
    {
    }

    void run(Base::milliseconds duration)
    {
        const auto end = now_ + duration;
        for (; now_ < end; now_ += Base::milliseconds(10)) {
            caller_.tick(now_);
            if (server_)
                server_->tick(now_);
            deliver(toServer_, [this](const WirePacket& packet) { receiveAtServer(packet); });
            deliver(toCaller_, [this](const WirePacket& packet) { caller_.receive(now_, packet); });
        }
    }

    TcpFlow& caller() { return caller_; }
    TcpFlow& server() { return *server_; }
    Base::TimePoint now() const { return now_; }
    const std::string& callerText() const { return callerText_; }
    const std::string& serverText() const { return serverText_; }

private:
    TcpFlow::Options optionsFor(
        Ipv4Endpoint local, Ipv4Endpoint remote, std::string& text, std::vector<WirePacket>& out)
    {
        return {
            .local = local,
            .remote = remote,
            .initialSequence = static_cast<uint32_t>(random_.next()),
            .maximumTransmissions = 20,
            .sendPacket = [&out](const WirePacket& packet) { out.push_back(packet); },
            .onData = [&text](std::string_view data) { text.append(data); },
        };
    }

    void receiveAtServer(const WirePacket& packet)
    {
        if (!server_) {
            if ((packet.flags & TcpSyn) == 0)
                return;
            server_ = std::make_unique<TcpFlow>(optionsFor(serviceEndpoint, callerEndpoint, serverText_, toCaller_));
            server_->accept(now_, packet);
            return;
        }
        server_->receive(now_, packet);
    }

    template <typename Receive>
    void deliver(std::vector<WirePacket>& queue, const Receive& receive)
    {
        auto packets = std::move(queue);
        queue.clear();
        if (packets.size() > 1 && random_.chance(fault_))
            std::swap(packets.front(), packets.back());
        for (const auto& packet : packets) {
            if (random_.chance(fault_))
                continue;
            const auto copy = parse(serialize(packet));
            REQUIRE(copy.has_value());
            receive(*copy);
            if (random_.chance(fault_))
                receive(*copy);
        }
    }

    Base::Random random_;
    double fault_;
    Base::TimePoint now_ {};
    std::string callerText_;
    std::string serverText_;
    std::vector<WirePacket> toServer_;
    std::vector<WirePacket> toCaller_;
    TcpFlow caller_;
    std::unique_ptr<TcpFlow> server_;
};

}

TEST_CASE(
    "TcpFlow delivers data completely and in order over a link with loss, duplication and reordering", "[standin]")
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        INFO("seed " << seed);
        Link link(seed, 0.1);
        const std::string text
            = encodeResponse({ .id = seed, .backendServer = "rota-1", .failureDomain = "brum" }, false);
        link.caller().connect(link.now());
        link.run(Base::milliseconds(10'000));
        REQUIRE(link.caller().state() == TcpFlow::State::Established);
        link.caller().write(link.now(), "REQ 1 rota claims 0\n");
        link.server().write(link.now(), text);
        link.run(Base::milliseconds(20'000));
        CHECK(link.serverText() == "REQ 1 rota claims 0\n");
        CHECK(link.callerText() == text);
        link.caller().close(link.now());
        link.server().close(link.now());
        link.run(Base::milliseconds(30'000));
        CHECK(link.caller().remoteHasClosed());
        CHECK(link.server().remoteHasClosed());
    }
}

TEST_CASE("parse() rejects packets with a corrupted byte or a missing one", "[standin]")
{
    const auto bytes
        = serialize({ .source = callerEndpoint, .destination = serviceEndpoint, .flags = TcpSyn, .payload = "text" });
    REQUIRE(parse(bytes).has_value());
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        auto damaged = bytes;
        damaged[index] ^= 0x5A;
        INFO("byte " << index);
        CHECK_FALSE(parse(damaged).has_value());
    }
    CHECK_FALSE(parse(std::span(bytes).first(bytes.size() - 1)).has_value());
}

TEST_CASE("decodeResponse() rejects a response with a corrupted body", "[standin]")
{
    auto text = encodeResponse({ .id = 7, .backendServer = "rota-1", .failureDomain = "brum" }, false);
    text.pop_back();
    REQUIRE(decodeResponse(text, false).has_value());
    text.back() = '!';
    CHECK_FALSE(decodeResponse(text, false).has_value());
}
