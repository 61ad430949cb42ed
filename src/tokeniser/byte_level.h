// Byte-level BPE: matches added tokens, splits the rest into pieces by patterns and merges each piece.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "tokeniser/added_tokens.h"
#include "tokeniser/tokeniser.h"

namespace garnethook::tokeniser {

struct ByteLevelComponents {
  std::string name;  // for describe()
  Vocabulary vocabulary;
  std::unique_ptr<const ReferenceMerger> merger;  // refers to `vocabulary` by address
  // Applied in order: each pattern splits the pieces of the previous one.
  std::vector<Pattern> patterns;
  bool keepUnmatchedText = true;        // text between matches is a piece too; otherwise it is dropped
  bool preferWholePieceTokens = false;  // a piece that equals a token is encoded as it without merging
  bool normaliseToNfc = false;          // normalise to NFC first
  AddedTokens added;
  std::vector<TokenId> before;
  std::vector<TokenId> behind;
};

class ByteLevelTokeniser final : public Tokeniser {
 public:
  explicit ByteLevelTokeniser(std::unique_ptr<ByteLevelComponents> components);

  std::optional<std::string> normalised(std::string_view text, const TextOptions& options) const override;
  EncodingPosition advance(std::string_view text, EncodingPosition from, std::size_t limit,
                           const TextOptions& options, Workspace& workspace,
                           std::vector<TokenId>* ids) const override;
  std::span<const TokenId> before() const override { return components_->before; }
  std::span<const TokenId> behind() const override { return components_->behind; }
  std::string bytes(TokenId id) const override;
  std::size_t memory() const override;
  std::string describe() const override;
  const PieceEncoder& pieces() const { return encoder_; }

 private:
  std::size_t encodeSegment(std::string_view text, std::size_t from, std::size_t to, bool isFinal,
                            Workspace& workspace, std::vector<TokenId>& ids) const;
  void splitAndEncode(std::string_view piece, std::size_t level, Workspace& workspace,
                      std::vector<TokenId>& ids) const;
  void encodePiece(std::string_view piece, Workspace& workspace, std::vector<TokenId>& ids) const;

  std::unique_ptr<ByteLevelComponents> components_;
  PieceEncoder encoder_;
  std::size_t maxTokenBytes_ = 0;  // length in bytes of the vocabulary's longest token
};

// Returns the text in Unicode's composed form (NFC, Unicode 15 section 3.11); nullopt if it is in NFC
// already.
std::optional<std::string> toNfc(std::string_view text);

}  // namespace garnethook::tokeniser
