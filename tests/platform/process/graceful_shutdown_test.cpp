// The states of a graceful shutdown, on a real frontend and router core.
#include "platform/process/graceful_shutdown.h"

#include <gtest/gtest.h>

#include "platform/process/timeouts.h"
#include "support/frontend_world.h"

namespace garnethook::test {
namespace {

using State = platform::GracefulShutdown::State;

constexpr Micros kRepeatLimit = 3'600'000;

TEST(GracefulShutdown, PassesThroughItsStatesAndReportsItsEndOnce) {
  FrontendWorld world;
  platform::GracefulShutdown shutdown(world.loop, *world.front, *world.router, kRepeatLimit);
  EXPECT_EQ(shutdown.state(), State::serving);
  EXPECT_FALSE(shutdown.hasBegun());
  int finished = 0;
  shutdown.begin([&] { ++finished; });
  EXPECT_EQ(shutdown.state(), State::accepting);
  EXPECT_TRUE(world.front->accepting());
  shutdown.begin([&] { finished += 100; });
  EXPECT_TRUE(world.until([&] { return finished > 0; }, 2 * platform::kAcceptAfterStop));
  EXPECT_EQ(shutdown.state(), State::finished);
  EXPECT_FALSE(world.front->accepting());
  EXPECT_EQ(finished, 1);
}

TEST(GracefulShutdown, WaitsForAnOpenRequest) {
  FrontendWorld world;
  std::optional<StubEngines::Attempt> attempt;
  world.engines.script = [&](const StubEngines::Attempt& begun) { attempt = begun; };
  const auto client = world.acceptedClient(true);
  client->send(clientRequest("open"));
  ASSERT_TRUE(world.until([&] { return attempt.has_value(); }, 1'000'000));
  platform::GracefulShutdown shutdown(world.loop, *world.front, *world.router, kRepeatLimit);
  bool isFinished = false;
  shutdown.begin([&] { isFinished = true; });
  EXPECT_FALSE(world.until([&] { return isFinished; }, platform::kAcceptAfterStop + 200'000));
  EXPECT_EQ(shutdown.state(), State::draining);
  world.engines.end(*attempt, Outcome::error);
}

}  // namespace
}  // namespace garnethook::test
