// A small scripted world around one RoutingPolicy: a clock, its timers, and a log of its actions.
#pragma once

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "policy/routing_policy.h"

namespace garnethook::test {

constexpr Micros kMs = 1000;
constexpr Micros kSec = 1'000'000;

// Indices of the classes and kinds of settings().
enum ClassIndex : std::size_t { kIdempotent, kIdempotentWithKey, kNonIdempotent };
enum KindIndex : std::size_t { kPrefill, kDecode, kCombined };

inline Settings settings() {
  Settings settings;
  settings.classes = {
      {.ttftObjective = kSec,
       .ttftObjectivePerKiloToken = 60 * kMs,
       .deadline = 5 * kSec,
       .timePerOutputTokenObjective = 50 * kMs},
      {.ttftObjective = kSec,
       .deadline = 5 * kSec,
       .timePerOutputTokenObjective = 50 * kMs,
       .idempotency = Idempotency::idempotentWithKey,
       .deduplicationScope = DeduplicationScope::zone,
       .deduplicationWindow = 2 * kSec},
      {.ttftObjective = kSec,
       .deadline = 5 * kSec,
       .timePerOutputTokenObjective = 50 * kMs,
       .idempotency = Idempotency::nonIdempotent},
  };
  settings.kinds = {{Role::prefill, 200'000}, {Role::decode, 100'000}, {Role::combined, 100'000}};
  settings.zones = 2;
  settings.routers = 2;
  settings.maxAttempts = 4;
  settings.canCancel = true;
  settings.kvReleaseTimeout = 500 * kMs;
  settings.answerSlack = 8 * kMs;
  settings.connectTimeout = 250 * kMs;
  settings.warmUpMinCapacity = 0.3;
  settings.warmUpDuration = 14 * kSec;
  settings.overloadMultiple = 2.5;
  settings.overloadWindow = 2 * kSec;
  return settings;
}

inline EndpointEntry endpoint(std::uint64_t id, KindIndex kind, std::uint64_t cell = 0,
                              std::size_t zone = 0) {
  return {.id = {id}, .zone = zone, .kind = kind, .cell = cell};
}

class PolicyDriver {
 public:
  explicit PolicyDriver(const Settings& settings, std::uint64_t seed = 1) : policy_(settings, seed) {}

  // Delivers an event; returns the actions that answered it.
  std::vector<Action> deliver(const Event& event) {
    std::vector<Action> actions;
    policy_.handle(now, event, actions);
    for (const Action& action : actions) {
      log.emplace_back(now, action);
      if (const auto* timer = std::get_if<SetTimer>(&action)) timers_.emplace(now + timer->delay, timer->id);
    }
    return actions;
  }

  std::vector<Action> setEndpoints(std::vector<EndpointEntry> entries,
                                   EndpointUpdate::Kind kind = EndpointUpdate::Kind::snapshot) {
    return deliver(EndpointUpdate{kind, std::move(entries)});
  }

  // Lets time pass, firing the timers that come due.
  void advanceTime(Micros time) {
    const Micros until = now + time;
    while (!timers_.empty() && timers_.begin()->first <= until) {
      const auto [at, id] = *timers_.begin();
      timers_.erase(timers_.begin());
      now = std::max(now, at);
      deliver(TimerFired{id});
    }
    now = until;
  }

  RequestArrived newRequest(std::uint64_t id, ClassIndex requestClass = kIdempotent) const {
    return {.id = {id},
            .requestClass = requestClass,
            .remaining = 5 * kSec,
            .session = {id + 1000},
            .promptTokens = 1000,
            .maxOutput = 200};
  }

  // The latest send of a request, or nullptr.
  const Send* lastSend(std::uint64_t id) const {
    const auto at = std::find_if(log.rbegin(), log.rend(), [&](const auto& item) {
      const auto* send = std::get_if<Send>(&item.second);
      return send != nullptr && send->id.value == id;
    });
    return at == log.rend() ? nullptr : &std::get<Send>(at->second);
  }
  // Where the latest send of a request went; 0: there was none.
  std::uint64_t lastEndpoint(std::uint64_t id) const {
    return lastSend(id) == nullptr ? 0 : lastSend(id)->endpoint.value;
  }

  // How many actions of a kind a request had.
  template <class Kind>
  int count(std::uint64_t id) const {
    return static_cast<int>(std::count_if(log.begin(), log.end(), [&](const auto& item) {
      const auto* action = std::get_if<Kind>(&item.second);
      return action != nullptr && action->id.value == id;
    }));
  }

  // Ends the latest attempt of a request.
  std::vector<Action> endAttempt(std::uint64_t id, Outcome outcome, double cachedTokens = 0,
                                 bool kvStateMissing = false) {
    AttemptEnded event{
        .id = {id}, .attempt = count<Send>(id) - 1, .endpoint = {lastEndpoint(id)}, .outcome = outcome};
    event.cachedTokens = cachedTokens;
    event.kvStateMissing = kvStateMissing;
    event.requestEnded = outcome == Outcome::completed;
    return deliver(event);
  }

  // A whole ordinary request, prefilled in `prefillTime` and answered after 100 ms. Returns its prefill
  // endpoint.
  std::uint64_t serve(const RequestArrived& request, Micros prefillTime = 60 * kMs, double cachedTokens = 0) {
    const std::uint64_t id = request.id.value;
    deliver(request);
    const std::uint64_t prefillEndpoint = lastEndpoint(id);
    advanceTime(prefillTime);
    endAttempt(id, Outcome::prefillDone, cachedTokens);
    advanceTime(20 * kMs);
    deliver(StreamStarted{request.id, count<Send>(id) - 1});
    advanceTime(80 * kMs);
    endAttempt(id, Outcome::completed);
    return prefillEndpoint;
  }

  Micros now = kSec;
  std::vector<std::pair<Micros, Action>> log;

 private:
  RoutingPolicy policy_;
  std::multimap<Micros, TimerId> timers_;
};

}  // namespace garnethook::test
