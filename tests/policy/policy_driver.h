// Test driver for one RoutingPolicy: simulates the clock and the timers, and records all actions.
#pragma once

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "policy/routing_policy.h"

namespace garnethook::test {

constexpr Micros kMs = 1000;
constexpr Micros kSec = 1'000'000;

// Indices into the classes and kinds of settings().
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

  // Delivers an event and returns the resulting actions.
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

  // Advances the clock and fires the timers that expire.
  void advanceTime(Micros duration) {
    const Micros endTime = now + duration;
    while (!timers_.empty() && timers_.begin()->first <= endTime) {
      const auto [expiry, id] = *timers_.begin();
      timers_.erase(timers_.begin());
      now = std::max(now, expiry);
      deliver(TimerFired{id});
    }
    now = endTime;
  }

  RequestArrived newRequest(std::uint64_t id, ClassIndex requestClass = kIdempotent) const {
    return {.id = {id},
            .requestClass = requestClass,
            .remaining = 5 * kSec,
            .session = {id + 1000},
            .promptTokens = 1000,
            .maxOutput = 200};
  }

  // Returns the latest send of a request, or nullptr if there is none.
  const Send* lastSend(std::uint64_t id) const {
    const auto found = std::find_if(log.rbegin(), log.rend(), [&](const auto& record) {
      const auto* send = std::get_if<Send>(&record.second);
      return send != nullptr && send->id.value == id;
    });
    return found == log.rend() ? nullptr : &std::get<Send>(found->second);
  }
  // Returns the endpoint of the latest send of a request, or 0 if there is none.
  std::uint64_t lastEndpoint(std::uint64_t id) const {
    return lastSend(id) == nullptr ? 0 : lastSend(id)->endpoint.value;
  }

  // Returns the number of actions of a type that refer to a request.
  template <class ActionType>
  int count(std::uint64_t id) const {
    return static_cast<int>(std::count_if(log.begin(), log.end(), [&](const auto& record) {
      const auto* action = std::get_if<ActionType>(&record.second);
      return action != nullptr && action->id.value == id;
    }));
  }

  // Ends the latest attempt of a request with an outcome and returns the resulting actions.
  std::vector<Action> endAttempt(std::uint64_t id, Outcome outcome, double cachedTokens = 0,
                                 bool kvStateMissing = false) {
    AttemptEnded event{
        .id = {id}, .attempt = count<Send>(id) - 1, .endpoint = {lastEndpoint(id)}, .outcome = outcome};
    event.cachedTokens = cachedTokens;
    event.kvStateMissing = kvStateMissing;
    event.requestEnded = outcome == Outcome::completed;
    return deliver(event);
  }

  // Runs a request to completion: its prefill takes `prefillTime`, and its decode completes 100 ms later.
  // Returns the prefill endpoint.
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
