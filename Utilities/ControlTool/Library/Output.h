#pragma once

/// Output of the commands, as text or as JSON.

#include <LibBase/Error.h>
#include <Operator.pb.h>
#include <google/protobuf/message.h>
#include <string>

namespace ControlTool {

namespace Wire = eelgrasshatch::operators;

/// Writes to standard output.
void print(const std::string& text);
/// Writes one line to standard error, prefixed with the program's name.
void printError(const std::string& text);
/// Writes a reply as JSON on one line.
void printJson(const google::protobuf::Message&);

/// Writes a warning to standard error if a reply was not confirmed by the store.
void warnUnlessConfirmed(Wire::Freshness);

/// One line "path: before -> after" for each difference.
std::string differencesText(const google::protobuf::RepeatedPtrField<Wire::Difference>&);
/// One change with its author, time, reason and differences.
std::string changeText(const Wire::ChangeRecord&);
/// The outcome of a submitted change, in one or more lines.
std::string outcomeText(const Wire::ChangeReply&, const std::string& requestId);

std::string servicesText(const Wire::Configuration&);
std::string serviceText(const Wire::Service&);
std::string domainsText(const Wire::Configuration&);
std::string protectionsText(const google::protobuf::RepeatedPtrField<Wire::Protection>&);
std::string explanationText(const Wire::ExplainReply&);
std::string statusText(const Wire::StatusReply&);

}
