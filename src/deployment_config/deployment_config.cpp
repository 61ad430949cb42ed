#include "deployment_config/deployment_config.h"

#include <algorithm>
#include <cmath>

namespace garnethook::deployment_config {
namespace {

std::vector<std::string> splitNames(std::string_view list) {
  const auto parts = split(list, ',');
  return {parts.begin(), parts.end()};
}

double numberAt(const FieldReader& fields, std::string_view name, std::size_t index) {
  const auto parts = split(fields.text(name, ""), ',');
  return index < parts.size() ? toNumber(name, parts[index]) : 0;
}

Idempotency toIdempotency(std::string_view field, std::string_view effect) {
  if (effect == "read_like") return Idempotency::idempotent;
  if (effect == "idempotency_key") return Idempotency::idempotentWithKey;
  if (effect == "non_idempotent") return Idempotency::nonIdempotent;
  throw FieldError(field, "unknown effect");
}

// An unknown value maps to the narrowest scope, which is safe for every request.
DeduplicationScope toDeduplicationScope(std::string_view group) {
  if (group == "all") return DeduplicationScope::fleet;
  if (group == "zone") return DeduplicationScope::zone;
  return DeduplicationScope::cell;
}

Role toRole(std::string_view role) {
  if (role == "read") return Role::prefill;
  if (role == "write") return Role::decode;
  return Role::combined;
}

RequestClass readRequestClass(const FieldReader& fields, std::size_t index) {
  const std::string path = "profiles." + std::to_string(index) + ".";
  RequestClass result;
  result.ttftObjective = fields.duration(path + "aimMs", 0);
  result.ttftObjectivePerKiloToken =
      std::llround(numberAt(fields, "familyInfo.aimUsPer1000PromptTokens", index));
  result.deadline = fields.duration(path + "deadlineMs", 0);
  result.timePerOutputTokenObjective =
      toMicros("familyInfo.tokenAimMs", numberAt(fields, "familyInfo.tokenAimMs", index));
  result.priorityWeight = fields.number(path + "worth", 1);
  result.lateValueShare = fields.number(path + "lateShare", 0);
  result.idempotency = toIdempotency(path + "effect", fields.text(path + "effect"));
  result.deduplicationScope = toDeduplicationScope(fields.text(path + "group", "all"));
  result.deduplicationWindow = fields.duration(path + "windowMs", 0);
  return result;
}

void readRequestClasses(const FieldReader& fields, DeploymentConfig& result) {
  const std::uint64_t count = fields.unsignedInteger("profiles.count", 0);
  for (std::size_t index = 0; index < count; ++index) {
    result.settings.classes.push_back(readRequestClass(fields, index));
    result.classNames.emplace_back(fields.text("profiles." + std::to_string(index) + ".name"));
  }
}

// The last role in the list applies to all further kinds. Without a list, engines execute both phases.
void readKinds(const FieldReader& fields, DeploymentConfig& result) {
  const auto roles = splitNames(fields.text("familyInfo.kindRole", ""));
  for (std::size_t index = 0; index < result.kindNames.size(); ++index) {
    const std::string role = roles.empty() ? "both" : roles[std::min(index, roles.size() - 1)];
    result.settings.kinds.push_back({toRole(role), numberAt(fields, "familyInfo.memoryTokens", index)});
  }
}

void readRules(const FieldReader& fields, Settings& settings) {
  settings.answerSlack = fields.duration("rules.graceToAnswerMs", 0);
  settings.pollInterval = fields.duration("rules.askWithinMs", 0);
  settings.warmUpMinCapacity = fields.number("rules.coldFrom", 1);
  settings.warmUpDuration = fields.duration("rules.warmWithinMs", 0);
  settings.overloadMultiple = fields.number("rules.fallMultiple", 0);
  settings.overloadWindow = fields.duration("rules.tipAfterMs", 0);
  settings.kvReleaseTimeout = fields.duration("familyInfo.releaseWithinMs", 0);
}

void readPermissions(const FieldReader& fields, Settings& settings) {
  settings.maxAttempts = fields.find("allowed.attemptsCap") ? fields.intValue("allowed.attemptsCap") : 1;
  settings.canCancel = fields.flag("allowed.mayCancel");
  settings.canProbe = fields.flag("allowed.probes");
  settings.connectTimeout = fields.duration("allowed.dialTimeoutMs", 0);
  settings.decodeEndpointsPrefill = fields.flag("familyInfo.selfPrefill");
  settings.canMigrateStreams = fields.flag("familyInfo.resume");
  settings.passesRetryAfter = fields.flag("allowed.retryAfter");
  settings.maxRetryAfter = fields.duration("allowed.maxRetryAfterMs", 0);
}

bool contains(std::string_view text, std::string_view substring) {
  return text.find(substring) != std::string_view::npos;
}

void setValueByMeaning(LoadReport& report, std::string_view meaning, double value) {
  if (contains(meaning, "share_of_memory")) report.memoryShare = value;
  if (contains(meaning, "thousands_of_prompt_tokens")) report.queuedKiloTokens = value;
}

}  // namespace

std::optional<std::size_t> indexOf(const std::vector<std::string>& list, std::string_view name) {
  const auto position = std::find(list.begin(), list.end(), name);
  if (position == list.end()) return std::nullopt;
  return static_cast<std::size_t>(position - list.begin());
}

void addReportValue(LoadReport& report, const ReportMeanings& meanings, std::string_view name, double value) {
  if (name == "queue") report.queuedRequests = value;
  if (name == "x0") setValueByMeaning(report, meanings.x0, value);
  if (name == "x1") setValueByMeaning(report, meanings.x1, value);
}

DeploymentConfig readDeploymentConfig(const FieldReader& fields) {
  DeploymentConfig result;
  result.zoneNames = splitNames(fields.text("zones", ""));
  result.kindNames = splitNames(fields.text("skus", ""));
  result.report = {std::string(fields.text("familyInfo.reportX0", "")),
                   std::string(fields.text("familyInfo.reportX1", ""))};
  result.engineIdleTimeout = fields.duration("allowed.connIdleMs", 0);
  result.maxOpenRequests = fields.unsignedInteger("allowed.openCap", 0);
  readKinds(fields, result);
  readRequestClasses(fields, result);
  Settings& settings = result.settings;
  settings.zones = std::max<std::size_t>(1, result.zoneNames.size());
  settings.ownZone = indexOf(result.zoneNames, fields.text("az", "")).value_or(0);
  settings.routers = fields.unsignedInteger("balancers", 1);
  if (fields.find("me")) settings.self = fields.unsignedInteger("me");
  settings.discovery = fields.text("discovery", "push") == "ask" ? Discovery::poll : Discovery::push;
  readPermissions(fields, settings);
  readRules(fields, settings);
  return result;
}

}  // namespace garnethook::deployment_config
