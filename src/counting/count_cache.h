// Fixed-memory cache of token counts, keyed by the digest of a text or of one of its prefixes.
//
// Implements W-TinyLFU (Einziger, Friedman and Manes, 2017). New keys enter a small window. A key evicted
// from the window is admitted to the main segment only if it was requested more often than the entry that it
// would replace, so a flood of texts that occur once passes through the window without displacing other
// entries. The main segment is a segmented LRU. All arrays are allocated by the constructor, so memory() is
// constant.
//
// The plain alternative is std::unordered_map with an LRU list; bench/count_cache_bench.cpp compares both.
// Not thread-safe.
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
  std::uint64_t hits = 0;
  std::uint64_t misses = 0;
  std::uint64_t writes = 0;
  std::uint64_t rejected = 0;  // evicted from the window and not admitted to the main segment
};

class CountCache {
 public:
  // Uses at most `bytes`, or kMinBytes if that is larger.
  static constexpr std::size_t kMinBytes = 64u << 10;
  explicit CountCache(std::size_t bytes);

  // Marks with a position or token count of 2^32 or more are not stored.
  std::optional<tokeniser::EncodingPosition> find(const Digest& key);
  void put(const Digest& key, const tokeniser::EncodingPosition& mark);

  std::size_t size() const { return used_; }
  std::size_t capacity() const { return entries_.size(); }
  std::size_t memory() const;
  const CacheCounters& counters() const { return counters_; }

 private:
  static constexpr std::uint32_t kNone = 0xffffffff;
  enum Segment : std::uint8_t { window, probation, protectedSegment };
  struct Entry {
    Digest key;
    std::uint32_t at = 0;
    std::uint32_t tokens = 0;
    std::uint32_t chain = kNone;  // next entry of the same bucket, or of the free list
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
  void link(std::uint32_t index, Segment segment);
  void unlink(std::uint32_t index);
  void promote(std::uint32_t index);
  void evict(std::uint32_t index);
  void evictForInsert();

  std::vector<Entry> entries_;
  std::vector<std::uint32_t> buckets_;
  FrequencySketch sketch_;
  std::array<List, 3> lists_{};
  std::size_t windowCapacity_;
  std::size_t protectedCapacity_;
  std::uint32_t freeHead_ = kNone;
  std::size_t used_ = 0;
  CacheCounters counters_;
};

}  // namespace garnethook::counting
