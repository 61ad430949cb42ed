/// @file
/// How long to wait before something is tried again that this machine refused for lack of resources. Such
/// failures pass, so the first retry comes soon and each further one after twice the time.
#pragma once

#include <algorithm>

#include "timing/timer_wheel.h"

namespace garnethook::net {

/// Delay before the first retry, in microseconds.
inline constexpr timing::Micros kFirstRetryDelay = 1'000;
/// Longest delay between two retries, in microseconds.
inline constexpr timing::Micros kLongestRetryDelay = 50'000;

/// The delay before the next retry, in microseconds.
/// @param previous the delay before the latest one; 0: there was none
inline timing::Micros nextRetryDelay(timing::Micros previous) {
  return std::clamp(2 * previous, kFirstRetryDelay, kLongestRetryDelay);
}

}  // namespace garnethook::net
