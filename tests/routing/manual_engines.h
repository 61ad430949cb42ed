// Time, timers and engines that are driven by a test.
#pragma once

#include <algorithm>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "routing/engine_client.h"
#include "timing/timers.h"

namespace garnethook::routing {

struct ManualTimers final : timing::Timers {
  Micros now() const override { return time; }
  timing::TimerKey after(Micros delay, timing::TimerWheel::Task task) override {
    return wheel.add(time + delay, std::move(task));
  }
  bool cancel(timing::TimerKey key) override { return wheel.cancel(key); }
  void advance(Micros duration) {
    const Micros end = time + duration;
    while (time < end) {
      time = std::min(end, time + 1000);
      wheel.advance(time);
    }
  }
  Micros time = 1'000'000'000;
  timing::TimerWheel wheel{1000, 1'000'000'000};
};

struct ManualEngines final : EngineClient {
  void begin(const AttemptSpec& spec) override {
    if (std::exchange(failsNextAttempt, false)) throw std::runtime_error("no descriptor");
    startedAttempts.push_back({spec.attempt, spec.endpoint, spec.phase, std::string(spec.kvTransferParams),
                               spec.requiresNewConnection, spec.sendBy});
  }
  void cancel(AttemptId attempt) override { cancelledAttempts.push_back(attempt); }
  DeliveryState deliveryState(AttemptId) const override { return delivery; }
  void release(const ReleaseCall& call, const std::string&) override {
    if (std::exchange(failsNextRelease, false)) throw std::runtime_error("no descriptor");
    releaseCalls.push_back(call);
    releasedReservations.emplace_back(call.endpoint, call.request);
  }
  bool canRelease() const override { return hasReleaseCall; }
  void probe(EndpointId) override {}
  struct StartedAttempt {
    AttemptId attempt;
    EndpointId endpoint;
    Phase phase;
    std::string kvTransferParams;
    bool requiresNewConnection = false;
    Micros sendBy = 0;
  };
  DeliveryState delivery = DeliveryState::confirmed;
  bool failsNextAttempt = false;
  bool failsNextRelease = false;
  bool hasReleaseCall = true;
  std::vector<StartedAttempt> startedAttempts;
  std::vector<AttemptId> cancelledAttempts;
  std::vector<std::pair<EndpointId, RequestId>> releasedReservations;
  std::vector<ReleaseCall> releaseCalls;  // the calls of `releasedReservations`, with their numbers
};

}  // namespace garnethook::routing
