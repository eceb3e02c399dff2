/// Runs two operators' endpoints, the stand-in store and the client of eelctl in one process over loopback.

#include "../LibConfiguration/Samples.h"
#include <LibOperator/OperatorServer.h>
#include <LibStandInStore/Server.h>
#include <Library/Client.h>
#include <catch2/catch.hpp>

namespace {

namespace Wire = eelgrasshatch::operators;

constexpr uint32_t loopback = 0x7F000001;

/// Calls a factory function, which must succeed.
template <typename Create>
auto createOrFail(Create&& create)
{
    auto server = Base::capture(create);
    REQUIRE(server.isOk());
    return std::move(*server.value);
}

/// The stand-in store and two operators' endpoints that use it.
class Deployment {
public:
    explicit Deployment(Operator::OperatorService::Options service = {})
        : store_(createOrFail([] {
            return StandInStore::Server::create({ { loopback }, 0 }, 1);
        }))
    {
        for (auto& endpoint : endpoints_)
            endpoint = createOrFail([&] { return Operator::OperatorServer::create(options(service)); });
    }

    /// A client configured with both endpoints, or with only one.
    ControlTool::Client client(std::optional<std::size_t> only = {}) const
    {
        ControlTool::Arguments arguments;
        // Long timeouts keep slow test machines from changing the outcomes.
        arguments.callTimeout = Base::seconds(60);
        arguments.retryTimeout = Base::seconds(60);
        for (std::size_t i = 0; i < endpoints_.size(); ++i) {
            if (!only || *only == i)
                arguments.endpoints.push_back(endpoints_[i]->endpoint().toString());
        }
        auto client = Base::capture([&] { return ControlTool::Client::create(arguments); });
        REQUIRE(client.isOk());
        return std::move(*client.value);
    }

    void setFaults(const eelgrasshatch::store::Faults& faults) { store_->platform().setFaults(faults); }
    void shutDownEndpoint(std::size_t index) { endpoints_[index].reset(); }

private:
    Operator::OperatorServer::Options options(const Operator::OperatorService::Options& service) const
    {
        Operator::OperatorServer::Options options { .listen = { { loopback }, 0 }, .service = service };
        options.acceptor.store = store_->endpoint();
        options.acceptor.storeCallDeadline = Base::seconds(60);
        options.acceptor.acceptor.operatorCallTimeout = Base::seconds(60);
        return options;
    }

    std::unique_ptr<StandInStore::Server> store_;
    std::array<std::unique_ptr<Operator::OperatorServer>, 2> endpoints_;
};

Wire::ChangeRequest request(const Configuration::Operation& operation, uint64_t base, const std::string& id)
{
    Wire::ChangeRequest wire;
    wire.set_request_id(id);
    wire.set_base_revision(base);
    wire.set_author("ada");
    wire.set_reason("test");
    *wire.mutable_operation() = Operator::toWire(operation);
    return wire;
}

Configuration::Operation putDomain(Configuration::FailureDomainState state = Configuration::FailureDomainState::In)
{
    auto domain = Configuration::sampleDomain();
    domain.state = state;
    return Configuration::PutFailureDomain { domain };
}

}

TEST_CASE("A change accepted at one endpoint can be read, explained and repeated at the other endpoint")
{
    Deployment deployment;
    auto first = deployment.client(0);
    auto second = deployment.client(1);
    REQUIRE(first.submit(request(putDomain(), 0, "r1")).outcome() == Wire::ACCEPTED);
    const auto created = first.submit(request(Configuration::PutService { Configuration::sampleService() }, 0, "r2"));
    REQUIRE(created.outcome() == Wire::ACCEPTED);
    CHECK(created.revision() == 2);

    const auto configuration = Base::capture([&] { return second.read(); });
    REQUIRE(configuration.isOk());
    CHECK(configuration.value->freshness() == Wire::CONFIRMED);
    CHECK(configuration.value->services(0).backend_servers_size() == 2);
    CHECK(
        second.submit(request(Configuration::PutService { Configuration::sampleService() }, 0, "r2")).revision() == 2);

    Wire::ExplainRequest explain;
    explain.set_path("service/rota/backend-server/rota-1/weight");
    const auto explained = Base::capture([&] { return second.explain(explain); });
    REQUIRE(explained.isOk());
    REQUIRE(explained.value->fields_size() == 1);
    CHECK(explained.value->fields(0).value() == "100");
    CHECK(explained.value->fields(0).set_by().revision() == 2);

    const auto history = Base::capture([&] { return second.history({}); });
    REQUIRE(history.isOk());
    CHECK(history.value->records_size() == 2);
    CHECK(history.value->records(0).author() == "ada");
}

