// Token counts of texts and of beginnings, by digest, in a fixed block of memory.
//
// W-TinyLFU (Einziger, Friedman and Manes, 2017): new keys enter a small window; who leaves the window gets
// into the main part only by having been asked for more often than the one it would drive out. So a flood of
// texts that come once passes through the window and leaves the rest alone. The main part is a segmented LRU.
// Everything stands in arrays made at the beginning: memory() is what the cache takes, whatever comes.
//
// Plain alternative: std::unordered_map with an LRU list (bench/count_cache_bench.cpp measures both).
// Used by one thread at a time.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "counting/digest.h"
#include "counting/frequency_sketch.h"
#include "tokeniser/tokeniser.h"

namespace garnethook::counting {

struct CacheCounters {
  std::uint64_t found = 0;
  std::uint64_t missed = 0;
  std::uint64_t put = 0;
  std::uint64_t rejected = 0;  // left the window and did not get into the main part
};

class CountCache {
 public:
  // Takes no more than `bytes` in all; at least kLeast are taken.
  static constexpr std::size_t kLeast = 64u << 10;
  explicit CountCache(std::size_t bytes);

  // Marks with places or counts of 2^32 and more are not kept.
  std::optional<tokeniser::EncodingPosition> find(const Digest& key);
  void put(const Digest& key, const tokeniser::EncodingPosition& mark);

  std::size_t size() const { return used_; }
  std::size_t capacity() const { return entries_.size(); }
  std::size_t memory() const;
  const CacheCounters& counters() const { return counters_; }

 private:
  static constexpr std::uint32_t kNone = 0xffffffff;
  enum Segment : std::uint8_t { window, probation, guarded };
  struct Entry {
    Digest key;
    std::uint32_t at = 0;
    std::uint32_t tokens = 0;
    std::uint32_t chain = kNone;  // next with the same bucket; next free one
    std::uint32_t newer = kNone;
    std::uint32_t older = kNone;
    Segment segment = window;
  };
  struct List {
    std::uint32_t newest = kNone;
    std::uint32_t oldest = kNone;
    std::size_t size = 0;
  };

  std::uint32_t& bucket(const Digest& key) {
    return buckets_[static_cast<std::size_t>(key.low) & (buckets_.size() - 1)];
  }
  std::uint32_t lookup(const Digest& key);
  void link(std::uint32_t entry, Segment segment);
  void unlink(std::uint32_t entry);
  void touch(std::uint32_t entry);
  void drop(std::uint32_t entry);
  void makeRoom();

  std::vector<Entry> entries_;
  std::vector<std::uint32_t> buckets_;
  FrequencySketch sketch_;
  std::array<List, 3> lists_{};
  std::size_t windowMost_;
  std::size_t guardedMost_;
  std::uint32_t free_ = kNone;
  std::size_t used_ = 0;
  CacheCounters counters_;
};

}  // namespace garnethook::counting
