/// @file
/// A timer wheel for one owner: its timers are cancelled together with the owner and use a single timer of
/// the parent.
#pragma once

#include "timing/timers.h"

namespace garnethook::timing {

/// Timers that are cancelled when their owner is destroyed.
class OwnedTimers final : public Timers {
 public:
  /// @param parent provides the clock and the underlying timer; must outlive this object
  /// @param tick resolution in microseconds
  explicit OwnedTimers(Timers& parent, Micros tick = 1000)
      : parent_(parent), wheel_(tick, parent.now()), alarm_(parent) {}

  /// Time of the parent's clock.
  Micros now() const override { return parent_.now(); }
  /// Runs the task after the delay (microseconds), never inside this call.
  TimerKey after(Micros delay, TimerWheel::Task task) override {
    const auto key = wheel_.add(now() + std::max<Micros>(0, delay), std::move(task));
    if (!isRunningTasks_) armNextTimer();
    return key;
  }
  /// Cancels a timer. @return false if it has already run or been cancelled
  bool cancel(TimerKey key) override { return wheel_.cancel(key); }
  /// Number of pending timers.
  std::size_t size() const { return wheel_.size(); }

 private:
  void armNextTimer() {
    const auto nextDue = wheel_.next();
    if (!nextDue || (armedTime_ != 0 && armedTime_ <= *nextDue)) return;
    armedTime_ = *nextDue;
    alarm_.start(*nextDue - now(), [this] {
      armedTime_ = 0;
      isRunningTasks_ = true;
      try {
        wheel_.advance(now());
      } catch (...) {  // reported by the parent; later timers must still run
        isRunningTasks_ = false;
        armNextTimer();
        throw;
      }
      isRunningTasks_ = false;
      armNextTimer();
    });
  }

  Timers& parent_;
  TimerWheel wheel_;
  Alarm alarm_;
  Micros armedTime_ = 0;
  bool isRunningTasks_ = false;
};

}  // namespace garnethook::timing
