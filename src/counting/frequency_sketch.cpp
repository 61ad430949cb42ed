#include "counting/frequency_sketch.h"

#include <algorithm>
#include <bit>

namespace garnethook::counting {

FrequencySketch::FrequencySketch(std::size_t keys)
    : words_(std::bit_ceil(std::max<std::size_t>(keys, 64)) / 16 * kRows),
      mask_(words_.size() / kRows * 16 - 1),
      sample_(10 * std::max<std::size_t>(keys, 64)) {}

// Digests are keyed already, so parts of them serve as the rows' hashes.
std::size_t FrequencySketch::counter(const Digest& key, unsigned row) const {
  const std::uint64_t h = key.high + row * (key.low | 1);
  return row * (mask_ + 1) + (static_cast<std::size_t>(h ^ h >> 32) & mask_);
}

void FrequencySketch::add(const Digest& key) {
  bool grew = false;
  for (unsigned row = 0; row < kRows; ++row) {
    const std::size_t at = counter(key, row);
    const unsigned shift = static_cast<unsigned>(at % 16) * 4;
    std::uint64_t& word = words_[at / 16];
    if ((word >> shift & 15) == 15) continue;
    word += std::uint64_t{1} << shift;
    grew = true;
  }
  if (grew && ++added_ >= sample_) halve();
}

unsigned FrequencySketch::estimate(const Digest& key) const {
  std::uint64_t least = 15;
  for (unsigned row = 0; row < kRows; ++row) {
    const std::size_t at = counter(key, row);
    least = std::min(least, words_[at / 16] >> (at % 16 * 4) & 15);
  }
  return static_cast<unsigned>(least);
}

void FrequencySketch::halve() {
  for (auto& word : words_) word = word >> 1 & 0x7777777777777777U;
  added_ /= 2;
}

}  // namespace garnethook::counting
