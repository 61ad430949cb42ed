// Seeded random events under an independent checker of the rules; and that equal events give equal actions.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>

#include "policy/policy_driver.h"

namespace garnethook::test {
namespace {

// Checks what is sent against the rules, knowing only events and actions.
class RuleChecker {
 public:
  struct RequestState {
    void drop() {
      hasKvState = false;
      heldSince.reset();
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
    bool hasKvState = false;  // prefilled, and neither streamed nor released
    std::optional<Micros> heldSince;
  };

  void addBreach(const std::string& what) { breaches.insert(what); }

  void action(Micros now, const Action& action, const std::map<std::uint64_t, Role>& running) {
    if (const auto* send = std::get_if<Send>(&action)) return sent(*send, running);
    if (const auto* reject = std::get_if<Reject>(&action)) return final(now, reject->id.value, true);
    if (const auto* fail = std::get_if<Fail>(&action)) return final(now, fail->id.value, false);
    if (const auto* release = std::get_if<Release>(&action)) requests[release->id.value].drop();
  }

  void time(Micros now) {
    for (auto& [id, state] : requests) {
      if (!state.ended && !state.started && now > state.deadline + 8 * kMs) addBreach("late answer");
      if (state.heldSince && !state.inFlight && now > *state.heldSince + 500 * kMs)
        addBreach("KV state held too long");
    }
  }

  std::map<std::uint64_t, RequestState> requests;
  std::set<std::string> breaches;

 private:
  void sent(const Send& send, const std::map<std::uint64_t, Role>& running) {
    RequestState& state = requests[send.id.value];
    if (state.ended) addBreach("sent after the end");
    if (state.inFlight) addBreach("two attempts in flight");
    if (state.possiblyExecuted && state.idempotency == Idempotency::nonIdempotent)
      addBreach("non-idempotent request retried");
    if (!running.contains(send.endpoint.value)) addBreach("sent to a drained endpoint");
    if (++state.sends > settings().maxAttempts) addBreach("too many attempts");
    state.inFlight = true;
    const auto role = running.find(send.endpoint.value);
    state.isPrefill = role != running.end() && role->second == Role::prefill;
    if (!state.isPrefill) state.heldSince.reset();
  }

