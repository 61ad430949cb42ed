// A request that is given up on is answered at once, and its client told when to come back.
#include <gtest/gtest.h>

#include <set>

#include "policy/policy_driver.h"

namespace garnethook::test {
namespace {

Settings telling() {
  auto s = settings();
  s.passesRetryAfter = true;
  s.maxRetryAfter = 500 * kMs;
  return s;
}

const Reject* rejection(const std::vector<Action>& actions) {
  for (const auto& action : actions)
    if (const auto* refuse = std::get_if<Reject>(&action)) return refuse;
  return nullptr;
}

// Requests at one reader until one is refused; that refusal.
Reject untilRefused(Driver& d) {
  for (std::uint64_t id = 1; id < 200; ++id) {
    auto request = d.request(id);
    request.promptTokens = 5000;
    if (const auto actions = d.give(request); rejection(actions) != nullptr) return *rejection(actions);
  }
  ADD_FAILURE() << "never refused";
  return {};
}

TEST(RetryAfter, IsToldOnlyWhereItIsPassedOn) {
  Driver silent(settings());
  Driver telling_(telling());
  for (auto* d : {&silent, &telling_}) d->list({endpoint(1, kReader), endpoint(11, kWriter)});
  EXPECT_EQ(untilRefused(silent).retryAfter, 0);
  EXPECT_GT(untilRefused(telling_).retryAfter, 0);
}

TEST(RetryAfter, NeverPassesWhatClientsObserve) {
  Driver d(telling());
  d.list({endpoint(1, kReader), endpoint(11, kWriter)});
  untilRefused(d);
  for (std::uint64_t id = 500; id < 520; ++id) {
    auto request = d.request(id);
    request.promptTokens = 80'000;  // seconds too late
    const auto actions = d.give(request);
    ASSERT_NE(rejection(actions), nullptr);
    EXPECT_LE(rejection(actions)->retryAfter, 500 * kMs);
    EXPECT_GE(rejection(actions)->retryAfter, 250 * kMs);
  }
}

TEST(RetryAfter, GrowsWithWhatIsInTheWay) {
  auto s = telling();
  s.maxRetryAfter = 60 * kSec;
  Driver d(s);
  d.list({endpoint(1, kReader), endpoint(11, kWriter)});
  const auto shortWait = untilRefused(d).retryAfter;
  auto request = d.request(500);
  request.promptTokens = 80'000;
  const auto actions = d.give(request);
  ASSERT_NE(rejection(actions), nullptr);
  EXPECT_GT(rejection(actions)->retryAfter, 4 * shortWait);
}

TEST(RetryAfter, SpreadsClientsThatAreRefusedTogether) {
  std::set<Micros> told;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    Driver d(telling(), seed);
    d.list({endpoint(1, kReader), endpoint(11, kWriter)});
    told.insert(untilRefused(d).retryAfter / kMs);
  }
  EXPECT_GT(told.size(), 10u);
}

TEST(AtOnce, NoServerListed) {
  Driver d(telling());
  d.list({});
  const auto actions = d.give(d.request(1));
  ASSERT_NE(rejection(actions), nullptr);
  EXPECT_GT(rejection(actions)->retryAfter, 0);
}

TEST(AtOnce, NoServerThatReads) {
  Driver d(settings());
  d.list({endpoint(11, kWriter)});
  EXPECT_NE(rejection(d.give(d.request(1))), nullptr);
}

// Reader 1 is full for a moment: it may yet serve, so that is waited for.
TEST(AtOnce, NotWhereAFullReaderMayYetServe) {
  Driver d(settings());
  d.list({endpoint(1, kReader), endpoint(11, kWriter)});
  d.give(d.request(1));
  const auto actions = d.end(1, Outcome::rejected);
  EXPECT_EQ(rejection(actions), nullptr);
  d.pass(400 * kMs);
  EXPECT_EQ(d.count<Reject>(1), 0);
  EXPECT_EQ(d.count<Send>(1), 2);
}

// The same, but the prompt's read alone would take past the aim.
TEST(AtOnce, AFullReaderThatIsTooSlowIsNotWaitedFor) {
  Driver d(settings());
  d.list({endpoint(1, kReader), endpoint(11, kWriter)});
  d.give(d.request(1));
  d.end(1, Outcome::rejected);
  auto request = d.request(2);
  request.promptTokens = 100'000;
  EXPECT_NE(rejection(d.give(request)), nullptr);
}

// The last writer leaves while a prompt is read: its state waits for nobody.
TEST(AtOnce, AStateThatNobodyCanTake) {
  Driver d(settings());
  d.list({endpoint(1, kReader), endpoint(11, kWriter)});
  d.give(d.request(1));
  d.list({endpoint(1, kReader)});
  const auto actions = d.end(1, Outcome::prefillDone);
  EXPECT_NE(rejection(actions), nullptr);
  EXPECT_EQ(d.count<Release>(1), 1);
}

TEST(AtOnce, AStateWaitsForAFullWriterWhileThatMayBeInTime) {
  Driver d(settings());
  d.list({endpoint(1, kReader), endpoint(11, kWriter)});
  d.give(d.request(1));
  d.end(1, Outcome::prefillDone);
  EXPECT_EQ(rejection(d.end(1, Outcome::rejected)), nullptr);
  d.pass(200 * kMs);
  EXPECT_EQ(d.count<Reject>(1), 0);
  EXPECT_EQ(d.count<Send>(1), 3);
}

// The read ends right before the deadline: no writer can be in time, so the writer that is full is not waited
// for.
TEST(AtOnce, AStateThatComesTooLate) {
  Driver d(settings());
  d.list({endpoint(1, kReader), endpoint(11, kWriter)});
  auto request = d.request(1);
  request.remaining = 700 * kMs;
  d.give(request);
  d.pass(20 * kMs);
  d.end(1, Outcome::prefillDone);
  d.pass(650 * kMs);
  EXPECT_NE(rejection(d.end(1, Outcome::rejected)), nullptr);
}

TEST(AtOnce, AfterTheLastAttempt) {
  auto s = settings();
  s.maxAttempts = 2;
  Driver d(s);
  d.list({endpoint(1, kReader), endpoint(2, kReader), endpoint(11, kWriter)});
  d.give(d.request(1));
  EXPECT_EQ(rejection(d.end(1, Outcome::connectFailed)), nullptr);
  EXPECT_NE(rejection(d.end(1, Outcome::connectFailed)), nullptr);
}

}  // namespace
}  // namespace garnethook::test
