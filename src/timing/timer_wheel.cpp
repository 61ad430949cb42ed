#include "timing/timer_wheel.h"

#include <algorithm>
#include <utility>

namespace garnethook::timing {

TimerWheel::TimerWheel(Micros tick, Micros start) : tick_(tick), start_(start) {}

TimerKey TimerWheel::add(Micros due, Task task) {
  std::uint32_t slot = 0;
  if (free_.empty()) {
    slot = static_cast<std::uint32_t>(nodes_.size());
    nodes_.emplace_back();
  } else {
    slot = free_.back();
    free_.pop_back();
  }
  Node& n = nodes_[slot];
  n.task = std::move(task);
  n.due = std::max(at_ + 1, (std::max(due, start_) - start_ + tick_ - 1) / tick_);
  ++size_;
  place(slot);
  return {slot, n.generation};
}

void TimerWheel::place(std::uint32_t node) {
  Node& n = nodes_[node];
  const std::int64_t ahead = std::max<std::int64_t>(n.due - at_, 1);
  unsigned level = 0;
  while (level + 1 < kLevels && ahead >= std::int64_t{1} << (kBits * (level + 1))) ++level;
  // Beyond the last level's reach: its furthest slot, to be placed again from there.
  const std::int64_t reach = (std::int64_t{1} << (kBits * kLevels)) - 1;
  const std::int64_t due = at_ + std::min(ahead, reach);
  n.list = level * kSlots + static_cast<std::uint32_t>(due >> (kBits * level) & (kSlots - 1));
  List& list = lists_[n.list];
  n.previous = list.last;
  n.next = kNone;
  (list.last == kNone ? list.first : nodes_[list.last].next) = node;
  list.last = node;
  ++counts_[level];
}

void TimerWheel::unlink(std::uint32_t node) {
  Node& n = nodes_[node];
  List& list = lists_[n.list];
  (n.previous == kNone ? list.first : nodes_[n.previous].next) = n.next;
  (n.next == kNone ? list.last : nodes_[n.next].previous) = n.previous;
  --counts_[n.list / kSlots];
  n.list = kNone;
}

bool TimerWheel::cancel(TimerKey key) {
  if (!key || key.slot >= nodes_.size()) return false;
  Node& n = nodes_[key.slot];
  if (n.generation != key.generation || n.list == kNone) return false;
  unlink(key.slot);
  n.task = nullptr;
  if (++n.generation == 0) n.generation = 1;
  free_.push_back(key.slot);
  --size_;
  return true;
}

void TimerWheel::clear() {
  for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].list == kNone) continue;
    const Task dropped = std::move(nodes_[i].task);
    cancel({i, nodes_[i].generation});
  }
}

void TimerWheel::runSlot(std::uint32_t list) {
  while (lists_[list].first != kNone) {
    const std::uint32_t node = lists_[list].first;
    unlink(node);
    const Task task = std::exchange(nodes_[node].task, nullptr);
    if (++nodes_[node].generation == 0) nodes_[node].generation = 1;
    free_.push_back(node);
    --size_;
    try {
      task();
    } catch (...) {
      if (!failed_) failed_ = std::current_exception();
    }
  }
}

// Spreads the slot of a higher level whose time has begun over the levels below.
void TimerWheel::cascade(unsigned level) {
  const auto slot = static_cast<std::uint32_t>(at_ >> (kBits * level) & (kSlots - 1));
  if (slot == 0 && level + 1 < kLevels) cascade(level + 1);
  const std::uint32_t index = level * kSlots + slot;
  std::vector<std::uint32_t> moved;
  for (std::uint32_t node = lists_[index].first; node != kNone; node = nodes_[node].next)
    moved.push_back(node);
  for (const std::uint32_t node : moved) unlink(node);
  for (const std::uint32_t node : moved) {
    // A timer due at this very tick belongs to the slot that runs next.
    if (nodes_[node].due <= at_) {
      Node& n = nodes_[node];
      n.list = static_cast<std::uint32_t>(at_ & (kSlots - 1));
      List& list = lists_[n.list];
      n.previous = list.last;
      n.next = kNone;
      (list.last == kNone ? list.first : nodes_[list.last].next) = node;
      list.last = node;
      ++counts_[0];
    } else {
      place(node);
    }
  }
}

// What a task throws is thrown on once all that is due has run.
void TimerWheel::advance(Micros now) {
  runUntil((now - start_) / tick_);
  if (failed_) std::rethrow_exception(std::exchange(failed_, nullptr));
}

void TimerWheel::runUntil(std::int64_t target) {
  while (at_ < target) {
    if (size_ == 0) {
      at_ = target;
      return;
    }
    // With the lowest level empty nothing runs before the next cascade.
    if (levelEmpty(0)) {
      const std::int64_t boundary = (at_ | (kSlots - 1)) + 1;
      if (boundary > target) {
        at_ = target;
        return;
      }
      at_ = boundary;
    } else {
      ++at_;
    }
    if ((at_ & (kSlots - 1)) == 0) cascade(1);
    runSlot(static_cast<std::uint32_t>(at_ & (kSlots - 1)));
  }
}

std::optional<Micros> TimerWheel::next() const {
  if (size_ == 0) return std::nullopt;
  if (!levelEmpty(0))
    for (std::int64_t i = 1; i <= kSlots; ++i) {
      const std::int64_t tick = at_ + i;
      if (lists_[static_cast<std::uint32_t>(tick & (kSlots - 1))].first != kNone)
        return start_ + tick * tick_;
      if ((tick & (kSlots - 1)) == 0 && (counts_[1] + counts_[2] + counts_[3]) > 0)
        return start_ + tick * tick_;
    }
  return start_ + ((at_ | (kSlots - 1)) + 1) * tick_;
}

}  // namespace garnethook::timing
