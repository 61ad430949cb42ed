// How often keys were asked for of late: a count-min sketch of four rows of four-bit counters (Cormode and
// Muthukrishnan, 2005), all halved each time ten asks for each counter column came (TinyLFU: Einziger,
// Friedman and Manes, 2017). Never tells less than the true count since the halvings, up to 15.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "counting/digest.h"

namespace garnethook::counting {

class FrequencySketch {
 public:
  // For about so many keys that matter; memory: two to four bytes for each.
  explicit FrequencySketch(std::size_t keys);
  void add(const Digest& key);
  unsigned estimate(const Digest& key) const;
  std::size_t memory() const { return words_.capacity() * 8; }

 private:
  static constexpr unsigned kRows = 4;
  std::size_t counter(const Digest& key, unsigned row) const;
  void halve();

  std::vector<std::uint64_t> words_;  // sixteen counters each
  std::size_t mask_;
  std::size_t sample_;
  std::size_t added_ = 0;
};

}  // namespace garnethook::counting
