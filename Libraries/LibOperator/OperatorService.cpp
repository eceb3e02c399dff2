#include <LibConfiguration/ModelCodec.h>
#include <LibConfiguration/Paths.h>
#include <LibLog/Log.h>
#include <LibOperator/Events.h>
#include <LibOperator/Explanation.h>
#include <LibOperator/OperatorService.h>
#include <LibOperator/Planner.h>
#include <grpc/grpc_security_constants.h>

namespace Operator {

namespace {

    constexpr std::size_t defaultHistoryLimit = 20;
    constexpr std::size_t maximumHistoryLimit = 200;
    constexpr std::size_t explanationHistoryLimit = 200;

    Wire::Outcome toWire(Configuration::Outcome outcome)
    {
        switch (outcome) {
        case Configuration::Outcome::Unknown:
            return Wire::OUTCOME_UNKNOWN;
        case Configuration::Outcome::Accepted:
            return Wire::ACCEPTED;
        case Configuration::Outcome::Conflict:
            return Wire::CONFLICT;
        case Configuration::Outcome::Protected:
            return Wire::PROTECTED;
        case Configuration::Outcome::Invalid:
            return Wire::INVALID;
        case Configuration::Outcome::NotFound:
            return Wire::NOT_FOUND;
        case Configuration::Outcome::Unavailable:
            return Wire::UNAVAILABLE;
        }
        return Wire::OUTCOME_UNKNOWN;
    }

    Wire::Freshness toWire(Configuration::Freshness freshness)
    {
        switch (freshness) {
        case Configuration::Freshness::None:
            return Wire::NO_CONFIGURATION;
        case Configuration::Freshness::Confirmed:
            return Wire::CONFIRMED;
        case Configuration::Freshness::Held:
            return Wire::HELD;
        }
        return Wire::NO_CONFIGURATION;
    }

    Wire::PlannedOperation toWire(const PlannedOperation& planned)
    {
        Wire::PlannedOperation wire;
        wire.set_path(planned.path);
        wire.set_base_revision(planned.baseRevision.value);
        for (const auto& difference : planned.differences)
            *wire.add_differences() = Operator::toWire(difference);
        wire.set_outcome(toWire(planned.outcome));
        wire.set_detail(planned.detail);
        return wire;
    }

    Base::WallTime wallNow()
    {
        return std::chrono::time_point_cast<Base::milliseconds>(std::chrono::system_clock::now());
    }

    grpc::Status invalidArgument(const Base::Error& error)
    {
        return { grpc::StatusCode::INVALID_ARGUMENT, error.detail };
    }

    grpc::Status configurationUnavailable()
    {
        return { grpc::StatusCode::UNAVAILABLE, "the store cannot be read and this endpoint holds no configuration" };
    }

    /// The author of a request; " via NAME" is appended if the caller's verified certificate has a different common
    /// name.
    std::string authenticatedAuthor(const grpc::ServerContext& context, const std::string& author)
    {
        const auto authentication = context.auth_context();
        if (!authentication || !authentication->IsPeerAuthenticated())
            return author;
        for (const auto& property : authentication->FindPropertyValues(GRPC_X509_CN_PROPERTY_NAME)) {
            const std::string name(property.data(), property.size());
            return name == author ? author : std::string(author).append(" via ").append(name);
        }
        return author;
    }

