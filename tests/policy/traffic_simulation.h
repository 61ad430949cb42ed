// A busy simulated world around one RoutingPolicy, for the recorded stream and for the benchmark: open-loop
// requests, endpoints that answer after drawn times, now and then a failure. Seeded; the same on every run.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "policy/routing_policy.h"

namespace garnethook::test {

struct SimulationOptions {
  std::size_t endpoints = 10;  // half of them prefill endpoints, in cells of ten
  std::size_t combined = 0;    // of them endpoints of the combined role
  double perSecond = 1000;
  double seconds = 20;
  double sessionsNew = 0.5;  // share of requests that begin a session
  double errors = 0;         // share of attempts that end badly
  std::size_t sharedPrefixes = 200;
  bool reports = true;
  bool restarts = false;  // an endpoint restarts each second
  std::uint64_t seed = 1;
  bool timed = false;  // measure the time inside the policy
};

class TrafficSimulation {
 public:
  explicit TrafficSimulation(const SimulationOptions& options)
      : options_(options), random_(options.seed), policy_(settings(), options.seed) {}

  // Plays the whole run. `observe` gets each answer of the policy, in order.
  template <class Observer>
  void play(Observer observe) {
    std::vector<EndpointEntry> list;
    for (std::size_t i = 0; i < options_.endpoints; ++i) list.push_back(entry(i, 0));
    handle(EndpointUpdate{EndpointUpdate::Kind::snapshot, list}, observe);
    Micros arrival = 0;
    Micros restart = kStart + 1'000'000;
    const Micros end = kStart + static_cast<Micros>(options_.seconds * 1e6);
    now_ = kStart;
    arrival = now_;
    while (now_ < end) {
      const Micros next = events_.empty() ? arrival : std::min(arrival, events_.begin()->first.first);
      now_ = next;
      if (options_.restarts && now_ >= restart) {
        restart += 1'000'000;
        handle(EndpointUpdate{EndpointUpdate::Kind::delta, {entry(random_() % options_.endpoints, now_)}},
               observe);
      }
      if (next == arrival) {
        arrival += static_cast<Micros>(1e6 / options_.perSecond * (0.5 + uniform()));
        handle(newRequest(), observe);
        ++requests;
      } else {
        const Event event = events_.begin()->second;
        events_.erase(events_.begin());
        deliver(event, observe);
      }
    }
  }

  std::uint64_t requests = 0;
  std::uint64_t served = 0;
  double seconds = 0;  // inside the policy, where timed

 private:
  static constexpr Micros kStart = 1'000'000'000;
  struct ActiveRequest {
    int attempts = 0;
    double tokens = 0;
    bool hasKvState = false;
    int current = -1;
    bool started = false;
  };

