/// Runs acceptors of several endpoints against a store with random faults and compares the results with a sequential
/// reading of the change log.

#include <LibConfiguration/Process/ChangeAcceptor.h>
#include <LibConfiguration/Samples.h>
#include <LibStore/MemoryStore.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace Configuration;

namespace {

constexpr uint32_t serviceCount = 3;

/// A change that an operator submits until it is settled, and the outcomes received so far.
struct Submission {
    Change change;
    std::vector<Outcome> outcomes;
    Revision acceptedAt;
    bool wasOutcomeUncertain { false };
    bool isPending { false };

    bool isSettled() const
    {
        return !outcomes.empty() && outcomes.back() != Outcome::Unknown && outcomes.back() != Outcome::Unavailable;
    }
};

struct Faults {
    uint64_t lostRequestPermille { 0 };
    uint64_t lostResponsePermille { 0 };
    uint64_t delayedWritePermille { 0 };
    uint64_t unavailablePermille { 0 };
    uint64_t staleReadPermille { 0 };
    uint64_t crashPermille { 0 };
    /// Probability per step that an endpoint pauses for 5 to 14 s, during which its pending store requests are not
    /// sent.
    uint64_t pausePermille { 0 };
};

/// Simulates endpoints, operators and the store in virtual time, from one random seed.
class Simulation {
public:
    Simulation(uint64_t seed, Faults faults, std::size_t endpoints)
        : random_(seed)
        , faults_(faults)
        , pausedUntil_(endpoints)
    {
        for (std::size_t i = 0; i < endpoints; ++i)
            endpoints_.push_back(makeEndpoint());
    }

