#include "Output.h"
#include "Table.h"
#include <algorithm>
#include <cstdio>
#include <google/protobuf/util/json_util.h>

namespace ControlTool {

namespace {

    /// An enumerator as spelled in configuration files, for example "per-flow" for "PER_FLOW".
    std::string configurationFileSpelling(std::string text)
    {
        for (auto& character : text)
            character = character == '_' ? '-' : static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
        return text;
    }

    /// Differences printed for each change; --json prints all that the reply contains.
    constexpr int maximumShownDifferences = 12;
    /// Addresses printed for each service in a list.
    constexpr int maximumShownAddresses = 2;

    std::string abbreviatedList(const google::protobuf::RepeatedPtrField<std::string>& texts)
    {
        std::string result;
        for (int i = 0; i < std::min(texts.size(), maximumShownAddresses); ++i)
            result += (i == 0 ? "" : " ") + texts[i];
        return texts.size() > maximumShownAddresses
            ? result + " +" + std::to_string(texts.size() - maximumShownAddresses)
            : result;
    }

    std::string valueOrNone(bool present, const std::string& text) { return present ? text : "(none)"; }

    std::string joinedWithSpaces(const google::protobuf::RepeatedPtrField<std::string>& texts)
    {
        std::string result;
        for (const auto& text : texts)
            result += (result.empty() ? "" : " ") + text;
        return result;
    }

    std::string changeSummary(const Wire::ChangeRecord& record)
    {
        return "revision " + std::to_string(record.revision()) + " by " + record.author() + " at "
            + formatTime(record.accepted_at_ms()) + ": " + record.reason();
    }

    std::string portClassesText(const Wire::Service& service)
    {
        Table table({ "PORT CLASS", "PORT", "PROTOCOL", "WEIGHT", "PRIORITY", "IDEMPOTENT", "SLOTS", "DEADLINE" });
        for (const auto& portClass : service.port_classes())
            table.addRow({ portClass.name(), std::to_string(portClass.port()),
                configurationFileSpelling(Wire::Protocol_Name(portClass.protocol())),
                std::to_string(portClass.weight()), std::to_string(portClass.priority()),
                portClass.idempotent() ? "yes" : "no",
                configurationFileSpelling(Wire::SlotUse_Name(portClass.slot_use())),
                std::to_string(portClass.deadline_ms()) + " ms" });
        return table.text();
    }

