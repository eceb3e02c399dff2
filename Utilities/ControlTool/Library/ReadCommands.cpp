#include "Commands.h"
#include "Output.h"
#include <algorithm>
#include <chrono>
#include <thread>

namespace ControlTool {

namespace {

    constexpr Base::milliseconds pollInterval { 200 };

    ExitCode showHistory(Client& client, const Arguments& arguments)
    {
        Wire::HistoryRequest request;
        request.set_path(arguments.positional(1));
        request.set_limit(arguments.limit);
        auto reply = Base::capture([&] { return client.history(request); });
        if (!reply.isOk())
            return reportError(reply.error);
        warnUnlessConfirmed(reply.value->freshness());
        if (arguments.json) {
            printJson(*reply.value);
            return ExitCode::Success;
        }
        for (const auto& record : reply.value->records())
            print(changeText(record));
        if (reply.value->truncated())
            print("(older changes are not shown)\n");
        return ExitCode::Success;
    }

    ExitCode showExplanation(Client& client, const Arguments& arguments)
    {
        if (arguments.positionals.size() != 2)
            return reportUsageError("explain PATH");
        Wire::ExplainRequest request;
        request.set_path(arguments.positional(1));
        auto reply = Base::capture([&] { return client.explain(request); });
        if (!reply.isOk())
            return reportError(reply.error);
        warnUnlessConfirmed(reply.value->freshness());
        if (arguments.json)
            printJson(*reply.value);
        else
            print(explanationText(*reply.value));
        return ExitCode::Success;
    }

    ExitCode showStatus(Client& client, const Arguments& arguments)
    {
        auto reply = Base::capture([&] { return client.status(); });
        if (!reply.isOk())
            return reportError(reply.error);
        warnUnlessConfirmed(reply.value->freshness());
        if (arguments.json)
            printJson(*reply.value);
        else
            print(statusText(*reply.value));
        return ExitCode::Success;
    }

    bool isInForce(const Wire::StatusReply& reply, uint64_t revision)
    {
        return reply.balancer_answered() && reply.balancer_revision() >= revision && reply.total() > 0
            && reply.in_force() == reply.total();
    }

}

ExitCode runReadCommand(Client& client, const Arguments& arguments)
{
    if (arguments.positional(0) == "history")
        return showHistory(client, arguments);
    if (arguments.positional(0) == "explain")
        return showExplanation(client, arguments);
    return showStatus(client, arguments);
}

ExitCode runWaitCommand(Client& client, const Arguments& arguments)
{
    const auto text = arguments.positional(1);
    constexpr std::size_t maximumDigits = 18;
    if (text.size() > maximumDigits
        || !std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; }))
        return reportUsageError("wait [REVISION]");
    uint64_t revision = text.empty() ? 0 : std::stoull(text);
    const auto deadline = std::chrono::steady_clock::now() + arguments.waitTimeout;
    Base::Outcome<Wire::StatusReply> reply;
    while (true) {
        reply = Base::capture([&] { return client.status(); });
        if (reply.isOk()) {
            // Without a REVISION argument, waits for the revision that the first response reports as accepted.
            revision = revision == 0 ? reply.value->accepted_revision() : revision;
            if (isInForce(*reply.value, revision))
                break;
        }
        if (std::chrono::steady_clock::now() >= deadline)
            break;
        std::this_thread::sleep_for(pollInterval);
    }
    if (!reply.isOk())
        return reportError(reply.error);
    if (arguments.json)
        printJson(*reply.value);
    else
        print(statusText(*reply.value));
    return isInForce(*reply.value, revision) ? ExitCode::Success : ExitCode::NotInForce;
}

}
