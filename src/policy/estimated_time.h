/// @file
/// Durations that the policy estimates. Their own type prevents the addition of a duration and a ratio.
#pragma once

#include <chrono>

#include "policy/ids.h"

namespace garnethook::policy {

/// An estimated duration. Points in time and durations in the public interface are Micros.
using EstimatedTime = std::chrono::duration<double, std::micro>;

/// Converts a duration of the public interface to an estimate.
constexpr EstimatedTime toEstimate(Micros time) { return EstimatedTime(static_cast<double>(time)); }
/// Converts an estimate to a duration of the public interface, truncated to whole microseconds.
constexpr Micros toMicros(EstimatedTime time) { return static_cast<Micros>(time.count()); }

}  // namespace garnethook::policy
