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
  struct Known {
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

  void breach(const std::string& what) { breaches.insert(what); }

  void action(Micros now, const Action& action, const std::map<std::uint64_t, Role>& running) {
    if (const auto* send = std::get_if<Send>(&action)) return sent(*send, running);
    if (const auto* reject = std::get_if<Reject>(&action)) return final(now, reject->id.value, true);
    if (const auto* fail = std::get_if<Fail>(&action)) return final(now, fail->id.value, false);
    if (const auto* release = std::get_if<Release>(&action)) known[release->id.value].drop();
  }

  void time(Micros now) {
    for (auto& [id, k] : known) {
      if (!k.ended && !k.started && now > k.deadline + 8 * kMs) breach("late answer");
      if (k.heldSince && !k.inFlight && now > *k.heldSince + 500 * kMs) breach("KV state held too long");
    }
  }

  std::map<std::uint64_t, Known> known;
  std::set<std::string> breaches;

 private:
  void sent(const Send& send, const std::map<std::uint64_t, Role>& running) {
    Known& k = known[send.id.value];
    if (k.ended) breach("sent after the end");
    if (k.inFlight) breach("two attempts in flight");
    if (k.possiblyExecuted && k.idempotency == Idempotency::nonIdempotent)
      breach("non-idempotent request retried");
    if (!running.contains(send.endpoint.value)) breach("sent to a drained endpoint");
    if (++k.sends > settings().maxAttempts) breach("too many attempts");
    k.inFlight = true;
    const auto role = running.find(send.endpoint.value);
    k.isPrefill = role != running.end() && role->second == Role::prefill;
    if (!k.isPrefill) k.heldSince.reset();
  }

  void final(Micros now, std::uint64_t id, bool rejected) {
    Known& k = known[id];
    if (k.ended) breach("two answers");
    if (rejected && k.idempotency == Idempotency::nonIdempotent && (k.possiblyExecuted || k.inFlight))
      breach("non-idempotent request rejected");
    if (now > k.deadline + 8 * kMs) breach("late answer");
    k.ended = true;
  }
};

class RandomScenario {
 public:
  explicit RandomScenario(std::uint32_t seed) : random_(seed), driver_(settings(), seed) {
    for (std::uint64_t id = 1; id <= 12; ++id)
      entries_.push_back(endpoint(id, static_cast<KindIndex>(id % 3), id % 2, id % 2));
    relist();
  }

  void run(int steps) {
    for (int i = 0; i < steps; ++i) step();
    for (int i = 0; i < 200; ++i) pass(50 * kMs);
  }

  RuleChecker checker;
  const PolicyDriver& driver() const { return driver_; }

 private:
  std::uint64_t below(std::uint64_t n) { return random_() % n; }

  void step() {
    const auto dice = below(100);
    if (dice < 30) return arrive();
    if (dice < 75) return endOne();
    if (dice < 80) return startOne();
    if (dice < 82) return cancelOne();
    if (dice < 85) return change();
    pass(static_cast<Micros>(below(40)) * kMs);
  }

  void note(std::size_t from) {
    for (auto at = from; at < driver_.log.size(); ++at)
      checker.action(driver_.log[at].first, driver_.log[at].second, running_);
  }
  void give(const Event& event) {
    const auto from = driver_.log.size();
    driver_.deliver(event);
    note(from);
  }
  void pass(Micros time) {
    for (Micros left = time; left > 0; left -= 2 * kMs) {
      const auto from = driver_.log.size();
      driver_.advanceTime(2 * kMs);
      note(from);
      checker.time(driver_.now);
    }
  }

  void relist() {
    running_.clear();
    for (const auto& e : entries_)
      if (e.state == EndpointState::running) running_.emplace(e.id.value, settings().kinds[*e.kind].role);
    give(EndpointUpdate{EndpointUpdate::Kind::snapshot, entries_});
  }
  void change() {
    auto& e = entries_[below(entries_.size())];
    e.state = static_cast<EndpointState>(below(3));
    if (e.state == EndpointState::running) e.startedAt = driver_.now;
    relist();
  }

