#include "provision/provision.h"

#include <algorithm>
#include <cmath>

namespace garnethook::provision {
namespace {

std::vector<std::string> names(std::string_view list) {
  const auto parts = split(list, ',');
  return {parts.begin(), parts.end()};
}

double listItem(const Facts& facts, std::string_view name, std::size_t index) {
  const auto parts = split(facts.text(name, ""), ',');
  return index < parts.size() ? toNumber(name, parts[index]) : 0;
}

Effect toEffect(std::string_view field, std::string_view word) {
  if (word == "read_like") return Effect::safe;
  if (word == "idempotency_key") return Effect::keyed;
  if (word == "non_idempotent") return Effect::unsafe;
  throw FactError(field, "unknown effect");
}

RepeatScope toScope(std::string_view word) {
  if (word == "all") return RepeatScope::everywhere;
  if (word == "zone") return RepeatScope::zone;
  return RepeatScope::cell;  // the narrowest also stands for words not known yet
}

Role toRole(std::string_view word) {
  if (word == "read") return Role::reader;
  if (word == "write") return Role::writer;
  return Role::both;
}

RequestClass readClass(const Facts& facts, std::size_t index) {
  const std::string path = "profiles." + std::to_string(index) + ".";
  RequestClass result;
  result.aim = facts.time(path + "aimMs", 0);
  result.aimPerKiloToken = std::llround(listItem(facts, "familyInfo.aimUsPer1000PromptTokens", index));
  result.deadline = facts.time(path + "deadlineMs", 0);
  result.tokenAim = toMicros("familyInfo.tokenAimMs", listItem(facts, "familyInfo.tokenAimMs", index));
  result.worth = facts.number(path + "worth", 1);
  result.lateShare = facts.number(path + "lateShare", 0);
  result.effect = toEffect(path + "effect", facts.text(path + "effect"));
  result.scope = toScope(facts.text(path + "group", "all"));
  result.repeatWindow = facts.time(path + "windowMs", 0);
  return result;
}

void readRules(const Facts& facts, Settings& settings) {
  settings.answerSlack = facts.time("rules.graceToAnswerMs", 0);
  settings.askWithin = facts.time("rules.askWithinMs", 0);
  settings.coldFrom = facts.number("rules.coldFrom", 1);
  settings.warmWithin = facts.time("rules.warmWithinMs", 0);
  settings.fallMultiple = facts.number("rules.fallMultiple", 0);
  settings.fallAfter = facts.time("rules.tipAfterMs", 0);
  settings.releaseWithin = facts.time("familyInfo.releaseWithinMs", 0);
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

Provision readProvision(const Facts& facts) {
  Provision result;
  result.zoneNames = names(facts.text("zones", ""));
  result.kindNames = names(facts.text("skus", ""));
  result.report = {std::string(facts.text("familyInfo.reportX0", "")),
                   std::string(facts.text("familyInfo.reportX1", ""))};
  result.connectionIdle = facts.time("allowed.connIdleMs", 0);
  result.openRequests = facts.whole("allowed.openCap", 0);
  Settings& settings = result.settings;
  const auto roles = names(facts.text("familyInfo.kindRole", ""));
  for (std::size_t at = 0; at < result.kindNames.size(); ++at)
    settings.kinds.push_back({toRole(roles.empty() ? "both" : roles[std::min(at, roles.size() - 1)]),
                              listItem(facts, "familyInfo.memoryTokens", at)});
  for (std::size_t at = 0; at < facts.whole("profiles.count", 0); ++at) {
    settings.classes.push_back(readClass(facts, at));
    result.classNames.emplace_back(facts.text("profiles." + std::to_string(at) + ".name"));
  }
  settings.zones = std::max<std::size_t>(1, result.zoneNames.size());
  settings.ownZone = indexOf(result.zoneNames, facts.text("az", "")).value_or(0);
  settings.routers = facts.whole("balancers", 1);
  if (facts.find("me")) settings.self = facts.whole("me");
  settings.discovery = facts.text("discovery", "push") == "ask" ? Discovery::ask : Discovery::push;
  settings.maxAttempts = facts.find("allowed.attemptsCap") ? facts.smallInt("allowed.attemptsCap") : 1;
  settings.mayCancel = facts.flag("allowed.mayCancel");
  settings.mayProbe = facts.flag("allowed.probes");
  settings.connectTimeout = facts.time("allowed.dialTimeoutMs", 0);
  settings.writersRead = facts.flag("familyInfo.selfPrefill");
  settings.mayMoveStreams = facts.flag("familyInfo.resume");
  settings.passesRetryAfter = facts.flag("allowed.retryAfter");
  settings.maxRetryAfter = facts.time("allowed.maxRetryAfterMs", 0);
  readRules(facts, settings);
  return result;
}

}  // namespace garnethook::provision
