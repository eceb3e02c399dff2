#include "PacketPath.h"

#include "Blaster.h"
#include "Forwarder.h"
#include "LatencyProbe.h"
#include <algorithm>
#include <array>
#include <cstdio>

namespace Measure::PacketPath {

namespace {

    constexpr std::array<std::size_t, 3> threadCounts { 1, 2, 4 };
    constexpr std::array<std::size_t, 3> flowCounts { 1'000, 100'000, 500'000 };
    constexpr std::size_t referenceFlows = 100'000;
    constexpr std::size_t backendServerCount = 16;
    constexpr int backendServerBufferBytes = 256 * 1024;
    constexpr Base::milliseconds warmUpTime { 100 };
    constexpr Base::milliseconds windowTime { 250 };
    constexpr std::size_t repeats = 3;
    constexpr Base::milliseconds latencyTime { 1000 };

    using Factory = std::unique_ptr<Forwarder> (*)(const ForwarderOptions&);

    struct Subject {
        const char* name;
        Factory make;
    };

    constexpr std::array<Subject, 3> subjects { Subject { "limit", makeBareForwarder },
        Subject { "naive", makeNaiveBalancer }, Subject { "own", makeOwnBalancer } };

    /// Throughput of one forwarder under a load.
    struct Rate {
        double packetsPerSecond { 0 };
        /// Relative to the processor time of the forwarder's own threads, which other processes hardly affect.
        double packetsPerProcessorSecond { 0 };
    };

    /// Throughput of the three forwarders under the same load.
    struct Rates {
        Rate limit;
        Rate naive;
        Rate own;
    };

    Rate median(std::vector<Rate> rates)
    {
        const auto medianOf = [&](double Rate::*field) {
            std::sort(rates.begin(), rates.end(),
                [field](const Rate& left, const Rate& right) { return left.*field < right.*field; });
            return rates[rates.size() / 2].*field;
        };
        return { .packetsPerSecond = medianOf(&Rate::packetsPerSecond),
            .packetsPerProcessorSecond = medianOf(&Rate::packetsPerProcessorSecond) };
    }

    Rate measureRate(Forwarder& forwarder, const PacketLoad& load, std::size_t threads)
    {
        const Blaster blaster(load, forwarder.endpoint(), threads + 1);
        std::this_thread::sleep_for(warmUpTime);
        const auto before = forwarder.forwarded();
        const auto processorBefore = forwarder.processorTime();
        const auto start = std::chrono::steady_clock::now();
        std::this_thread::sleep_for(windowTime);
        const auto count = static_cast<double>(forwarder.forwarded() - before);
        const auto processorTime = forwarder.processorTime() - processorBefore;
        return { .packetsPerSecond = count / Base::toSeconds(std::chrono::steady_clock::now() - start),
            .packetsPerProcessorSecond = count / Base::toSeconds(processorTime) };
    }

    class Bench {
    public:
        Bench()
        {
            for (std::size_t index = 0; index < backendServerCount; ++index)
                backendServers_.emplace_back(backendServerBufferBytes);
        }

        ForwarderOptions options(std::size_t threads, const PacketLoad& load, uint64_t seed) const
        {
            ForwarderOptions options { .threads = threads, .backendServers = {}, .load = &load, .seed = seed };
            for (const auto& socket : backendServers_)
                options.backendServers.push_back(socket.endpoint());
            return options;
        }

        const std::vector<LoopbackSocket>& backendServers() const { return backendServers_; }

    private:
        std::vector<LoopbackSocket> backendServers_;
    };

    /// Measures the forwarders in alternation, so that other load on the machine affects all of them alike, and returns
    /// the median of the turns.
    Rates measureRates(const Bench& bench, const PacketLoad& load, std::size_t threads, uint64_t seed)
    {
        std::array<std::unique_ptr<Forwarder>, subjects.size()> forwarders;
        std::array<std::vector<Rate>, subjects.size()> rates;
        for (std::size_t index = 0; index < subjects.size(); ++index) {
            forwarders[index] = subjects[index].make(bench.options(threads, load, seed));
            forwarders[index]->start();
        }
        for (std::size_t turn = 0; turn < repeats; ++turn) {
            for (std::size_t index = 0; index < subjects.size(); ++index)
                rates[index].push_back(measureRate(*forwarders[index], load, threads));
        }
        for (const auto& forwarder : forwarders)
            forwarder->stop();
        return { .limit = median(rates[0]), .naive = median(rates[1]), .own = median(rates[2]) };
    }

    void reportLatency(const Bench& bench, const PacketLoad& load, double rate, uint64_t seed, Report& report)
    {
        std::array<Latency, subjects.size()> latencies;
        for (std::size_t index = 0; index < subjects.size(); ++index) {
            const auto forwarder = subjects[index].make(bench.options(1, load, seed));
            forwarder->start();
            latencies[index] = measureLatency(*forwarder, load, bench.backendServers(), rate, latencyTime);
            forwarder->stop();
            const std::string prefix = std::string("packet_path.latency_") + subjects[index].name;
            report.figure(prefix + "_p50", static_cast<double>(latencies[index].median.count()) / 1000, "us");
            report.figure(prefix + "_p99", static_cast<double>(latencies[index].percentile99.count()) / 1000, "us");
        }
        const auto added = [&](auto field) {
            return static_cast<double>((latencies[2].*field - latencies[0].*field).count()) / 1000;
        };
        report.figure("packet_path.added_latency_p50", added(&Latency::median), "us");
        report.figure("packet_path.added_latency_p99", added(&Latency::percentile99), "us");
    }

    void reportRates(const Rates& rates, std::size_t threads, std::size_t flows, Report& report)
    {
        const auto suffix = "." + std::to_string(threads) + ".flows_" + std::to_string(flows);
        report.figure("packet_path.rate_limit" + suffix, rates.limit.packetsPerSecond, "packets/s");
        report.figure("packet_path.rate_naive" + suffix, rates.naive.packetsPerSecond, "packets/s");
        report.figure("packet_path.rate" + suffix, rates.own.packetsPerSecond, "packets/s");
        const auto own = rates.own.packetsPerProcessorSecond;
        report.figure(
            "packet_path.processor_ratio_limit" + suffix, own / rates.limit.packetsPerProcessorSecond, "ratio");
        report.figure(
            "packet_path.processor_ratio_naive" + suffix, own / rates.naive.packetsPerProcessorSecond, "ratio");
    }

    void reportRatios(const Rates& rates, std::size_t threads, Report& report)
    {
        const auto suffix = "." + std::to_string(threads);
        const auto own = rates.own.packetsPerSecond;
        report.figure("packet_path.ratio_limit" + suffix, own / rates.limit.packetsPerSecond, "ratio");
        report.figure("packet_path.ratio_naive" + suffix, own / rates.naive.packetsPerSecond, "ratio");
    }

    int run(const Request& request, Report& report)
    {
        report.note(
            "timed: figures differ from run to run; THREADS are packet threads, the balancer's decide thread extra");
        const Bench bench;
        std::array<double, flowCounts.size()> perProcessorSecond {};
        for (std::size_t index = 0; index < flowCounts.size(); ++index) {
            const PacketLoad load(flowCounts[index], request.seed);
            const bool isReference = flowCounts[index] == referenceFlows;
            double halfLoad = 0;
            for (const auto threads : threadCounts) {
                const auto rates = measureRates(bench, load, threads, request.seed);
                reportRates(rates, threads, flowCounts[index], report);
                if (isReference)
                    reportRatios(rates, threads, report);
                if (threads != 1)
                    continue;
                perProcessorSecond[index] = rates.own.packetsPerProcessorSecond;
                halfLoad = rates.own.packetsPerSecond / 2;
            }
            if (isReference)
                reportLatency(bench, load, halfLoad, request.seed, report);
        }
        report.figure(
            "packet_path.flow_scaling_loss", 1 - (perProcessorSecond.back() / perProcessorSecond.front()), "ratio");
        return 0;
    }

}

Measurement packetPathMeasurement()
{
    return { .name = "packet-path",
        .summary = "throughput and latency beside a bare forwarder and a naive balancer (timed, loopback)",
        .run = run };
}
}
