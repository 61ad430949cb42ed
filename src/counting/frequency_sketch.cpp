#include "counting/frequency_sketch.h"

#include <algorithm>
#include <bit>

namespace garnethook::counting {

FrequencySketch::FrequencySketch(std::size_t keys)
    : words_(std::bit_ceil(std::max<std::size_t>(keys, 64)) / 16 * kRows),
      mask_(words_.size() / kRows * 16 - 1),
      samplePeriod_(10 * std::max<std::size_t>(keys, 64)) {}

// Digests are already keyed hashes, so the rows' hashes are derived from their two halves.
std::size_t FrequencySketch::counterIndex(const Digest& key, unsigned row) const {
  const std::uint64_t hash = key.high + row * (key.low | 1);
  return row * (mask_ + 1) + (static_cast<std::size_t>(hash ^ hash >> 32) & mask_);
}

void FrequencySketch::add(const Digest& key) {
  bool incremented = false;
  for (unsigned row = 0; row < kRows; ++row) {
    const std::size_t at = counterIndex(key, row);
    const unsigned shift = static_cast<unsigned>(at % 16) * 4;
    std::uint64_t& word = words_[at / 16];
    if ((word >> shift & 15) == 15) continue;
    word += std::uint64_t{1} << shift;
    incremented = true;
  }
  if (incremented && ++additions_ >= samplePeriod_) halve();
}

unsigned FrequencySketch::estimate(const Digest& key) const {
  std::uint64_t minimum = 15;
  for (unsigned row = 0; row < kRows; ++row) {
    const std::size_t at = counterIndex(key, row);
    minimum = std::min(minimum, words_[at / 16] >> (at % 16 * 4) & 15);
  }
  return static_cast<unsigned>(minimum);
}

void FrequencySketch::halve() {
  for (auto& word : words_) word = word >> 1 & 0x7777777777777777U;
  additions_ /= 2;
}

}  // namespace garnethook::counting