    std::string backendServersText(const Wire::Service& service)
    {
        Table table(
            { "BACKEND SERVER", "DOMAIN", "STATE", "WEIGHT", "SLOTS", "CONNECTIONS", "WARM-UP", "TUNNEL", "ID" });
        for (const auto& server : service.backend_servers())
            table.addRow({ server.name(), server.failure_domain(),
                configurationFileSpelling(Wire::BackendServerState_Name(server.state())),
                std::to_string(server.weight()), std::to_string(server.slots()), std::to_string(server.connections()),
                std::to_string(server.warm_up_ms()) + " ms", server.tunnel(), std::to_string(server.id()) });
        return table.text();
    }

}

void print(const std::string& text) { std::fwrite(text.data(), 1, text.size(), stdout); }

void printError(const std::string& text) { std::fprintf(stderr, "eelctl: %s\n", text.c_str()); }

void printJson(const google::protobuf::Message& message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    options.always_print_primitive_fields = true;
    std::string text;
    if (!google::protobuf::util::MessageToJsonString(message, &text, options).ok())
        text = "{}";
    print(text + "\n");
}

void warnUnlessConfirmed(Wire::Freshness freshness)
{
    if (freshness != Wire::CONFIRMED)
        printError("the store could not be read; this is what the endpoint holds, there may be newer changes");
}

std::string differencesText(const google::protobuf::RepeatedPtrField<Wire::Difference>& differences)
{
    std::string text;
    for (const auto& difference : differences)
        text += "  " + difference.path() + ": " + valueOrNone(difference.has_before(), difference.before()) + " -> "
            + valueOrNone(difference.has_after(), difference.after()) + "\n";
    return text;
}

std::string changeText(const Wire::ChangeRecord& record)
{
    auto text = record.path() + " " + changeSummary(record) + " (based on " + std::to_string(record.base_revision())
        + ", request " + record.request_id() + ")\n";
    if (record.overrides_size() > 0)
        text += "  overrides " + joinedWithSpaces(record.overrides()) + "\n";
    text += differencesText({ record.differences().begin(),
        record.differences().begin() + std::min(record.differences_size(), maximumShownDifferences) });
    if (record.difference_count() > static_cast<uint32_t>(maximumShownDifferences))
        text += "  and " + std::to_string(record.difference_count() - maximumShownDifferences) + " more fields\n";
    return text;
}

std::string outcomeText(const Wire::ChangeReply& reply, const std::string& requestId)
{
    switch (reply.outcome()) {
    case Wire::ACCEPTED:
        return "accepted as revision " + std::to_string(reply.revision()) + "\n";
    case Wire::CONFLICT: {
        auto text = "conflict, nothing was changed: " + reply.detail() + "\n";
        return reply.has_conflicting() ? text + changeText(reply.conflicting()) : text;
    }
    case Wire::PROTECTED:
        return "protected, nothing was changed: " + reply.detail() + "\n";
    case Wire::UNAVAILABLE:
        return "unavailable, nothing was changed: " + reply.detail() + "\n";
    case Wire::INVALID:
    case Wire::NOT_FOUND:
        return "refused, nothing was changed: " + reply.detail() + "\n";
    default:
        return "unknown whether accepted: " + reply.detail() + "\nrepeat with --request-id " + requestId
            + " to find out\n";
    }
}

std::string servicesText(const Wire::Configuration& configuration)
{
    Table table({ "SERVICE", "ADDRESSES", "PORT CLASSES", "BACKEND SERVERS", "CHANGED AT" });
    for (const auto& service : configuration.services())
        table.addRow(
            { service.name(), abbreviatedList(service.addresses()), std::to_string(service.port_classes_size()),
                std::to_string(service.backend_servers_size()), std::to_string(service.changed_at()) });
    return table.text();
}

std::string serviceText(const Wire::Service& service)
{
    return service.name() + " (id " + std::to_string(service.id()) + ", changed at revision "
        + std::to_string(service.changed_at()) + ") at " + joinedWithSpaces(service.addresses()) + "\n\n"
        + portClassesText(service) + "\n" + backendServersText(service);
}

std::string domainsText(const Wire::Configuration& configuration)
{
    Table table({ "DOMAIN", "REGION", "STATE", "CHANGED AT" });
    for (const auto& domain : configuration.failure_domains())
        table.addRow(
            { domain.name(), domain.region(), domain.out() ? "out" : "in", std::to_string(domain.changed_at()) });
    return table.text();
}

std::string protectionsText(const google::protobuf::RepeatedPtrField<Wire::Protection>& protections)
{
    Table table({ "PROTECTED", "AUTHOR", "SINCE", "EXPIRES", "REASON" });
    for (const auto& protection : protections)
        table.addRow({ protection.path(), protection.author(), std::to_string(protection.since()),
            formatTime(protection.expires_at_ms()), protection.reason() });
    return table.text();
}

std::string explanationText(const Wire::ExplainReply& reply)
{
    std::string text;
    for (const auto& field : reply.fields()) {
        text += field.path() + " = " + field.value() + "\n";
        text += "  " + (field.has_set_by() ? changeSummary(field.set_by()) : "set by a change before the history")
            + "\n";
    }
    if (reply.protections_size() > 0)
        text += "\n" + protectionsText(reply.protections());
    return text;
}

std::string statusText(const Wire::StatusReply& reply)
{
    auto text = "accepted revision " + std::to_string(reply.accepted_revision()) + "\n";
    if (!reply.balancer_answered())
        return text + "the balancer beside the endpoint did not answer\n";
    text += "in force on " + std::to_string(reply.in_force()) + " of " + std::to_string(reply.total())
        + " balancers: revision " + std::to_string(reply.balancer_revision()) + " (evidence " + reply.evidence() + ", "
        + std::to_string(reply.evidence_age_ms()) + " ms old)\n";
    if (reply.missing_size() > 0)
        text += "missing: " + joinedWithSpaces(reply.missing()) + "\n";
    return text;
}

}
