/// @file
/// Timers of one owner on a wheel of their own: they end with it, all at once, and cost its parent one timer.
#pragma once

#include "timing/timers.h"

namespace garnethook::timing {

/// Timers that end with their owner.
class OwnedTimers final : public Timers {
 public:
  /// @param parent whose clock and timer are used; must outlive this
  /// @param tick resolution in microseconds
  explicit OwnedTimers(Timers& parent, Micros tick = 1000)
      : parent_(parent), wheel_(tick, parent.now()), alarm_(parent) {}

  /// The time of the parent.
  Micros now() const override { return parent_.now(); }
  /// Runs the task once the delay (microseconds) is over, never inside this call.
  TimerKey after(Micros delay, TimerWheel::Task task) override {
    const auto key = wheel_.add(now() + std::max<Micros>(0, delay), std::move(task));
    if (!isRunningTasks_) arm();
    return key;
  }
  /// Cancels a timer. @return false: it has run, or was cancelled before
  bool cancel(TimerKey key) override { return wheel_.cancel(key); }
  /// Number of timers.
  std::size_t size() const { return wheel_.size(); }

 private:
  void arm() {
    const auto next = wheel_.next();
    if (!next || (armedFor_ != 0 && armedFor_ <= *next)) return;
    armedFor_ = *next;
    alarm_.start(*next - now(), [this] {
      armedFor_ = 0;
      isRunningTasks_ = true;
      try {
        wheel_.advance(now());
      } catch (...) {  // reported by the parent; what is due after it runs all the same
        isRunningTasks_ = false;
        arm();
        throw;
      }
      isRunningTasks_ = false;
      arm();
    });
  }

  Timers& parent_;
  TimerWheel wheel_;
  Alarm alarm_;
  Micros armedFor_ = 0;
  bool isRunningTasks_ = false;
};

}  // namespace garnethook::timing
