// Byte-pair encoding of a piece from left to right, in time linear in its length and with four bytes of
// memory for each token: no list of neighbours, no heap.
//
// It rests on this: with merges in order (each token's parts are older than itself, each token is what
// merging its own bytes gives), a row of tokens is THE encoding of its bytes exactly if each two neighbours
// are the encoding of theirs. So the longest token that fits after the last one is taken, else a shorter one,
// else the last one is taken back; a place from which no encoding goes on is marked and not tried again,
// which bounds the work. (H. van Antwerpen and A. Neubeck, "So many tokens, so little time", 2024; M.
// Berglund and B. van der Merwe, "Formalizing BPE Tokenization", 2023.)
//
// Whether merges are in order is checked when the encoder is built, and the result is compared with
// PlainMerger on a sample; a vocabulary that fails is encoded plainly.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "tokeniser/merges.h"
#include "tokeniser/vocabulary.h"

namespace garnethook::tokeniser {

class PieceEncoder {
 public:
  // Scratch memory of one thread; grows with the longest piece: an byte of text takes up to 4 1/8 bytes.
  struct Workspace {
    std::vector<std::uint32_t> row;
    std::vector<std::uint64_t> dead;
  };

  // The vocabulary must outlive the encoder. `merger` stays in use only where merges are not in order.
  PieceEncoder(const Vocabulary& vocabulary, std::unique_ptr<const PlainMerger> merger);

  // Appends the ids of the piece. Throws std::logic_error where the vocabulary proves to have merges out of
  // order after all; nothing is appended then.
  void encode(std::string_view piece, std::vector<TokenId>& ids, Workspace& workspace) const;
  // The token is what merging its own bytes gives.
  bool reachable(TokenId id) const { return id < number_.size() && number_[id] != kNone; }
  // Merges are in order: the fast way is taken.
  bool ordered() const { return plain_ == nullptr; }
  std::size_t memory() const;  // bytes

 private:
  static constexpr std::uint32_t kNone = 0xffffffff;
  // By its number, the place in the order of merges: bytes come first.
  struct Token {
    TokenId id = kNoToken;
    std::uint32_t length = 0;
    std::uint32_t left = kNone;  // the two it is merged from; itself for an byte
    std::uint32_t right = kNone;
    std::uint32_t shorter = kNone;  // the longest token that begins it
  };
  struct Node {
    std::uint32_t first = 0;  // children lie together, by label
    std::uint32_t token = kNone;
    std::uint16_t children = 0;
    std::uint8_t label = 0;
  };

  bool order(const PlainMerger& merger);
  void plant();
  bool agrees(const PlainMerger& merger) const;
  std::uint32_t longest(std::string_view text) const;  // the longest token at its beginning
  bool neighbours(std::uint32_t left, std::uint32_t right) const;
  // False where no row of tokens goes on, which merges in order rule out.
  bool encodeOrdered(std::string_view piece, std::vector<TokenId>& ids, Workspace& workspace) const;

  const Vocabulary& vocabulary_;
  std::vector<Token> tokens_;
  std::vector<std::uint32_t> number_;  // by id
  PairTable pairs_;                    // of numbers; the merge each token arises by
  std::vector<Node> nodes_;            // 0 is the root
  std::vector<std::uint32_t> two_;     // node by the first two bytes; 0: none
  std::unique_ptr<const PlainMerger> plain_;
};

}  // namespace garnethook::tokeniser