  void arrive() {
    auto request = driver_.newRequest(++last_, static_cast<ClassIndex>(below(3)));
    request.session = {below(20)};
    request.sharedPrefix = {below(6)};
    request.promptTokens = static_cast<double>(below(9000));
    request.sharedPrefixTokens = static_cast<double>(below(4000));
    request.remaining = static_cast<Micros>(below(4000)) * kMs;
    checker.known[last_] = {.request = request,
                            .deadline = driver_.now + request.remaining,
                            .idempotency = settings().classes[*request.requestClass].idempotency};
    give(request);
  }

  std::optional<std::uint64_t> pick() {
    std::vector<std::uint64_t> out;
    for (const auto& [id, k] : checker.known)
      if (k.inFlight) out.push_back(id);
    if (out.empty()) return std::nullopt;
    return out[below(out.size())];
  }

  void endOne() {
    const auto id = pick();
    if (!id) return;
    auto& k = checker.known[*id];
    auto outcome = static_cast<Outcome>(below(9));
    if (below(2) == 0) outcome = k.isPrefill ? Outcome::prefillDone : Outcome::completed;
    if (k.isPrefill && outcome == Outcome::completed) outcome = Outcome::prefillDone;
    if (!k.isPrefill && outcome == Outcome::prefillDone) outcome = Outcome::completed;
    const bool notExecuted = outcome == Outcome::rejected || outcome == Outcome::connectFailed ||
                             outcome == Outcome::notSent || k.isPrefill;
    k.possiblyExecuted = k.possiblyExecuted || !notExecuted;
    k.inFlight = false;
    if (outcome == Outcome::completed || k.started) k.ended = true;
    if (outcome == Outcome::prefillDone) k.hasKvState = true;
    if (outcome == Outcome::completed) k.drop();
    if (k.hasKvState) k.heldSince = driver_.now;
    AttemptEnded event{.id = {*id},
                       .attempt = k.sends - 1,
                       .endpoint = {driver_.lastEndpoint(*id)},
                       .outcome = outcome,
                       .requestEnded = k.ended};
    event.cachedTokens = static_cast<double>(below(2000));
    if (below(3) == 0)
      event.report = LoadReport{.memoryShare = 0.01 * static_cast<double>(below(130)),
                                .queuedKiloTokens = static_cast<double>(below(30))};
    give(event);
  }

  void startOne() {
    const auto id = pick();
    if (!id || checker.known[*id].isPrefill || checker.known[*id].ended) return;
    checker.known[*id].started = true;
    checker.known[*id].drop();
    give(StreamStarted{{*id}, checker.known[*id].sends - 1});
  }

  void cancelOne() {
    const auto id = pick();
    if (!id || checker.known[*id].started || checker.known[*id].ended) return;
    checker.known[*id].ended = true;
    give(RequestCancelled{{*id}});
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
    auto& k = checker.known[1];
    k.deadline = 1000 * kMs;
    k.idempotency = Idempotency::nonIdempotent;
    script(checker, k);
    return checker.breaches;
  };
  using Set = std::set<std::string>;
  EXPECT_EQ(after([&](RuleChecker& c, auto&) { c.time(1010 * kMs); }), Set{"late answer"});
  EXPECT_EQ(after([&](RuleChecker& c, auto&) {
              c.action(0, Fail{{1}}, running);
              c.action(0, Fail{{1}}, running);
            }),
            Set{"two answers"});
  EXPECT_EQ(after([&](RuleChecker& c, auto& k) {
              k.possiblyExecuted = true;
              c.action(0, Send{{1}, {11}}, running);
            }),
            Set{"non-idempotent request retried"});
  EXPECT_EQ(after([&](RuleChecker& c, auto& k) {
              k.possiblyExecuted = true;
              c.action(0, Reject{{1}}, running);
            }),
            Set{"non-idempotent request rejected"});
  EXPECT_EQ(after([&](RuleChecker& c, auto&) {
              c.action(0, Send{{1}, {5}}, running);
            }),
            Set{"sent to a drained endpoint"});
  EXPECT_EQ(after([&](RuleChecker& c, auto& k) {
              k.heldSince = 0;
              c.time(600 * kMs);
            }),
            Set{"KV state held too long"});
  EXPECT_EQ(after([&](RuleChecker& c, auto&) {
              c.action(0, Send{{1}, {1}}, running);
              c.action(0, Send{{1}, {1}}, running);
            }),
            Set{"two attempts in flight"});
}

}  // namespace
}  // namespace garnethook::test
