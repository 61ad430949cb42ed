// The guard refuses each attempt that would break a rule, and nothing else.
#include "routing/rule_guard.h"

#include <gtest/gtest.h>

namespace garnethook::test {
namespace {

using routing::EndpointLocation;
using routing::ExecutionHistory;
using routing::Phase;
using routing::RuleGuard;
using routing::Violation;

struct RuleGuardTest : testing::Test {
  std::optional<Violation> judge(Phase phase = Phase::decode) {
    return RuleGuard::judge({.requestClass = requestClass,
                             .exposure = exposure,
                             .firstPlace = first,
                             .target = target,
                             .phase = phase,
                             .answered = answered,
                             .attemptOut = attemptOut,
                             .now = now});
  }
  void mayHaveRunAt(Micros time, const EndpointLocation& place) {
    exposure.note(time);
    first = place;
  }
  RequestClass requestClass{
      .deadline = 3'000'000, .idempotency = Idempotency::idempotent, .deduplicationWindow = 1'000'000};
  ExecutionHistory exposure;
  std::optional<EndpointLocation> first;
  EndpointLocation target{0, 1};
  bool answered = false;
  bool attemptOut = false;
  Micros now = 5'000'000;
};

TEST_F(RuleGuardTest, OneAttemptAtATimeAndNoneBehindTheAnswer) {
  EXPECT_EQ(judge(), std::nullopt);
  attemptOut = true;
  EXPECT_EQ(judge(), Violation::concurrentAttempt);
  EXPECT_EQ(judge(Phase::prefill), Violation::concurrentAttempt);
  answered = true;
  EXPECT_EQ(judge(), Violation::attemptAfterCompletion);
}

TEST_F(RuleGuardTest, SafeWorkIsRepeatedAtWill) {
  mayHaveRunAt(1, {1, 9});
  EXPECT_EQ(judge(), std::nullopt);
}

TEST_F(RuleGuardTest, UnsafeWorkThatMayHaveRunIsReadAnewAtMost) {
  requestClass.idempotency = Idempotency::nonIdempotent;
  EXPECT_EQ(judge(), std::nullopt);
  mayHaveRunAt(now - 1, target);
  EXPECT_EQ(judge(), Violation::retryOfNonIdempotent);
  EXPECT_EQ(judge(Phase::combined), Violation::retryOfNonIdempotent);
  EXPECT_EQ(judge(Phase::prefill), std::nullopt);
}

TEST_F(RuleGuardTest, KeyedWorkStaysInItsWindow) {
  requestClass.idempotency = Idempotency::idempotentWithKey;
  mayHaveRunAt(now - 1'000'000, target);
  EXPECT_EQ(judge(), std::nullopt);
  now += 1;
  EXPECT_EQ(judge(), Violation::retryOutsideDeduplicationWindow);
}

TEST_F(RuleGuardTest, KeyedWorkStaysInItsGroup) {
  requestClass.idempotency = Idempotency::idempotentWithKey;
  mayHaveRunAt(now - 10, {1, 1});
  EXPECT_EQ(judge(), std::nullopt);
  requestClass.deduplicationScope = DeduplicationScope::zone;
  EXPECT_EQ(judge(), Violation::retryOutsideDeduplicationScope);
  requestClass.deduplicationScope = DeduplicationScope::cell;
  EXPECT_EQ(judge(), std::nullopt);
  target.cell = 2;
  EXPECT_EQ(judge(), Violation::retryOutsideDeduplicationScope);
}

TEST_F(RuleGuardTest, AnAnswerIsLateBehindItsSlackAndThePlatforms) {
  constexpr Micros kDeadline = 1'000'000;
  constexpr Micros kSettingsSlack = 8'000;
  EXPECT_FALSE(RuleGuard::late(kDeadline + kSettingsSlack + 200'000, kDeadline, kSettingsSlack));
  EXPECT_TRUE(RuleGuard::late(kDeadline + kSettingsSlack + 200'001, kDeadline, kSettingsSlack));
}

TEST_F(RuleGuardTest, WhatWasBrokenIsCountedByRule) {
  RuleGuard guard;
  guard.count(Violation::lateCompletion);
  guard.count(Violation::lateCompletion);
  guard.count(Violation::rejectionAfterExecution);
  EXPECT_EQ(guard.counted(Violation::lateCompletion), 2u);
  EXPECT_EQ(guard.counted(Violation::concurrentAttempt), 0u);
  EXPECT_EQ(guard.all(), 3u);
}

}  // namespace
}  // namespace garnethook::test
