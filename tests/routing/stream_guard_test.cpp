// When the router ends a response whose stream has begun.
#include "routing/stream_guard.h"

#include <gtest/gtest.h>

namespace garnethook::routing {
namespace {

TEST(StreamGuard, EndsStalledStreamsAndThoseAtTheDeadline) {
  const StreamGuard guard({.stallTimeout = 1000, .deadlineMargin = 100});
  EXPECT_EQ(guard.usableTime(10'000), 9'900);
  EXPECT_EQ(guard.usableTime(40), 30);
  EXPECT_EQ(guard.check(500, 0, 9'000).nextCheckAt, 1000);
  EXPECT_EQ(guard.check(1000, 0, 9'000).decision, StreamGuard::Decision::stalled);
  EXPECT_EQ(guard.check(900, 800, 900).decision, StreamGuard::Decision::deadlineReached);
  EXPECT_FALSE(guard.hasStalledByTokenInterval(1030, 0, 1000, 101));
  EXPECT_TRUE(guard.hasStalledByTokenInterval(1100, 0, 1000, 101));
}

}  // namespace
}  // namespace garnethook::routing
