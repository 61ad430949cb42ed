#include "timing/timer_wheel.h"

#include <algorithm>
#include <utility>

namespace garnethook::timing {

TimerWheel::TimerWheel(Micros tick, Micros start) : tickLength_(tick), startTime_(start) {}

TimerKey TimerWheel::add(Micros due, Task task) {
  std::uint32_t slot = 0;
  if (freeNodes_.empty()) {
    slot = static_cast<std::uint32_t>(nodes_.size());
    nodes_.emplace_back();
  } else {
    slot = freeNodes_.back();
    freeNodes_.pop_back();
  }
  Node& node = nodes_[slot];
  node.task = std::move(task);
  node.due =
      std::max(currentTick_ + 1, (std::max(due, startTime_) - startTime_ + tickLength_ - 1) / tickLength_);
  ++size_;
  insert(slot);
  return {slot, node.generation};
}

void TimerWheel::insert(std::uint32_t index) {
  Node& node = nodes_[index];
  const std::int64_t ticksAhead = std::max<std::int64_t>(node.due - currentTick_, 1);
  unsigned level = 0;
  while (level + 1 < kLevels && ticksAhead >= std::int64_t{1} << (kSlotBits * (level + 1))) ++level;
  // A timer beyond the range of the last level goes into its furthest slot and is placed again from there.
  const std::int64_t maxTicksAhead = (std::int64_t{1} << (kSlotBits * kLevels)) - 1;
  const std::int64_t due = currentTick_ + std::min(ticksAhead, maxTicksAhead);
  node.list = level * kSlots + static_cast<std::uint32_t>(due >> (kSlotBits * level) & (kSlots - 1));
  List& list = lists_[node.list];
  node.previous = list.last;
  node.next = kNoIndex;
  (list.last == kNoIndex ? list.first : nodes_[list.last].next) = index;
  list.last = index;
  ++levelSizes_[level];
}

void TimerWheel::unlink(std::uint32_t index) {
  Node& node = nodes_[index];
  List& list = lists_[node.list];
  (node.previous == kNoIndex ? list.first : nodes_[node.previous].next) = node.next;
  (node.next == kNoIndex ? list.last : nodes_[node.next].previous) = node.previous;
  --levelSizes_[node.list / kSlots];
  node.list = kNoIndex;
}

bool TimerWheel::cancel(TimerKey key) {
  if (!key || key.slot >= nodes_.size()) return false;
  Node& node = nodes_[key.slot];
  if (node.generation != key.generation || node.list == kNoIndex) return false;
  unlink(key.slot);
  node.task = nullptr;
  if (++node.generation == 0) node.generation = 1;
  freeNodes_.push_back(key.slot);
  --size_;
  return true;
}

void TimerWheel::clear() {
  for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].list == kNoIndex) continue;
    const Task removed = std::move(nodes_[i].task);
    cancel({i, nodes_[i].generation});
  }
}

void TimerWheel::runList(std::uint32_t listIndex) {
  while (lists_[listIndex].first != kNoIndex) {
    const std::uint32_t index = lists_[listIndex].first;
    unlink(index);
    const Task task = std::exchange(nodes_[index].task, nullptr);
    if (++nodes_[index].generation == 0) nodes_[index].generation = 1;
    freeNodes_.push_back(index);
    --size_;
    try {
      task();
    } catch (...) {
      if (!firstException_) firstException_ = std::current_exception();
    }
  }
}

// Distributes the timers of a higher level's slot over the lower levels when the range of that slot begins.
void TimerWheel::cascade(unsigned level) {
  const auto slot = static_cast<std::uint32_t>(currentTick_ >> (kSlotBits * level) & (kSlots - 1));
  if (slot == 0 && level + 1 < kLevels) cascade(level + 1);
  const std::uint32_t sourceIndex = level * kSlots + slot;
  std::vector<std::uint32_t> moved;
  for (std::uint32_t index = lists_[sourceIndex].first; index != kNoIndex; index = nodes_[index].next)
    moved.push_back(index);
  for (const std::uint32_t index : moved) unlink(index);
  for (const std::uint32_t index : moved) {
    // A timer that is due at the current tick belongs to the slot that runs next.
    if (nodes_[index].due <= currentTick_) {
      Node& node = nodes_[index];
      node.list = static_cast<std::uint32_t>(currentTick_ & (kSlots - 1));
      List& list = lists_[node.list];
      node.previous = list.last;
      node.next = kNoIndex;
      (list.last == kNoIndex ? list.first : nodes_[list.last].next) = index;
      list.last = index;
      ++levelSizes_[0];
    } else {
      insert(index);
    }
  }
}

// Rethrows the first exception of a task after all due timers have run.
void TimerWheel::advance(Micros now) {
  runUntilTick((now - startTime_) / tickLength_);
  if (firstException_) std::rethrow_exception(std::exchange(firstException_, nullptr));
}

void TimerWheel::runUntilTick(std::int64_t targetTick) {
  while (currentTick_ < targetTick) {
    if (size_ == 0) {
      currentTick_ = targetTick;
      return;
    }
    // If the lowest level is empty, no timer runs before the next cascade.
    if (isLevelEmpty(0)) {
      const std::int64_t boundary = (currentTick_ | (kSlots - 1)) + 1;
      if (boundary > targetTick) {
        currentTick_ = targetTick;
        return;
      }
      currentTick_ = boundary;
    } else {
      ++currentTick_;
    }
    if ((currentTick_ & (kSlots - 1)) == 0) cascade(1);
    runList(static_cast<std::uint32_t>(currentTick_ & (kSlots - 1)));
  }
}

std::optional<Micros> TimerWheel::next() const {
  if (size_ == 0) return std::nullopt;
  if (!isLevelEmpty(0))
    for (std::int64_t offset = 1; offset <= kSlots; ++offset) {
      const std::int64_t tick = currentTick_ + offset;
      if (lists_[static_cast<std::uint32_t>(tick & (kSlots - 1))].first != kNoIndex)
        return startTime_ + tick * tickLength_;
      if ((tick & (kSlots - 1)) == 0 && (levelSizes_[1] + levelSizes_[2] + levelSizes_[3]) > 0)
        return startTime_ + tick * tickLength_;
    }
  return startTime_ + ((currentTick_ | (kSlots - 1)) + 1) * tickLength_;
}

}  // namespace garnethook::timing
