// What entry VMs believe after the store came back from a copy that lacks what was written to it last.

#include "Fixture.h"

#include <catch2/catch.hpp>

namespace {

using Base::milliseconds;

constexpr milliseconds rewriteTimeout { 5000 };
constexpr milliseconds removalGracePeriod { 2300 };
constexpr milliseconds second { 1000 };

class RestoredFixture : public SteeringFixture {
public:
    RestoredFixture()
    {
        configure(11);
        listServer(1);
        listServer(2, "notts");
        synchronize();
    }

    void beginCopy() { decider_.handle(now_, Steering::StoreRestored {}); }
    void endCopy() { synchronize(); }

    /// The store returns to a copy with these changes.
    void restore(const std::vector<Steering::StateEvent>& changes)
    {
        beginCopy();
        for (const auto& change : changes)
            decider_.handle(now_, change);
        endCopy();
    }

    void handle(const Steering::StateEvent& event) { decider_.handle(now_, event); }

    void pass(milliseconds time)
    {
        const auto end = now_ + time;
        while (now_ < end)
            advance(std::min<milliseconds>(milliseconds(100), std::chrono::ceil<milliseconds>(end - now_)));
    }

    static Steering::ConfigurationChanged configuration(uint64_t version, Base::StorePosition position, uint16_t port)
    {
        auto configuration = std::make_shared<Steering::Configuration>();
        configuration->version = version;
        configuration->position = position;
        configuration->routes.push_back(
            { .name = "route", .endpoint = service(port), .shares = { { .service = "rota", .weight = 1 } } });
        return { .configuration = configuration };
    }

    static Steering::DomainEvacuation evacuation(const std::string& domain, uint64_t revision)
    {
        return { .failureDomain = domain, .isEvacuated = true, .revision = revision };
    }

    static Steering::DomainEvacuation evacuationEnd(const std::string& domain) { return { .failureDomain = domain }; }

    static Steering::ServerListed server(uint64_t value, uint64_t sequence,
        Steering::ServerState state = Steering::ServerState::Ready, milliseconds startedAt = milliseconds(5),
        milliseconds warmUpLeft = milliseconds(0))
    {
        return { .entry = { .number = number(value),
                     .service = "rota",
                     .address = { .address = { static_cast<uint32_t>(value) }, .port = 80 },
                     .failureDomain = value == 1 ? "brum" : "notts",
                     .state = state,
                     .slots = 2,
                     .warmUpLeft = warmUpLeft,
                     .startedAt = startedAt,
                     .sequence = sequence } };
    }

    /// Whether new flows go to the server.
    bool isUsed(uint64_t value)
    {
        for (int count = 0; count < 8; ++count) {
            if (runFlow(++port_) == number(value))
                return true;
        }
        return false;
    }

private:
    uint16_t port_ { 1000 };
};

}

// Guards against a configuration that reverts to the copy's.
TEST_CASE_METHOD(RestoredFixture, "a configuration that is older than the one in force does not come into force")
{
    handle(configuration(14, { .era = 1, .revision = 27 }, 443));
    restore({ configuration(11, { .era = 2, .revision = 25 }, 444) });
    CHECK(decider_.configurationVersion() == 14);
    CHECK(sendFirst(1, 444).kind == Steering::VerdictKind::Reset);
    pass(2 * rewriteTimeout);
    CHECK(decider_.configurationVersion() == 14);
    handle(configuration(15, { .era = 2, .revision = 26 }, 444));
    CHECK(decider_.configurationVersion() == 15);
}

TEST_CASE_METHOD(RestoredFixture, "a version that the restored store gives to another configuration is that one")
{
    handle(configuration(14, { .era = 1, .revision = 27 }, 443));
    restore({});
    handle(configuration(14, { .era = 2, .revision = 26 }, 444));
    CHECK(sendFirst(1, 444).kind == Steering::VerdictKind::Forward);
    handle(configuration(14, { .era = 1, .revision = 28 }, 443));
    CHECK(sendFirst(2, 443).kind == Steering::VerdictKind::Reset);
}

// Guards against first packets to a failure domain whose evacuation the store has lost.
TEST_CASE_METHOD(RestoredFixture, "an evacuation that the copy lacks holds until operators had time to write it again")
{
    handle(evacuation("brum", 20));
    restore({ evacuationEnd("brum") });
    CHECK_FALSE(isUsed(1));
    SECTION("it is written again")
    {
        pass(second);
        handle(evacuation("brum", 19));
        pass(2 * rewriteTimeout);
        CHECK_FALSE(isUsed(1));
    }
    SECTION("it is not written again")
    {
        pass(rewriteTimeout + second);
        CHECK(isUsed(1));
    }
    SECTION("it is written again and ended")
    {
        handle(evacuation("brum", 19));
        handle(evacuationEnd("brum"));
        CHECK(isUsed(1));
    }
    SECTION("the store comes back from a copy once more")
    {
        pass(rewriteTimeout - second);
        restore({});
        pass(rewriteTimeout - second);
        CHECK_FALSE(isUsed(1));
    }
}

