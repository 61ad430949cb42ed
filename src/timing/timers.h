/// @file
/// Time and timers as the packages above I/O see them: real in the router, simulated in an emulator.
#pragma once

#include <algorithm>
#include <utility>

#include "timing/timer_wheel.h"

namespace garnethook::timing {

/// A monotonic clock and timers on it.
class Timers {
 public:
  virtual ~Timers() = default;
  /// Microseconds; never goes back, whatever happens to the wall clock. Its origin is arbitrary.
  virtual Micros now() const = 0;
  /// Runs the task once the delay (microseconds) is over, never inside this call.
  virtual TimerKey after(Micros delay, TimerWheel::Task task) = 0;
  /// Cancels a timer. @return false: it has run, or was cancelled before
  virtual bool cancel(TimerKey key) = 0;
};

/// A timer that ends with its owner.
class Alarm {
 public:
  /// @param timers must outlive the alarm
  explicit Alarm(Timers& timers) : timers_(timers) {}
  ~Alarm() { stop(); }
  Alarm(const Alarm&) = delete;
  Alarm& operator=(const Alarm&) = delete;
  /// Runs the task once the delay (microseconds) is over, in place of what was to run before.
  void start(Micros delay, TimerWheel::Task task) {
    stop();
    key_ = timers_.after(delay, [this, task = std::move(task)] {
      key_ = {};
      task();
    });
  }
  /// Whether a task is to run.
  bool running() const { return static_cast<bool>(key_); }
  /// Runs nothing any more.
  void stop() {
    timers_.cancel(key_);
    key_ = {};
  }

 private:
  Timers& timers_;
  TimerKey key_;
};

}  // namespace garnethook::timing
