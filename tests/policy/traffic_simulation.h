// Simulates traffic on one RoutingPolicy, for tests and for the decision benchmark: open-loop arrivals,
// endpoints with random response times, and optional failures and restarts. Equal seeds give equal runs.
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
  std::size_t endpoints = 10;         // alternately prefill and decode, in cells of ten
  std::size_t combinedEndpoints = 0;  // number of them that have the combined role
  double requestsPerSecond = 1000;
  double durationSeconds = 20;
  double newSessionShare = 0.5;  // share of requests that start a session
  double failureShare = 0;       // share of attempts that fail
  std::size_t sharedPrefixCount = 200;
  bool loadReports = true;        // endpoints report their load with each attempt
  bool restartEndpoints = false;  // one endpoint restarts each second
  std::uint64_t seed = 1;
  bool measurePolicyTime = false;  // measure the time spent in the policy
};

class TrafficSimulation {
 public:
  explicit TrafficSimulation(const SimulationOptions& options)
      : options_(options), random_(options.seed), policy_(settings(), options.seed) {}

  // Runs the whole simulation. Calls `observe` with the time, the event and the resulting actions of each
  // event, in order.
  template <class Observer>
  void run(Observer observe) {
    std::vector<EndpointEntry> entries;
    for (std::size_t i = 0; i < options_.endpoints; ++i) entries.push_back(entry(i, 0));
    handle(EndpointUpdate{EndpointUpdate::Kind::snapshot, entries}, observe);
    Micros nextArrival = 0;
    Micros nextRestart = kStartTime + 1'000'000;
    const Micros end = kStartTime + static_cast<Micros>(options_.durationSeconds * 1e6);
    now_ = kStartTime;
    nextArrival = now_;
    while (now_ < end) {
      const Micros nextTime =
          events_.empty() ? nextArrival : std::min(nextArrival, events_.begin()->first.first);
      now_ = nextTime;
      if (options_.restartEndpoints && now_ >= nextRestart) {
        nextRestart += 1'000'000;
        handle(EndpointUpdate{EndpointUpdate::Kind::delta, {entry(random_() % options_.endpoints, now_)}},
               observe);
      }
      if (nextTime == nextArrival) {
        nextArrival += static_cast<Micros>(1e6 / options_.requestsPerSecond * (0.5 + uniform()));
        handle(newRequest(), observe);
        ++arrivedRequests;
      } else {
        const Event event = events_.begin()->second;
        events_.erase(events_.begin());
        deliver(event, observe);
      }
    }
  }

  std::uint64_t arrivedRequests = 0;
  std::uint64_t completedRequests = 0;
  double policySeconds = 0;  // time spent in the policy, if measured

 private:
  static constexpr Micros kStartTime = 1'000'000'000;
  struct ActiveRequest {
    int attempts = 0;
    double tokens = 0;
    bool hasKvState = false;
    int currentAttempt = -1;  // -1: none in flight
    bool hasStarted = false;
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
  EndpointEntry entry(std::size_t index, Micros startedAt) const {
    const std::size_t kind = index < options_.combinedEndpoints ? 2 : index % 2;
    return {.id = {1000 + index},
            .zone = index / 10 % 3,
            .kind = kind,
            .cell = index / 10,
            .startedAt = startedAt};
  }
  RequestArrived newRequest() {
    RequestArrived request;
    request.id = {nextRequestId_++};
    request.requestClass = uniform() < 0.9 ? 0 : 1;
    request.remaining = 5'000'000;
    if (uniform() < options_.newSessionShare || sessionCount_ == 0) ++sessionCount_;
    const auto sessionAge = static_cast<std::uint64_t>(uniform() * 20);
    request.session = {1'000'000 + (sessionCount_ > sessionAge ? sessionCount_ - sessionAge : sessionCount_)};
    request.promptTokens = 100 + 2000 * uniform();
    if (uniform() < 0.7) {
      request.sharedPrefix = {1 +
                              static_cast<std::uint64_t>(uniform() * uniform() *
                                                         static_cast<double>(options_.sharedPrefixCount))};
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
      if (at == requests_.end() || at->second.currentAttempt != ended->attempt) return;
      at->second.currentAttempt = -1;
      at->second.hasKvState = ended->outcome == Outcome::prefillDone;
      AttemptEnded copy = *ended;
      copy.requestEnded = ended->outcome == Outcome::completed ||
                          (at->second.hasStarted && ended->outcome == Outcome::connectionReset);
      if (options_.loadReports)
        copy.report = LoadReport{.memoryShare = 0.3 + 0.3 * uniform(), .queuedKiloTokens = uniform() * 2};
      completedRequests += ended->outcome == Outcome::completed ? 1 : 0;
      if (copy.requestEnded) requests_.erase(at);
      return handle(copy, observe);
    }
    if (const auto* started = std::get_if<StreamStarted>(&event)) {
      const auto at = requests_.find(started->id.value);
      if (at == requests_.end() || at->second.currentAttempt != started->attempt) return;
      at->second.hasStarted = true;
    }
    handle(event, observe);
  }

