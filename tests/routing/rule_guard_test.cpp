// The rule guard reports each attempt that would violate a rule, and no others.
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
  std::optional<Violation> check(Phase phase = Phase::decode) {
    return RuleGuard::check({.requestClass = requestClass,
                             .history = history,
                             .firstExecutedAt = firstExecutedAt,
                             .target = target,
                             .phase = phase,
                             .isFinished = isFinished,
                             .hasAttemptInFlight = hasAttemptInFlight,
                             .now = now});
  }
  void recordPossibleExecution(Micros sentAt, const EndpointLocation& location) {
    history.recordPossibleExecution(sentAt);
    firstExecutedAt = location;
  }
  RequestClass requestClass{
      .deadline = 3'000'000, .idempotency = Idempotency::idempotent, .deduplicationWindow = 1'000'000};
  ExecutionHistory history;
  std::optional<EndpointLocation> firstExecutedAt;
  EndpointLocation target{0, 1};
  bool isFinished = false;
  bool hasAttemptInFlight = false;
  Micros now = 5'000'000;
};

TEST_F(RuleGuardTest, AllowsOneAttemptAtATimeAndNoneAfterCompletion) {
  EXPECT_EQ(check(), std::nullopt);
  hasAttemptInFlight = true;
  EXPECT_EQ(check(), Violation::concurrentAttempt);
  EXPECT_EQ(check(Phase::prefill), Violation::concurrentAttempt);
  isFinished = true;
  EXPECT_EQ(check(), Violation::attemptAfterCompletion);
}

TEST_F(RuleGuardTest, AllowsAnyRetryOfIdempotentWork) {
  recordPossibleExecution(1, {1, 9});
  EXPECT_EQ(check(), std::nullopt);
}

TEST_F(RuleGuardTest, AllowsOnlyAPrefillOfNonIdempotentWorkThatWasPossiblyExecuted) {
  requestClass.idempotency = Idempotency::nonIdempotent;
  EXPECT_EQ(check(), std::nullopt);
  recordPossibleExecution(now - 1, target);
  EXPECT_EQ(check(), Violation::retryOfNonIdempotent);
  EXPECT_EQ(check(Phase::combined), Violation::retryOfNonIdempotent);
  EXPECT_EQ(check(Phase::prefill), std::nullopt);
}

TEST_F(RuleGuardTest, KeepsRetriesOfKeyedWorkWithinTheDeduplicationWindow) {
  requestClass.idempotency = Idempotency::idempotentWithKey;
  recordPossibleExecution(now - 1'000'000, target);
  EXPECT_EQ(check(), std::nullopt);
  now += 1;
  EXPECT_EQ(check(), Violation::retryOutsideDeduplicationWindow);
}

TEST_F(RuleGuardTest, KeepsRetriesOfKeyedWorkWithinTheDeduplicationScope) {
  requestClass.idempotency = Idempotency::idempotentWithKey;
  recordPossibleExecution(now - 10, {1, 1});
  EXPECT_EQ(check(), std::nullopt);
  requestClass.deduplicationScope = DeduplicationScope::zone;
  EXPECT_EQ(check(), Violation::retryOutsideDeduplicationScope);
  requestClass.deduplicationScope = DeduplicationScope::cell;
  EXPECT_EQ(check(), std::nullopt);
  target.cell = 2;
  EXPECT_EQ(check(), Violation::retryOutsideDeduplicationScope);
}

TEST_F(RuleGuardTest, ReportsACompletionAsLateAfterTheSlackOfTheSettingsAndThePlatform) {
  constexpr Micros kDeadline = 1'000'000;
  constexpr Micros kSettingsSlack = 8'000;
  EXPECT_FALSE(RuleGuard::isLate(kDeadline + kSettingsSlack + 200'000, kDeadline, kSettingsSlack));
  EXPECT_TRUE(RuleGuard::isLate(kDeadline + kSettingsSlack + 200'001, kDeadline, kSettingsSlack));
}

TEST_F(RuleGuardTest, CountsViolationsByRule) {
  RuleGuard guard;
  guard.record(Violation::lateCompletion);
  guard.record(Violation::lateCompletion);
  guard.record(Violation::rejectionAfterExecution);
  EXPECT_EQ(guard.count(Violation::lateCompletion), 2u);
  EXPECT_EQ(guard.count(Violation::concurrentAttempt), 0u);
  EXPECT_EQ(guard.total(), 3u);
}

}  // namespace
}  // namespace garnethook::test
