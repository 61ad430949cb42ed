#include "deployment_config/deployment_config.h"

#include <algorithm>
#include <cmath>

namespace garnethook::deployment_config {
namespace {

std::vector<std::string> names(std::string_view list) {
  const auto parts = split(list, ',');
  return {parts.begin(), parts.end()};
}

double listItem(const FieldReader& fields, std::string_view name, std::size_t index) {
  const auto parts = split(fields.text(name, ""), ',');
  return index < parts.size() ? toNumber(name, parts[index]) : 0;
}

Idempotency toIdempotency(std::string_view field, std::string_view word) {
  if (word == "read_like") return Idempotency::idempotent;
  if (word == "idempotency_key") return Idempotency::idempotentWithKey;
  if (word == "non_idempotent") return Idempotency::nonIdempotent;
  throw FieldError(field, "unknown effect");
}

DeduplicationScope toScope(std::string_view word) {
  if (word == "all") return DeduplicationScope::fleet;
  if (word == "zone") return DeduplicationScope::zone;
  return DeduplicationScope::cell;  // the narrowest also stands for words not known yet
}

Role toRole(std::string_view word) {
  if (word == "read") return Role::prefill;
  if (word == "write") return Role::decode;
  return Role::combined;
}

RequestClass readClass(const FieldReader& fields, std::size_t index) {
  const std::string path = "profiles." + std::to_string(index) + ".";
  RequestClass result;
  result.ttftObjective = fields.time(path + "aimMs", 0);
  result.ttftObjectivePerKiloToken =
      std::llround(listItem(fields, "familyInfo.aimUsPer1000PromptTokens", index));
  result.deadline = fields.time(path + "deadlineMs", 0);
  result.timePerOutputTokenObjective =
      toMicros("familyInfo.tokenAimMs", listItem(fields, "familyInfo.tokenAimMs", index));
  result.priorityWeight = fields.number(path + "worth", 1);
  result.lateValueShare = fields.number(path + "lateShare", 0);
  result.idempotency = toIdempotency(path + "effect", fields.text(path + "effect"));
  result.deduplicationScope = toScope(fields.text(path + "group", "all"));
  result.deduplicationWindow = fields.time(path + "windowMs", 0);
  return result;
}

void readRules(const FieldReader& fields, Settings& settings) {
  settings.answerSlack = fields.time("rules.graceToAnswerMs", 0);
  settings.pollInterval = fields.time("rules.askWithinMs", 0);
  settings.warmUpMinCapacity = fields.number("rules.coldFrom", 1);
  settings.warmUpDuration = fields.time("rules.warmWithinMs", 0);
  settings.overloadMultiple = fields.number("rules.fallMultiple", 0);
  settings.overloadWindow = fields.time("rules.tipAfterMs", 0);
  settings.kvReleaseTimeout = fields.time("familyInfo.releaseWithinMs", 0);
}

bool contains(std::string_view text, std::string_view part) {
  return text.find(part) != std::string_view::npos;
}

void addMeant(LoadReport& report, std::string_view meaning, double value) {
  if (contains(meaning, "share_of_memory")) report.memoryShare = value;
  if (contains(meaning, "thousands_of_prompt_tokens")) report.queuedKiloTokens = value;
}

}  // namespace

std::optional<std::size_t> indexOf(const std::vector<std::string>& list, std::string_view name) {
  const auto at = std::find(list.begin(), list.end(), name);
  if (at == list.end()) return std::nullopt;
  return static_cast<std::size_t>(at - list.begin());
}

void addReportValue(LoadReport& report, const ReportMeanings& meanings, std::string_view name, double value) {
  if (name == "queue") report.queuedRequests = value;
  if (name == "x0") addMeant(report, meanings.x0, value);
  if (name == "x1") addMeant(report, meanings.x1, value);
}

DeploymentConfig readDeploymentConfig(const FieldReader& fields) {
  DeploymentConfig result;
  result.zoneNames = names(fields.text("zones", ""));
  result.kindNames = names(fields.text("skus", ""));
  result.report = {std::string(fields.text("familyInfo.reportX0", "")),
                   std::string(fields.text("familyInfo.reportX1", ""))};
  result.connectionIdle = fields.time("allowed.connIdleMs", 0);
  result.openRequests = fields.whole("allowed.openCap", 0);
  Settings& settings = result.settings;
  const auto roles = names(fields.text("familyInfo.kindRole", ""));
  for (std::size_t at = 0; at < result.kindNames.size(); ++at)
    settings.kinds.push_back({toRole(roles.empty() ? "both" : roles[std::min(at, roles.size() - 1)]),
                              listItem(fields, "familyInfo.memoryTokens", at)});
  for (std::size_t at = 0; at < fields.whole("profiles.count", 0); ++at) {
    settings.classes.push_back(readClass(fields, at));
    result.classNames.emplace_back(fields.text("profiles." + std::to_string(at) + ".name"));
  }
  settings.zones = std::max<std::size_t>(1, result.zoneNames.size());
  settings.ownZone = indexOf(result.zoneNames, fields.text("az", "")).value_or(0);
  settings.routers = fields.whole("balancers", 1);
  if (fields.find("me")) settings.self = fields.whole("me");
  settings.discovery = fields.text("discovery", "push") == "ask" ? Discovery::poll : Discovery::push;
  settings.maxAttempts = fields.find("allowed.attemptsCap") ? fields.smallInt("allowed.attemptsCap") : 1;
  settings.canCancel = fields.flag("allowed.mayCancel");
  settings.canProbe = fields.flag("allowed.probes");
  settings.connectTimeout = fields.time("allowed.dialTimeoutMs", 0);
  settings.decodeEndpointsPrefill = fields.flag("familyInfo.selfPrefill");
  settings.canMigrateStreams = fields.flag("familyInfo.resume");
  settings.passesRetryAfter = fields.flag("allowed.retryAfter");
  settings.maxRetryAfter = fields.time("allowed.maxRetryAfterMs", 0);
  readRules(fields, settings);
  return result;
}

}  // namespace garnethook::deployment_config
