/// @file
/// What all parts of the policy share while one event is handled: the time, the actions and the random
/// numbers.
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

/// A count as a number that estimates can be computed with.
inline double countAsDouble(std::size_t count) {
  return static_cast<double>(static_cast<std::int64_t>(count));
}

/// The event that is being handled.
class DecisionContext {
 public:
  /// Random numbers follow from the seed.
  explicit DecisionContext(std::uint64_t seed) : random_(seed) {}

  /// Begins an event; actions are appended to `actions` until the next one. Time never goes back.
  void begin(Micros now, std::vector<Action>& actions) {
    now_ = std::max(now, now_);
    actions_ = &actions;
  }

  /// The time of the event.
  Micros now() const { return now_; }
  /// The time that has passed since then.
  EstimatedTime elapsedSince(Micros since) const { return toEstimate(now_ - since); }
  /// Weight of an observation of that time, from 1 falling exponentially; 0 when there is none (`since` is
  /// 0).
  double freshness(Micros since, EstimatedTime lifetime) const {
    return since == 0 ? 0 : std::exp(-elapsedSince(since) / lifetime);
  }

  /// Adds an action.
  template <class Kind>
  void emit(Kind action) {
    actions_->emplace_back(std::move(action));
  }
  /// Adds the action that sets a timer.
  void setTimer(TimerId id, Micros delay) { actions_->emplace_back(SetTimer{id, delay}); }

  /// The next random number in [0, 1).
  double uniform() { return toUnitInterval(random_()); }

 private:
  std::mt19937_64 random_;
  Micros now_ = 0;
  std::vector<Action>* actions_ = nullptr;
};

}  // namespace garnethook::policy
