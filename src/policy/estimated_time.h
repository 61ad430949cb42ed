/// @file
/// Spans that the policy estimates. They have a type of their own, so that a span can't be added to a share.
#pragma once

#include <chrono>

#include "policy/ids.h"

namespace garnethook::policy {

/// An estimated span. Instants and spans of the interface are Micros.
using EstimatedTime = std::chrono::duration<double, std::micro>;

/// A span of the interface as an estimate.
constexpr EstimatedTime toEstimate(Micros span) { return EstimatedTime(static_cast<double>(span)); }
/// An estimate as a span of the interface, cut to whole microseconds.
constexpr Micros toMicros(EstimatedTime span) { return static_cast<Micros>(span.count()); }

}  // namespace garnethook::policy