  void final(Micros now, std::uint64_t id, bool rejected) {
    RequestState& state = requests[id];
    if (state.ended) addBreach("two answers");
    if (rejected && state.idempotency == Idempotency::nonIdempotent &&
        (state.possiblyExecuted || state.inFlight))
      addBreach("non-idempotent request rejected");
    if (now > state.deadline + 8 * kMs) addBreach("late answer");
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
  std::uint64_t below(std::uint64_t n) { return random_() % n; }

  void step() {
    const auto dice = below(100);
    if (dice < 30) return arrive();
    if (dice < 75) return endAttempt();
    if (dice < 80) return startStream();
    if (dice < 82) return cancelRequest();
    if (dice < 85) return changeEndpoint();
    advanceTime(static_cast<Micros>(below(40)) * kMs);
  }

  void checkFrom(std::size_t from) {
    for (auto at = from; at < driver_.log.size(); ++at)
      checker.action(driver_.log[at].first, driver_.log[at].second, running_);
  }
  void deliver(const Event& event) {
    const auto from = driver_.log.size();
    driver_.deliver(event);
    checkFrom(from);
  }
  void advanceTime(Micros time) {
    for (Micros left = time; left > 0; left -= 2 * kMs) {
      const auto from = driver_.log.size();
      driver_.advanceTime(2 * kMs);
      checkFrom(from);
      checker.time(driver_.now);
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
    auto& entry = entries_[below(entries_.size())];
    entry.state = static_cast<EndpointState>(below(3));
    if (entry.state == EndpointState::running) entry.startedAt = driver_.now;
    sendSnapshot();
  }

  void arrive() {
    auto request = driver_.newRequest(++last_, static_cast<ClassIndex>(below(3)));
    request.session = {below(20)};
    request.sharedPrefix = {below(6)};
    request.promptTokens = static_cast<double>(below(9000));
    request.sharedPrefixTokens = static_cast<double>(below(4000));
    request.remaining = static_cast<Micros>(below(4000)) * kMs;
    checker.requests[last_] = {.request = request,
                               .deadline = driver_.now + request.remaining,
                               .idempotency = settings().classes[*request.requestClass].idempotency};
    deliver(request);
  }

  std::optional<std::uint64_t> drawInFlight() {
    std::vector<std::uint64_t> inFlight;
    for (const auto& [id, state] : checker.requests)
      if (state.inFlight) inFlight.push_back(id);
    if (inFlight.empty()) return std::nullopt;
    return inFlight[below(inFlight.size())];
  }

  void endAttempt() {
    const auto id = drawInFlight();
    if (!id) return;
    auto& state = checker.requests[*id];
    auto outcome = static_cast<Outcome>(below(9));
    if (below(2) == 0) outcome = state.isPrefill ? Outcome::prefillDone : Outcome::completed;
    if (state.isPrefill && outcome == Outcome::completed) outcome = Outcome::prefillDone;
    if (!state.isPrefill && outcome == Outcome::prefillDone) outcome = Outcome::completed;
    const bool notExecuted = outcome == Outcome::rejected || outcome == Outcome::connectFailed ||
                             outcome == Outcome::notSent || state.isPrefill;
    state.possiblyExecuted = state.possiblyExecuted || !notExecuted;
    state.inFlight = false;
    if (outcome == Outcome::completed || state.started) state.ended = true;
    if (outcome == Outcome::prefillDone) state.hasKvState = true;
    if (outcome == Outcome::completed) state.drop();
    if (state.hasKvState) state.heldSince = driver_.now;
    AttemptEnded event{.id = {*id},
                       .attempt = state.sends - 1,
                       .endpoint = {driver_.lastEndpoint(*id)},
                       .outcome = outcome,
                       .requestEnded = state.ended};
    event.cachedTokens = static_cast<double>(below(2000));
    if (below(3) == 0)
      event.report = LoadReport{.memoryShare = 0.01 * static_cast<double>(below(130)),
                                .queuedKiloTokens = static_cast<double>(below(30))};
    deliver(event);
  }

  void startStream() {
    const auto id = drawInFlight();
    if (!id || checker.requests[*id].isPrefill || checker.requests[*id].ended) return;
    checker.requests[*id].started = true;
    checker.requests[*id].drop();
    deliver(StreamStarted{{*id}, checker.requests[*id].sends - 1});
  }

  void cancelRequest() {
    const auto id = drawInFlight();
    if (!id || checker.requests[*id].started || checker.requests[*id].ended) return;
    checker.requests[*id].ended = true;
    deliver(RequestCancelled{{*id}});
  }

  std::mt19937 random_;
  PolicyDriver driver_;
  std::vector<EndpointEntry> entries_;
  std::map<std::uint64_t, Role> running_;
  std::uint64_t last_ = 0;
};

TEST(RandomEvents, KeepTheRules) {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    RandomScenario scenario(seed);
    scenario.run(1800);
    EXPECT_EQ(scenario.checker.breaches, std::set<std::string>{}) << "seed " << seed;
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

// The checker must see each breach.
TEST(RuleChecker, CatchesEachBreach) {
  const std::map<std::uint64_t, Role> running{{1, Role::prefill}, {11, Role::decode}};
  const auto after = [&](auto script) {
    RuleChecker checker;
    auto& state = checker.requests[1];
    state.deadline = 1000 * kMs;
    state.idempotency = Idempotency::nonIdempotent;
    script(checker, state);
    return checker.breaches;
  };
  using Set = std::set<std::string>;
  EXPECT_EQ(after([&](RuleChecker& tested, auto&) { tested.time(1010 * kMs); }), Set{"late answer"});
  EXPECT_EQ(after([&](RuleChecker& tested, auto&) {
              tested.action(0, Fail{{1}}, running);
              tested.action(0, Fail{{1}}, running);
            }),
            Set{"two answers"});
  EXPECT_EQ(after([&](RuleChecker& tested, auto& state) {
              state.possiblyExecuted = true;
              tested.action(0, Send{{1}, {11}}, running);
            }),
            Set{"non-idempotent request retried"});
  EXPECT_EQ(after([&](RuleChecker& tested, auto& state) {
              state.possiblyExecuted = true;
              tested.action(0, Reject{{1}}, running);
            }),
            Set{"non-idempotent request rejected"});
  EXPECT_EQ(after([&](RuleChecker& tested, auto&) {
              tested.action(0, Send{{1}, {5}}, running);
            }),
            Set{"sent to a drained endpoint"});
  EXPECT_EQ(after([&](RuleChecker& tested, auto& state) {
              state.heldSince = 0;
              tested.time(600 * kMs);
            }),
            Set{"KV state held too long"});
  EXPECT_EQ(after([&](RuleChecker& tested, auto&) {
              tested.action(0, Send{{1}, {1}}, running);
              tested.action(0, Send{{1}, {1}}, running);
            }),
            Set{"two attempts in flight"});
}

}  // namespace
}  // namespace garnethook::test
