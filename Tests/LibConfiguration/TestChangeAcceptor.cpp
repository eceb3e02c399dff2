#include <LibConfiguration/Process/ChangeAcceptor.h>
#include <LibConfiguration/Samples.h>
#include <LibStore/MemoryStore.h>
#include <catch2/catch.hpp>

using namespace Configuration;

namespace {

/// Executes an acceptor's store requests until it sends no more. Returns the last reply to a submitted change.
std::optional<SubmitReply> runUntilIdle(
    ChangeAcceptor& acceptor, Store::MemoryStore& store, AcceptorActions actions, bool readsAreStale = false)
{
    std::optional<SubmitReply> last;
    while (!actions.empty()) {
        AcceptorActions next;
        for (const auto& action : actions) {
            if (const auto* reply = std::get_if<SubmitReply>(&action))
                last = *reply;
            const auto* ask = std::get_if<SendStoreRequest>(&action);
            if (ask == nullptr)
                continue;
            const auto* get = std::get_if<Store::Get>(&ask->request);
            const auto answer
                = get != nullptr && readsAreStale ? store.staleAnswer(get->key) : store.handle({}, ask->request);
            CHECK_FALSE(Base::captureError([&] { return acceptor.handleStoreAnswer({}, {}, ask->id, answer, next); }));
        }
        actions = std::move(next);
    }
    return last;
}

SubmitReply submitAndRun(
    ChangeAcceptor& acceptor, Store::MemoryStore& store, const Change& change, bool readsAreStale = false)
{
    AcceptorActions actions;
    acceptor.submit({}, {}, 1, change, actions);
    auto reply = runUntilIdle(acceptor, store, std::move(actions), readsAreStale);
    REQUIRE(reply);
    return *reply;
}

}

TEST_CASE("A change is never rejected because of a stale read")
{
    Store::MemoryStore store;
    ChangeAcceptor first({});
    ChangeAcceptor second({});
    REQUIRE(submitAndRun(first, store, submittedChange(PutFailureDomain { sampleDomain() }, {}, 1)).outcome
        == Outcome::Accepted);
    REQUIRE(submitAndRun(first, store, submittedChange(Protect { { .path = "domain/brum" } }, { 1 }, 2)).outcome
        == Outcome::Accepted);
    auto out = sampleDomain();
    out.state = FailureDomainState::Out;
    CHECK(
        submitAndRun(second, store, submittedChange(PutFailureDomain { out }, { 2 }, 3)).outcome == Outcome::Protected);
    REQUIRE(submitAndRun(first, store, submittedChange(Unprotect { "domain/brum" }, { 2 }, 4)).outcome
        == Outcome::Accepted);
    // The first endpoint's reply is lost, and the operator repeats the request at the second one, whose reads are
    // stale.
    const auto repeatedChange = submittedChange(PutFailureDomain { out }, { 3 }, 5);
    const auto accepted = submitAndRun(first, store, repeatedChange);
    REQUIRE(accepted.outcome == Outcome::Accepted);
    const auto secondReply = submitAndRun(second, store, repeatedChange, true);
    CHECK(secondReply.outcome == Outcome::Accepted);
    CHECK(secondReply.revision == accepted.revision);
}

TEST_CASE("A conflict reply contains the change that was accepted first")
{
    Store::MemoryStore store;
    ChangeAcceptor first({});
    ChangeAcceptor second({});
    submitAndRun(first, store, submittedChange(PutFailureDomain { sampleDomain() }, {}, 1));
    auto out = sampleDomain();
    out.state = FailureDomainState::Out;
    submitAndRun(first, store, submittedChange(PutFailureDomain { out }, { 1 }, 2));
    const auto lost = submitAndRun(second, store, submittedChange(RemoveFailureDomain { "brum" }, { 1 }, 3));
    CHECK(lost.outcome == Outcome::Conflict);
    REQUIRE(lost.conflicting);
    CHECK(lost.conflicting->requestId == "wish-2");
    CHECK(lost.conflicting->base.value == 1);
    REQUIRE(lost.conflicting->differences.size() == 1);
    CHECK(lost.conflicting->differences[0] == Difference { "domain/brum/state", "in", "out" });
}

TEST_CASE("A request id that was used for a different change is rejected as invalid")
{
    Store::MemoryStore store;
    ChangeAcceptor acceptor({});
    submitAndRun(acceptor, store, submittedChange(PutFailureDomain { sampleDomain() }, {}, 1));
    CHECK(
        submitAndRun(acceptor, store, submittedChange(PutFailureDomain { sampleDomain() }, {}, 1)).revision.value == 1);
    CHECK(submitAndRun(acceptor, store, submittedChange(RemoveFailureDomain { "brum" }, { 1 }, 1)).outcome
        == Outcome::Invalid);
    CHECK(acceptor.statistics().repeatedRequests == 1);
}

