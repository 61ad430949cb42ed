// Byte-level BPE: matches added tokens, splits the rest into pieces by patterns and merges each piece.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "tokeniser/added_tokens.h"
#include "tokeniser/tokeniser.h"

namespace garnethook::tokeniser {

struct ByteLevelParts {
  std::string name;  // for describe()
  Vocabulary vocabulary;
  std::unique_ptr<const PlainMerger> merger;  // refers to `vocabulary` by address
  // Applied in order: each pattern splits the pieces of the previous one.
  std::vector<Pattern> patterns;
  bool keepGaps = true;      // text between matches is a piece too; otherwise it is dropped
  bool wholePieces = false;  // a piece that equals a token is encoded as it without merging
  bool composed = false;     // normalise to NFC first
  AddedTokens added;
  std::vector<TokenId> before;
  std::vector<TokenId> behind;
};

class ByteLevel final : public Tokeniser {
 public:
  explicit ByteLevel(std::unique_ptr<ByteLevelParts> parts);

  std::optional<std::string> normalised(std::string_view text, const TextOptions& options) const override;
  Mark advance(std::string_view text, Mark from, std::size_t limit, const TextOptions& options,
               Workspace& workspace, std::vector<TokenId>* ids) const override;
  std::span<const TokenId> before() const override { return parts_->before; }
  std::span<const TokenId> behind() const override { return parts_->behind; }
  std::string bytes(TokenId id) const override;
  std::size_t memory() const override;
  std::string describe() const override;
  const PieceEncoder& pieces() const { return encoder_; }

 private:
  std::size_t segment(std::string_view text, std::size_t from, std::size_t to, bool certain,
                      Workspace& workspace, std::vector<TokenId>& ids) const;
  void cut(std::string_view piece, std::size_t level, Workspace& workspace, std::vector<TokenId>& ids) const;
  void piece(std::string_view piece, Workspace& workspace, std::vector<TokenId>& ids) const;

  std::unique_ptr<ByteLevelParts> parts_;
  PieceEncoder encoder_;
  std::size_t longest_ = 0;  // length in bytes of the vocabulary's longest token
};

// Returns the text in Unicode's composed form (NFC, Unicode 15 section 3.11); nullopt if it is in NFC
// already.
std::optional<std::string> composed(std::string_view text);

}  // namespace garnethook::tokeniser