    void logOutcome(const Wire::ChangeRequest& request, const Wire::ChangeReply& reply)
    {
        Log::Fields fields;
        fields.add("request", request.request_id()).add("author", request.author());
        if (reply.outcome() == Wire::ACCEPTED) {
            Log::write(
                Events::changeAccepted, fields.add("revision", reply.revision()).add("reason", request.reason()));
            return;
        }
        fields.add("outcome", Wire::Outcome_Name(reply.outcome())).add("detail", reply.detail());
        Log::write(
            reply.outcome() == Wire::OUTCOME_UNKNOWN ? Events::changeUnknown : Events::changeNotAccepted, fields);
    }

}

OperatorService::OperatorService(AcceptorThread& acceptor, Options options)
    : acceptor_(acceptor)
    , options_(std::move(options))
{
}

Configuration::RefreshReply OperatorService::refreshState()
{
    auto reply = acceptor_.refresh().get();
    if (reply.freshness != Configuration::Freshness::Confirmed)
        Log::write(Events::storeUnavailable,
            Log::Fields().add("held_revision", reply.snapshot ? reply.snapshot->revision.value : 0));
    return reply;
}

grpc::Status OperatorService::Submit(
    grpc::ServerContext* context, const Wire::ChangeRequest* request, Wire::ChangeReply* reply)
{
    const auto startTime = std::chrono::steady_clock::now();
    auto change = Base::capture([&] { return fromWire(*request); });
    if (!change.isOk()) {
        reply->set_outcome(Wire::INVALID);
        reply->set_detail(change.error.detail);
        logOutcome(*request, *reply);
        return grpc::Status::OK;
    }
    change.value->author = authenticatedAuthor(*context, change.value->author);
    const auto result = acceptor_.submit(std::move(*change.value)).get();
    reply->set_outcome(toWire(result.outcome));
    reply->set_revision(result.revision.value);
    reply->set_detail(result.detail);
    if (result.conflicting)
        *reply->mutable_conflicting() = toWire(*result.conflicting);
    logOutcome(*request, *reply);
    if (options_.onChangeCompleted)
        options_.onChangeCompleted(std::chrono::steady_clock::now() - startTime);
    return grpc::Status::OK;
}

grpc::Status OperatorService::Plan(grpc::ServerContext*, const Wire::PlanRequest* request, Wire::PlanReply* reply)
{
    std::vector<Configuration::Operation> operations;
    for (const auto& wire : request->operations()) {
        auto operation = Base::capture([&] { return fromWire(wire); });
        if (!operation.isOk())
            return invalidArgument(operation.error);
        operations.push_back(std::move(*operation.value));
    }
    const auto state = refreshState();
    if (!state.snapshot)
        return configurationUnavailable();
    const PlanAttribution attribution { .author = request->author(),
        .reason = request->reason(),
        .overrides = { request->overrides().begin(), request->overrides().end() } };
    for (const auto& planned : plan(*state.snapshot, wallNow(), operations, attribution))
        *reply->add_operations() = toWire(planned);
    reply->set_revision(state.snapshot->revision.value);
    reply->set_freshness(toWire(state.freshness));
    return grpc::Status::OK;
}

grpc::Status OperatorService::Read(grpc::ServerContext*, const Wire::ReadRequest*, Wire::Configuration* reply)
{
    const auto state = refreshState();
    reply->set_freshness(toWire(state.freshness));
    if (!state.snapshot)
        return configurationUnavailable();
    reply->set_revision(state.snapshot->revision.value);
    reply->set_accepted_at_ms(Configuration::toMilliseconds(state.snapshot->acceptedAt));
    for (const auto& [name, service] : state.snapshot->services)
        *reply->add_services() = toWire(service);
    for (const auto& [name, failureDomain] : state.snapshot->failureDomains)
        *reply->add_failure_domains() = toWire(failureDomain);
    for (const auto& protection : state.snapshot->protections)
        *reply->add_protections() = toWire(protection);
    return grpc::Status::OK;
}

grpc::Status OperatorService::History(
    grpc::ServerContext*, const Wire::HistoryRequest* request, Wire::HistoryReply* reply)
{
    const auto state = refreshState();
    if (!state.snapshot)
        return configurationUnavailable();
    Configuration::HistoryQuery query { .from = state.snapshot->revision, .path = request->path() };
    if (!request->path().empty()) {
        query.from = currentRevision(*state.snapshot, Configuration::rootPath(request->path()));
        query.followsBaseRevisions = true;
    }
    const std::size_t limit = request->limit() == 0 ? defaultHistoryLimit : request->limit();
    query.limit = std::min(limit, maximumHistoryLimit);
    const auto history = acceptor_.readHistory(query).get().history;
    for (const auto& change : history.changes)
        *reply->add_records() = toWire(change);
    reply->set_truncated(history.isTruncated);
    reply->set_freshness(toWire(state.freshness));
    return grpc::Status::OK;
}

grpc::Status OperatorService::Explain(
    grpc::ServerContext*, const Wire::ExplainRequest* request, Wire::ExplainReply* reply)
{
    const auto state = refreshState();
    if (!state.snapshot)
        return configurationUnavailable();
    const auto fields = fieldsWithin(*state.snapshot, request->path());
    if (fields.empty())
        return { grpc::StatusCode::NOT_FOUND, request->path() + ": does not exist" };
    const auto root = Configuration::rootPath(request->path());
    const auto changedAt = currentRevision(*state.snapshot, root);
    const Configuration::HistoryQuery query {
        .from = changedAt, .followsBaseRevisions = true, .path = root, .limit = explanationHistoryLimit
    };
    const auto history = acceptor_.readHistory(query).get().history;
    for (const auto& field : explain(fields, history)) {
        auto* explained = reply->add_fields();
        explained->set_path(field.path);
        explained->set_value(field.value);
        if (field.setBy)
            *explained->mutable_set_by() = toWire(*field.setBy);
    }
    for (const auto& protection : overlappingProtections(*state.snapshot, request->path()))
        *reply->add_protections() = toWire(protection);
    reply->set_changed_at(changedAt.value);
    reply->set_truncated(history.isTruncated);
    reply->set_freshness(toWire(state.freshness));
    return grpc::Status::OK;
}

grpc::Status OperatorService::Status(grpc::ServerContext*, const Wire::StatusRequest*, Wire::StatusReply* reply)
{
    const auto state = refreshState();
    reply->set_accepted_revision(state.snapshot ? state.snapshot->revision.value : 0);
    reply->set_freshness(toWire(state.freshness));
    if (!options_.queryBalancer)
        return grpc::Status::OK;
    const auto status = Base::capture(options_.queryBalancer);
    if (!status.isOk()) {
        Log::write(Events::balancerUnresponsive, Log::Fields().add("error", status.error.detail));
        return grpc::Status::OK;
    }
    const auto& node = *status.value;
    reply->set_balancer_answered(true);
    reply->set_balancer_revision(node.newestRevision.value);
    reply->set_in_force(node.inForce);
    reply->set_total(node.total);
    for (const auto& entryVm : node.missing)
        reply->add_missing(entryVm.endpoint().toString());
    reply->set_evidence(node.evidence);
    reply->set_evidence_age_ms(static_cast<uint64_t>(node.evidenceAge.count()));
    return grpc::Status::OK;
}

}
