#include "Commands.h"
#include "Output.h"
#include <LibConfiguration/Paths.h>
#include <LibOperator/WireModel.h>
#include <chrono>

namespace ControlTool {

using namespace Configuration;

namespace {

    const Wire::FailureDomain* findDomain(const Wire::Configuration& configuration, const std::string& name)
    {
        for (const auto& domain : configuration.failure_domains()) {
            if (domain.name() == name)
                return &domain;
        }
        return nullptr;
    }

    ExitCode putDomain(Client& client, const Arguments& arguments, const Wire::Configuration& configuration)
    {
        const auto verb = arguments.positional(1);
        const auto* existing = findDomain(configuration, arguments.positional(2));
        if (existing == nullptr && verb != "put") {
            printError("domain/" + arguments.positional(2) + ": does not exist");
            return ExitCode::NotFound;
        }
        FailureDomain domain { .name = arguments.positional(2) };
        if (existing != nullptr)
            domain = Operator::fromWire(*existing);
        if (verb == "out")
            domain.state = FailureDomainState::Out;
        if (verb == "in")
            domain.state = FailureDomainState::In;
        domain.region = arguments.region.value_or(domain.region);
        return submitOperation(client, arguments, PutFailureDomain { domain }, configuration);
    }

    Protection protectionFromArguments(const Arguments& arguments)
    {
        Protection protection { .path = arguments.positional(1) };
        if (arguments.expiresIn)
            protection.expiresAt = std::chrono::time_point_cast<Base::milliseconds>(std::chrono::system_clock::now())
                + *arguments.expiresIn;
        return protection;
    }

}

ExitCode runDomainCommand(Client& client, const Arguments& arguments)
{
    const auto verb = arguments.positional(1);
    const bool isPut = verb == "put" || verb == "in" || verb == "out";
    if (verb != "list" && (!(isPut || verb == "remove") || arguments.positionals.size() != 3))
        return reportUsageError("domain list, or domain put|in|out|remove NAME");
    auto configuration = Base::capture([&] { return client.read(); });
    if (!configuration.isOk())
        return reportError(configuration.error);
    warnUnlessConfirmed(configuration.value->freshness());
    if (isPut)
        return putDomain(client, arguments, *configuration.value);
    if (verb == "remove")
        return submitOperation(
            client, arguments, RemoveFailureDomain { arguments.positional(2) }, *configuration.value);
    if (arguments.json)
        printJson(*configuration.value);
    else
        print(domainsText(*configuration.value));
    return ExitCode::Success;
}

ExitCode runProtectionCommand(Client& client, const Arguments& arguments)
{
    const auto verb = arguments.positional(0);
    if (verb != "protections" && arguments.positionals.size() != 2)
        return reportUsageError(verb + " PATH, for example service/rota/backend-server/rota-3/weight");
    auto configuration = Base::capture([&] { return client.read(); });
    if (!configuration.isOk())
        return reportError(configuration.error);
    warnUnlessConfirmed(configuration.value->freshness());
    if (verb == "protect")
        return submitOperation(client, arguments, Protect { protectionFromArguments(arguments) }, *configuration.value);
    if (verb == "unprotect")
        return submitOperation(client, arguments, Unprotect { arguments.positional(1) }, *configuration.value);
    if (arguments.json)
        printJson(*configuration.value);
    else
        print(protectionsText(configuration.value->protections()));
    return ExitCode::Success;
}

}
