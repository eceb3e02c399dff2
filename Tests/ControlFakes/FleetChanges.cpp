// The part of a fake fleet that represents the operators.

#include <ControlFakes/FakeFleet.h>

#include <LibBase/Verify.h>

namespace ControlFakes {

using Base::Revision;
using Configuration::Change;

namespace {

    constexpr std::size_t storedPartBytes = 500'000;
    constexpr std::size_t serviceCount = 8;

    Configuration::Service makeService(uint64_t number, std::size_t backendServers)
    {
        Configuration::Service service { .name = "service-" + std::to_string(number % serviceCount) };
        service.addresses = { { 0x0B000001 + static_cast<uint32_t>(number % serviceCount) } };
        service.portClasses = { { .name = "view", .port = 80, .weight = 1 } };
        for (std::size_t index = 0; index < backendServers; ++index) {
            const Base::Ipv4Address address { 0x0C000001
                + static_cast<uint32_t>((number % serviceCount) * 256 + index) };
            service.backendServers.push_back({ .name = "server-" + std::to_string(index),
                .failureDomain = "zone-0",
                .tunnel = { .address = address, .port = 6080 },
                .management = { .address = address, .port = 8080 },
                .weight = static_cast<uint32_t>(1 + number % 100) });
        }
        return service;
    }

}

Revision FakeFleet::acceptChange(std::size_t backendServers)
{
    const Revision revision { accepted_->revision.value + 1 };
    Change change { .revision = revision,
        .requestId = "request-" + std::to_string(revision.value),
        .author = "operator",
        .reason = "test",
        .acceptedAt = Base::WallTime(Base::milliseconds(1'000'000'000 + revision.value)),
        .overrides = {},
        .operation = Configuration::PutFailureDomain {
            .failureDomain = { .name = "zone-0", .region = "region-0", .changedAt = {} } } };
    if (accepted_->failureDomains.contains("zone-0"))
        change.operation = Configuration::PutService { .service = makeService(revision.value, backendServers) };
    change.base = Configuration::currentRevision(*accepted_, change.operation);
    auto next = Base::capture([&] { return Configuration::apply(*accepted_, change); });
    VERIFY(next.isOk());
    accepted_ = std::make_shared<const Configuration::Snapshot>(std::move(*next.value));
    acceptedHistory_[revision] = accepted_;
    store.write(now(), Configuration::changeKey(revision), Configuration::encodeChange(change));
    return revision;
}

void FakeFleet::acceptSnapshot(const Configuration::Snapshot& snapshot)
{
    accepted_ = std::make_shared<const Configuration::Snapshot>(snapshot);
    acceptedHistory_[snapshot.revision] = accepted_;
    const auto parts = Configuration::encodeSnapshot(snapshot, storedPartBytes);
    for (std::size_t index = 0; index < parts.size(); ++index)
        store.write(
            now(), Configuration::snapshotPartKey(snapshot.revision, static_cast<uint32_t>(index)), parts[index]);
    store.write(now(), Configuration::snapshotManifestKey(),
        Configuration::encodeManifest(
            { .revision = snapshot.revision, .partCount = static_cast<uint32_t>(parts.size()) }));
}

}
