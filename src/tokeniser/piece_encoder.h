// Byte-pair encoding of a piece from left to right, in time linear in its length and with four bytes of
// memory for each token; it needs no list of neighbours and no heap.
//
// The algorithm requires merges in order: each token's parts precede it in the order of merges, and encoding
// a token's own bytes yields that token. A sequence of tokens is then the encoding of its bytes if and only
// if each two adjacent tokens are the encoding of their concatenated bytes. So the encoder appends the
// longest token that is compatible with the previous one, then tries shorter ones, and otherwise backtracks
// by one token. A position from which no encoding continues is marked and not tried again, which bounds the
// work. (H. van Antwerpen and A. Neubeck, "So many tokens, so little time", 2024; M. Berglund and B. van der
// Merwe, "Formalizing BPE Tokenization", 2023.)
//
// The constructor checks that merges are in order and compares the result with ReferenceMerger on a sample;
// for a vocabulary that fails either check the encoder uses ReferenceMerger.
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
  // Scratch memory of one thread; grows with the longest piece, up to 4 1/8 bytes for each byte of text.
  struct Workspace {
    std::vector<std::uint32_t> sequence;
    std::vector<std::uint64_t> deadEnds;
  };

  // The vocabulary must outlive the encoder. `merger` is kept only if merges are not in order.
  PieceEncoder(const Vocabulary& vocabulary, std::unique_ptr<const ReferenceMerger> merger);

  // Appends the token ids of the piece. Throws std::logic_error, and appends nothing, if merges turn out not
  // to be in order despite the constructor's checks.
  void encode(std::string_view piece, std::vector<TokenId>& ids, Workspace& workspace) const;
  // Returns whether encoding the token's own bytes yields the token.
  bool reachable(TokenId id) const { return id < numberById_.size() && numberById_[id] != kNone; }
  // Returns whether merges are in order, so that the linear-time algorithm is used.
  bool ordered() const { return fallback_ == nullptr; }
  std::size_t memory() const;  // bytes

 private:
  static constexpr std::uint32_t kNone = 0xffffffff;
  // Indexed by token number, the position in the order of merges; single bytes come first.
  struct Token {
    TokenId id = kNoToken;
    std::uint32_t length = 0;
    std::uint32_t left = kNone;  // the two tokens it is merged from; itself for a single byte
    std::uint32_t right = kNone;
    std::uint32_t shorterPrefix = kNone;  // the longest token that is a proper prefix of it
  };
  struct Node {
    std::uint32_t firstChild = 0;  // index of the first child; children are contiguous, sorted by label
    std::uint32_t token = kNone;
    std::uint16_t childCount = 0;
    std::uint8_t label = 0;
  };

  bool numberTokens(const ReferenceMerger& merger);
  void buildTrie();
  bool agreesWithReference(const ReferenceMerger& merger) const;
  std::uint32_t longestPrefix(std::string_view text) const;  // the longest token that is a prefix of the text
  bool areCompatible(std::uint32_t left, std::uint32_t right) const;
  // Returns false if no sequence of tokens encodes the piece, which cannot happen if merges are in order.
  bool encodeOrdered(std::string_view piece, std::vector<TokenId>& ids, Workspace& workspace) const;

  const Vocabulary& vocabulary_;
  std::vector<Token> tokens_;
  std::vector<std::uint32_t> numberById_;      // token number by id
  PairTable pairs_;                            // keyed by token numbers; the merge that produces each token
  std::vector<Node> nodes_;                    // trie; 0 is the root
  std::vector<std::uint32_t> nodeByTwoBytes_;  // node by the first two bytes; 0 if there is none
  std::unique_ptr<const ReferenceMerger> fallback_;
};

}  // namespace garnethook::tokeniser
