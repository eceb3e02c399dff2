#include "Commands.h"
#include "Output.h"
#include <LibOperator/WireModel.h>
#include <algorithm>

namespace ControlTool {

using namespace Configuration;

namespace {

    const Wire::Service* findService(const Wire::Configuration& configuration, const std::string& name)
    {
        for (const auto& service : configuration.services()) {
            if (service.name() == name)
                return &service;
        }
        return nullptr;
    }

    ExitCode serviceNotFound(const std::string& name)
    {
        printError("service/" + name + ": does not exist");
        return ExitCode::NotFound;
    }

    ExitCode showService(const Arguments& arguments, const Wire::Configuration& configuration, const std::string& name)
    {
        const auto* service = findService(configuration, name);
        if (service == nullptr)
            return serviceNotFound(name);
        if (arguments.json)
            printJson(*service);
        else
            print(serviceText(*service));
        return ExitCode::Success;
    }

    /// Sets the fields given on the command line.
    Base::ErrorOr<void> applyFieldOptions(BackendServer& server, const Arguments& arguments)
    {
        server.failureDomain = arguments.failureDomain.value_or(server.failureDomain);
        if (arguments.tunnel) {
            TRY_ASSIGN(tunnel, Ipv4Endpoint::parse(*arguments.tunnel));
            server.tunnel = tunnel;
        }
        if (arguments.management) {
            TRY_ASSIGN(management, Ipv4Endpoint::parse(*arguments.management));
            server.management = management;
        }
        server.weight = arguments.weight.value_or(server.weight);
        server.slots = arguments.slots.value_or(server.slots);
        server.connections = arguments.connections.value_or(server.connections);
        if (arguments.warmUpMs)
            server.warmUp = Base::milliseconds(std::min<uint64_t>(*arguments.warmUpMs, UINT32_MAX));
        return {};
    }

    /// Sets the state that the command's verb stands for; returns false for an unknown verb.
    bool applyStateVerb(BackendServer& server, const Arguments& arguments)
    {
        const auto verb = arguments.positional(1);
        if (verb == "drain")
            server.state = BackendServerState::Draining;
        else if (verb == "out")
            server.state = BackendServerState::Out;
        else if (verb == "activate")
            server.state = BackendServerState::Active;
        else
            return verb == "set" || verb == "add";
        return true;
    }

    /// Parses the operand of the verb "weight"; returns false if it is not a number of at most 9 digits.
    bool parseWeight(const std::string& text, BackendServer& server)
    {
        constexpr std::size_t maximumDigits = 9;
        const bool isNumber = !text.empty() && text.size() <= maximumDigits
            && std::all_of(
                text.begin(), text.end(), [](char character) { return character >= '0' && character <= '9'; });
        if (isNumber)
            server.weight = static_cast<uint32_t>(std::stoul(text));
        return isNumber;
    }

    ExitCode putBackendServer(Client& client, const Arguments& arguments, const Wire::Configuration& configuration)
    {
        const auto* wire = findService(configuration, arguments.positional(2));
        if (wire == nullptr)
            return serviceNotFound(arguments.positional(2));
        auto service = Base::capture([&] { return Operator::fromWire(*wire); });
        if (!service.isOk())
            return reportError(service.error);
        BackendServer server { .name = arguments.positional(3) };
        const auto& servers = service.value->backendServers;
        const auto existing = std::find_if(
            servers.begin(), servers.end(), [&](const BackendServer& other) { return other.name == server.name; });
        const bool isNew = arguments.positional(1) == "add";
        if (isNew != (existing == servers.end())) {
            printError("service/" + service.value->name + "/backend-server/" + server.name
                + (isNew ? ": exists already" : ": does not exist"));
            return isNew ? ExitCode::Conflict : ExitCode::NotFound;
        }
        if (!isNew)
            server = *existing;
        const bool isWeight = arguments.positional(1) == "weight" && parseWeight(arguments.positional(4), server);
        if (!isWeight && !applyStateVerb(server, arguments))
            return reportUsageError(
                "backend-server add|set|drain|out|activate|remove SERVICE NAME, or weight SERVICE NAME N");
        if (const auto error = Base::captureError([&] { return applyFieldOptions(server, arguments); }))
            return reportError(*error);
        return submitOperation(client, arguments, PutBackendServer { service.value->name, server }, configuration);
    }

}

ExitCode runServiceCommand(Client& client, const Arguments& arguments)
{
    const auto verb = arguments.positional(1);
    if (verb == "put")
        return runFileCommand(client, arguments);
    auto configuration = Base::capture([&] { return client.read(); });
    if (!configuration.isOk())
        return reportError(configuration.error);
    warnUnlessConfirmed(configuration.value->freshness());
    if (verb == "list") {
        if (arguments.json)
            printJson(*configuration.value);
        else
            print(servicesText(*configuration.value));
        return ExitCode::Success;
    }
    if (verb == "get" && arguments.positionals.size() == 3)
        return showService(arguments, *configuration.value, arguments.positional(2));
    if (verb == "remove" && arguments.positionals.size() == 3)
        return submitOperation(client, arguments, RemoveService { arguments.positional(2) }, *configuration.value);
    return reportUsageError("service list, service get NAME, service put FILE or service remove NAME");
}

ExitCode runBackendServerCommand(Client& client, const Arguments& arguments)
{
    if (arguments.positionals.size() < 3)
        return reportUsageError("backend-server list SERVICE, or a verb, SERVICE and NAME");
    auto configuration = Base::capture([&] { return client.read(); });
    if (!configuration.isOk())
        return reportError(configuration.error);
    warnUnlessConfirmed(configuration.value->freshness());
    if (arguments.positional(1) == "list")
        return showService(arguments, *configuration.value, arguments.positional(2));
    if (arguments.positionals.size() < 4)
        return reportUsageError("SERVICE and NAME of the backend server");
    if (arguments.positional(1) == "remove")
        return submitOperation(client, arguments,
            RemoveBackendServer { arguments.positional(2), arguments.positional(3) }, *configuration.value);
    return putBackendServer(client, arguments, *configuration.value);
}

}
