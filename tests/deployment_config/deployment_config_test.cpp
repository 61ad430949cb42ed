// Tests which configuration keys of a deployment are read, and which field each key sets.
#include "deployment_config/deployment_config.h"

#include <gtest/gtest.h>

#include <string>

namespace garnethook::deployment_config {
namespace {

FieldReader makeFieldReader(std::string_view line) {
  FieldReader fields;
  for (const auto field : split(line, ' ')) {
    const auto equals = field.find('=');
    fields.add(field.substr(0, equals), field.substr(equals + 1));
  }
  return fields;
}

// Every key that is read, each with a value that differs from its default.
constexpr std::string_view kAllKeys =
    "az=south zones=north,south skus=m1,m2,m3 balancers=4 me=3 discovery=ask "
    "allowed.attemptsCap=6 allowed.connIdleMs=15000 allowed.dialTimeoutMs=250.5 allowed.maxRetryAfterMs=500 "
    "allowed.mayCancel=true allowed.openCap=64 allowed.probes=1 allowed.retryAfter=true "
    "familyInfo.aimUsPer1000PromptTokens=60000,40000 familyInfo.kindRole=read,write "
    "familyInfo.memoryTokens=200000,100000 familyInfo.releaseWithinMs=700 "
    "familyInfo.reportX0=share_of_memory "
    "familyInfo.reportX1=thousands_of_prompt_tokens familyInfo.resume=1 familyInfo.selfPrefill=true "
    "familyInfo.tokenAimMs=50,70.25 "
    "profiles.count=2 profiles.0.name=chat profiles.0.aimMs=800 profiles.0.deadlineMs=3000 "
    "profiles.0.effect=idempotency_key profiles.0.group=zone profiles.0.windowMs=900 profiles.0.worth=2.5 "
    "profiles.0.lateShare=0.25 profiles.1.name=order profiles.1.effect=non_idempotent "
    "rules.askWithinMs=1200 rules.coldFrom=0.3 rules.fallMultiple=2.5 rules.graceToAnswerMs=8 "
    "rules.tipAfterMs=1500 rules.warmWithinMs=9000";

TEST(DeploymentConfigKeys, EachKeySetsItsField) {
  const FieldReader fields = makeFieldReader(kAllKeys);
  const DeploymentConfig config = readDeploymentConfig(fields);
  EXPECT_EQ(config.zoneNames, (std::vector<std::string>{"north", "south"}));
  EXPECT_EQ(config.kindNames, (std::vector<std::string>{"m1", "m2", "m3"}));
  EXPECT_EQ(config.classNames, (std::vector<std::string>{"chat", "order"}));
  EXPECT_EQ(config.report.x0, "share_of_memory");
  EXPECT_EQ(config.report.x1, "thousands_of_prompt_tokens");
  EXPECT_EQ(config.engineIdleTimeout, 15'000'000);
  EXPECT_EQ(config.maxOpenRequests, 64u);

  const Settings& settings = config.settings;
  EXPECT_EQ(settings.zones, 2u);
  EXPECT_EQ(settings.ownZone, 1u);
  EXPECT_EQ(settings.routers, 4u);
  EXPECT_EQ(settings.self, 3u);
  EXPECT_EQ(settings.discovery, Discovery::poll);
  EXPECT_EQ(settings.maxAttempts, 6);
  EXPECT_TRUE(settings.canCancel);
  EXPECT_TRUE(settings.canProbe);
  EXPECT_TRUE(settings.decodeEndpointsPrefill);
  EXPECT_TRUE(settings.canMigrateStreams);
  EXPECT_TRUE(settings.passesRetryAfter);
  EXPECT_EQ(settings.maxRetryAfter, 500'000);
  EXPECT_EQ(settings.kvReleaseTimeout, 700'000);
  EXPECT_EQ(settings.answerSlack, 8'000);
  EXPECT_EQ(settings.pollInterval, 1'200'000);
  EXPECT_EQ(settings.connectTimeout, 250'500);
  EXPECT_DOUBLE_EQ(settings.warmUpMinCapacity, 0.3);
  EXPECT_EQ(settings.warmUpDuration, 9'000'000);
  EXPECT_DOUBLE_EQ(settings.overloadMultiple, 2.5);
  EXPECT_EQ(settings.overloadWindow, 1'500'000);

  ASSERT_EQ(settings.kinds.size(), 3u);
  EXPECT_EQ(settings.kinds[0].role, Role::prefill);
  EXPECT_EQ(settings.kinds[1].role, Role::decode);
  EXPECT_EQ(settings.kinds[2].role, Role::decode);  // the last role applies to all further kinds
  EXPECT_DOUBLE_EQ(settings.kinds[0].memoryTokens, 200'000);
  EXPECT_DOUBLE_EQ(settings.kinds[1].memoryTokens, 100'000);
  EXPECT_DOUBLE_EQ(settings.kinds[2].memoryTokens, 0);

  ASSERT_EQ(settings.classes.size(), 2u);
  const RequestClass& chat = settings.classes[0];
  EXPECT_EQ(chat.ttftObjective, 800'000);
  EXPECT_EQ(chat.ttftObjectivePerKiloToken, 60'000);
  EXPECT_EQ(chat.deadline, 3'000'000);
  EXPECT_EQ(chat.timePerOutputTokenObjective, 50'000);
  EXPECT_DOUBLE_EQ(chat.priorityWeight, 2.5);
  EXPECT_DOUBLE_EQ(chat.lateValueShare, 0.25);
  EXPECT_EQ(chat.idempotency, Idempotency::idempotentWithKey);
  EXPECT_EQ(chat.deduplicationScope, DeduplicationScope::zone);
  EXPECT_EQ(chat.deduplicationWindow, 900'000);
  EXPECT_EQ(settings.classes[1].ttftObjectivePerKiloToken, 40'000);
  EXPECT_EQ(settings.classes[1].timePerOutputTokenObjective, 70'250);
  EXPECT_EQ(settings.classes[1].idempotency, Idempotency::nonIdempotent);
}

TEST(DeploymentConfigKeys, HaveDefaultsIfAbsent) {
  const FieldReader fields =
      makeFieldReader("profiles.count=1 profiles.0.name=chat profiles.0.effect=read_like skus=m");
  const DeploymentConfig config = readDeploymentConfig(fields);
  EXPECT_TRUE(config.zoneNames.empty());
  EXPECT_EQ(config.report.x0, "");
  EXPECT_EQ(config.engineIdleTimeout, 0);
  EXPECT_EQ(config.maxOpenRequests, 0u);
  const Settings& settings = config.settings;
  EXPECT_EQ(settings.zones, 1u);
  EXPECT_EQ(settings.ownZone, 0u);
  EXPECT_EQ(settings.routers, 1u);
  EXPECT_FALSE(settings.self.has_value());
  EXPECT_EQ(settings.discovery, Discovery::push);
  EXPECT_EQ(settings.maxAttempts, 1);
  EXPECT_FALSE(settings.canCancel);
  EXPECT_FALSE(settings.canProbe);
  EXPECT_DOUBLE_EQ(settings.warmUpMinCapacity, 1);
  EXPECT_DOUBLE_EQ(settings.overloadMultiple, 0);
  ASSERT_EQ(settings.kinds.size(), 1u);
  EXPECT_EQ(settings.kinds[0].role, Role::combined);
  ASSERT_EQ(settings.classes.size(), 1u);
  EXPECT_EQ(settings.classes[0].idempotency, Idempotency::idempotent);
  EXPECT_EQ(settings.classes[0].deduplicationScope, DeduplicationScope::fleet);
  EXPECT_DOUBLE_EQ(settings.classes[0].priorityWeight, 1);
}

TEST(DeploymentConfigKeys, MapAnUnknownScopeToTheNarrowest) {
  const FieldReader fields = makeFieldReader(
      "profiles.count=1 profiles.0.name=chat profiles.0.effect=idempotency_key profiles.0.group=planet");
  EXPECT_EQ(readDeploymentConfig(fields).settings.classes[0].deduplicationScope, DeduplicationScope::cell);
}

TEST(FieldReader, ReportsTheInvalidField) {
  const FieldReader fields =
      makeFieldReader("whole=1.5 number=x negative=-1 flag=yes big=3000000000 time=1e300");
  const auto reportedField = [&](auto&& read) {
    try {
      read();
    } catch (const FieldError& error) { return error.field(); }
    return std::string("none");
  };
  EXPECT_EQ(reportedField([&] { fields.text("absent"); }), "absent");
  EXPECT_EQ(reportedField([&] { fields.unsignedInteger("whole"); }), "whole");
  EXPECT_EQ(reportedField([&] { fields.number("number"); }), "number");
  EXPECT_EQ(reportedField([&] { fields.nonNegativeNumber("negative", 0); }), "negative");
  EXPECT_EQ(reportedField([&] { fields.flag("flag"); }), "flag");
  EXPECT_EQ(reportedField([&] { fields.intValue("big"); }), "big");
  EXPECT_EQ(reportedField([&] { fields.duration("time"); }), "time");
  EXPECT_EQ(reportedField([&] { fields.duration("absent", 5); }), "none");
}

}  // namespace
}  // namespace garnethook::deployment_config
