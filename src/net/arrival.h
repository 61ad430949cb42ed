/// @file
/// When received bytes arrived at this machine, which may be long before the event loop read them.
#pragma once

#include "timing/timers.h"

namespace garnethook::net {

/// Arrival times of bytes that were read together, on the clock of the event loop.
struct Arrival {
  timing::Micros earliest = 0;  ///< None of the bytes arrived before this time.
  timing::Micros latest = 0;    ///< Arrival of the last byte.
};

}  // namespace garnethook::net
