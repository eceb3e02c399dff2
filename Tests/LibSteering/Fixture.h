#pragma once

#include <LibSteering/SteeringDecider.h>
#include <functional>
#include <vector>

/// One decider with a small deployment: service "rota" in failure domains "brum" (the decider's own) and "notts".
class SteeringFixture {
public:
    using TimePoint = Base::TimePoint;
    using milliseconds = Base::milliseconds;

    explicit SteeringFixture(std::size_t maximumFlows = 200'000)
        : decider_({ .self = peer(1),
            .failureDomain = "brum",
            .regions = { { "brum", "midlands" }, { "notts", "midlands" }, { "abroad", "elsewhere" } },
            .warmUpOvershoot = 1.5,
            .warmUpSlack = 5,
            .maximumFlows = maximumFlows,
            .seed = 7,
            .onDecision = [this](const Steering::FlowDecision& decision) { decisions_.push_back(decision); } })
    {
        advance(milliseconds(1000));
    }

    static Base::EntryVmId peer(uint32_t host)
    {
        return Base::EntryVmId::fromEndpoint({ .address = { host }, .port = 100 });
    }

    static Steering::BackendServerNumber number(uint64_t value) { return { value }; }

    void advance(milliseconds time)
    {
        now_ += time;
        for (const auto& hedge : decider_.handleTimers(now_))
            hedgedAttempts_.push_back(hedge);
        for (const auto& probe : decider_.takeProbes())
            probes_.push_back(probe);
        for (const auto& reset : decider_.takeResets())
            resets_.push_back(reset);
    }

    /// Opens a flow and returns its server.
    Steering::Verdict openFlow(uint16_t callerPort)
    {
        const auto first = sendFirst(callerPort);
        advance(milliseconds(8));
        send(callerPort, first.token);
        return first;
    }

    /// Delivers the result of a probe.
    void answerProbe(Steering::BackendServerNumber server, bool isReachable)
    {
        decider_.handleProbe(now_, { .server = server, .isReachable = isReachable });
        advance(milliseconds(0));
    }

    void configure(uint64_t revision = 10, const std::vector<uint16_t>& ports = { 443 })
    {
        auto configuration = std::make_shared<Steering::Configuration>();
        configuration->version = revision;
        configuration->position.revision = revision;
        for (const auto port : ports) {
            configuration->routes.push_back({ .name = "route",
                .endpoint = service(port),
                .shares = { { .service = "rota", .weight = 1 } },
                .regions = regions_ });
        }
        configuration->services.push_back(
            { .name = "rota", .warmUp = milliseconds(2000), .warmUpRequestsPerSecond = 0 });
        configuration->idleTimeout = milliseconds(15'000);
        decider_.handle(now_, Steering::ConfigurationChanged { .configuration = configuration });
    }

    void listServer(uint64_t value, const std::string& domain = "brum",
        Steering::ServerState state = Steering::ServerState::Ready, milliseconds warmUpLeft = milliseconds(0),
        milliseconds startedAt = milliseconds(5))
    {
        decider_.handle(now_,
            Steering::ServerListed { .entry = { .number = number(value),
                                         .service = "rota",
                                         .address = { .address = { static_cast<uint32_t>(value) }, .port = 80 },
                                         .failureDomain = domain,
                                         .state = state,
                                         .slots = 2,
                                         .warmUpLeft = warmUpLeft,
                                         .startedAt = startedAt } });
    }

    void synchronize() { decider_.handle(now_, Steering::StateSynchronized {}); }

    static Base::Ipv4Endpoint service(uint16_t port) { return { .address = { 0xC6120001 }, .port = port }; }

    static Packet::FlowKey flow(uint16_t callerPort, uint16_t servicePort = 443)
    {
        return { .caller = { .address = { 0x64400001 }, .port = callerPort }, .service = service(servicePort) };
    }

    Steering::Verdict sendFirst(
        uint16_t callerPort, uint16_t servicePort = 443, uint32_t sequence = 1000, uint32_t copies = 0)
    {
        const Steering::PacketView view {
            .flow = flow(callerPort, servicePort), .opensFlow = true, .sequence = sequence, .acknowledged = copies
        };
        return decider_.decide(now_, view, Steering::FirstPacketBytes {});
    }

    Steering::Verdict send(
        uint16_t callerPort, Steering::FlowToken token, uint32_t acknowledged = 501, bool ends = false)
    {
        const Steering::PacketView view { .flow = flow(callerPort),
            .token = token,
            .acknowledges = true,
            .ends = ends,
            .sequence = 1001,
            .acknowledged = acknowledged };
        return decider_.decide(now_, view, Steering::FirstPacketBytes {});
    }

    /// Sends a caller's data on an open flow.
    Steering::Verdict sendData(
        uint16_t callerPort, Steering::FlowToken token, uint32_t sequence, uint32_t acknowledged, uint32_t bytes = 100)
    {
        const Steering::PacketView view { .flow = flow(callerPort),
            .token = token,
            .acknowledges = true,
            .sequence = sequence,
            .acknowledged = acknowledged,
            .dataBytes = bytes };
        return decider_.decide(now_, view, Steering::FirstPacketBytes {});
    }

    /// Runs a flow with one request, whose response has this length, and returns its server.
    Steering::BackendServerNumber runRequest(
        uint16_t callerPort, const std::function<uint32_t(Steering::BackendServerNumber)>& responseBytes)
    {
        const auto first = sendFirst(callerPort);
        advance(milliseconds(4));
        sendData(callerPort, first.token, 1001, 501);
        advance(milliseconds(4));
        const auto acknowledged = 501 + responseBytes(first.number);
        const Steering::PacketView end { .flow = flow(callerPort),
            .token = first.token,
            .acknowledges = true,
            .ends = true,
            .sequence = 1101,
            .acknowledged = acknowledged };
        decider_.decide(now_, end, Steering::FirstPacketBytes {});
        return first.number;
    }

    /// Runs a whole flow: first packet, handshake, end. Returns its server.
    Steering::BackendServerNumber runFlow(uint16_t callerPort)
    {
        const auto first = sendFirst(callerPort);
        advance(milliseconds(8));
        send(callerPort, first.token);
        send(callerPort, first.token, 900, true);
        return first.number;
    }

    static Steering::FlowToken token(uint64_t value) { return Steering::FlowToken::confirmed(number(value)); }

protected:
    TimePoint now_ {};
    std::vector<std::string> regions_;
    std::vector<Steering::FlowDecision> decisions_;
    std::vector<Steering::HedgedAttempt> hedgedAttempts_;
    std::vector<Steering::ProbeRequest> probes_;
    std::vector<Steering::FlowReset> resets_;
    Steering::SteeringDecider decider_;
};
