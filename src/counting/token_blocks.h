// Immutable token ids of a prompt, with chained hashes of their blocks.
#pragma once

#include <xxhash.h>

#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "tokeniser/vocabulary.h"

namespace garnethook::counting {

class TokenBlocks {
 public:
  explicit TokenBlocks(std::vector<tokeniser::TokenId> ids) : ids_(std::move(ids)) {}
  std::span<const tokeniser::TokenId> ids() const { return ids_; }

  // Appends to `out` one hash per complete block of `size` tokens. Each hash covers the block and all before
  // it.
  void hashes(std::size_t size, std::vector<std::uint64_t>& out) const {
    std::uint64_t previous = 0;
    for (std::size_t from = 0; size > 0 && from + size <= ids_.size(); from += size) {
      previous = XXH3_64bits_withSeed(ids_.data() + from, size * sizeof(tokeniser::TokenId),
                                      previous ^ 0x9e3779b97f4a7c15U);
      out.push_back(previous);
    }
  }
  std::size_t memory() const { return sizeof(*this) + ids_.capacity() * sizeof(tokeniser::TokenId) + 32; }

 private:
  std::vector<tokeniser::TokenId> ids_;
};

}  // namespace garnethook::counting
