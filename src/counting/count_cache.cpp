#include "counting/count_cache.h"

#include <algorithm>
#include <bit>
#include <cstddef>

namespace garnethook::counting {
namespace {

// Entries that fit with their buckets (at most two of four bytes each) and sketch (at most four bytes
// each).
std::size_t entriesIn(std::size_t bytes, std::size_t entry) {
  return std::max(bytes, CountCache::kLeast) / (entry + 8 + 4);
}

}  // namespace

CountCache::CountCache(std::size_t bytes)
    : entries_(entriesIn(bytes, sizeof(Entry))),
      buckets_(std::bit_ceil(entries_.size()), kNone),
      sketch_(entries_.size()),
      windowMost_(std::max<std::size_t>(entries_.size() / 64, 8)),
      guardedMost_((entries_.size() - windowMost_) * 4 / 5) {
  for (std::size_t i = entries_.size(); i-- > 0;) {
    entries_[i].chain = free_;
    free_ = static_cast<std::uint32_t>(i);
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

void CountCache::link(std::uint32_t entry, Segment segment) {
  List& list = lists_[segment];
  Entry& e = entries_[entry];
  e.segment = segment;
  e.newer = kNone;
  e.older = list.newest;
  if (list.newest != kNone) entries_[list.newest].newer = entry;
  list.newest = entry;
  if (list.oldest == kNone) list.oldest = entry;
  ++list.size;
}

void CountCache::unlink(std::uint32_t entry) {
  Entry& e = entries_[entry];
  List& list = lists_[e.segment];
  (e.newer == kNone ? list.newest : entries_[e.newer].older) = e.older;
  (e.older == kNone ? list.oldest : entries_[e.older].newer) = e.newer;
  --list.size;
}

// Who is asked for in the main part gets into its guarded segment; the oldest there goes back to probation.
void CountCache::touch(std::uint32_t entry) {
  const Segment segment = entries_[entry].segment;
  unlink(entry);
  if (segment == window) return link(entry, window);
  link(entry, guarded);
  if (lists_[guarded].size <= guardedMost_) return;
  const std::uint32_t oldest = lists_[guarded].oldest;
  unlink(oldest);
  link(oldest, probation);
}

std::optional<tokeniser::EncodingPosition> CountCache::find(const Digest& key) {
  sketch_.add(key);
  const std::uint32_t at = lookup(key);
  if (at == kNone) {
    ++counters_.missed;
    return std::nullopt;
  }
  ++counters_.found;
  touch(at);
  return tokeniser::EncodingPosition{entries_[at].at, entries_[at].tokens};
}

void CountCache::put(const Digest& key, const tokeniser::EncodingPosition& mark) {
  if (mark.at > 0xffffffff || mark.tokens > 0xffffffff) return;
  ++counters_.put;
  std::uint32_t at = lookup(key);
  if (at == kNone) {
    makeRoom();
    at = free_;
    free_ = entries_[at].chain;
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

void CountCache::drop(std::uint32_t entry) {
  unlink(entry);
  std::uint32_t* at = &bucket(entries_[entry].key);
  while (*at != entry) at = &entries_[*at].chain;
  *at = entries_[entry].chain;
  entries_[entry].chain = free_;
  free_ = entry;
  --used_;
}

// The window's oldest goes on to the main part: into free room, or in the place of its oldest where it was
// asked for more often than that.
void CountCache::makeRoom() {
  if (lists_[window].size >= windowMost_) {
    const std::uint32_t candidate = lists_[window].oldest;
    if (free_ != kNone) {
      unlink(candidate);
      link(candidate, probation);
    } else {
      const std::uint32_t victim =
          lists_[probation].oldest != kNone ? lists_[probation].oldest : lists_[guarded].oldest;
      if (victim != kNone &&
          sketch_.estimate(entries_[candidate].key) > sketch_.estimate(entries_[victim].key)) {
        drop(victim);
        unlink(candidate);
        link(candidate, probation);
      } else {
        ++counters_.rejected;
        drop(candidate);
      }
    }
  }
  if (free_ == kNone)
    drop(lists_[probation].oldest != kNone ? lists_[probation].oldest : lists_[window].oldest);
}

}  // namespace garnethook::counting
