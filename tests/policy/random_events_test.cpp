// Delivers seeded random events to the policy and checks its actions with an independent implementation of
// the rules. Also tests that equal events give equal actions.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>

#include "policy/policy_driver.h"

namespace garnethook::test {
namespace {

// Checks the actions against the rules from the events and actions alone.
class RuleChecker {
 public:
  struct RequestState {
    void clearKvState() {
      hasKvState = false;
      kvStateHeldSince.reset();
    }
    RequestArrived request;
    Micros deadline = 0;
    Idempotency idempotency = Idempotency::idempotent;
    int sends = 0;
    bool inFlight = false;
    bool isPrefill = false;
    bool started = false;
    bool ended = false;
    bool possiblyExecuted = false;
    bool hasKvState = false;  // prefilled, and neither used by a started stream nor released
    std::optional<Micros> kvStateHeldSince;
  };

  void addViolation(const std::string& description) { violations.insert(description); }

  void checkAction(Micros now, const Action& action, const std::map<std::uint64_t, Role>& running) {
    if (const auto* send = std::get_if<Send>(&action)) return checkSend(*send, running);
    if (const auto* reject = std::get_if<Reject>(&action)) return final(now, reject->id.value, true);
    if (const auto* fail = std::get_if<Fail>(&action)) return final(now, fail->id.value, false);
    if (const auto* release = std::get_if<Release>(&action)) requests[release->id.value].clearKvState();
  }

  void checkDeadlines(Micros now) {
    for (auto& [id, state] : requests) {
      if (!state.ended && !state.started && now > state.deadline + 8 * kMs)
        addViolation("late final response");
      if (state.kvStateHeldSince && !state.inFlight && now > *state.kvStateHeldSince + 500 * kMs)
        addViolation("KV state held too long");
    }
  }

  std::map<std::uint64_t, RequestState> requests;
  std::set<std::string> violations;

 private:
  void checkSend(const Send& send, const std::map<std::uint64_t, Role>& running) {
    RequestState& state = requests[send.id.value];
    if (state.ended) addViolation("sent after the request ended");
    if (state.inFlight) addViolation("two attempts in flight");
    if (state.possiblyExecuted && state.idempotency == Idempotency::nonIdempotent)
      addViolation("non-idempotent request retried");
    if (!running.contains(send.endpoint.value)) addViolation("sent to an endpoint that is not running");
    if (++state.sends > settings().maxAttempts) addViolation("too many attempts");
    state.inFlight = true;
    const auto role = running.find(send.endpoint.value);
    state.isPrefill = role != running.end() && role->second == Role::prefill;
    if (!state.isPrefill) state.kvStateHeldSince.reset();
  }

  void final(Micros now, std::uint64_t id, bool rejected) {
    RequestState& state = requests[id];
    if (state.ended) addViolation("two final responses");
    if (rejected && state.idempotency == Idempotency::nonIdempotent &&
        (state.possiblyExecuted || state.inFlight))
      addViolation("non-idempotent request rejected");
    if (now > state.deadline + 8 * kMs) addViolation("late final response");
    state.ended = true;
  }
};

class RandomScenario {
 public:
  explicit RandomScenario(std::uint32_t seed) : random_(seed), driver_(settings(), seed) {
    for (std::uint64_t id = 1; id <= 12; ++id)
      entries_.push_back(endpoint(id, static_cast<KindIndex>(id % 3), id % 2, id % 2));
    sendSnapshot();
  }

  void run(int steps) {
    for (int i = 0; i < steps; ++i) step();
    for (int i = 0; i < 200; ++i) advanceTime(50 * kMs);
  }

  RuleChecker checker;
  const PolicyDriver& driver() const { return driver_; }

 private:
  std::uint64_t randomBelow(std::uint64_t limit) { return random_() % limit; }

  void step() {
    const auto randomChoice = randomBelow(100);
    if (randomChoice < 30) return deliverArrival();
    if (randomChoice < 75) return endAttempt();
    if (randomChoice < 80) return startStream();
    if (randomChoice < 82) return cancelRequest();
    if (randomChoice < 85) return changeEndpoint();
    advanceTime(static_cast<Micros>(randomBelow(40)) * kMs);
  }

