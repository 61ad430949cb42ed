/// @file
/// The routing policy decides where each request is executed, when it is retried and when it is rejected.
/// It is a deterministic state machine without clock, threads or I/O: it consumes events and emits actions.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "policy/actions.h"
#include "policy/events.h"
#include "policy/ids.h"
#include "policy/settings.h"

namespace garnethook {

/// Makes all routing decisions of one router. Not thread-safe: the caller must serialise events.
class RoutingPolicy {
 public:
  /// Constructs a policy whose random choices are determined by `seed`. Throws std::invalid_argument, with
  /// the name of the setting, if a setting is invalid.
  RoutingPolicy(const Settings& settings, std::uint64_t seed);
  /// Move-only.
  RoutingPolicy(RoutingPolicy&&) noexcept;
  /// Move-only.
  RoutingPolicy& operator=(RoutingPolicy&&) noexcept;
  /// Emits no actions: the caller must discard outstanding timers and attempts.
  ~RoutingPolicy();

  /// Handles an event and appends the resulting actions to `actions`. `now` must not decrease between calls.
  void handle(Micros now, const Event& event, std::vector<Action>& actions);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace garnethook
