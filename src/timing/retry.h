/// @file
/// Blocking retries of operations that fail temporarily, timed by the monotonic clock. For use during process
/// start only: a running event loop uses timers.
#pragma once

#include <chrono>
#include <thread>

namespace garnethook::timing {

/// Limit on the retries at the start of a process, which has to serve requests within 10 s.
inline constexpr std::chrono::milliseconds kStartRetryTimeout{4000};
/// Pause between two attempts.
inline constexpr std::chrono::milliseconds kStartRetryInterval{10};

/// Returns the result of `call`, which is retried while it throws a Failure. After `timeout` the last
/// exception is propagated.
template <class Failure, class Call>
auto retryFor(std::chrono::milliseconds timeout, Call call) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (true) {
    try {
      return call();
    } catch (const Failure&) {
      if (std::chrono::steady_clock::now() >= deadline) throw;
    }
    std::this_thread::sleep_for(kStartRetryInterval);
  }
}

}  // namespace garnethook::timing
