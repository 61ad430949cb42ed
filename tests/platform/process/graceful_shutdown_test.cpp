// Tests the states of a graceful shutdown with a real frontend and router core.
#include "platform/process/graceful_shutdown.h"

#include <gtest/gtest.h>

#include "platform/process/timeouts.h"
#include "support/frontend_world.h"

namespace garnethook::test {
namespace {

using State = platform::GracefulShutdown::State;

constexpr Micros kReleaseRepeatLimit = 3'600'000;

TEST(GracefulShutdown, PassesThroughAllStatesAndCallsOnFinishedOnce) {
  FrontendWorld world;
  platform::GracefulShutdown shutdown(world.loop, *world.front, *world.router, kReleaseRepeatLimit);
  EXPECT_EQ(shutdown.state(), State::serving);
  EXPECT_FALSE(shutdown.hasBegun());
  int finishedCalls = 0;
  shutdown.begin([&] { ++finishedCalls; });
  EXPECT_EQ(shutdown.state(), State::accepting);
  EXPECT_TRUE(world.front->accepting());
  shutdown.begin([&] { finishedCalls += 100; });
  EXPECT_TRUE(world.until([&] { return finishedCalls > 0; }, 2 * platform::kAcceptTimeAfterStop));
  EXPECT_EQ(shutdown.state(), State::finished);
  EXPECT_FALSE(world.front->accepting());
  EXPECT_EQ(finishedCalls, 1);
}

TEST(GracefulShutdown, WaitsForAnOpenRequest) {
  FrontendWorld world;
  std::optional<StubEngines::Attempt> attempt;
  world.engines.script = [&](const StubEngines::Attempt& startedAttempt) { attempt = startedAttempt; };
  const auto client = world.acceptedClient(true);
  client->send(clientRequest("open"));
  ASSERT_TRUE(world.until([&] { return attempt.has_value(); }, 1'000'000));
  platform::GracefulShutdown shutdown(world.loop, *world.front, *world.router, kReleaseRepeatLimit);
  bool isFinished = false;
  shutdown.begin([&] { isFinished = true; });
  EXPECT_FALSE(world.until([&] { return isFinished; }, platform::kAcceptTimeAfterStop + 200'000));
  EXPECT_EQ(shutdown.state(), State::draining);
  world.engines.end(*attempt, Outcome::error);
}

}  // namespace
}  // namespace garnethook::test
