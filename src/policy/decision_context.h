/// @file
/// State that the modules of the policy share while an event is handled: the current time, the emitted
/// actions and the random number generator.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

#include "policy/actions.h"
#include "policy/estimated_time.h"
#include "policy/hash.h"
#include "policy/ids.h"

namespace garnethook::policy {

/// One second.
constexpr Micros kSecond = 1'000'000;

/// Converts a count to double for use in estimates.
inline double countAsDouble(std::size_t count) {
  return static_cast<double>(static_cast<std::int64_t>(count));
}

/// Context of the event that is being handled.
class DecisionContext {
 public:
  /// Seeds the random number generator.
  explicit DecisionContext(std::uint64_t seed) : random_(seed) {}

  /// Begins an event. Actions are appended to `actions` until the next call. If `now` is earlier than the
  /// time of the previous event, that time is kept.
  void begin(Micros now, std::vector<Action>& actions) {
    now_ = std::max(now, now_);
    actions_ = &actions;
  }

  /// The time of the current event.
  Micros now() const { return now_; }
  /// Time elapsed since `since`.
  EstimatedTime elapsedSince(Micros since) const { return toEstimate(now_ - since); }
  /// Weight of an observation made at `since`: decays exponentially from 1 with time constant `lifetime`.
  /// Returns 0 if `since` is 0, which stands for no observation.
  double freshness(Micros since, EstimatedTime lifetime) const {
    return since == 0 ? 0 : std::exp(-elapsedSince(since) / lifetime);
  }

  /// Appends an action.
  template <class Kind>
  void emit(Kind action) {
    actions_->emplace_back(std::move(action));
  }
  /// Appends the action that sets a timer.
  void setTimer(TimerId id, Micros delay, std::optional<RequestId> request = std::nullopt) {
    actions_->emplace_back(SetTimer{id, delay, request});
  }

  /// Returns the next random number, uniformly distributed in [0, 1).
  double uniform() { return toUnitInterval(random_()); }

 private:
  std::mt19937_64 random_;
  Micros now_ = 0;
  std::vector<Action>* actions_ = nullptr;
};

}  // namespace garnethook::policy
