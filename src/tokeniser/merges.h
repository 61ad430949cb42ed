// Reference implementation of BPE merging: repeatedly merges the adjacent pair of the lowest rank, the
// leftmost among equals. Takes O(n log n) in the piece's length. The faster PieceEncoder is verified against
// it, obtains its merges from it, and falls back to it for vocabularies whose merges are not in order
// (piece_encoder.h).
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "tokeniser/vocabulary.h"

namespace garnethook::tokeniser {

struct Merge {
  TokenId token = kNoToken;  // kNoToken: the two do not merge
  std::uint32_t rank = 0xffffffff;
};

// Hash table from (left, right) to the merged token and its rank, with open addressing.
class PairTable {
 public:
  PairTable();
  // Returns false and keeps the existing entry if the pair is present already.
  bool add(TokenId left, TokenId right, Merge merge);
  Merge find(TokenId left, TokenId right) const {
    const std::uint64_t key = std::uint64_t{left} << 32 | right;
    for (std::size_t i = slotIndex(key);; i = (i + 1) & (slots_.size() - 1)) {
      if (slots_[i].key == key) return slots_[i].merge;
      if (slots_[i].key == kEmpty) return {};
    }
  }
  std::size_t size() const { return count_; }
  std::size_t memory() const { return slots_.capacity() * sizeof(Slot); }

 private:
  static constexpr std::uint64_t kEmpty = ~std::uint64_t{0};
  struct Slot {
    std::uint64_t key = kEmpty;
    Merge merge;
  };
  std::size_t slotIndex(std::uint64_t key) const {
    return static_cast<std::size_t>((key * 0x9e3779b97f4a7c15U) >> shift_);
  }
  void grow();

  std::vector<Slot> slots_;
  unsigned shift_;
  std::size_t count_ = 0;
};

class ReferenceMerger {
 public:
  // Merges by ranks: two tokens merge if their concatenated bytes are a token, whose id is the rank.
  // The vocabulary must outlive the merger. Throws std::invalid_argument if a byte has no token.
  explicit ReferenceMerger(const Vocabulary& vocabulary);
  // Merges by an explicit list of merges.
  ReferenceMerger(const Vocabulary& vocabulary, PairTable merges);

  TokenId byteToken(std::uint8_t value) const { return byteTokens_[value]; }
  // Appends the token ids of the piece, which has at most 2^31 bytes. Takes at least 24 bytes of memory for
  // each byte of the piece.
  void encode(std::string_view piece, std::vector<TokenId>& ids) const;

  struct FinalMerge {
    TokenId left = kNoToken;
    TokenId right = kNoToken;
    std::uint32_t rank = 0;
  };
  // Returns the final merge when the token's own bytes are encoded; nullopt if they do not encode to this
  // token.
  std::optional<FinalMerge> finalMerge(TokenId token) const;
  // Memory of the list of merges in bytes.
  std::size_t memory() const { return merges_ ? merges_->memory() : 0; }

 private:
  template <typename OnMerge>
  void mergePiece(std::string_view piece, std::vector<TokenId>& ids, OnMerge onMerge) const;
  Merge find(TokenId left, TokenId right, std::string_view concatenation) const;
  void initByteTokens();

  const Vocabulary& vocabulary_;
  std::optional<PairTable> merges_;
  std::vector<TokenId> byteTokens_;
};

}  // namespace garnethook::tokeniser