  template <class Observer>
  void handle(const Event& event, Observer observe) {
    std::vector<Action> actions;
    if (options_.measurePolicyTime) {
      const auto before = std::chrono::steady_clock::now();
      policy_.handle(now_, event, actions);
      policySeconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - before).count();
    } else {
      policy_.handle(now_, event, actions);
    }
    observe(now_, event, actions);
    for (const Action& action : actions)
      std::visit([this](const auto& typedAction) { carryOut(typedAction); }, action);
  }
  void schedule(Micros delay, const Event& event) {
    events_.emplace(std::pair(now_ + delay, nextEventOrder_++), event);
  }

  void carryOut(const Send& action) {
    const auto at = requests_.find(action.id.value);
    if (at == requests_.end()) return;
    ActiveRequest& request = at->second;
    request.currentAttempt = request.attempts++;
    const std::uint64_t index = action.endpoint.value - 1000;
    const bool isPrefill = index >= options_.combinedEndpoints && index % 2 == 0;
    AttemptEnded end{.id = action.id,
                     .attempt = request.currentAttempt,
                     .endpoint = action.endpoint,
                     .outcome = Outcome::completed};
    const bool isCombined = !isPrefill && !request.hasKvState;
    const auto prefillTime = static_cast<Micros>(5'000 + request.tokens * 20 * (0.2 + uniform()));
    if (uniform() < options_.failureShare) {
      constexpr Outcome kFailures[] = {Outcome::error, Outcome::connectionReset, Outcome::rejected,
                                       Outcome::connectFailed, Outcome::timedOut};
      end.outcome = kFailures[random_() % 5];
      schedule(1'000 + static_cast<Micros>(uniform() * 300'000), end);
    } else if (isPrefill) {
      end.outcome = Outcome::prefillDone;
      end.cachedTokens = request.tokens * 0.7 * uniform();
      schedule(prefillTime, end);
    } else {
      const Micros firstTokenDelay =
          5'000 + static_cast<Micros>(uniform() * 20'000) + (isCombined ? prefillTime : 0);
      schedule(firstTokenDelay, StreamStarted{action.id, request.currentAttempt});
      schedule(firstTokenDelay + 200'000, end);
    }
  }
  void carryOut(const Cancel& action) {
    const auto at = requests_.find(action.id.value);
    if (at == requests_.end() || at->second.currentAttempt != action.attempt) return;
    schedule(1'000, AttemptEnded{.id = action.id, .attempt = action.attempt, .outcome = Outcome::cancelled});
  }
  void carryOut(const Reject& action) { removeIfIdle(action.id); }
  void carryOut(const Fail& action) { removeIfIdle(action.id); }
  void carryOut(const Release&) {}
  void carryOut(const SetTimer& action) { schedule(action.delay, TimerFired{action.id}); }
  void carryOut(const Probe& action) {
    schedule(1'000, ProbeEnded{action.endpoint, uniform() < 0.8, std::nullopt});
  }
  void carryOut(const Subscribe&) {}
  void carryOut(const Log&) {}
  void removeIfIdle(RequestId id) {
    const auto at = requests_.find(id.value);
    if (at != requests_.end() && at->second.currentAttempt < 0) requests_.erase(at);
  }
  double uniform() { return static_cast<double>(random_() >> 11) / 9007199254740992.0; }

  SimulationOptions options_;
  std::mt19937_64 random_;
  RoutingPolicy policy_;
  Micros now_ = kStartTime;
  std::map<std::pair<Micros, std::uint64_t>, Event> events_;
  std::map<std::uint64_t, ActiveRequest> requests_;
  std::uint64_t nextEventOrder_ = 0;
  std::uint64_t nextRequestId_ = 1;
  std::uint64_t sessionCount_ = 0;
};

}  // namespace garnethook::test
