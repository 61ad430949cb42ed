// A small scripted world around one Brain: a clock, its timers, and a log of what it did.
#pragma once

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "brain.h"

namespace garnethook::test {

constexpr Micros kMs = 1000;
constexpr Micros kSec = 1'000'000;

enum ClassIndex : std::size_t { kSafe, kKeyed, kUnsafe };
enum KindIndex : std::size_t { kReader, kWriter, kMixed };

inline Settings settings() {
  Settings s;
  s.classes = {
      {.aim = kSec, .aimPerKiloToken = 60 * kMs, .deadline = 5 * kSec, .tokenAim = 50 * kMs},
      {.aim = kSec,
       .deadline = 5 * kSec,
       .tokenAim = 50 * kMs,
       .effect = Effect::keyed,
       .scope = RepeatScope::zone,
       .repeatWindow = 2 * kSec},
      {.aim = kSec, .deadline = 5 * kSec, .tokenAim = 50 * kMs, .effect = Effect::unsafe},
  };
  s.kinds = {{Role::reader, 200'000}, {Role::writer, 100'000}, {Role::both, 100'000}};
  s.zones = 2;
  s.routers = 2;
  s.maxAttempts = 4;
  s.mayCancel = true;
  s.releaseWithin = 500 * kMs;
  s.answerSlack = 8 * kMs;
  s.connectTimeout = 250 * kMs;
  s.coldFrom = 0.3;
  s.warmWithin = 14 * kSec;
  s.fallMultiple = 2.5;
  s.fallAfter = 2 * kSec;
  return s;
}

inline ServerEntry server(std::uint64_t id, KindIndex kind, std::uint64_t cell = 0, std::size_t zone = 0) {
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

  std::vector<Action> list(std::vector<ServerEntry> entries,
                           ServerList::Kind kind = ServerList::Kind::complete) {
    return give(ServerList{kind, std::move(entries)});
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
  std::uint64_t sentTo(std::uint64_t id) const { return sent(id) == nullptr ? 0 : sent(id)->server.value; }

  template <class Kind>
  int count(std::uint64_t id) const {
    return static_cast<int>(std::count_if(log.begin(), log.end(), [&](const auto& item) {
      const auto* action = std::get_if<Kind>(&item.second);
      return action != nullptr && action->id.value == id;
    }));
  }

  std::vector<Action> end(std::uint64_t id, Outcome outcome, double found = 0, bool stateMissing = false) {
    AttemptEnded event{
        .id = {id}, .attempt = count<Send>(id) - 1, .server = {sentTo(id)}, .outcome = outcome};
    event.foundTokens = found;
    event.stateMissing = stateMissing;
    event.last = outcome == Outcome::served;
    return give(event);
  }

  // A whole ordinary request, read in `readTime` and answered after 100 ms. Returns its reader.
  std::uint64_t run(const RequestArrived& ask, Micros readTime = 60 * kMs, double found = 0) {
    give(ask);
    const auto reader = sentTo(ask.id.value);
    pass(readTime);
    end(ask.id.value, Outcome::readDone, found);
    pass(20 * kMs);
    give(StreamStarted{ask.id, count<Send>(ask.id.value) - 1});
    pass(80 * kMs);
    end(ask.id.value, Outcome::served);
    return reader;
  }

  Micros now = kSec;
  std::vector<std::pair<Micros, Action>> log;

 private:
  Brain brain_;
  std::multimap<Micros, TimerId> timers_;
};

}  // namespace garnethook::test
