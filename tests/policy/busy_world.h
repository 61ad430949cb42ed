// A busy simulated world around one RoutingPolicy, for the recorded stream and for the benchmark: open-loop
// requests, readers and writers that answer after fixed times, now and then a failure. Seeded; the same on
// every run.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "policy/routing_policy.h"

namespace garnethook::test {

struct BusyOptions {
  std::size_t servers = 10;  // half of them readers, in cells of ten
  std::size_t mixed = 0;     // of them servers that do both
  double perSecond = 1000;
  double seconds = 20;
  double sessionsNew = 0.5;  // share of requests that begin a session
  double errors = 0;         // share of attempts that end badly
  std::size_t beginnings = 200;
  bool reports = true;
  bool restarts = false;  // a server starts anew each second
  std::uint64_t seed = 1;
  bool timed = false;  // measure the time inside the module
};

class BusyWorld {
 public:
  explicit BusyWorld(const BusyOptions& options)
      : o_(options), random_(options.seed), brain_(settings(), options.seed) {}

  // Plays the whole run. `tell` gets each answer of the module, in order.
  template <class Tell>
  void play(Tell tell) {
    std::vector<EndpointEntry> list;
    for (std::size_t i = 0; i < o_.servers; ++i) list.push_back(entry(i, 0));
    give(EndpointUpdate{EndpointUpdate::Kind::snapshot, list}, tell);
    Micros arrival = 0;
    Micros restart = kStart + 1'000'000;
    const Micros end = kStart + static_cast<Micros>(o_.seconds * 1e6);
    now_ = kStart;
    arrival = now_;
    while (now_ < end) {
      const Micros next = events_.empty() ? arrival : std::min(arrival, events_.begin()->first.first);
      now_ = next;
      if (o_.restarts && now_ >= restart) {
        restart += 1'000'000;
        give(EndpointUpdate{EndpointUpdate::Kind::delta, {entry(random_() % o_.servers, now_)}}, tell);
      }
      if (next == arrival) {
        arrival += static_cast<Micros>(1e6 / o_.perSecond * (0.5 + uniform()));
        give(request(), tell);
        ++requests;
      } else {
        const Event e = events_.begin()->second;
        events_.erase(events_.begin());
        deliver(e, tell);
      }
    }
  }

  std::uint64_t requests = 0;
  std::uint64_t served = 0;
  double seconds = 0;  // inside the module, where timed

 private:
  static constexpr Micros kStart = 1'000'000'000;
  struct Out {
    int attempts = 0;
    double tokens = 0;
    bool state = false;
    int current = -1;
    bool started = false;
  };

