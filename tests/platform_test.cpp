// The platform's packages without sockets: what is read from peers, and what small modules decide.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <set>

#include "platform/config/platform_config.h"
#include "platform/discovery/endpoint_list.h"
#include "platform/process/resource_budget.h"

namespace garnethook::platform {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kSec = 1'000'000;

// ---- configuration ----

constexpr std::string_view kConfig = R"({
  "name": "n3", "listen": "127.0.0.4:9000", "discovery": "127.0.0.1:8500", "seed": "8c1f30d27a5be964",
  "limits": {"cores": 0.5, "memory_mb": 64, "sockets": 512},
  "known": {"revision": 41, "complete": true, "members": [
    {"id": "s-1", "host_port": "127.0.0.9:9000", "locality": "b", "flavor": "m1", "cell": 3, "phase": "ready", "size": 1.0, "up_since_ms": 0}]},
  "settings": {
    "az": "b", "zones": ["a", "b"], "skus": ["m1", "m2"], "balancers": 2, "discovery": "push",
    "allowed": {"attemptsCap": 6, "mayCancel": true, "probes": true, "connIdleMs": 15000.0, "dialTimeoutMs": 250.0,
                "retryAfter": true, "maxRetryAfterMs": 500.0},
    "familyInfo": {"kindRole": ["read", "write"], "memoryTokens": [200000, 100000], "releaseWithinMs": 500.0,
                   "aimUsPer1000PromptTokens": [60000.0, 40000.0], "tokenAimMs": [50.0, 70.0],
                   "reportX0": "share of memory that is held", "reportX1": "thousands of prompt tokens waiting"},
    "profiles": [
      {"name": "chat", "aimMs": 800.0, "deadlineMs": 3000.0, "effect": "read_like", "worth": 1.0},
      {"name": "order", "aimMs": 1500.0, "deadlineMs": 6000.0, "effect": "non_idempotent", "worth": 3.0}],
    "rules": {"coldFrom": 0.3, "warmWithinMs": 9000.0, "fallMultiple": 2.5, "tipAfterMs": 1500.0},
    "future": {"key": [1, 2]}}
})";

Environment none() {
  return [](const char*) -> std::optional<std::string> { return std::nullopt; };
}
PlatformConfig read(const std::string& text, const Environment& environment = none()) {
  return readConfig(config::JsonFile::parse("config.json", text), environment);
}
std::string without(std::string_view part, std::string_view with = "") {
  std::string text(kConfig);
  const auto at = text.find(part);
  EXPECT_NE(at, std::string::npos);
  return text.replace(at, part.size(), with);
}
std::string troubleOf(const std::string& text) {
  try {
    read(text);
  } catch (const config::Error& e) { return e.what(); }
  return "none";
}

TEST(PlatformConfig, TellsTheSameSettingsAsTheWire) {
  const auto c = read(std::string(kConfig));
  EXPECT_EQ(c.name, "n3");
  EXPECT_EQ(c.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(c.limits.descriptors, 512u);
  EXPECT_EQ(c.limits.memory, 64u << 20);
  const auto& s = c.deployment.settings;
  EXPECT_EQ(s.ownZone, 1u);
  ASSERT_EQ(s.classes.size(), 2u);
  EXPECT_EQ(s.classes[0].ttftObjective, 800 * kMs);
  EXPECT_EQ(s.classes[1].idempotency, Idempotency::nonIdempotent);
  EXPECT_EQ(s.classes[1].ttftObjectivePerKiloToken, 40'000);
  EXPECT_EQ(s.kinds[1].role, Role::decode);
  EXPECT_EQ(s.maxAttempts, 6);
  EXPECT_EQ(c.deployment.connectionIdle, 15 * kSec);
  EXPECT_NE(c.deployment.report.x0.find("share_of_memory"), std::string::npos);
  ASSERT_EQ(c.known.size(), 1u);
  EXPECT_EQ(c.known.at("s-1").cell, "3");
  EXPECT_EQ(c.knownVersion, 41);
}

TEST(PlatformConfig, TheFileGoesBeforeTheEnvironmentWhichFillsItsGaps) {
  const Environment environment = [](const char* name) -> std::optional<std::string> {
    return std::string(name) == "RELAY_DISCOVERY" ? std::optional<std::string>("127.0.0.2:1") : std::nullopt;
  };
  EXPECT_EQ(read(std::string(kConfig), environment).discovery, "127.0.0.1:8500");
  EXPECT_EQ(read(without(R"("discovery": "127.0.0.1:8500", )"), environment).discovery, "127.0.0.2:1");
}

TEST(PlatformConfig, ErrorsNameFileLineAndKey) {
  EXPECT_NE(troubleOf(without(R"("read_like")", R"("odd")"))
                .find("config.json:14: settings.field 'profiles.0.effect'"),
            std::string::npos)
      << troubleOf(without(R"("read_like")", R"("odd")"));
  EXPECT_NE(troubleOf(without("127.0.0.4:9000", "nowhere")).find("config.json:2: listen"), std::string::npos);
  EXPECT_NE(troubleOf(without(R"("memory_mb": 64)", R"("memory_mb": -1)")).find("limits.memory_mb"),
            std::string::npos);
  EXPECT_NE(troubleOf(without(R"(["m1", "m2"])", "[]")).find("settings"), std::string::npos);
}

// ---- discovery ----

std::string entry(const std::string& id, const std::string& phase, int since = 0) {
  return R"({"id":")" + id +
         R"(","host_port":"127.0.0.1:90","locality":"a","flavor":"m","cell":1,"phase":")" + phase +
         R"(","size":1.5,"up_since_ms":)" + std::to_string(since) + "}";
}
std::string list(int version, bool complete, const std::string& members) {
  return R"({"revision":)" + std::to_string(version) + R"(,"complete":)" + (complete ? "true" : "false") +
         R"(,"members":[)" + members + "]}";
}

