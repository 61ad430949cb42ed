// Tests how the limits of a process are divided, and the idle timeout of engine connections.
#include "platform/process/resource_budget.h"

#include <gtest/gtest.h>

#include "platform/process/timeouts.h"

namespace garnethook::platform {
namespace {

constexpr Micros kSecond = 1'000'000;

TEST(ResourceBudget, StaysWithinTheLimits) {
  for (const std::size_t descriptors : {32u, 64u, 256u, 512u, 1024u, 65536u}) {
    const auto budget = makeResourceBudget({.memoryBytes = 32u << 20, .descriptors = descriptors});
    const std::size_t mainConnections =
        budget.clientConnections + budget.closingConnections + budget.attemptConnections;
    EXPECT_LE(mainConnections, descriptors);
    if (descriptors >= 256) {
      EXPECT_GE(budget.clientConnections, descriptors / 3);  // available for client requests
      EXPECT_GE(budget.attemptConnections, descriptors / 4);
      EXPECT_LE(mainConnections + 40, descriptors);  // 40: reserved descriptors and control connections
    }
    EXPECT_LE(budget.requestBodyBytes, 8u << 20);
  }
}

TEST(EngineIdleTimeout, IsShorterThanTheTimeoutOfTheEngine) {
  EXPECT_LT(engineIdleTimeout(15 * kSecond), 15 * kSecond);
  EXPECT_EQ(engineIdleTimeout(0), 10 * kSecond);
  EXPECT_EQ(engineIdleTimeout(1000 * kSecond), 30 * kSecond);
}

}  // namespace
}  // namespace garnethook::platform
