/// @file
/// Repeating what fails for a moment, by the monotonic clock, while the caller waits. For the start of a
/// process alone: a running loop uses timers.
#pragma once

#include <chrono>
#include <thread>

namespace garnethook::timing {

/// How long a start goes on trying. A process has 10 s until it has to
/// serve.
inline constexpr std::chrono::milliseconds kStartRetryTimeout{4000};
/// The pause between two tries.
inline constexpr std::chrono::milliseconds kStartPause{10};

/// The result of `call`, made again for as long as it throws a Failure and `within` is not over; then the
/// last one is thrown.
template <class Failure, class Call>
auto retryFor(std::chrono::milliseconds within, Call call) {
  const auto until = std::chrono::steady_clock::now() + within;
  while (true) {
    try {
      return call();
    } catch (const Failure&) {
      if (std::chrono::steady_clock::now() >= until) throw;
    }
    std::this_thread::sleep_for(kStartPause);
  }
}

}  // namespace garnethook::timing
