/// @file
/// The routing policy: it decides where each request is executed, when it is retried and when it is rejected.
/// It has no clock, no thread and no input or output of its own: events go in, actions come out.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "policy/actions.h"
#include "policy/events.h"
#include "policy/ids.h"
#include "policy/settings.h"

namespace garnethook {

/// All decisions of one router. Not thread-safe: events are to be delivered one after the other.
class RoutingPolicy {
 public:
  /// Random choices follow from `seed`. Throws std::invalid_argument, naming the setting, when the settings
  /// can't be used.
  RoutingPolicy(const Settings& settings, std::uint64_t seed);
  /// A policy may be moved, not copied.
  RoutingPolicy(RoutingPolicy&&) noexcept;
  /// A policy may be moved, not copied.
  RoutingPolicy& operator=(RoutingPolicy&&) noexcept;
  /// Outstanding timers and attempts are the caller's to drop.
  ~RoutingPolicy();

  /// Appends to `actions` what is to be done about the event. `now` never goes back.
  void handle(Micros now, const Event& event, std::vector<Action>& actions);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace garnethook
