/// Mutual TLS over loopback between the client of eelctl and an operators' endpoint.

#include "TestCertificates.h"
#include <LibOperator/OperatorServer.h>
#include <LibStandInStore/Server.h>
#include <Library/Client.h>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace {

constexpr uint32_t loopback = 0x7F000001;

/// A temporary directory for PEM files, removed by the destructor.
class TemporaryDirectory {
public:
    TemporaryDirectory()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "eelgrasshatch-XXXXXX").string();
        REQUIRE(mkdtemp(pattern.data()) != nullptr);
        path_ = pattern;
    }
    ~TemporaryDirectory() { std::filesystem::remove_all(path_); }
    TemporaryDirectory(const TemporaryDirectory&) = delete;
    TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

    std::string write(const std::string& name, const std::string& content) const
    {
        const auto path = path_ / name;
        std::ofstream(path) << content;
        return path.string();
    }

private:
    std::filesystem::path path_;
};

/// Makes a read call, which must fail. The endpoint's store is unreachable, so a trusted caller receives the error of
/// the endpoint, while an untrusted one receives a TLS error.
Base::Error readCallError(const ControlTool::Arguments& arguments)
{
    auto client = Base::capture([&] { return ControlTool::Client::create(arguments); });
    REQUIRE(client.isOk());
    const auto reply = Base::capture([&] { return client.value->read(); });
    REQUIRE_FALSE(reply.isOk());
    return reply.error;
}

}

TEST_CASE("Only calls with a certificate signed by a configured authority are accepted")
{
    const Operator::TestAuthority endpoints("endpoints");
    const Operator::TestAuthority operators("operators");
    const Operator::TestAuthority untrustedAuthority("strangers");
    const auto certificate = endpoints.issue("endpoint");
    Operator::OperatorServer::Options options { .listen = { { loopback }, 0 } };
    options.tls = { certificate.certificate, certificate.privateKey, operators.certificate() };
    // Nothing listens on the discard port (9), so the store is unreachable.
    options.acceptor.store = { { loopback }, 9 };
    auto server = Base::capture([&] { return Operator::OperatorServer::create(options); });
    REQUIRE(server.isOk());

    const TemporaryDirectory directory;
    const auto ada = operators.issue("ada");
    const auto eve = untrustedAuthority.issue("eve");
    ControlTool::Arguments arguments { .endpoints = { (*server.value)->endpoint().toString() } };
    arguments.callTimeout = Base::seconds(60);
    const auto fromEndpoint = Catch::Contains("this endpoint holds no configuration");

    arguments.authoritiesFile = directory.write("endpoints.pem", endpoints.certificate());
    arguments.certificateFile = directory.write("ada.pem", ada.certificate);
    arguments.privateKeyFile = directory.write("ada-key.pem", ada.privateKey);
    CHECK_THAT(readCallError(arguments).detail, fromEndpoint);

    arguments.certificateFile = directory.write("eve.pem", eve.certificate);
    arguments.privateKeyFile = directory.write("eve-key.pem", eve.privateKey);
    CHECK_THAT(readCallError(arguments).detail, !fromEndpoint);

    arguments.certificateFile.clear();
    arguments.privateKeyFile.clear();
    CHECK_THAT(readCallError(arguments).detail, !fromEndpoint);

    // A caller that trusts another authority refuses the certificate of this endpoint.
    arguments.authoritiesFile = directory.write("strangers.pem", untrustedAuthority.certificate());
    CHECK_THAT(readCallError(arguments).detail, !fromEndpoint);
}

TEST_CASE("The history adds the name on the caller's certificate if the author is a different name")
{
    const Operator::TestAuthority authority("one");
    const auto certificate = authority.issue("endpoint");
    auto store = Base::capture([] { return StandInStore::Server::create({ { loopback }, 0 }, 1); });
    REQUIRE(store.isOk());
    Operator::OperatorServer::Options options { .listen = { { loopback }, 0 } };
    options.tls = { certificate.certificate, certificate.privateKey, authority.certificate() };
    options.acceptor.store = (*store.value)->endpoint();
    options.acceptor.storeCallDeadline = Base::seconds(60);
    auto server = Base::capture([&] { return Operator::OperatorServer::create(options); });
    REQUIRE(server.isOk());

    const TemporaryDirectory directory;
    const auto ada = authority.issue("ada");
    ControlTool::Arguments arguments { .endpoints = { (*server.value)->endpoint().toString() } };
    arguments.callTimeout = Base::seconds(60);
    arguments.authoritiesFile = directory.write("one.pem", authority.certificate());
    arguments.certificateFile = directory.write("ada.pem", ada.certificate);
    arguments.privateKeyFile = directory.write("ada-key.pem", ada.privateKey);
    auto client = Base::capture([&] { return ControlTool::Client::create(arguments); });
    REQUIRE(client.isOk());
    Operator::Wire::ChangeRequest request;
    request.set_request_id("r1");
    request.set_author("script");
    request.set_reason("test");
    request.mutable_operation()->mutable_put_failure_domain()->set_name("brum");
    request.mutable_operation()->mutable_put_failure_domain()->set_region("midlands");
    CHECK(client.value->submit(request).outcome() == Operator::Wire::ACCEPTED);
    const auto history = Base::capture([&] { return client.value->history({}); });
    REQUIRE(history.isOk());
    CHECK(history.value->records(0).author() == "script via ada");
}
