#include <LibBase/Verify.h>
#include <LibStandInStore/Server.h>
#include <LibStoreClient/StoreClient.h>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>

using namespace Store;

namespace {

constexpr uint32_t loopbackAddress = 0x7F000001;

/// A store client that blocks until each call is completed.
class BlockingClient {
public:
    explicit BlockingClient(const Base::Ipv4Endpoint& endpoint)
        : client_(StoreClient::create(
            { .endpoint = endpoint, .callDeadline = Base::seconds(60), .capacity = 1, .onCompletion = [this] {
                 wake();
             } }))
    {
    }

    Answer call(const Request& request)
    {
        REQUIRE(client_->trySubmit(++lastId_, request));
        return std::get<Answer>(waitForCompletion().answer);
    }

    VmListAnswer listVms()
    {
        REQUIRE(client_->trySubmitVmList(++lastId_));
        return std::get<VmListAnswer>(waitForCompletion().answer);
    }

    StoreClient& client() { return *client_; }

    Completion waitForCompletion()
    {
        Completion completion;
        std::unique_lock lock(lock_);
        completed_.wait(lock, [&] { return client_->tryPopCompletion(completion); });
        return completion;
    }

private:
    void wake()
    {
        const std::lock_guard guard(lock_);
        completed_.notify_one();
    }

    std::mutex lock_;
    std::condition_variable completed_;
    RequestId lastId_ { 0 };
    std::unique_ptr<StoreClient> client_;
};

std::unique_ptr<StandInStore::Server> startServer()
{
    auto server = Base::capture([] { return StandInStore::Server::create({ { loopbackAddress }, 0 }, 1); });
    VERIFY(server.isOk());
    return std::move(*server.value);
}

}

TEST_CASE("Each kind of request returns the matching status and fields")
{
    auto server = startServer();
    BlockingClient client(server->endpoint());
    CHECK(client.call(Get { "key" }).status == Status::NotFound);
    CHECK(client.call(CompareAndSwap { .key = "key", .value = std::string("a\0b", 3) }).version == 1);
    CHECK(client.call(Get { "key" }).value == std::string("a\0b", 3));
    CHECK(client.call(CompareAndSwap { .key = "key", .value = "b" }).status == Status::VersionMismatch);
    CHECK(client.call(Watch { .key = "key", .known = 0 }).version == 1);
    const auto lease = client.call(GrantLease { Base::seconds(100) }).lease;
    CHECK(client.call(RenewLease { lease }).status == Status::Ok);
    CHECK(client.call(RevokeLease { lease }).status == Status::Ok);
    CHECK(client.call(CompareAndDelete { .key = "key", .expected = 1 }).status == Status::Ok);
}

TEST_CASE("A write whose response is lost is unknown, and its effect can be read")
{
    auto server = startServer();
    BlockingClient client(server->endpoint());
    CHECK(client.call(Get { "key" }).status == Status::NotFound);
    eelgrasshatch::store::Faults faults;
    faults.set_lost_answers_permille(1000);
    server->platform().setFaults(faults);
    CHECK(client.call(CompareAndSwap { .key = "key", .value = "a" }).status == Status::Unknown);
    CHECK(client.call(Get { "key" }).value == "a");
}

TEST_CASE("A write without a connection is unavailable rather than unknown")
{
    const auto endpoint = startServer()->endpoint();
    BlockingClient client(endpoint);
    CHECK(client.call(CompareAndSwap { .key = "key", .value = "a" }).status == Status::Unavailable);
    CHECK(client.call(Get { "key" }).status == Status::Unavailable);
}

TEST_CASE("Calls refused by the store are unavailable, writes included")
{
    auto server = startServer();
    BlockingClient client(server->endpoint());
    CHECK(client.call(Get { "key" }).status == Status::NotFound);
    eelgrasshatch::store::Faults faults;
    faults.set_outage(eelgrasshatch::store::Faults::REFUSING);
    server->platform().setFaults(faults);
    CHECK(client.call(CompareAndSwap { .key = "key", .value = "a" }).status == Status::Unavailable);
    CHECK(client.call(Get { "key" }).status == Status::Unavailable);
}

TEST_CASE("Calls beyond the capacity are refused and counted")
{
    auto server = startServer();
    BlockingClient client(server->endpoint());
    REQUIRE(client.client().trySubmit(100, Get { "key" }));
    CHECK_FALSE(client.client().trySubmit(101, Get { "key" }));
    CHECK(client.client().refusedCount() == 1);
    CHECK(client.waitForCompletion().id == 100);
}

TEST_CASE("The VM list is returned, and changes are delayed by the configured lag")
{
    auto server = startServer();
    BlockingClient client(server->endpoint());
    eelgrasshatch::store::Vm vm;
    vm.set_control_endpoint("127.0.0.1:4000");
    vm.set_failure_domain("brum");
    server->platform().putVm(vm);
    const auto answer = client.listVms();
    REQUIRE(answer.vms.size() == 1);
    CHECK(answer.vms[0].failureDomain == "brum");
    eelgrasshatch::store::Faults faults;
    faults.set_vm_list_lag_ms(3'600'000);
    server->platform().setFaults(faults);
    CHECK(client.listVms().vms.empty());
}