TEST_CASE("Calls beyond the queue limit are refused without effect")
{
    Store::MemoryStore store;
    ChangeAcceptor acceptor({ .maximumQueuedCalls = 1 });
    AcceptorActions actions;
    acceptor.submit({}, {}, 1, submittedChange(PutFailureDomain { sampleDomain() }, {}, 1), actions);
    acceptor.submit({}, {}, 2, submittedChange(PutFailureDomain { sampleDomain("notts") }, {}, 2), actions);
    const auto* refused = std::get_if<SubmitReply>(&actions.back());
    REQUIRE(refused != nullptr);
    CHECK(refused->outcome == Outcome::Unavailable);
    CHECK(runUntilIdle(acceptor, store, actions)->outcome == Outcome::Accepted);
    CHECK(acceptor.snapshot()->failureDomains.size() == 1);
}

TEST_CASE("A new endpoint catches up from a snapshot after older changes have been compacted")
{
    Store::MemoryStore store;
    const ChangeAcceptor::Options options { .snapshots = { .interval = 10, .retention = 20, .partBytes = 400 } };
    ChangeAcceptor acceptor(options);
    submitAndRun(acceptor, store, submittedChange(PutFailureDomain { sampleDomain() }, {}, 0));
    submitAndRun(acceptor, store, submittedChange(PutService { sampleService() }, {}, 1));
    for (uint64_t revision = 2; revision < 100; ++revision) {
        auto service = sampleService();
        service.backendServers[0].weight = static_cast<uint32_t>(revision);
        REQUIRE(submitAndRun(acceptor, store, submittedChange(PutService { service }, { revision }, revision)).outcome
            == Outcome::Accepted);
    }
    CHECK(acceptor.statistics().snapshots == 10);
    CHECK(store.handle({}, Store::Get { changeKey({ 80 }) }).value == compactedChangeMarker());
    CHECK(store.handle({}, Store::Get { changeKey({ 81 }) }).value != compactedChangeMarker());
    CHECK(store.handle({}, Store::Get { snapshotPartKey({ 80 }, 0) }).status == Store::Status::NotFound);
    ChangeAcceptor newEndpoint(options);
    AcceptorActions actions;
    newEndpoint.refresh({}, 1, actions);
    runUntilIdle(newEndpoint, store, actions);
    REQUIRE(newEndpoint.snapshot() != nullptr);
    CHECK(*newEndpoint.snapshot() == *acceptor.snapshot());

    // History reaches back to the compacted changes and is marked as truncated.
    AcceptorActions historyActions;
    newEndpoint.readHistory(2, { .from = { 100 }, .followsBaseRevisions = true, .limit = 50 }, historyActions);
    while (const auto* ask = std::get_if<SendStoreRequest>(&historyActions.front())) {
        AcceptorActions next;
        const auto answer = store.handle({}, ask->request);
        CHECK_FALSE(Base::captureError([&] { return newEndpoint.handleStoreAnswer({}, {}, ask->id, answer, next); }));
        historyActions = std::move(next);
    }
    const auto& history = std::get<HistoryReply>(historyActions.front()).history;
    CHECK(history.changes.size() == 20);
    CHECK(history.changes.back().revision.value == 81);
    CHECK(history.isTruncated);
}

TEST_CASE("A request repeated after the deduplication window is refused, not applied again")
{
    Store::MemoryStore store;
    ChangeAcceptor acceptor({});
    const auto repeatedChange = submittedChange(PutFailureDomain { sampleDomain() }, {}, 1);
    REQUIRE(submitAndRun(acceptor, store, repeatedChange).outcome == Outcome::Accepted);
    AcceptorActions actions;
    acceptor.submit({}, Base::WallTime(requestDeduplicationWindow + Base::seconds(1)), 2,
        submittedChange(PutFailureDomain { sampleDomain("notts") }, {}, 2), actions);
    const auto laterReply = runUntilIdle(acceptor, store, std::move(actions));
    REQUIRE(laterReply->outcome == Outcome::Accepted);
    CHECK(submitAndRun(acceptor, store, repeatedChange).outcome == Outcome::Conflict);
    CHECK(acceptor.snapshot()->revision.value == 2);
}
