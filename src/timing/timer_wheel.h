/// @file
/// Timers on a hierarchical wheel: add and cancel in constant time, whatever the number outstanding. Free of
/// clocks: the time comes in. Four levels of 256 slots of 1, 256, 65,536 and 16,777,216 ticks; a timer
/// further off waits in the last level and is looked at again there.
///
/// Plain alternative: std::multimap by due time (bench/timing_bench.cpp measures both).
#pragma once

#include <array>
#include <cstdint>
#include <exception>
#include <functional>
#include <optional>
#include <vector>

namespace garnethook::timing {

/// Microseconds.
using Micros = std::int64_t;

/// Names one timer; never reused while anything may still hold it.
struct TimerKey {
  std::uint32_t slot = 0;        ///< Where the timer is stored.
  std::uint32_t generation = 0;  ///< Tells timers of one slot apart; 0: no timer.
  /// Whether it names a timer.
  explicit operator bool() const { return generation != 0; }
};

/// Runs tasks at their times.
class TimerWheel {
 public:
  /// What a timer runs.
  using Task = std::function<void()>;
  /// @param tick resolution in microseconds
  /// @param start time of the first tick
  TimerWheel(Micros tick, Micros start);

  /// Runs `task` at the first advance() at or past `due`, rounded up to a tick; never inside add().
  TimerKey add(Micros due, Task task);
  /// Cancels a timer. @return false: it has run, or was cancelled before.
  bool cancel(TimerKey key);
  /// Runs what is due by `now`, in order of ticks and, within one, of adding. Tasks may add and cancel.
  void advance(Micros now);
  /// No timer is due before this time (it may be earlier than the first one: a slot of a higher level).
  std::optional<Micros> next() const;
  /// Number of timers.
  std::size_t size() const { return size_; }
  /// Drops all timers, as the destructor does. What their tasks own may cancel timers of its own while it is
  /// destroyed.
  void clear();
  ~TimerWheel() { clear(); }
  TimerWheel(const TimerWheel&) = delete;
  TimerWheel& operator=(const TimerWheel&) = delete;

 private:
  static constexpr unsigned kBits = 8;
  static constexpr std::uint32_t kSlots = 1u << kBits;
  static constexpr unsigned kLevels = 4;
  static constexpr std::size_t kLists = std::size_t{kLevels} * kSlots;
  static constexpr std::uint32_t kNone = 0xffffffff;
  struct Node {
    Task task;
    std::int64_t due = 0;  // in ticks
    std::uint32_t generation = 1;
    std::uint32_t next = kNone;
    std::uint32_t previous = kNone;
    std::uint32_t list = kNone;  // level * kSlots + slot; kNone: not in the wheel
  };
  struct List {
    std::uint32_t first = kNone;
    std::uint32_t last = kNone;
  };
  void place(std::uint32_t node);
  void unlink(std::uint32_t node);
  void runSlot(std::uint32_t list);
  void runUntil(std::int64_t target);
  void cascade(unsigned level);
  bool levelEmpty(unsigned level) const { return counts_[level] == 0; }

  Micros tick_;
  Micros start_;
  std::int64_t at_ = 0;  // ticks done
  std::vector<Node> nodes_;
  std::vector<std::uint32_t> free_;
  std::array<List, kLists> lists_{};
  std::array<std::size_t, kLevels> counts_{};
  std::size_t size_ = 0;
  std::exception_ptr failed_;  // what the first task of this advance threw
};

}  // namespace garnethook::timing
