// The policy must make the same decisions as before wherever only its code or speed has changed. A change of
// decisions on purpose changes the digests, and says so in its commit.
#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

#include "policy/policy_driver.h"
#include "policy/traffic_simulation.h"

namespace garnethook::test {
namespace {

class Digest {
 public:
  void operator()(const Send& a) { put(1, a.id.value, a.endpoint.value, a.timeout); }
  void operator()(const Cancel& a) { put(2, a.id.value, a.attempt); }
  void operator()(const Reject& a) { put(3, a.id.value, a.retryAfter); }
  void operator()(const Fail& a) { put(4, a.id.value); }
  void operator()(const Release& a) { put(5, a.id.value); }
  void operator()(const SetTimer& a) { put(6, a.id.value, a.delay); }
  void operator()(const Probe& a) { put(7, a.endpoint.value); }
  void operator()(const Subscribe&) { put(8); }
  // Counts the line, not its words, which are for people: LogText tests them.
  void operator()(const Log&) { put(9); }
  std::uint64_t value = 1469598103934665603ULL;

 private:
  template <class... Numbers>
  void put(Numbers... numbers) {
    (number(static_cast<std::uint64_t>(numbers)), ...);
  }
  void number(std::uint64_t n) {
    for (int i = 0; i < 8; ++i) byte(static_cast<std::uint8_t>(n >> (8 * i)));
  }
  void byte(std::uint8_t o) { value = (value ^ o) * 1099511628211ULL; }
};

struct RecordedCase {
  std::size_t endpoints, combined;
  double perSecond, errors;
  bool reports, restarts;
  std::uint64_t seed;
  std::uint64_t expected;
};

class RecordedStream : public testing::TestWithParam<RecordedCase> {};

TEST_P(RecordedStream, GivesTheSameActionsAsWhenItWasRecorded) {
  const RecordedCase recorded = GetParam();
  SimulationOptions options;
  options.endpoints = recorded.endpoints;
  options.combined = recorded.combined;
  options.perSecond = recorded.perSecond;
  options.errors = recorded.errors;
  options.reports = recorded.reports;
  options.restarts = recorded.restarts;
  options.seconds = 14;
  options.sharedPrefixes = recorded.seed % 2 ? 200 : 3;
  options.seed = recorded.seed;
  TrafficSimulation world(options);
  Digest digest;
  world.play([&](Micros, const Event&, const std::vector<Action>& actions) {
    for (const Action& action : actions) std::visit(digest, action);
  });
  EXPECT_GT(world.served, world.requests / 2);
  EXPECT_EQ(digest.value, recorded.expected) << std::hex << digest.value;
}

INSTANTIATE_TEST_SUITE_P(Streams, RecordedStream,
                         testing::Values(RecordedCase{10, 0, 300, 0, true, false, 1, 0x83811ca359965a8d},
                                         RecordedCase{10, 2, 300, 0.1, false, true, 2, 0xcc0185bfb59273d9},
                                         RecordedCase{40, 8, 200, 0.3, true, true, 3, 0x975505fc2c272dfe},
                                         RecordedCase{40, 0, 200, 0.05, false, false, 4, 0x1f76d856542a0b15},
                                         RecordedCase{100, 20, 150, 0.2, true, true, 5, 0xa53c262f884ec0ed}));

// What on-call reads when an endpoint is ejected and when it is reinstated.
TEST(LogText, NamesTheEndpointTheChangeAndTheReason) {
  PolicyDriver driver(settings());
  driver.setEndpoints({endpoint(1, kPrefill), endpoint(2, kDecode)});
  std::vector<std::string> lines;
  const auto collect = [&](const std::vector<Action>& actions) {
    for (const Action& action : actions)
      if (const auto* line = std::get_if<Log>(&action)) lines.push_back(line->text);
  };
  driver.deliver(driver.newRequest(1));
  collect(driver.endAttempt(1, Outcome::connectFailed));
  ASSERT_EQ(lines, std::vector<std::string>{"endpoint 1 ejected: connection failed"});
  collect(driver.endAttempt(1, Outcome::prefillDone));
  EXPECT_EQ(lines.back(), "endpoint 1 reinstated: it answered");
  EXPECT_EQ(lines.size(), 2U);
}

}  // namespace
}  // namespace garnethook::test
