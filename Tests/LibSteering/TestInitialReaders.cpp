// All entry VMs of a large fleet start at once, as after a loss of power: each of them needs all records.

#include "Fixture.h"

#include <LibSteering/Process/InitialReaders.h>
#include <catch2/catch.hpp>
#include <map>
#include <set>

using Steering::InitialReaders;

namespace {

std::vector<InitialReaders::EntryVm> domainOf(uint32_t size)
{
    std::vector<InitialReaders::EntryVm> domain;
    for (uint32_t host = 1; host <= size; ++host)
        domain.push_back({ .id = SteeringFixture::peer(host), .linkMegabits = host % 20 == 0 ? 200U : 20U });
    return domain;
}

}

TEST_CASE("in a mass start one entry VM in eight reads all records, and the others share the readers evenly")
{
    const auto domain = domainOf(60);
    std::set<Base::EntryVmId> readers;
    std::map<Base::EntryVmId, int> firstRequests;
    for (const auto& self : domain) {
        const auto selection = InitialReaders(self).select(domain);
        if (selection.isReader)
            readers.insert(self.id);
        else
            ++firstRequests[selection.peers.at(0)];
    }
    CHECK(readers.size() == 8);
    for (const auto& [reader, requests] : firstRequests) {
        CHECK(readers.contains(reader));
        CHECK(requests <= 7);
    }
    // Those with the widest links read.
    for (const auto& entryVm : domain)
        CHECK((entryVm.linkMegabits == 20 || readers.contains(entryVm.id)));
}

TEST_CASE("an entry VM that finds no other one reads all records")
{
    const InitialReaders::EntryVm self { .id = SteeringFixture::peer(5), .linkMegabits = 20 };
    CHECK(InitialReaders(self).select({}).isReader);
    CHECK(InitialReaders(self).select({ self }).isReader);
}

TEST_CASE("if the readers are down, others that may hold the records are asked")
{
    const auto domain = domainOf(8);
    int readers = 0;
    for (const auto& self : domain) {
        const auto selection = InitialReaders(self).select(domain);
        readers += selection.isReader ? 1 : 0;
        if (selection.isReader)
            continue;
        CHECK(selection.peers.size() >= 2);
        CHECK(std::ranges::find(selection.peers, self.id) == selection.peers.end());
    }
    CHECK(readers == 1);
}