  Settings settings() const {
    Settings custom;
    custom.classes = {{.ttftObjective = 1'000'000,
                       .ttftObjectivePerKiloToken = 60'000,
                       .deadline = 5'000'000,
                       .timePerOutputTokenObjective = 50'000},
                      {.ttftObjective = 2'000'000,
                       .deadline = 8'000'000,
                       .timePerOutputTokenObjective = 50'000,
                       .idempotency = Idempotency::nonIdempotent}};
    custom.kinds = {{Role::prefill, 200'000}, {Role::decode, 1'000'000}, {Role::combined, 1'000'000}};
    custom.zones = 3;
    custom.routers = 2;
    custom.maxAttempts = 4;
    custom.canCancel = true;
    custom.decodeEndpointsPrefill = true;
    custom.passesRetryAfter = true;
    custom.kvReleaseTimeout = 500'000;
    custom.warmUpMinCapacity = 0.3;
    custom.warmUpDuration = 5'000'000;
    custom.overloadMultiple = 2.5;
    custom.overloadWindow = 2'000'000;
    return custom;
  }
  EndpointEntry entry(std::size_t i, Micros startedAt) const {
    const std::size_t kind = i < options_.combined ? 2 : i % 2;
    return {.id = {1000 + i}, .zone = i / 10 % 3, .kind = kind, .cell = i / 10, .startedAt = startedAt};
  }
  RequestArrived newRequest() {
    RequestArrived request;
    request.id = {nextId_++};
    request.requestClass = uniform() < 0.9 ? 0 : 1;
    request.remaining = 5'000'000;
    if (uniform() < options_.sessionsNew || sessions_ == 0) ++sessions_;
    const auto back = static_cast<std::uint64_t>(uniform() * 20);
    request.session = {1'000'000 + (sessions_ > back ? sessions_ - back : sessions_)};
    request.promptTokens = 100 + 2000 * uniform();
    if (uniform() < 0.7) {
      request.sharedPrefix = {1 + static_cast<std::uint64_t>(uniform() * uniform() *
                                                             static_cast<double>(options_.sharedPrefixes))};
      request.sharedPrefixTokens = request.promptTokens * 0.7;
    }
    request.maxOutput = 100;
    requests_[request.id.value] = {.tokens = request.promptTokens};
    return request;
  }

  template <class Observer>
  void deliver(const Event& event, Observer observe) {
    if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
      const auto at = requests_.find(ended->id.value);
      if (at == requests_.end() || at->second.current != ended->attempt) return;
      at->second.current = -1;
      at->second.hasKvState = ended->outcome == Outcome::prefillDone;
      AttemptEnded copy = *ended;
      copy.requestEnded = ended->outcome == Outcome::completed ||
                          (at->second.started && ended->outcome == Outcome::connectionReset);
      if (options_.reports)
        copy.report = LoadReport{.memoryShare = 0.3 + 0.3 * uniform(), .queuedKiloTokens = uniform() * 2};
      served += ended->outcome == Outcome::completed ? 1 : 0;
      if (copy.requestEnded) requests_.erase(at);
      return handle(copy, observe);
    }
    if (const auto* started = std::get_if<StreamStarted>(&event)) {
      const auto at = requests_.find(started->id.value);
      if (at == requests_.end() || at->second.current != started->attempt) return;
      at->second.started = true;
    }
    handle(event, observe);
  }

  template <class Observer>
  void handle(const Event& event, Observer observe) {
    std::vector<Action> actions;
    if (options_.timed) {
      const auto before = std::chrono::steady_clock::now();
      policy_.handle(now_, event, actions);
      seconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - before).count();
    } else {
      policy_.handle(now_, event, actions);
    }
    observe(now_, event, actions);
    for (const Action& action : actions) std::visit([this](const auto& kind) { act(kind); }, action);
  }
  void later(Micros delay, const Event& event) { events_.emplace(std::pair(now_ + delay, order_++), event); }

  void act(const Send& action) {
    const auto at = requests_.find(action.id.value);
    if (at == requests_.end()) return;
    ActiveRequest& request = at->second;
    request.current = request.attempts++;
    const std::uint64_t i = action.endpoint.value - 1000;
    const bool isPrefill = i >= options_.combined && i % 2 == 0;
    AttemptEnded end{.id = action.id,
                     .attempt = request.current,
                     .endpoint = action.endpoint,
                     .outcome = Outcome::completed};
    const bool isCombined = !isPrefill && !request.hasKvState;
    const auto prefillTime = static_cast<Micros>(5'000 + request.tokens * 20 * (0.2 + uniform()));
    if (uniform() < options_.errors) {
      constexpr Outcome kBad[] = {Outcome::error, Outcome::connectionReset, Outcome::rejected,
                                  Outcome::connectFailed, Outcome::timedOut};
      end.outcome = kBad[random_() % 5];
      later(1'000 + static_cast<Micros>(uniform() * 300'000), end);
    } else if (isPrefill) {
      end.outcome = Outcome::prefillDone;
      end.cachedTokens = request.tokens * 0.7 * uniform();
      later(prefillTime, end);
    } else {
      const Micros first = 5'000 + static_cast<Micros>(uniform() * 20'000) + (isCombined ? prefillTime : 0);
      later(first, StreamStarted{action.id, request.current});
      later(first + 200'000, end);
    }
  }
  void act(const Cancel& action) {
    const auto at = requests_.find(action.id.value);
    if (at == requests_.end() || at->second.current != action.attempt) return;
    later(1'000, AttemptEnded{.id = action.id, .attempt = action.attempt, .outcome = Outcome::cancelled});
  }
  void act(const Reject& action) { drop(action.id); }
  void act(const Fail& action) { drop(action.id); }
  void act(const Release&) {}
  void act(const SetTimer& action) { later(action.delay, TimerFired{action.id}); }
  void act(const Probe& action) { later(1'000, ProbeEnded{action.endpoint, uniform() < 0.8, std::nullopt}); }
  void act(const Subscribe&) {}
  void act(const Log&) {}
  void drop(RequestId id) {
    const auto at = requests_.find(id.value);
    if (at != requests_.end() && at->second.current < 0) requests_.erase(at);
  }
  double uniform() { return static_cast<double>(random_() >> 11) / 9007199254740992.0; }

  SimulationOptions options_;
  std::mt19937_64 random_;
  RoutingPolicy policy_;
  Micros now_ = kStart;
  std::map<std::pair<Micros, std::uint64_t>, Event> events_;
  std::map<std::uint64_t, ActiveRequest> requests_;
  std::uint64_t order_ = 0;
  std::uint64_t nextId_ = 1;
  std::uint64_t sessions_ = 0;
};

}  // namespace garnethook::test