TEST(Targets, ChangesAreAppliedAndTold) {
  EndpointList targets;
  targets.apply(parseEndpointList(list(5, true, entry("a", "ready") + "," + entry("b", "ready", 7))));
  EXPECT_EQ(targets.engines().size(), 2u);
  EXPECT_EQ(targets.engines().at("b").startedAt.sinceEpoch, 7000);
  EXPECT_DOUBLE_EQ(targets.engines().at("a").weight, 1.5);
  auto change =
      targets.apply(parseEndpointList(list(6, false, entry("a", "draining") + "," + entry("b", "gone"))));
  EXPECT_EQ(change.kind, EndpointUpdate::Kind::delta);
  EXPECT_EQ(change.entries.at("b").state, EndpointState::removed);
  EXPECT_EQ(targets.engines().size(), 1u);
  EXPECT_EQ(targets.engines().at("a").state, EndpointState::draining);
  EXPECT_EQ(targets.version(), 6);
}

TEST(Targets, OldChangesAreLeftAndACompleteListAlwaysHolds) {
  EndpointList targets;
  targets.apply(parseEndpointList(list(5, true, entry("a", "ready"))));
  EXPECT_FALSE(targets.apply(parseEndpointList(list(4, false, entry("a", "gone")))).any);
  EXPECT_EQ(targets.engines().size(), 1u);
  EXPECT_TRUE(targets.apply(parseEndpointList(list(1, true, entry("c", "ready")))).any);
  EXPECT_TRUE(targets.engines().contains("c"));
  EXPECT_FALSE(targets.engines().contains("a"));
}

// A discovery that lags behind the one before it, as after a reload, may still call an engine ready.
TEST(Targets, AnOlderCompleteListBringsNoDrainedEngineBack) {
  EndpointList targets;
  targets.apply(parseEndpointList(
      list(5, true, entry("a", "ready") + "," + entry("b", "ready") + "," + entry("c", "ready"))));
  targets.apply(parseEndpointList(list(7, false, entry("a", "draining") + "," + entry("b", "gone"))));
  targets.apply(parseEndpointList(
      list(6, true, entry("a", "ready") + "," + entry("b", "ready") + "," + entry("c", "ready"))));
  EXPECT_EQ(targets.engines().at("a").state, EndpointState::draining);
  EXPECT_FALSE(targets.engines().contains("b"));
  EXPECT_EQ(targets.engines().at("c").state, EndpointState::running);
}

TEST(Targets, ARetiredEngineComesBackByANewerWordOrAnotherStart) {
  EndpointList targets;
  targets.apply(parseEndpointList(list(5, true, entry("a", "ready", 1) + "," + entry("b", "ready", 1))));
  targets.apply(parseEndpointList(list(7, false, entry("a", "draining", 1) + "," + entry("b", "gone", 1))));
  targets.apply(parseEndpointList(list(6, true, entry("a", "ready", 1) + "," + entry("b", "ready", 2))));
  EXPECT_EQ(targets.engines().at("a").state, EndpointState::draining);
  EXPECT_EQ(targets.engines().at("b").state, EndpointState::running);
  targets.apply(parseEndpointList(list(8, false, entry("a", "ready", 1))));
  EXPECT_EQ(targets.engines().at("a").state, EndpointState::running);
}

TEST(Targets, AnEngineThatACompleteListLackedStaysGoneForOlderOnes) {
  EndpointList targets;
  targets.apply(parseEndpointList(list(5, true, entry("a", "ready") + "," + entry("b", "ready"))));
  targets.apply(parseEndpointList(list(9, true, entry("a", "ready"))));
  targets.apply(parseEndpointList(list(8, true, entry("a", "ready") + "," + entry("b", "ready"))));
  EXPECT_FALSE(targets.engines().contains("b"));
}

TEST(Targets, WhatCantBeUsedIsLeftOutOrRefused) {
  const auto update = parseEndpointList(
      list(1, true, entry("a", "ready") + R"(,{"id":"b","phase":"ready"},3,)" + entry("c", "resting")));
  EXPECT_EQ(update.engines.size(), 2u);
  EXPECT_EQ(update.errors.size(), 2u);
  EXPECT_EQ(update.engines[1].state, EndpointState::draining);  // a word not known promises nothing
  for (const char* bad :
       {"", "[]", "{", R"({"revision":1})", R"({"members":[]})", R"({"revision":"x","members":[]})"})
    EXPECT_THROW(parseEndpointList(bad), std::runtime_error) << bad;
  EXPECT_THROW(parseEndpointList(std::string(5000, '[')), std::runtime_error);
}

TEST(ResourceBudget, SharesStayWithinTheLimits) {
  for (const std::size_t descriptors : {32u, 64u, 256u, 512u, 1024u, 65536u}) {
    const auto b = share({.memory = 32u << 20, .descriptors = descriptors});
    EXPECT_LE(b.clients + b.lingering + b.attempts, descriptors);
    if (descriptors >= 256) {
      EXPECT_GE(b.clients, descriptors / 3);  // what clients may hold for requests
      EXPECT_GE(b.attempts, descriptors / 4);
      EXPECT_LE(b.clients + b.lingering + b.attempts + 40, descriptors);  // its own, and releases
    }
    EXPECT_LE(b.bodies, 8u << 20);
  }
  EXPECT_LT(Times::idle(15 * kSec), 15 * kSec);
}

}  // namespace
}  // namespace garnethook::platform
