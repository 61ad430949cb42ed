#include "counting/count_cache.h"

#include <algorithm>
#include <bit>
#include <cstddef>

namespace garnethook::counting {
namespace {

// Number of entries that fit in `bytes`. Each entry also needs at most two buckets of four bytes and four
// bytes of the frequency sketch.
std::size_t entriesThatFit(std::size_t bytes, std::size_t entryBytes) {
  return std::max(bytes, CountCache::kMinBytes) / (entryBytes + 8 + 4);
}

}  // namespace

CountCache::CountCache(std::size_t bytes)
    : entries_(entriesThatFit(bytes, sizeof(Entry))),
      buckets_(std::bit_ceil(entries_.size()), kNone),
      sketch_(entries_.size()),
      windowCapacity_(std::max<std::size_t>(entries_.size() / 64, 8)),
      protectedCapacity_((entries_.size() - windowCapacity_) * 4 / 5) {
  for (std::size_t i = entries_.size(); i-- > 0;) {
    entries_[i].chain = freeHead_;
    freeHead_ = static_cast<std::uint32_t>(i);
  }
}

std::size_t CountCache::memory() const {
  return sizeof(*this) + entries_.capacity() * sizeof(Entry) + buckets_.capacity() * 4 + sketch_.memory();
}

std::uint32_t CountCache::lookup(const Digest& key) {
  std::uint32_t at = bucket(key);
  while (at != kNone && !(entries_[at].key == key)) at = entries_[at].chain;
  return at;
}

void CountCache::link(std::uint32_t index, Segment segment) {
  List& list = lists_[segment];
  Entry& entry = entries_[index];
  entry.segment = segment;
  entry.newer = kNone;
  entry.older = list.newest;
  if (list.newest != kNone) entries_[list.newest].newer = index;
  list.newest = index;
  if (list.oldest == kNone) list.oldest = index;
  ++list.size;
}

void CountCache::unlink(std::uint32_t index) {
  Entry& entry = entries_[index];
  List& list = lists_[entry.segment];
  (entry.newer == kNone ? list.newest : entries_[entry.newer].older) = entry.older;
  (entry.older == kNone ? list.oldest : entries_[entry.older].newer) = entry.newer;
  --list.size;
}

// Marks an entry as used. An entry of the main segment moves to the protected segment; if that exceeds its
// capacity, its least recently used entry returns to probation.
void CountCache::promote(std::uint32_t index) {
  const Segment segment = entries_[index].segment;
  unlink(index);
  if (segment == window) return link(index, window);
  link(index, protectedSegment);
  if (lists_[protectedSegment].size <= protectedCapacity_) return;
  const std::uint32_t oldest = lists_[protectedSegment].oldest;
  unlink(oldest);
  link(oldest, probation);
}

std::optional<tokeniser::EncodingPosition> CountCache::find(const Digest& key) {
  sketch_.add(key);
  const std::uint32_t at = lookup(key);
  if (at == kNone) {
    ++counters_.misses;
    return std::nullopt;
  }
  ++counters_.hits;
  promote(at);
  return tokeniser::EncodingPosition{entries_[at].at, entries_[at].tokens};
}

void CountCache::put(const Digest& key, const tokeniser::EncodingPosition& mark) {
  if (mark.at > 0xffffffff || mark.tokens > 0xffffffff) return;
  ++counters_.writes;
  std::uint32_t at = lookup(key);
  if (at == kNone) {
    evictForInsert();
    at = freeHead_;
    freeHead_ = entries_[at].chain;
    ++used_;
    entries_[at].key = key;
    std::uint32_t& head = bucket(key);
    entries_[at].chain = head;
    head = at;
    link(at, window);
  }
  entries_[at].at = static_cast<std::uint32_t>(mark.at);
  entries_[at].tokens = static_cast<std::uint32_t>(mark.tokens);
}

void CountCache::evict(std::uint32_t index) {
  unlink(index);
  std::uint32_t* at = &bucket(entries_[index].key);
  while (*at != index) at = &entries_[*at].chain;
  *at = entries_[index].chain;
  entries_[index].chain = freeHead_;
  freeHead_ = index;
  --used_;
}

// Ensures that a free entry exists. If the window is full, its oldest entry moves to the main segment: into a
// free entry, or in place of the oldest main entry if it was requested more often than that one.
void CountCache::evictForInsert() {
  if (lists_[window].size >= windowCapacity_) {
    const std::uint32_t candidate = lists_[window].oldest;
    if (freeHead_ != kNone) {
      unlink(candidate);
      link(candidate, probation);
    } else {
      const std::uint32_t victim =
          lists_[probation].oldest != kNone ? lists_[probation].oldest : lists_[protectedSegment].oldest;
      if (victim != kNone &&
          sketch_.estimate(entries_[candidate].key) > sketch_.estimate(entries_[victim].key)) {
        evict(victim);
        unlink(candidate);
        link(candidate, probation);
      } else {
        ++counters_.rejected;
        evict(candidate);
      }
    }
  }
  if (freeHead_ == kNone)
    evict(lists_[probation].oldest != kNone ? lists_[probation].oldest : lists_[window].oldest);
}

}  // namespace garnethook::counting
