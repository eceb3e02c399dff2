#include <LibBase/Random.h>
#include <LibFlow/Process/OwnerRanking.h>
#include <catch2/catch.hpp>

using namespace Flow;

namespace {

constexpr uint64_t selfId = 1;
constexpr uint32_t serverCount = 40;

std::string domainName(uint64_t index) { return "domain-" + std::to_string(index); }

PeerView randomView(Base::Random& random, uint64_t version)
{
    PeerView view { .version = version, .peers = {} };
    const auto count = random.below(8);
    for (uint64_t index = 0; index < count; ++index) {
        view.peers.push_back({ .id = { 2 + index },
            .incarnation = 1 + random.below(2),
            .failureDomain = domainName(index % 3),
            .reachable = random.chance(0.8) });
    }
    return view;
}

bool isEqual(const Ranks& left, const Ranks& right)
{
    return left.owner == right.owner && left.backup == right.backup && left.acting == right.acting;
}

}

TEST_CASE("Cached ranks equal newly computed ranks after random view changes", "[flow]")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Base::Random random(seed);
        OwnerRanking kept({ selfId }, domainName(0));
        std::vector<Peer> leaving;
        for (uint64_t version = 1; version <= 100; ++version) {
            const auto view = randomView(random, version);
            kept.setPeers(view);
            if (!view.peers.empty() && random.chance(0.3)) {
                leaving.push_back(view.peers[random.below(view.peers.size())]);
                kept.setLeaving(leaving.back());
            }
            OwnerRanking fresh({ selfId }, domainName(0));
            fresh.setPeers(view);
            for (const auto& peer : leaving)
                fresh.setLeaving(peer);
            for (uint32_t server = 1; server <= serverCount; ++server) {
                const auto domain = domainName((server + version / 50) % 4);
                INFO("seed " << seed << ", version " << version << ", server " << server);
                REQUIRE(isEqual(kept.ranks({ server }, domain), fresh.ranks({ server }, domain)));
            }
        }
    }
}

TEST_CASE("Losing a balancer changes the owner only of the backend servers it owned", "[flow]")
{
    OwnerRanking ranking({ selfId }, domainName(0));
    PeerView view { .version = 1, .peers = {} };
    for (uint64_t id = 2; id <= 10; ++id)
        view.peers.push_back({ .id = { id }, .incarnation = 1, .failureDomain = domainName(0) });
    ranking.setPeers(view);
    std::vector<Ranks> before;
    for (uint32_t server = 1; server <= serverCount; ++server)
        before.push_back(ranking.ranks({ server }, domainName(0)));
    const auto lost = view.peers.back().id;
    view.peers.pop_back();
    ranking.setPeers(view);
    for (uint32_t server = 1; server <= serverCount; ++server) {
        const auto& old = before[server - 1];
        const auto now = ranking.ranks({ server }, domainName(0));
        if (old.owner != lost)
            CHECK(now.owner == old.owner);
        else
            CHECK(now.owner == old.backup);
    }
}
