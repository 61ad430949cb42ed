/// @file
/// The clock and timer interface of the code above the I/O layer: real time in the router, simulated time in
/// a simulator.
#pragma once

#include <algorithm>
#include <utility>

#include "timing/timer_wheel.h"

namespace garnethook::timing {

/// A monotonic clock and timers on it.
class Timers {
 public:
  virtual ~Timers() = default;
  /// Current time in microseconds; never decreases, even if the wall clock is stepped. The epoch is
  /// arbitrary.
  virtual Micros now() const = 0;
  /// Runs the task after the delay (microseconds), never inside this call.
  virtual TimerKey after(Micros delay, TimerWheel::Task task) = 0;
  /// Cancels a timer. @return false if it has already run or been cancelled
  virtual bool cancel(TimerKey key) = 0;
};

/// A single timer that is cancelled when its owner is destroyed.
class Alarm {
 public:
  /// @param timers must outlive the alarm
  explicit Alarm(Timers& timers) : timers_(timers) {}
  ~Alarm() { stop(); }
  Alarm(const Alarm&) = delete;
  Alarm& operator=(const Alarm&) = delete;
  /// Runs the task after the delay (microseconds); replaces a pending task.
  void start(Micros delay, TimerWheel::Task task) {
    stop();
    key_ = timers_.after(delay, [this, task = std::move(task)] {
      key_ = {};
      task();
    });
  }
  /// Whether a task is pending.
  bool running() const { return static_cast<bool>(key_); }
  /// Cancels the pending task, if any.
  void stop() {
    timers_.cancel(key_);
    key_ = {};
  }

 private:
  Timers& timers_;
  TimerKey key_;
};

}  // namespace garnethook::timing
