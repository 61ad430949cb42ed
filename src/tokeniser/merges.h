// Merging by the definition: of all neighbours that may merge, the pair of the lowest rank first, the
// leftmost of equals. n log n in the piece's length. It is the measure for the faster PieceEncoder, gives it
// its merges, and takes its place for vocabularies whose merges are not in order (piece_encoder.h).
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "tokeniser/vocabulary.h"

namespace garnethook::tokeniser {

struct Merge {
  TokenId token = kNoToken;  // none: the two don't merge
  std::uint32_t rank = 0xffffffff;
};

// (left, right) -> merged token and rank; open addressing.
class PairTable {
 public:
  PairTable();
  // The first of two equal pairs stays; false for the second.
  bool add(TokenId left, TokenId right, Merge merge);
  Merge find(TokenId left, TokenId right) const {
    const std::uint64_t key = std::uint64_t{left} << 32 | right;
    for (std::size_t i = place(key);; i = (i + 1) & (slots_.size() - 1)) {
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
  std::size_t place(std::uint64_t key) const {
    return static_cast<std::size_t>((key * 0x9e3779b97f4a7c15U) >> shift_);
  }
  void grow();

  std::vector<Slot> slots_;
  unsigned shift_;
  std::size_t count_ = 0;
};

class PlainMerger {
 public:
  // By ranks: two tokens merge where their bytes together are a token, and its id is the rank.
  // The vocabulary must outlive the merger. Throws std::invalid_argument: no token for an byte.
  explicit PlainMerger(const Vocabulary& vocabulary);
  // By a list of merges.
  PlainMerger(const Vocabulary& vocabulary, PairTable merges);

  TokenId byte(std::uint8_t value) const { return bytes_[value]; }
  // Appends the ids of the piece. Memory: 24 bytes and more for each of the piece's. Piece: at most 2^31
  // bytes.
  void encode(std::string_view piece, std::vector<TokenId>& ids) const;

  struct Last {
    TokenId left = kNoToken;
    TokenId right = kNoToken;
    std::uint32_t rank = 0;
  };
  // The merge that completes this token when its own bytes are merged; none where they end otherwise.
  std::optional<Last> last(TokenId token) const;
  // What a list of merges takes, bytes.
  std::size_t memory() const { return merges_ ? merges_->memory() : 0; }

 private:
  template <typename Merged>
  void run(std::string_view piece, std::vector<TokenId>& ids, Merged merged) const;
  Merge find(TokenId left, TokenId right, std::string_view together) const;
  void findBytes();

  const Vocabulary& vocabulary_;
  std::optional<PairTable> merges_;
  std::vector<TokenId> bytes_;
};

}  // namespace garnethook::tokeniser
