// Detects unintended changes of the policy's decisions, such as by refactoring or optimisation: digests of
// the actions in simulated traffic must equal the recorded ones. A commit that changes decisions
// intentionally updates the digests and says so in its message.
#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

#include "policy/policy_driver.h"
#include "policy/traffic_simulation.h"

namespace garnethook::test {
namespace {

// FNV-1a hash of a sequence of actions.
class ActionDigest {
 public:
  void operator()(const Send& typedAction) {
    add(1, typedAction.id.value, typedAction.endpoint.value, typedAction.timeout);
  }
  void operator()(const Cancel& typedAction) { add(2, typedAction.id.value, typedAction.attempt); }
  void operator()(const Reject& typedAction) { add(3, typedAction.id.value, typedAction.retryAfter); }
  void operator()(const Fail& typedAction) { add(4, typedAction.id.value); }
  void operator()(const Release& typedAction) { add(5, typedAction.id.value); }
  void operator()(const SetTimer& typedAction) { add(6, typedAction.id.value, typedAction.delay); }
  void operator()(const Probe& typedAction) { add(7, typedAction.endpoint.value); }
  void operator()(const Subscribe&) { add(8); }
  // Covers the presence of a log line but not its text, which LogText tests.
  void operator()(const Log&) { add(9); }
  std::uint64_t value = 1469598103934665603ULL;

 private:
  template <class... Numbers>
  void add(Numbers... numbers) {
    (addNumber(static_cast<std::uint64_t>(numbers)), ...);
  }
  void addNumber(std::uint64_t number) {
    for (int i = 0; i < 8; ++i) addByte(static_cast<std::uint8_t>(number >> (8 * i)));
  }
  void addByte(std::uint8_t byte) { value = (value ^ byte) * 1099511628211ULL; }
};

struct RecordedCase {
  std::size_t endpoints, combinedEndpoints;
  double requestsPerSecond, failureShare;
  bool loadReports, restartEndpoints;
  std::uint64_t seed;
  std::uint64_t expected;
};

class RecordedStream : public testing::TestWithParam<RecordedCase> {};

TEST_P(RecordedStream, GivesTheSameActionsAsWhenItWasRecorded) {
  const RecordedCase recorded = GetParam();
  SimulationOptions options;
  options.endpoints = recorded.endpoints;
  options.combinedEndpoints = recorded.combinedEndpoints;
  options.requestsPerSecond = recorded.requestsPerSecond;
  options.failureShare = recorded.failureShare;
  options.loadReports = recorded.loadReports;
  options.restartEndpoints = recorded.restartEndpoints;
  options.durationSeconds = 14;
  options.sharedPrefixCount = recorded.seed % 2 ? 200 : 3;
  options.seed = recorded.seed;
  TrafficSimulation simulation(options);
  ActionDigest digest;
  simulation.run([&](Micros, const Event&, const std::vector<Action>& actions) {
    for (const Action& action : actions) std::visit(digest, action);
  });
  EXPECT_GT(simulation.completedRequests, simulation.arrivedRequests / 2);
  EXPECT_EQ(digest.value, recorded.expected) << std::hex << digest.value;
}

INSTANTIATE_TEST_SUITE_P(Streams, RecordedStream,
                         testing::Values(RecordedCase{10, 0, 300, 0, true, false, 1, 0x83811ca359965a8d},
                                         RecordedCase{10, 2, 300, 0.1, false, true, 2, 0xcc0185bfb59273d9},
                                         RecordedCase{40, 8, 200, 0.3, true, true, 3, 0x975505fc2c272dfe},
                                         RecordedCase{40, 0, 200, 0.05, false, false, 4, 0x1f76d856542a0b15},
                                         RecordedCase{100, 20, 150, 0.2, true, true, 5, 0xa53c262f884ec0ed}));

// The log lines of an ejection and of a reinstatement, which operators read.
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
