// Estimates how often keys were requested recently: a count-min sketch of four rows of four-bit counters
// (Cormode and Muthukrishnan, 2005). All counters are halved after ten additions per key of the sketch's
// capacity (TinyLFU: Einziger, Friedman and Manes, 2017). Between halvings an estimate is never below the
// true count, up to 15.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "counting/digest.h"

namespace garnethook::counting {

class FrequencySketch {
 public:
  // `keys`: number of distinct keys to track. Uses two to four bytes per key.
  explicit FrequencySketch(std::size_t keys);
  void add(const Digest& key);
  unsigned estimate(const Digest& key) const;
  std::size_t memory() const { return words_.capacity() * 8; }

 private:
  static constexpr unsigned kRows = 4;
  std::size_t counterIndex(const Digest& key, unsigned row) const;
  void halve();

  std::vector<std::uint64_t> words_;  // sixteen counters per word
  std::size_t mask_;
  std::size_t samplePeriod_;
  std::size_t additions_ = 0;
};

}  // namespace garnethook::counting
