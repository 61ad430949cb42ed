// Tests when idle connections to engines are reused.
#include "engine/reuse_policy.h"

#include <gtest/gtest.h>

namespace garnethook::engine {
namespace {

constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;

TEST(ReusePolicy, AllowsReuseUntilAReusedConnectionIsDead) {
  ReusePolicy policy;
  EXPECT_TRUE(policy.mayReuse(10 * kSecond, true, kSecond));
  for (int i = 0; i < 20; ++i) policy.record(3 * kMillisecond, false, kSecond);
  for (int i = 0; i < 5; ++i) policy.record(600 * kMillisecond, true, kSecond);
  EXPECT_TRUE(policy.mayReuse(3 * kMillisecond, false, kSecond));
  EXPECT_FALSE(policy.mayReuse(3 * kMillisecond, true, kSecond));  // a dead share of 1 in 50 is too high
  EXPECT_FALSE(policy.mayReuse(600 * kMillisecond, false, kSecond));
  for (int i = 0; i < 200; ++i) policy.record(3 * kMillisecond, false, 2 * kSecond);
  EXPECT_TRUE(policy.mayReuse(3 * kMillisecond, true, 2 * kSecond));
  EXPECT_TRUE(policy.mayReuse(600 * kMillisecond, true, 60 * kSecond));  // outside the history window
}

}  // namespace
}  // namespace garnethook::engine
