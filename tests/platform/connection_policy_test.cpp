// Tests the idle timeouts and the eviction of client connections.
#include "platform/http_frontend/connection_policy.h"

#include <gtest/gtest.h>

namespace garnethook::platform {
namespace {

constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;

TEST(ConnectionPolicy, ShortensTheIdleTimeoutNearTheLimitAndEvictsUnusedConnectionsSooner) {
  const ConnectionPolicy policy({.maxConnections = 100});
  EXPECT_EQ(policy.idleTimeout(10), policy.options().maxIdleTimeout);
  EXPECT_EQ(policy.idleTimeout(90), policy.options().minIdleTimeout);
  EXPECT_LT(policy.idleTimeout(50), policy.idleTimeout(30));
  EXPECT_GE(policy.idleTimeout(1000), 2 * kSecond);  // clients rely on at least two seconds
  using Activity = ConnectionPolicy::Activity;
  EXPECT_FALSE(policy.mayEvict(Activity::busy, 100 * kSecond));
  EXPECT_FALSE(policy.mayEvict(Activity::idle, 50 * kMillisecond));
  EXPECT_TRUE(policy.mayEvict(Activity::idle, 200 * kMillisecond));
  EXPECT_FALSE(policy.mayEvict(Activity::unused, kMillisecond));
  EXPECT_TRUE(policy.mayEvict(Activity::unused, 50 * kMillisecond));
}

}  // namespace
}  // namespace garnethook::platform
