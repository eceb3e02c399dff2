// Processing of single packets outside of the kernel and the flow decider: validation, hand-over headers, refusals.

#include <LibPacket/HandOverCodec.h>
#include <LibPacket/PacketBuilder.h>
#include <LibPacket/Refusal.h>
#include <benchmark/benchmark.h>
#include <vector>

namespace {

std::vector<std::byte> makePacket(std::size_t payloadBytes)
{
    const std::vector<std::byte> payload(payloadBytes, std::byte { 0x2E });
    std::vector<std::byte> packet(payloadBytes + 64);
    packet.resize(Packet::buildTcp(packet,
        { .source = { { 0x0A000001 }, 40000 }, .destination = { { 0xC6336401 }, 443 }, .flags = { .ack = true } },
        payload));
    return packet;
}

void parsePacket(benchmark::State& state)
{
    const auto bytes = makePacket(static_cast<std::size_t>(state.range(0)));
    Packet::Ipv4Packet packet;
    for (auto _ : state)
        benchmark::DoNotOptimize(Packet::parseIpv4Packet(bytes, {}, packet));
}

void encodeHandOver(benchmark::State& state)
{
    const auto bytes = makePacket(static_cast<std::size_t>(state.range(0)));
    const Packet::HandOverKey key("a key for benchmarks");
    std::array<std::byte, Packet::handOverHeaderBytes> header {};
    for (auto _ : state) {
        Packet::encodeHandOver(header, { .origin = { 1 }, .sender = { 1 } }, bytes, key);
        benchmark::DoNotOptimize(header);
    }
}

void refusePacket(benchmark::State& state)
{
    const auto bytes = makePacket(0);
    Packet::Ipv4Packet packet;
    Packet::parseIpv4Packet(bytes, {}, packet);
    std::array<std::byte, Packet::maximumRefusalBytes> buffer {};
    for (auto _ : state)
        benchmark::DoNotOptimize(Packet::buildRefusal(buffer, bytes, packet, Packet::RefusalMeaning::NotRun));
}

BENCHMARK(parsePacket)->Arg(0)->Arg(88)->Arg(1400);
BENCHMARK(encodeHandOver)->Arg(0)->Arg(88)->Arg(1400);
BENCHMARK(refusePacket);

}
