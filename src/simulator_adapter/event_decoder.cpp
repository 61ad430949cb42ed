#include "simulator_adapter/event_decoder.h"

#include <algorithm>
#include <array>
#include <utility>

namespace garnethook::simulator_adapter {
namespace {

using deployment_config::indexOf;
using deployment_config::split;
using deployment_config::toNumber;

constexpr std::string_view kEndpointUpdateVerb = "REGISTRY";
constexpr std::string_view kEndpointEntryVerb = "ITEM";
constexpr std::string_view kArrivalVerb = "QUERY";
constexpr std::string_view kAttemptEndVerb = "ANSWER";
constexpr std::string_view kTimerVerb = "FIRED";
constexpr std::string_view kCancellationVerb = "WITHDRAWN";
constexpr std::string_view kStreamStartVerb = "HEAD_RECEIVED";
constexpr std::string_view kProbeEndVerb = "HEALTH";

std::optional<LoadReport> decodeReport(const FieldReader& fields, const DeploymentConfig& deployment) {
  const auto text = fields.find("report");
  if (!text || text->empty() || *text == "-") return std::nullopt;
  LoadReport report;
  for (const auto part : split(*text, ',')) {
    const auto colon = part.find(':');
    if (colon == std::string_view::npos) throw LineError("report", "no ':' in '" + std::string(part) + "'");
    const auto name = part.substr(0, colon);
    const double value = toNumber("report", part.substr(colon + 1));
    deployment_config::addReportValue(report, deployment.report, name, value);
  }
  return report;
}

RequestArrived decodeArrival(const FieldReader& fields, const DeploymentConfig& deployment) {
  RequestArrived event;
  event.id = {fields.unsignedInteger("txn")};
  event.requestClass = indexOf(deployment.classNames, fields.text("band"));
  event.remaining = fields.duration("remainingMs");
  event.session = {fields.unsignedInteger("session", 0)};
  event.sharedPrefix = {fields.unsignedInteger("template", 0)};
  event.promptTokens = fields.nonNegativeNumber("nPrompt", 0);
  event.sharedPrefixTokens = fields.nonNegativeNumber("prefixLen", 0);
  event.maxOutput = fields.nonNegativeNumber("outputCap", 0);
  event.expectedOutput = std::max<Micros>(0, fields.duration("expectedMs", 0));
  return event;
}

// An unknown outcome is treated as an error, because neither is evidence of what the attempt did.
Outcome decodeOutcome(std::string_view outcomeName) {
  constexpr std::array<std::pair<std::string_view, Outcome>, 9> kOutcomes{{
      {"OK", Outcome::completed},
      {"handover", Outcome::prefillDone},
      {"INTERNAL", Outcome::error},
      {"RESOURCE_EXHAUSTED", Outcome::rejected},
      {"DEADLINE_EXCEEDED", Outcome::timedOut},
      {"UNAVAILABLE", Outcome::connectFailed},
      {"ABORTED", Outcome::connectionReset},
      {"CANCELLED", Outcome::cancelled},
      {"TOO_LATE", Outcome::notSent},
  }};
  const auto* found = std::find_if(kOutcomes.begin(), kOutcomes.end(),
                                   [&](const auto& outcome) { return outcome.first == outcomeName; });
  return found == kOutcomes.end() ? Outcome::error : found->second;
}

AttemptEnded decodeAttemptEnd(const FieldReader& fields, const DeploymentConfig& deployment) {
  AttemptEnded event;
  event.id = {fields.unsignedInteger("txn")};
  event.attempt = fields.intValue("trial");
  event.endpoint = {fields.unsignedInteger("engine")};
  event.outcome = decodeOutcome(fields.text("ending"));
  event.requestEnded = fields.flag("last");
  const double info = fields.number("info", 0);
  if (event.outcome == Outcome::rejected) event.kvStateMissing = info == 1;
  if (event.outcome == Outcome::completed || event.outcome == Outcome::prefillDone) event.cachedTokens = info;
  event.report = decodeReport(fields, deployment);
  return event;
}

// An unknown state is treated as draining.
EndpointState decodeEndpointState(std::string_view stateName) {
  if (stateName == "Running") return EndpointState::running;
  if (stateName == "Deleted") return EndpointState::removed;
  return EndpointState::draining;
}

EndpointEntry decodeEndpointEntry(std::string_view line, const DeploymentConfig& deployment) {
  const FieldReader fields = parseFields(line);
  EndpointEntry entry;
  entry.id = {fields.unsignedInteger("engine")};
  entry.zone = indexOf(deployment.zoneNames, fields.text("hall", ""));
  entry.kind = indexOf(deployment.kindNames, fields.text("shape", ""));
  entry.cell = fields.unsignedInteger("pod", 0);
  entry.state = decodeEndpointState(fields.text("readiness"));
  entry.startedAt = fields.duration("cameUpMs", 0);
  entry.weight = fields.number("rating", 1);
  return entry;
}

EndpointUpdate::Kind decodeUpdateKind(std::string_view modeName) {
  if (modeName == "diff") return EndpointUpdate::Kind::delta;
  if (modeName == "snapshot") return EndpointUpdate::Kind::snapshot;
  if (modeName == "disk") return EndpointUpdate::Kind::staleCopy;
  if (modeName == "error") return EndpointUpdate::Kind::failure;
  throw LineError("mode", "unknown kind of list");
}

EndpointUpdate decodeEndpointUpdate(const FieldReader& fields, std::span<const std::string> entries,
                                    const DeploymentConfig& deployment) {
  EndpointUpdate update{decodeUpdateKind(fields.text("mode")), {}};
  if (fields.unsignedInteger("rows", 0) != entries.size())
    throw LineError("rows", "differs from the ITEM lines");
  for (const std::string& line : entries) update.entries.push_back(decodeEndpointEntry(line, deployment));
  return update;
}

}  // namespace

std::string_view parseVerb(std::string_view line) { return line.substr(0, line.find(' ')); }

FieldReader parseFields(std::string_view line) {
  FieldReader fields;
  const auto parts = split(line, ' ');
  for (std::size_t index = 1; index < parts.size(); ++index) {
    const auto equals = parts[index].find('=');
    if (equals == std::string_view::npos) throw LineError(parts[index], "no '=' in this part");
    fields.add(parts[index].substr(0, equals), parts[index].substr(equals + 1));
  }
  return fields;
}

InstanceConfig decodeInstanceConfig(std::string_view line) {
  const FieldReader fields = parseFields(line);
  return {deployment_config::readDeploymentConfig(fields), fields.unsignedInteger("nonce64", 0)};
}

bool isEventVerb(std::string_view verb) {
  constexpr std::array kVerbs{kEndpointUpdateVerb, kArrivalVerb,     kAttemptEndVerb, kTimerVerb,
                              kCancellationVerb,   kStreamStartVerb, kProbeEndVerb};
  return std::find(kVerbs.begin(), kVerbs.end(), verb) != kVerbs.end();
}

bool isListEntry(std::string_view line) { return parseVerb(line) == kEndpointEntryVerb; }

Event decodeEvent(std::string_view verb, const FieldReader& fields, std::span<const std::string> entries,
                  const DeploymentConfig& deployment) {
  if (verb == kEndpointUpdateVerb) return decodeEndpointUpdate(fields, entries, deployment);
  if (verb == kArrivalVerb) return decodeArrival(fields, deployment);
  if (verb == kAttemptEndVerb) return decodeAttemptEnd(fields, deployment);
  if (verb == kTimerVerb) return TimerFired{{fields.unsignedInteger("cookie")}};
  if (verb == kCancellationVerb) return RequestCancelled{{fields.unsignedInteger("txn")}};
  if (verb == kStreamStartVerb)
    return StreamStarted{{fields.unsignedInteger("txn")}, fields.intValue("trial")};
  return ProbeEnded{
      {fields.unsignedInteger("engine")}, fields.text("ending") == "OK", decodeReport(fields, deployment)};
}

}  // namespace garnethook::simulator_adapter