  void checkActionsFrom(std::size_t firstIndex) {
    for (auto logIndex = firstIndex; logIndex < driver_.log.size(); ++logIndex)
      checker.checkAction(driver_.log[logIndex].first, driver_.log[logIndex].second, running_);
  }
  void deliver(const Event& event) {
    const auto logSizeBefore = driver_.log.size();
    driver_.deliver(event);
    checkActionsFrom(logSizeBefore);
  }
  void advanceTime(Micros duration) {
    for (Micros timeLeft = duration; timeLeft > 0; timeLeft -= 2 * kMs) {
      const auto logSizeBefore = driver_.log.size();
      driver_.advanceTime(2 * kMs);
      checkActionsFrom(logSizeBefore);
      checker.checkDeadlines(driver_.now);
    }
  }

  void sendSnapshot() {
    running_.clear();
    for (const auto& entry : entries_)
      if (entry.state == EndpointState::running)
        running_.emplace(entry.id.value, settings().kinds[*entry.kind].role);
    deliver(EndpointUpdate{EndpointUpdate::Kind::snapshot, entries_});
  }
  void changeEndpoint() {
    auto& entry = entries_[randomBelow(entries_.size())];
    entry.state = static_cast<EndpointState>(randomBelow(3));
    if (entry.state == EndpointState::running) entry.startedAt = driver_.now;
    sendSnapshot();
  }

  void deliverArrival() {
    auto request = driver_.newRequest(++lastRequestId_, static_cast<ClassIndex>(randomBelow(3)));
    request.session = {randomBelow(20)};
    request.sharedPrefix = {randomBelow(6)};
    request.promptTokens = static_cast<double>(randomBelow(9000));
    request.sharedPrefixTokens = static_cast<double>(randomBelow(4000));
    request.remaining = static_cast<Micros>(randomBelow(4000)) * kMs;
    checker.requests[lastRequestId_] = {.request = request,
                                        .deadline = driver_.now + request.remaining,
                                        .idempotency = settings().classes[*request.requestClass].idempotency};
    deliver(request);
  }

  std::optional<std::uint64_t> randomInFlightRequest() {
    std::vector<std::uint64_t> inFlight;
    for (const auto& [id, state] : checker.requests)
      if (state.inFlight) inFlight.push_back(id);
    if (inFlight.empty()) return std::nullopt;
    return inFlight[randomBelow(inFlight.size())];
  }

  void endAttempt() {
    const auto id = randomInFlightRequest();
    if (!id) return;
    auto& state = checker.requests[*id];
    auto outcome = static_cast<Outcome>(randomBelow(9));
    if (randomBelow(2) == 0) outcome = state.isPrefill ? Outcome::prefillDone : Outcome::completed;
    if (state.isPrefill && outcome == Outcome::completed) outcome = Outcome::prefillDone;
    if (!state.isPrefill && outcome == Outcome::prefillDone) outcome = Outcome::completed;
    const bool notExecuted = outcome == Outcome::rejected || outcome == Outcome::connectFailed ||
                             outcome == Outcome::notSent || state.isPrefill;
    state.possiblyExecuted = state.possiblyExecuted || !notExecuted;
    state.inFlight = false;
    if (outcome == Outcome::completed || state.started) state.ended = true;
    if (outcome == Outcome::prefillDone) state.hasKvState = true;
    if (outcome == Outcome::completed) state.clearKvState();
    if (state.hasKvState) state.kvStateHeldSince = driver_.now;
    AttemptEnded event{.id = {*id},
                       .attempt = state.sends - 1,
                       .endpoint = {driver_.lastEndpoint(*id)},
                       .outcome = outcome,
                       .requestEnded = state.ended};
    event.cachedTokens = static_cast<double>(randomBelow(2000));
    if (randomBelow(3) == 0)
      event.report = LoadReport{.memoryShare = 0.01 * static_cast<double>(randomBelow(130)),
                                .queuedKiloTokens = static_cast<double>(randomBelow(30))};
    deliver(event);
  }

