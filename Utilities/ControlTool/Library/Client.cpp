#include "Client.h"
#include <LibBase/Ipv4Endpoint.h>
#include <fstream>
#include <sstream>
#include <thread>

namespace ControlTool {

using Base::ErrorCode;
using Base::ErrorOr;
using Base::makeError;

namespace {

    constexpr Base::milliseconds retryInterval { 200 };

    ErrorOr<std::string> readFile(const std::string& path)
    {
        if (path.empty())
            return std::string {};
        std::ifstream file(path);
        std::ostringstream content;
        content << file.rdbuf();
        if (!file)
            return makeError(ErrorCode::NotFound, path + ": cannot be read");
        return content.str();
    }

    ErrorOr<std::shared_ptr<grpc::ChannelCredentials>> channelCredentialsFor(const Arguments& arguments)
    {
        if (arguments.certificateFile.empty() != arguments.privateKeyFile.empty())
            return makeError(ErrorCode::InvalidArgument, "--tls-certificate: expected together with --tls-key");
        if (arguments.authoritiesFile.empty())
            return grpc::InsecureChannelCredentials();
        grpc::SslCredentialsOptions options;
        TRY_ASSIGN(authorities, readFile(arguments.authoritiesFile));
        TRY_ASSIGN(certificate, readFile(arguments.certificateFile));
        TRY_ASSIGN(privateKey, readFile(arguments.privateKeyFile));
        options.pem_root_certs = authorities;
        options.pem_cert_chain = certificate;
        options.pem_private_key = privateKey;
        return grpc::SslCredentials(options);
    }

    ErrorCode errorCodeFor(grpc::StatusCode code)
    {
        switch (code) {
        case grpc::StatusCode::INVALID_ARGUMENT:
            return ErrorCode::InvalidArgument;
        case grpc::StatusCode::NOT_FOUND:
            return ErrorCode::NotFound;
        default:
            return ErrorCode::Unavailable;
        }
    }

    bool isDefinitive(const Wire::ChangeReply& reply)
    {
        return reply.outcome() != Wire::OUTCOME_UNKNOWN && reply.outcome() != Wire::UNAVAILABLE;
    }

}

Client::Client(const Arguments& arguments, std::vector<Endpoint> endpoints)
    : endpoints_(std::move(endpoints))
    , callTimeout_(arguments.callTimeout)
    , retryTimeout_(arguments.retryTimeout)
{
}

ErrorOr<Client> Client::create(const Arguments& arguments)
{
    if (arguments.endpoints.empty())
        return makeError(ErrorCode::InvalidArgument, "--endpoint: expected at least one ADDRESS:PORT");
    TRY_ASSIGN(channelCredentials, channelCredentialsFor(arguments));
    grpc::ChannelArguments channelArguments;
    channelArguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    channelArguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    channelArguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, static_cast<int>(retryInterval.count()));
    channelArguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, static_cast<int>(retryInterval.count()));
    channelArguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, static_cast<int>(retryInterval.count()));
    // A configuration may exceed gRPC's default message limit of 4 MB.
    channelArguments.SetMaxReceiveMessageSize(-1);
    std::vector<Endpoint> endpoints;
    for (const auto& address : arguments.endpoints) {
        if (Base::captureError([&] { return Base::Ipv4Endpoint::parse(address); }))
            return makeError(ErrorCode::InvalidArgument, "--endpoint: expected ADDRESS:PORT, got '" + address + "'");
        auto channel = grpc::CreateCustomChannel(address, channelCredentials, channelArguments);
        auto stub = Wire::Operator::NewStub(channel);
        endpoints.push_back({ std::move(channel), std::move(stub) });
    }
    return Client(arguments, std::move(endpoints));
}

void Client::setCallDeadline(grpc::ClientContext& context) const
{
    context.set_deadline(std::chrono::system_clock::now() + callTimeout_);
}