    /// Runs until every submission is settled. Faults stop after the given number of steps.
    void run(std::size_t faultySteps)
    {
        for (std::size_t step = 0; step < faultySteps; ++step)
            advance();
        faults_ = {};
        for (std::size_t step = 0; step < 20'000 && !isSettled(); ++step)
            advance();
        REQUIRE(isSettled());
    }

    void addSubmission(Change change) { submissions_.push_back({ .change = std::move(change) }); }

    /// Returns all accepted changes in order, including those since replaced by the marker in the store.
    std::vector<Change> log() const
    {
        std::vector<Change> changes;
        for (const auto& bytes : acceptedChangeBytes_) {
            auto change = Base::capture([&] { return decodeChange(bytes); });
            REQUIRE(change.isOk());
            changes.push_back(std::move(*change.value));
        }
        return changes;
    }

    /// Returns the snapshot that a newly started endpoint reads from the store without faults.
    SnapshotPointer newEndpointSnapshot()
    {
        auto newEndpoint = makeEndpoint();
        AcceptorActions actions;
        newEndpoint->refresh(time_, 1, actions);
        while (!actions.empty()) {
            const auto ask = std::get_if<SendStoreRequest>(&actions.front());
            if (ask == nullptr)
                break;
            AcceptorActions next;
            const auto answer = executeInStore(ask->request);
            CHECK_FALSE(Base::captureError(
                [&] { return newEndpoint->handleStoreAnswer(time_, wallNow(), ask->id, answer, next); }));
            actions = std::move(next);
        }
        return newEndpoint->snapshot();
    }

    const std::vector<Submission>& submissions() const { return submissions_; }

private:
    struct Call {
        std::size_t endpoint { 0 };
        ChangeAcceptor* requester { nullptr };
        SendStoreRequest ask;
    };

    std::unique_ptr<ChangeAcceptor> makeEndpoint()
    {
        return std::make_unique<ChangeAcceptor>(ChangeAcceptor::Options {
            .snapshots = { .interval = 8, .retention = 16, .partBytes = 800 }, .seed = random_.next() });
    }

    bool isSettled() const
    {
        return std::all_of(submissions_.begin(), submissions_.end(),
            [](const Submission& submission) { return submission.isSettled(); });
    }

    Base::WallTime wallNow() const
    {
        return Base::WallTime(
            Base::seconds(100'000) + std::chrono::duration_cast<Base::milliseconds>(time_.time_since_epoch()));
    }

    bool isPaused(std::size_t endpoint) const { return time_ < pausedUntil_[endpoint]; }

    bool occurs(uint64_t permille) { return random_.below(1000) < permille; }

    void advance()
    {
        time_ += Base::milliseconds(10 + random_.below(60));
        submitRandomly();
        executeDelayedWrites();
        const auto calls = std::exchange(calls_, {});
        for (const auto& call : calls)
            deliver(call);
        for (std::size_t i = 0; i < endpoints_.size(); ++i) {
            if (occurs(faults_.crashPermille))
                crash(i);
            if (occurs(faults_.pausePermille))
                pausedUntil_[i] = time_ + Base::seconds(5 + random_.below(10));
            if (isPaused(i))
                continue;
            AcceptorActions actions;
            endpoints_[i]->handleTick(time_, wallNow(), actions);
            performActions(i, actions);
        }
    }

    void submitRandomly()
    {
        for (std::size_t i = 0; i < submissions_.size(); ++i) {
            auto& submission = submissions_[i];
            if (submission.isSettled() || submission.isPending || !occurs(100))
                continue;
            const auto endpoint = random_.below(endpoints_.size());
            if (isPaused(endpoint))
                continue;
            submission.isPending = true;
            tickets_[++lastTicket_] = { endpoint, i };
            AcceptorActions actions;
            endpoints_[endpoint]->submit(time_, wallNow(), lastTicket_, submission.change, actions);
            performActions(endpoint, actions);
        }
    }

    /// Restarts the endpoint without state; its operators get no reply.
    void crash(std::size_t endpoint)
    {
        endpoints_[endpoint] = makeEndpoint();
        for (auto entry = tickets_.begin(); entry != tickets_.end();) {
            if (entry->second.first != endpoint) {
                ++entry;
                continue;
            }
            auto& submission = submissions_[entry->second.second];
            submission.isPending = false;
            submission.wasOutcomeUncertain = true;
            entry = tickets_.erase(entry);
        }
    }

    void executeDelayedWrites()
    {
        for (std::size_t i = 0; i < delayedWrites_.size();) {
            if (!occurs(200)) {
                ++i;
                continue;
            }
            executeInStore(delayedWrites_[i]);
            delayedWrites_.erase(delayedWrites_.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }

    /// Executes a request in the store and records the change if it created a change's key.
    Store::Answer executeInStore(const Store::Request& request)
    {
        auto answer = store_.handle(time_, request);
        const auto* swap = std::get_if<Store::CompareAndSwap>(&request);
        if (swap == nullptr || answer.status != Store::Status::Ok || !swap->key.starts_with("config/change/"))
            return answer;
        if (swap->value == compactedChangeMarker())
            return answer;
        CHECK(swap->key == changeKey({ acceptedChangeBytes_.size() + 1 }));
        acceptedChangeBytes_.push_back(swap->value);
        const auto change = Base::capture([&] { return decodeChange(swap->value); });
        lastRevisions_[objectPath(change.value->operation)] = change.value->revision;
        return answer;
    }

    Store::Answer answerWithFaults(const Store::Request& request)
    {
        if (occurs(faults_.unavailablePermille))
            return { .status = Store::Status::Unavailable };
        if (occurs(faults_.lostRequestPermille))
            return { .status = Store::Status::Unknown };
        const bool isSwap = std::holds_alternative<Store::CompareAndSwap>(request);
        if (isSwap && occurs(faults_.delayedWritePermille)) {
            delayedWrites_.push_back(request);
            return { .status = Store::Status::Unknown };
        }
        if (const auto* get = std::get_if<Store::Get>(&request)) {
            if (occurs(faults_.staleReadPermille))
                return store_.staleAnswer(get->key);
        }
        auto answer = executeInStore(request);
        if (occurs(faults_.lostResponsePermille))
            return { .status = Store::Status::Unknown };
        return answer;
    }

    void deliver(const Call& call)
    {
        if (isPaused(call.endpoint)) {
            calls_.push_back(call);
            return;
        }
        const auto answer = answerWithFaults(call.ask.request);
        if (endpoints_[call.endpoint].get() != call.requester)
            return;
        AcceptorActions actions;
        CHECK_FALSE(Base::captureError([&] {
            return endpoints_[call.endpoint]->handleStoreAnswer(time_, wallNow(), call.ask.id, answer, actions);
        }));
        performActions(call.endpoint, actions);
    }

    void performActions(std::size_t endpoint, const AcceptorActions& actions)
    {
        for (const auto& action : actions) {
            if (const auto* ask = std::get_if<SendStoreRequest>(&action))
                calls_.push_back({ endpoint, endpoints_[endpoint].get(), *ask });
            if (const auto* reply = std::get_if<SubmitReply>(&action))
                recordReply(*reply);
        }
    }

    void recordReply(const SubmitReply& reply)
    {
        auto entry = tickets_.find(reply.ticket);
        REQUIRE(entry != tickets_.end());
        auto& submission = submissions_[entry->second.second];
        tickets_.erase(entry);
        submission.isPending = false;
        submission.outcomes.push_back(reply.outcome);
        submission.acceptedAt = reply.revision;
        if (reply.outcome == Outcome::Unavailable && !submission.wasOutcomeUncertain)
            CHECK_FALSE(mayTakeEffect(submission.change.requestId));
        if (reply.outcome == Outcome::Conflict)
            CHECK(submission.change.base != lastRevisions_[objectPath(submission.change.operation)]);
        if (reply.outcome == Outcome::Unknown)
            submission.wasOutcomeUncertain = true;
    }

    /// Whether a request is in the log, or in a delayed write whose key is still absent.
    bool mayTakeEffect(const std::string& requestId) const
    {
        const auto changes = log();
        if (std::any_of(
                changes.begin(), changes.end(), [&](const Change& change) { return change.requestId == requestId; }))
            return true;
        return std::any_of(delayedWrites_.begin(), delayedWrites_.end(), [&](const Store::Request& request) {
            const auto& swap = std::get<Store::CompareAndSwap>(request);
            const bool isKeyAbsent = swap.key == changeKey({ acceptedChangeBytes_.size() + 1 });
            return isKeyAbsent && swap.value.find(requestId + "\xa3") != std::string::npos;
        });
    }

    Base::Random random_;
    Faults faults_;
    std::vector<Base::TimePoint> pausedUntil_;
    Base::TimePoint time_;
    Store::MemoryStore store_;
    std::vector<std::string> acceptedChangeBytes_;
    /// Revision of the newest change of each object, by path.
    std::map<std::string, Revision> lastRevisions_;
    std::vector<std::unique_ptr<ChangeAcceptor>> endpoints_;
    std::vector<Submission> submissions_;
    std::vector<Call> calls_;
    std::vector<Store::Request> delayedWrites_;
    std::map<Ticket, std::pair<std::size_t, std::size_t>> tickets_;
    Ticket lastTicket_ { 0 };
};

std::string serviceName(uint64_t number) { return "service-" + std::to_string(number); }

/// Adds changes to a few objects, based on current, outdated or nonexistent revisions.
void addSubmissions(Simulation& simulation, uint64_t seed, std::size_t count)
{
    Base::Random random(seed);
    simulation.addSubmission(submittedChange(PutFailureDomain { sampleDomain() }, {}, 0));
    for (std::size_t i = 1; i < count; ++i) {
        const auto number = random.below(serviceCount);
        auto service = sampleService(serviceName(number), 2, static_cast<uint32_t>(number) + 1);
        service.backendServers[0].weight = static_cast<uint32_t>(i % 1000);
        Operation operation = PutService { service };
        // Creating a new object never conflicts, so the log grows.
        if (random.chance(0.5)) {
            simulation.addSubmission(
                submittedChange(PutFailureDomain { sampleDomain("domain-" + std::to_string(i)) }, {}, i));
            continue;
        }
        if (random.chance(0.1))
            operation = RemoveService { service.name };
        if (random.chance(0.1))
            operation = Protect { { .path = "service/" + service.name } };
        simulation.addSubmission(submittedChange(operation, { random.chance(0.3) ? 0 : random.below(count / 3) }, i));
    }
}

/// Reads the log sequentially and checks that each accepted change is based on the previous change of its object, that
/// a new endpoint arrives at the same snapshot, and that every operator received the true outcome.
void checkAgainstSequentialReader(Simulation& simulation)
{
    const auto log = simulation.log();
    Snapshot expected;
    std::map<std::string, Revision> lastRevision;
    std::map<std::string, Revision> revisionsByRequest;
    for (const auto& change : log) {
        CHECK(revisionsByRequest.emplace(change.requestId, change.revision).second);
        const auto path = objectPath(change.operation);
        CHECK(change.base == lastRevision[path]);
        lastRevision[path] = change.revision;
        CHECK_FALSE(Base::captureError([&] { return applyTo(expected, change); }));
    }
    const auto loadedSnapshot = simulation.newEndpointSnapshot();
    REQUIRE(loadedSnapshot != nullptr);
    CHECK(*loadedSnapshot == expected);
    for (const auto& submission : simulation.submissions()) {
        const bool isInLog = revisionsByRequest.contains(submission.change.requestId);
        CHECK(isInLog == (submission.outcomes.back() == Outcome::Accepted));
        if (isInLog)
            CHECK(revisionsByRequest[submission.change.requestId] == submission.acceptedAt);
    }
}

void runSimulation(uint64_t seed, const Faults& faults, std::size_t endpoints)
{
    INFO("seed " << seed);
    Simulation simulation(seed, faults, endpoints);
    addSubmissions(simulation, seed, 90);
    simulation.run(600);
    checkAgainstSequentialReader(simulation);
}

}

TEST_CASE(
    "Each change is accepted at most once and its outcome reported correctly despite store faults, crashes and pauses")
{
    for (uint64_t seed = 1; seed <= 25; ++seed) {
        runSimulation(seed, {}, 3);
        runSimulation(seed, { .lostResponsePermille = 200 }, 3);
        runSimulation(seed, { .lostRequestPermille = 200, .unavailablePermille = 200 }, 2);
        runSimulation(seed, { .delayedWritePermille = 300 }, 3);
        runSimulation(seed, { .delayedWritePermille = 400, .unavailablePermille = 400 }, 2);
        runSimulation(seed, { .staleReadPermille = 300 }, 3);
        runSimulation(seed, { .lostResponsePermille = 100, .crashPermille = 20 }, 3);
        runSimulation(seed, { .staleReadPermille = 300, .crashPermille = 20 }, 3);
        runSimulation(seed, { .pausePermille = 10 }, 4);
        runSimulation(seed,
            { .lostRequestPermille = 80,
                .lostResponsePermille = 80,
                .delayedWritePermille = 80,
                .unavailablePermille = 80,
                .staleReadPermille = 80,
                .crashPermille = 10 },
            4);
    }
}
