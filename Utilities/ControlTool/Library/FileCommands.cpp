#include "Commands.h"
#include "ConfigurationFile.h"
#include "Output.h"
#include <LibBase/Hash.h>
#include <LibOperator/WireModel.h>
#include <array>
#include <cstdio>
#include <fstream>
#include <map>
#include <sstream>

namespace ControlTool {

using Base::ErrorCode;
using Base::ErrorOr;
using Base::makeError;

namespace {

    /// The operations of a file and the endpoint's plan for them.
    struct FilePlan {
        std::vector<Configuration::Operation> operations;
        Wire::PlanReply reply;
    };

    ErrorOr<std::string> readFile(const std::string& path)
    {
        std::ifstream file(path);
        std::ostringstream content;
        content << file.rdbuf();
        if (!file)
            return makeError(ErrorCode::InvalidArgument, path + ": cannot be read");
        return content.str();
    }

    ErrorOr<FilePlan> planFile(Client& client, const Arguments& arguments, const std::string& path)
    {
        TRY_ASSIGN(text, readFile(path));
        TRY_ASSIGN(configuration, client.read());
        auto operations = Base::capture([&] { return operationsFromFile(text, configuration); });
        if (!operations.isOk())
            return makeError(operations.error.code, path + ": " + operations.error.detail);
        Wire::PlanRequest request;
        for (const auto& operation : *operations.value)
            *request.add_operations() = Operator::toWire(operation);
        for (const auto& override : arguments.overrides)
            request.add_overrides(override);
        request.set_author(arguments.author);
        request.set_reason(arguments.reason);
        TRY_ASSIGN(reply, client.plan(request));
        return FilePlan { std::move(*operations.value), std::move(reply) };
    }

    bool hasDifferences(const Wire::PlannedOperation& planned) { return planned.differences_size() > 0; }

    void printPlan(const Arguments& arguments, const Wire::PlanReply& reply)
    {
        warnUnlessConfirmed(reply.freshness());
        if (arguments.json) {
            printJson(reply);
            return;
        }
        std::size_t changes = 0;
        for (const auto& planned : reply.operations()) {
            if (!hasDifferences(planned) && planned.outcome() == Wire::ACCEPTED)
                continue;
            ++changes;
            print(planned.path() + " (last changed in revision " + std::to_string(planned.base_revision()) + ")\n"
                + differencesText(planned.differences()));
            if (planned.outcome() != Wire::ACCEPTED)
                print("  would be refused: " + planned.detail() + "\n");
        }
        print(std::to_string(changes) + " changes planned against revision " + std::to_string(reply.revision()) + "\n");
    }

    /// The exit code of the first operation that would be refused or that conflicts with --base.
    ExitCode checkPlan(Client& client, const Arguments& arguments, const Wire::PlanReply& reply)
    {
        for (const auto& planned : reply.operations()) {
            if (planned.outcome() != Wire::ACCEPTED) {
                printError(planned.path() + ": would be refused: " + planned.detail());
                return exitCodeOf(planned.outcome());
            }
            if (arguments.baseRevision && hasDifferences(planned) && planned.base_revision() > *arguments.baseRevision)
                return reportConflict(client, arguments, planned.path(), planned.base_revision());
        }
        return ExitCode::Success;
    }

    /// Derives the request id of one operation of a file. The result is deterministic, so that applying the file again
    /// with the same --request-id repeats the same requests.
    std::string operationRequestId(const std::string& requestId, const std::string& path)
    {
        std::array<char, 17> digest {};
        std::snprintf(digest.data(), digest.size(), "%016llx", static_cast<unsigned long long>(Base::hashText(path)));
        return requestId + "." + digest.data();
    }

    ExitCode applyPlan(Client& client, const Arguments& arguments, const FilePlan& plan)
    {
        const auto requestId = requestIdOrRandom(arguments);
        for (int i = 0; i < plan.reply.operations_size(); ++i) {
            const auto& planned = plan.reply.operations(i);
            if (!hasDifferences(planned))
                continue;
            const auto code = submitOperation(client, arguments, plan.operations[static_cast<std::size_t>(i)],
                planned.base_revision(), operationRequestId(requestId, planned.path()));
            if (code != ExitCode::Success)
                return code;
        }
        return ExitCode::Success;
    }

}

ExitCode runFileCommand(Client& client, const Arguments& arguments)
{
    const auto verb = arguments.positional(0);
    const auto path = verb == "service" ? arguments.positional(2) : arguments.positional(1);
    if (path.empty())
        return reportUsageError(verb + " FILE");
    auto plan = Base::capture([&] { return planFile(client, arguments, path); });
    if (!plan.isOk())
        return reportError(plan.error);
    printPlan(arguments, plan.value->reply);
    const auto code = checkPlan(client, arguments, plan.value->reply);
    if (code != ExitCode::Success || verb == "plan")
        return code;
    return applyPlan(client, arguments, *plan.value);
}

}
