#include "Commands.h"
#include "Output.h"
#include <LibConfiguration/Paths.h>
#include <LibOperator/WireModel.h>
#include <array>
#include <cstdio>
#include <functional>
#include <map>
#include <random>

namespace ControlTool {

using Base::ErrorCode;

namespace {

    using Command = std::function<ExitCode(Client&, const Arguments&)>;

    const std::map<std::string, Command>& commands()
    {
        static const std::map<std::string, Command> table { { "service", runServiceCommand },
            { "backend-server", runBackendServerCommand }, { "domain", runDomainCommand },
            { "protect", runProtectionCommand }, { "unprotect", runProtectionCommand },
            { "protections", runProtectionCommand }, { "plan", runFileCommand }, { "apply", runFileCommand },
            { "history", runReadCommand }, { "explain", runReadCommand }, { "status", runReadCommand },
            { "wait", runWaitCommand } };
        return table;
    }

    /// The revision that last changed an object of the configuration; 0 if the object does not exist.
    uint64_t lastChangedRevision(const Wire::Configuration& configuration, const std::string& path)
    {
        for (const auto& service : configuration.services()) {
            if (Configuration::servicePath(service.name()) == path)
                return service.changed_at();
        }
        for (const auto& domain : configuration.failure_domains()) {
            if (Configuration::domainPath(domain.name()) == path)
                return domain.changed_at();
        }
        return 0;
    }

}

ExitCode runCommand(const Arguments& arguments)
{
    const auto command = commands().find(arguments.positional(0));
    if (command == commands().end())
        return reportUsageError("a command; --help lists them");
    auto client = Base::capture([&] { return Client::create(arguments); });
    if (!client.isOk()) {
        printError(client.error.detail);
        return client.error.code == ErrorCode::InvalidArgument ? ExitCode::Usage : ExitCode::Failure;
    }
    return command->second(*client.value, arguments);
}

std::string requestIdOrRandom(const Arguments& arguments)
{
    if (!arguments.requestId.empty())
        return arguments.requestId;
    std::random_device device;
    std::array<char, 33> text {};
    std::snprintf(text.data(), text.size(), "%08x%08x%08x%08x", device(), device(), device(), device());
    return text.data();
}

ExitCode reportError(const Base::Error& error)
{
    printError(error.detail);
    switch (error.code) {
    case ErrorCode::NotFound:
        return ExitCode::NotFound;
    case ErrorCode::InvalidArgument:
        return ExitCode::Usage;
    case ErrorCode::Unavailable:
        return ExitCode::Unavailable;
    default:
        return ExitCode::Failure;
    }
}

ExitCode reportUsageError(const std::string& expected)
{
    printError("expected " + expected);
    return ExitCode::Usage;
}

ExitCode reportConflict(Client& client, const Arguments& arguments, const std::string& path, uint64_t changedAt)
{
    printError("conflict, nothing was changed: " + path + " was last changed in revision " + std::to_string(changedAt)
        + ", after --base " + std::to_string(arguments.baseRevision.value_or(0)));
    Wire::HistoryRequest request;
    request.set_path(path);
    request.set_limit(1);
    const auto history = Base::capture([&] { return client.history(request); });
    if (!history.isOk() || history.value->records_size() == 0)
        return ExitCode::Conflict;
    if (arguments.json) {
        Wire::ChangeReply reply;
        reply.set_outcome(Wire::CONFLICT);
        *reply.mutable_conflicting() = history.value->records(0);
        printJson(reply);
    } else {
        print(changeText(history.value->records(0)));
    }
    return ExitCode::Conflict;
}

ExitCode submitOperation(Client& client, const Arguments& arguments, const Configuration::Operation& operation,
    uint64_t base, const std::string& requestId)
{
    if (arguments.author.empty() || arguments.reason.empty())
        return reportUsageError("--author and --reason with every change");
    Wire::ChangeRequest request;
    request.set_request_id(requestId);
    request.set_base_revision(base);
    request.set_author(arguments.author);
    request.set_reason(arguments.reason);
    for (const auto& path : arguments.overrides)
        request.add_overrides(path);
    *request.mutable_operation() = Operator::toWire(operation);
    const auto reply = client.submit(request);
    if (arguments.json)
        printJson(reply);
    else
        print(objectPath(operation) + ": " + outcomeText(reply, requestId));
    return exitCodeOf(reply.outcome());
}

ExitCode submitOperation(Client& client, const Arguments& arguments, const Configuration::Operation& operation,
    const Wire::Configuration& configuration)
{
    const auto path = objectPath(operation);
    auto base = lastChangedRevision(configuration, path);
    if (base == 0) {
        // The object may have been removed earlier; the plan returns the revision that removed it.
        Wire::PlanRequest request;
        *request.add_operations() = Operator::toWire(operation);
        auto plan = Base::capture([&] { return client.plan(request); });
        if (!plan.isOk())
            return reportError(plan.error);
        base = plan.value->operations(0).base_revision();
    }
    if (arguments.baseRevision && base > *arguments.baseRevision)
        return reportConflict(client, arguments, path, base);
    return submitOperation(client, arguments, operation, base, requestIdOrRandom(arguments));
}

}