TEST_CASE("A change with a stale base revision is refused and the reply contains the conflicting change")
{
    Deployment deployment;
    auto client = deployment.client();
    client.submit(request(putDomain(), 0, "r1"));
    client.submit(request(putDomain(Configuration::FailureDomainState::Out), 1, "r2"));
    const auto stale = deployment.client(1).submit(request(Configuration::RemoveFailureDomain { "brum" }, 1, "r3"));
    CHECK(stale.outcome() == Wire::CONFLICT);
    CHECK(stale.conflicting().request_id() == "r2");
    CHECK(stale.conflicting().differences(0).after() == "out");
}

TEST_CASE("A change is reported as accepted and written once when all store responses are lost")
{
    Deployment deployment;
    auto client = deployment.client();
    REQUIRE(Base::capture([&] { return client.history({}); }).isOk());
    eelgrasshatch::store::Faults faults;
    faults.set_lost_answers_permille(1000);
    deployment.setFaults(faults);
    const auto reply = client.submit(request(putDomain(), 0, "r1"));
    CHECK(reply.outcome() == Wire::ACCEPTED);
    CHECK(reply.revision() == 1);
    deployment.setFaults({});
    CHECK(Base::capture([&] { return client.history({}); }).value->records_size() == 1);
}

TEST_CASE("A client fails over to the other endpoint when one has stopped")
{
    Deployment deployment;
    auto client = deployment.client();
    REQUIRE(client.submit(request(putDomain(), 0, "r1")).outcome() == Wire::ACCEPTED);
    deployment.shutDownEndpoint(0);
    CHECK(client.submit(request(putDomain(), 0, "r1")).outcome() == Wire::ACCEPTED);
    CHECK(Base::capture([&] { return client.read(); }).value->revision() == 1);
}

TEST_CASE("During a store outage reads are marked as held, not confirmed")
{
    Deployment deployment;
    auto client = deployment.client(0);
    REQUIRE(client.submit(request(putDomain(), 0, "r1")).outcome() == Wire::ACCEPTED);
    eelgrasshatch::store::Faults faults;
    faults.set_outage(eelgrasshatch::store::Faults::REFUSING);
    deployment.setFaults(faults);
    const auto held = Base::capture([&] { return client.read(); });
    REQUIRE(held.isOk());
    CHECK(held.value->freshness() == Wire::HELD);
    CHECK(held.value->revision() == 1);
    const auto unknown = Base::capture([&] { return deployment.client(1).read(); });
    CHECK(unknown.error.code == Base::ErrorCode::Unavailable);
}

TEST_CASE("Status contains the state reported by the balancer, or that the balancer did not respond")
{
    Peer::NodeStatus node { .newestRevision = { 7 }, .inForce = 3, .total = 4 };
    node.missing = { Base::EntryVmId::fromEndpoint({ { loopback }, 4000 }) };
    node.evidence = "store";
    Deployment withBalancer({ .queryBalancer = [&]() -> Base::ErrorOr<Peer::NodeStatus> { return node; } });
    auto client = withBalancer.client();
    const auto status = Base::capture([&] { return client.status(); });
    REQUIRE(status.isOk());
    CHECK(status.value->balancer_answered());
    CHECK(status.value->balancer_revision() == 7);
    CHECK(status.value->missing(0) == "127.0.0.1:4000");
    Deployment withUnresponsiveBalancer({ .queryBalancer = []() -> Base::ErrorOr<Peer::NodeStatus> {
        return Base::makeError(Base::ErrorCode::TimedOut, "no answer");
    } });
    auto other = withUnresponsiveBalancer.client();
    CHECK_FALSE(Base::capture([&] { return other.status(); }).value->balancer_answered());
}

TEST_CASE("A server with incomplete TLS material does not start")
{
    Operator::OperatorServer::Options options { .listen = { { loopback }, 0 }, .tls = { .certificate = "x" } };
    CHECK(Base::captureError([&] { return Operator::OperatorServer::create(options); })->code
        == Base::ErrorCode::InvalidArgument);
    options.tls = { .callerAuthorities = "x" };
    CHECK(Base::captureError([&] { return Operator::OperatorServer::create(options); })->code
        == Base::ErrorCode::InvalidArgument);
}