bool Client::waitForConnection()
{
    const auto deadline = std::chrono::system_clock::now() + callTimeout_;
    auto& channel = *endpoints_[preferredEndpoint_].channel;
    auto state = channel.GetState(true);
    while (state != GRPC_CHANNEL_READY) {
        if (state == GRPC_CHANNEL_TRANSIENT_FAILURE || !channel.WaitForStateChange(state, deadline))
            return false;
        state = channel.GetState(true);
    }
    return true;
}

bool Client::trySubmit(const Wire::ChangeRequest& request, Wire::ChangeReply& lastReply)
{
    const bool wasOutcomeUnknown = lastReply.outcome() == Wire::OUTCOME_UNKNOWN;
    if (!waitForConnection()) {
        if (lastReply.detail().empty())
            lastReply.set_detail("no endpoint can be reached");
        return false;
    }
    Wire::ChangeReply reply;
    grpc::ClientContext context;
    setCallDeadline(context);
    const auto status = endpoints_[preferredEndpoint_].stub->Submit(&context, request, &reply);
    if (status.ok() && isDefinitive(reply)) {
        lastReply = reply;
        return true;
    }
    // The endpoint may have processed a call that failed after it was sent.
    const bool isOutcomeUnknown = wasOutcomeUnknown || !status.ok() || reply.outcome() == Wire::OUTCOME_UNKNOWN;
    lastReply.set_outcome(isOutcomeUnknown ? Wire::OUTCOME_UNKNOWN : Wire::UNAVAILABLE);
    lastReply.set_detail(status.ok() ? reply.detail() : status.error_message());
    return false;
}

Wire::ChangeReply Client::submit(const Wire::ChangeRequest& request)
{
    const auto deadline = std::chrono::steady_clock::now() + retryTimeout_;
    Wire::ChangeReply lastReply;
    lastReply.set_outcome(Wire::UNAVAILABLE);
    while (!trySubmit(request, lastReply)) {
        preferredEndpoint_ = (preferredEndpoint_ + 1) % endpoints_.size();
        if (std::chrono::steady_clock::now() >= deadline)
            break;
        if (preferredEndpoint_ == 0)
            std::this_thread::sleep_for(retryInterval);
    }
    return lastReply;
}

template <typename Reply>
ErrorOr<Reply> Client::callWithFailover(const std::function<grpc::Status(Stub&, grpc::ClientContext*, Reply*)>& call)
{
    grpc::Status status;
    for (std::size_t attempt = 0; attempt < endpoints_.size(); ++attempt) {
        Reply reply;
        grpc::ClientContext context;
        setCallDeadline(context);
        status = call(*endpoints_[preferredEndpoint_].stub, &context, &reply);
        if (status.ok())
            return reply;
        if (errorCodeFor(status.error_code()) != ErrorCode::Unavailable)
            break;
        preferredEndpoint_ = (preferredEndpoint_ + 1) % endpoints_.size();
    }
    return makeError(errorCodeFor(status.error_code()), status.error_message());
}

ErrorOr<Wire::Configuration> Client::read()
{
    return callWithFailover<Wire::Configuration>(
        [](auto& stub, auto* context, auto* reply) { return stub.Read(context, Wire::ReadRequest(), reply); });
}

ErrorOr<Wire::PlanReply> Client::plan(const Wire::PlanRequest& request)
{
    return callWithFailover<Wire::PlanReply>(
        [&](auto& stub, auto* context, auto* reply) { return stub.Plan(context, request, reply); });
}

ErrorOr<Wire::HistoryReply> Client::history(const Wire::HistoryRequest& request)
{
    return callWithFailover<Wire::HistoryReply>(
        [&](auto& stub, auto* context, auto* reply) { return stub.History(context, request, reply); });
}

ErrorOr<Wire::ExplainReply> Client::explain(const Wire::ExplainRequest& request)
{
    return callWithFailover<Wire::ExplainReply>(
        [&](auto& stub, auto* context, auto* reply) { return stub.Explain(context, request, reply); });
}

ErrorOr<Wire::StatusReply> Client::status()
{
    return callWithFailover<Wire::StatusReply>(
        [](auto& stub, auto* context, auto* reply) { return stub.Status(context, Wire::StatusRequest(), reply); });
}

}