  void startStream() {
    const auto id = randomInFlightRequest();
    if (!id || checker.requests[*id].isPrefill || checker.requests[*id].ended) return;
    checker.requests[*id].started = true;
    checker.requests[*id].clearKvState();
    deliver(StreamStarted{{*id}, checker.requests[*id].sends - 1});
  }

  void cancelRequest() {
    const auto id = randomInFlightRequest();
    if (!id || checker.requests[*id].started || checker.requests[*id].ended) return;
    checker.requests[*id].ended = true;
    deliver(RequestCancelled{{*id}});
  }

  std::mt19937 random_;
  PolicyDriver driver_;
  std::vector<EndpointEntry> entries_;
  std::map<std::uint64_t, Role> running_;
  std::uint64_t lastRequestId_ = 0;
};

TEST(RandomEvents, CauseNoRuleViolations) {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    RandomScenario scenario(seed);
    scenario.run(1800);
    EXPECT_EQ(scenario.checker.violations, std::set<std::string>{}) << "seed " << seed;
    EXPECT_GT(scenario.driver().log.size(), 2000u);
  }
}

TEST(RandomEvents, GiveEqualActionsWhenRepeated) {
  RandomScenario first(5);
  RandomScenario second(5);
  first.run(800);
  second.run(800);
  const auto& firstLog = first.driver().log;
  const auto& secondLog = second.driver().log;
  ASSERT_EQ(firstLog.size(), secondLog.size());
  for (std::size_t i = 0; i < firstLog.size(); ++i) {
    ASSERT_EQ(firstLog[i].second.index(), secondLog[i].second.index());
    if (const auto* send = std::get_if<Send>(&firstLog[i].second)) {
      EXPECT_EQ(send->endpoint, std::get<Send>(secondLog[i].second).endpoint);
      EXPECT_EQ(send->timeout, std::get<Send>(secondLog[i].second).timeout);
    }
  }
}

// Verifies that the checker itself detects violations of the rules.
TEST(RuleChecker, DetectsViolations) {
  const std::map<std::uint64_t, Role> running{{1, Role::prefill}, {11, Role::decode}};
  const auto violationsAfter = [&](auto violate) {
    RuleChecker checker;
    auto& state = checker.requests[1];
    state.deadline = 1000 * kMs;
    state.idempotency = Idempotency::nonIdempotent;
    violate(checker, state);
    return checker.violations;
  };
  using Violations = std::set<std::string>;
  EXPECT_EQ(violationsAfter([&](RuleChecker& ruleChecker, auto&) { ruleChecker.checkDeadlines(1010 * kMs); }),
            Violations{"late final response"});
  EXPECT_EQ(violationsAfter([&](RuleChecker& ruleChecker, auto&) {
              ruleChecker.checkAction(0, Fail{{1}}, running);
              ruleChecker.checkAction(0, Fail{{1}}, running);
            }),
            Violations{"two final responses"});
  EXPECT_EQ(violationsAfter([&](RuleChecker& ruleChecker, auto& state) {
              state.possiblyExecuted = true;
              ruleChecker.checkAction(0, Send{{1}, {11}}, running);
            }),
            Violations{"non-idempotent request retried"});
  EXPECT_EQ(violationsAfter([&](RuleChecker& ruleChecker, auto& state) {
              state.possiblyExecuted = true;
              ruleChecker.checkAction(0, Reject{{1}}, running);
            }),
            Violations{"non-idempotent request rejected"});
  EXPECT_EQ(violationsAfter([&](RuleChecker& ruleChecker, auto&) {
              ruleChecker.checkAction(0, Send{{1}, {5}}, running);
            }),
            Violations{"sent to an endpoint that is not running"});
  EXPECT_EQ(violationsAfter([&](RuleChecker& ruleChecker, auto& state) {
              state.kvStateHeldSince = 0;
              ruleChecker.checkDeadlines(600 * kMs);
            }),
            Violations{"KV state held too long"});
  EXPECT_EQ(violationsAfter([&](RuleChecker& ruleChecker, auto&) {
              ruleChecker.checkAction(0, Send{{1}, {1}}, running);
              ruleChecker.checkAction(0, Send{{1}, {1}}, running);
            }),
            Violations{"two attempts in flight"});
}

}  // namespace
}  // namespace garnethook::test
