/// @file
/// Exponential backoff for operations that failed because this machine is short of resources. Such shortages
/// are usually brief, so the first retry comes soon and each further delay is twice the previous one.
#pragma once

#include <algorithm>

#include "timing/timer_wheel.h"

namespace garnethook::net {

/// Delay before the first retry, in microseconds.
inline constexpr timing::Micros kFirstRetryDelay = 1'000;
/// Maximum delay between two retries, in microseconds.
inline constexpr timing::Micros kMaxRetryDelay = 50'000;

/// Returns the delay before the next retry, in microseconds.
/// @param previous delay before the previous retry; 0 if there was none
inline timing::Micros nextRetryDelay(timing::Micros previous) {
  return std::clamp(2 * previous, kFirstRetryDelay, kMaxRetryDelay);
}

}  // namespace garnethook::net