  Settings settings() const {
    Settings s;
    s.classes = {{.ttftObjective = 1'000'000,
                  .ttftObjectivePerKiloToken = 60'000,
                  .deadline = 5'000'000,
                  .timePerOutputTokenObjective = 50'000},
                 {.ttftObjective = 2'000'000,
                  .deadline = 8'000'000,
                  .timePerOutputTokenObjective = 50'000,
                  .idempotency = Idempotency::nonIdempotent}};
    s.kinds = {{Role::prefill, 200'000}, {Role::decode, 1'000'000}, {Role::combined, 1'000'000}};
    s.zones = 3;
    s.routers = 2;
    s.maxAttempts = 4;
    s.canCancel = true;
    s.decodeEndpointsPrefill = true;
    s.passesRetryAfter = true;
    s.kvReleaseTimeout = 500'000;
    s.warmUpMinCapacity = 0.3;
    s.warmUpDuration = 5'000'000;
    s.overloadMultiple = 2.5;
    s.overloadWindow = 2'000'000;
    return s;
  }
  EndpointEntry entry(std::size_t i, Micros startedAt) const {
    const std::size_t kind = i < o_.mixed ? 2 : i % 2;
    return {.id = {1000 + i}, .zone = i / 10 % 3, .kind = kind, .cell = i / 10, .startedAt = startedAt};
  }
  RequestArrived request() {
    RequestArrived r;
    r.id = {nextId_++};
    r.requestClass = uniform() < 0.9 ? 0 : 1;
    r.remaining = 5'000'000;
    if (uniform() < o_.sessionsNew || sessions_ == 0) ++sessions_;
    const auto back = static_cast<std::uint64_t>(uniform() * 20);
    r.session = {1'000'000 + (sessions_ > back ? sessions_ - back : sessions_)};
    r.promptTokens = 100 + 2000 * uniform();
    if (uniform() < 0.7) {
      r.sharedPrefix = {
          1 + static_cast<std::uint64_t>(uniform() * uniform() * static_cast<double>(o_.beginnings))};
      r.sharedPrefixTokens = r.promptTokens * 0.7;
    }
    r.maxOutput = 100;
    requests_[r.id.value] = {.tokens = r.promptTokens};
    return r;
  }

  template <class Tell>
  void deliver(const Event& e, Tell tell) {
    if (const auto* ended = std::get_if<AttemptEnded>(&e)) {
      const auto at = requests_.find(ended->id.value);
      if (at == requests_.end() || at->second.current != ended->attempt) return;
      at->second.current = -1;
      at->second.state = ended->outcome == Outcome::prefillDone;
      AttemptEnded copy = *ended;
      copy.requestEnded = ended->outcome == Outcome::completed ||
                          (at->second.started && ended->outcome == Outcome::connectionReset);
      if (o_.reports)
        copy.report = LoadReport{.memoryShare = 0.3 + 0.3 * uniform(), .queuedKiloTokens = uniform() * 2};
      served += ended->outcome == Outcome::completed ? 1 : 0;
      if (copy.requestEnded) requests_.erase(at);
      return give(copy, tell);
    }
    if (const auto* started = std::get_if<StreamStarted>(&e)) {
      const auto at = requests_.find(started->id.value);
      if (at == requests_.end() || at->second.current != started->attempt) return;
      at->second.started = true;
    }
    give(e, tell);
  }

  template <class Tell>
  void give(const Event& e, Tell tell) {
    std::vector<Action> actions;
    if (o_.timed) {
      const auto before = std::chrono::steady_clock::now();
      brain_.handle(now_, e, actions);
      seconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - before).count();
    } else {
      brain_.handle(now_, e, actions);
    }
    tell(now_, e, actions);
    for (const Action& a : actions) std::visit([this](const auto& action) { act(action); }, a);
  }
  void later(Micros delay, const Event& e) { events_.emplace(std::pair(now_ + delay, order_++), e); }

  void act(const Send& a) {
    const auto at = requests_.find(a.id.value);
    if (at == requests_.end()) return;
    Out& out = at->second;
    out.current = out.attempts++;
    const std::uint64_t i = a.endpoint.value - 1000;
    const bool read = i >= o_.mixed && i % 2 == 0;
    AttemptEnded end{
        .id = a.id, .attempt = out.current, .endpoint = a.endpoint, .outcome = Outcome::completed};
    const bool whole = !read && !out.state;
    const auto readTime = static_cast<Micros>(5'000 + out.tokens * 20 * (0.2 + uniform()));
    if (uniform() < o_.errors) {
      constexpr Outcome kBad[] = {Outcome::error, Outcome::connectionReset, Outcome::rejected,
                                  Outcome::connectFailed, Outcome::timedOut};
      end.outcome = kBad[random_() % 5];
      later(1'000 + static_cast<Micros>(uniform() * 300'000), end);
    } else if (read) {
      end.outcome = Outcome::prefillDone;
      end.cachedTokens = out.tokens * 0.7 * uniform();
      later(readTime, end);
    } else {
      const Micros first = 5'000 + static_cast<Micros>(uniform() * 20'000) + (whole ? readTime : 0);
      later(first, StreamStarted{a.id, out.current});
      later(first + 200'000, end);
    }
  }
  void act(const Cancel& a) {
    const auto at = requests_.find(a.id.value);
    if (at == requests_.end() || at->second.current != a.attempt) return;
    later(1'000, AttemptEnded{.id = a.id, .attempt = a.attempt, .outcome = Outcome::cancelled});
  }
  void act(const Reject& a) { drop(a.id); }
  void act(const Fail& a) { drop(a.id); }
  void act(const Release&) {}
  void act(const SetTimer& a) { later(a.delay, TimerFired{a.id}); }
  void act(const Probe& a) { later(1'000, ProbeEnded{a.endpoint, uniform() < 0.8, std::nullopt}); }
  void act(const Subscribe&) {}
  void act(const Log&) {}
  void drop(RequestId id) {
    const auto at = requests_.find(id.value);
    if (at != requests_.end() && at->second.current < 0) requests_.erase(at);
  }
  double uniform() { return static_cast<double>(random_() >> 11) / 9007199254740992.0; }

  BusyOptions o_;
  std::mt19937_64 random_;
  RoutingPolicy brain_;
  Micros now_ = kStart;
  std::map<std::pair<Micros, std::uint64_t>, Event> events_;
  std::map<std::uint64_t, Out> requests_;
  std::uint64_t order_ = 0;
  std::uint64_t nextId_ = 1;
  std::uint64_t sessions_ = 0;
};

}  // namespace garnethook::test
