/// @file
/// A hierarchical timer wheel: adds and cancels timers in constant time, regardless of the number of pending
/// timers. Reads no clock: the caller passes the time. Four levels of 256 slots of 1, 256, 65,536 and
/// 16,777,216 ticks; a timer that is due beyond the last level stays in its furthest slot and is placed again
/// from there.
///
/// The simple alternative is a std::multimap by due time; bench/timing_bench.cpp compares both.
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

/// Identifies one timer. The generation changes when a slot is reused, so that a stale key matches no timer.
struct TimerKey {
  std::uint32_t slot = 0;        ///< Index of the timer's storage.
  std::uint32_t generation = 0;  ///< Distinguishes successive timers of one slot; 0: no timer.
  /// Whether the key identifies a timer.
  explicit operator bool() const { return generation != 0; }
};

/// Runs tasks when they are due.
class TimerWheel {
 public:
  /// Callback of a timer.
  using Task = std::function<void()>;
  /// @param tick resolution in microseconds
  /// @param start time of the first tick
  TimerWheel(Micros tick, Micros start);

  /// Runs `task` at the first advance() at or past `due`, rounded up to a tick; never inside add().
  TimerKey add(Micros due, Task task);
  /// Cancels a timer. @return false if it has already run or been cancelled.
  bool cancel(TimerKey key);
  /// Runs the timers that are due by `now`, ordered by tick and, within a tick, by insertion. Tasks may add
  /// and cancel timers.
  void advance(Micros now);
  /// Lower bound of the next due time; earlier than the first timer if that is still in a slot of a higher
  /// level.
  std::optional<Micros> next() const;
  /// Number of pending timers.
  std::size_t size() const { return size_; }
  /// Removes all timers, as the destructor does. Objects owned by their tasks may cancel further timers while
  /// they are destroyed.
  void clear();
  ~TimerWheel() { clear(); }
  TimerWheel(const TimerWheel&) = delete;
  TimerWheel& operator=(const TimerWheel&) = delete;

 private:
  static constexpr unsigned kSlotBits = 8;
  static constexpr std::uint32_t kSlots = 1u << kSlotBits;
  static constexpr unsigned kLevels = 4;
  static constexpr std::size_t kLists = std::size_t{kLevels} * kSlots;
  static constexpr std::uint32_t kNoIndex = 0xffffffff;
  struct Node {
    Task task;
    std::int64_t due = 0;  // in ticks
    std::uint32_t generation = 1;
    std::uint32_t next = kNoIndex;
    std::uint32_t previous = kNoIndex;
    std::uint32_t list = kNoIndex;  // level * kSlots + slot; kNoIndex: not pending
  };
  struct List {
    std::uint32_t first = kNoIndex;
    std::uint32_t last = kNoIndex;
  };
  void insert(std::uint32_t index);
  void unlink(std::uint32_t index);
  void runList(std::uint32_t listIndex);
  void runUntilTick(std::int64_t targetTick);
  void cascade(unsigned level);
  bool isLevelEmpty(unsigned level) const { return levelSizes_[level] == 0; }

  Micros tickLength_;
  Micros startTime_;
  std::int64_t currentTick_ = 0;  // the latest tick that was processed
  std::vector<Node> nodes_;
  std::vector<std::uint32_t> freeNodes_;
  std::array<List, kLists> lists_{};
  std::array<std::size_t, kLevels> levelSizes_{};
  std::size_t size_ = 0;
  std::exception_ptr firstException_;  // first exception thrown by a task of this advance()
};

}  // namespace garnethook::timing
