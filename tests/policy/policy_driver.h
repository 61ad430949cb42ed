// A small scripted world around one RoutingPolicy: a clock, its timers, and a log of what it did.
#pragma once

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "policy/routing_policy.h"

namespace garnethook::test {

constexpr Micros kMs = 1000;
constexpr Micros kSec = 1'000'000;

enum ClassIndex : std::size_t { kSafe, kKeyed, kUnsafe };
enum KindIndex : std::size_t { kReader, kWriter, kMixed };

inline Settings settings() {
  Settings s;
  s.classes = {
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
  s.kinds = {{Role::prefill, 200'000}, {Role::decode, 100'000}, {Role::combined, 100'000}};
  s.zones = 2;
  s.routers = 2;
  s.maxAttempts = 4;
  s.canCancel = true;
  s.kvReleaseTimeout = 500 * kMs;
  s.answerSlack = 8 * kMs;
  s.connectTimeout = 250 * kMs;
  s.warmUpMinCapacity = 0.3;
  s.warmUpDuration = 14 * kSec;
  s.overloadMultiple = 2.5;
  s.overloadWindow = 2 * kSec;
  return s;
}

inline EndpointEntry endpoint(std::uint64_t id, KindIndex kind, std::uint64_t cell = 0,
                              std::size_t zone = 0) {
  return {.id = {id}, .zone = zone, .kind = kind, .cell = cell};
}

class Driver {
 public:
  explicit Driver(const Settings& s, std::uint64_t seed = 1) : brain_(s, seed) {}

  // Delivers an event; returns the actions that answered it.
  std::vector<Action> give(const Event& event) {
    std::vector<Action> actions;
    brain_.handle(now, event, actions);
    for (const Action& action : actions) {
      log.emplace_back(now, action);
      if (const auto* timer = std::get_if<SetTimer>(&action)) timers_.emplace(now + timer->delay, timer->id);
    }
    return actions;
  }

  std::vector<Action> list(std::vector<EndpointEntry> entries,
                           EndpointUpdate::Kind kind = EndpointUpdate::Kind::snapshot) {
    return give(EndpointUpdate{kind, std::move(entries)});
  }

  // Lets time pass, firing what comes due.
  void pass(Micros time) {
    const Micros until = now + time;
    while (!timers_.empty() && timers_.begin()->first <= until) {
      const auto [at, id] = *timers_.begin();
      timers_.erase(timers_.begin());
      now = std::max(now, at);
      give(TimerFired{id});
    }
    now = until;
  }

  RequestArrived request(std::uint64_t id, ClassIndex kind = kSafe) const {
    return {.id = {id},
            .requestClass = kind,
            .remaining = 5 * kSec,
            .session = {id + 1000},
            .promptTokens = 1000,
            .maxOutput = 200};
  }

  // The latest send of a request, if any.
  const Send* sent(std::uint64_t id) const {
    const auto at = std::find_if(log.rbegin(), log.rend(), [&](const auto& item) {
      const auto* send = std::get_if<Send>(&item.second);
      return send != nullptr && send->id.value == id;
    });
    return at == log.rend() ? nullptr : &std::get<Send>(at->second);
  }
  std::uint64_t sentTo(std::uint64_t id) const { return sent(id) == nullptr ? 0 : sent(id)->endpoint.value; }

  template <class Kind>
  int count(std::uint64_t id) const {
    return static_cast<int>(std::count_if(log.begin(), log.end(), [&](const auto& item) {
      const auto* action = std::get_if<Kind>(&item.second);
      return action != nullptr && action->id.value == id;
    }));
  }

  std::vector<Action> end(std::uint64_t id, Outcome outcome, double found = 0, bool kvStateMissing = false) {
    AttemptEnded event{
        .id = {id}, .attempt = count<Send>(id) - 1, .endpoint = {sentTo(id)}, .outcome = outcome};
    event.cachedTokens = found;
    event.kvStateMissing = kvStateMissing;
    event.requestEnded = outcome == Outcome::completed;
    return give(event);
  }

  // A whole ordinary request, read in `readTime` and answered after 100 ms. Returns its reader.
  std::uint64_t run(const RequestArrived& request, Micros readTime = 60 * kMs, double found = 0) {
    give(request);
    const auto reader = sentTo(request.id.value);
    pass(readTime);
    end(request.id.value, Outcome::prefillDone, found);
    pass(20 * kMs);
    give(StreamStarted{request.id, count<Send>(request.id.value) - 1});
    pass(80 * kMs);
    end(request.id.value, Outcome::completed);
    return reader;
  }

  Micros now = kSec;
  std::vector<std::pair<Micros, Action>> log;

 private:
  RoutingPolicy brain_;
  std::multimap<Micros, TimerId> timers_;
};

}  // namespace garnethook::test