TEST_CASE_METHOD(RestoredFixture, "an evacuation that has ended does not begin again because the copy still has it")
{
    handle(evacuation("brum", 20));
    handle(evacuationEnd("brum"));
    restore({ evacuation("brum", 20) });
    CHECK(isUsed(1));
    SECTION("operators end it again")
    {
        handle(evacuationEnd("brum"));
        pass(2 * rewriteTimeout);
        CHECK(isUsed(1));
    }
    SECTION("operators leave it")
    {
        pass(rewriteTimeout + second);
        CHECK_FALSE(isUsed(1));
    }
}

TEST_CASE_METHOD(RestoredFixture, "an evacuation written after the copy begins at once")
{
    handle(evacuation("brum", 20));
    handle(evacuationEnd("brum"));
    restore({ evacuation("brum", 22) });
    CHECK_FALSE(isUsed(1));
    restore({ evacuation("notts", 23) });
    CHECK_FALSE(isUsed(2));
}

// Guards against new flows to a draining server whose report the store has lost.
TEST_CASE_METHOD(RestoredFixture, "a draining server that the copy lists as ready gets no new flows")
{
    handle(server(1, 5));
    handle(server(1, 6, Steering::ServerState::Draining));
    restore({ server(1, 5) });
    CHECK_FALSE(isUsed(1));
    SECTION("it reports again")
    {
        handle(server(1, 9, Steering::ServerState::Draining));
        pass(2 * rewriteTimeout);
        CHECK_FALSE(isUsed(1));
    }
    SECTION("its entry stays as in the copy")
    {
        pass(rewriteTimeout + second);
        CHECK(isUsed(1));
    }
}

// Guards against new flows to a server that is gone, whose entry is back with the copy.
TEST_CASE_METHOD(RestoredFixture, "a server that has gone is not used because the copy still lists it")
{
    handle(server(1, 5));
    handle(Steering::ServerUnlisted { .number = number(1) });
    restore({ server(1, 5) });
    CHECK_FALSE(isUsed(1));
    pass(rewriteTimeout - second);
    CHECK_FALSE(isUsed(1));
    SECTION("the store removes the entry again")
    {
        handle(Steering::ServerUnlisted { .number = number(1) });
        pass(2 * rewriteTimeout);
        CHECK_FALSE(isUsed(1));
    }
    SECTION("the server writes its entry")
    {
        handle(server(1, 6));
        CHECK(isUsed(1));
    }
}

TEST_CASE_METHOD(RestoredFixture, "a server whose entry the copy lacks is used for as long as it may need to write it")
{
    restore({ Steering::ServerUnlisted { .number = number(1) } });
    pass(removalGracePeriod - second);
    CHECK(isUsed(1));
    pass(second + second);
    CHECK_FALSE(isUsed(1));
}

// Guards against the full rate for a restarted server that the copy shows as it was before its restart.
TEST_CASE_METHOD(RestoredFixture, "a server that has restarted stays cold although the copy lists the earlier process")
{
    handle(server(1, 5));
    handle(server(1, 1, Steering::ServerState::Ready, milliseconds(9000), milliseconds(8000)));
    REQUIRE_FALSE(isUsed(1));
    restore({ server(1, 5) });
    CHECK_FALSE(isUsed(1));
}

// Guards against shares of cold servers' limits and of room that grow while entry VMs are unlisted.
TEST_CASE_METHOD(RestoredFixture, "peers that the copy lacks stay known until they had time to register again")
{
    const Steering::PeerListed listed { .peer = peer(2), .failureDomain = "brum" };
    handle(listed);
    restore({ Steering::PeerUnlisted { .peer = peer(2) } });
    pass(rewriteTimeout - second);
    CHECK(decider_.peers().contains(peer(2)));
    SECTION("it registers again")
    {
        handle(listed);
        pass(2 * rewriteTimeout);
        CHECK(decider_.peers().contains(peer(2)));
    }
    SECTION("it does not register again")
    {
        pass(2 * second);
        CHECK_FALSE(decider_.peers().contains(peer(2)));
    }
}
