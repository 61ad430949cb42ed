// A tokeniser of one version, which converts text to the same token ids as an engine. Immutable and
// thread-safe.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "tokeniser/pattern.h"
#include "tokeniser/piece_encoder.h"
#include "tokeniser/vocabulary.h"

namespace garnethook::tokeniser {

struct TextOptions {
  bool specialTokens = false;  // match the text of special tokens in the prompt
  bool frame = true;  // add the tokens that the tokeniser places before and after a text (such as BOS)
};

// A position in a text up to which its tokens are final.
struct EncodingPosition {
  std::size_t at = 0;      // bytes
  std::size_t tokens = 0;  // number of tokens in [0, at)
  friend bool operator==(const EncodingPosition&, const EncodingPosition&) = default;
};

// Scratch memory of one thread.
struct Workspace {
  PieceEncoder::Workspace pieces;
  Pattern::Workspace pattern;
  std::vector<TokenId> ids;
};

class Tokeniser {
 public:
  virtual ~Tokeniser() = default;

  // Applies the tokeniser's normalisation, the first step of encoding; returns nullopt if the text is
  // unchanged. The text must be well-formed UTF-8.
  virtual std::optional<std::string> normalised(std::string_view text, const TextOptions& options) const = 0;

  // Encodes text[from.at, limit) and returns the position reached. `from` is the default EncodingPosition or
  // one that an earlier call returned. With limit == text.size() the whole text is encoded. Otherwise
  // encoding stops where the tokens are no longer the same for EVERY text that begins with text[0, limit),
  // which may be at `from`; no byte at or after `limit` is read. Appends the ids to `ids` unless it is null.
  // The text must be well-formed and normalised. Throws std::runtime_error if the match memory is exhausted.
  virtual EncodingPosition advance(std::string_view text, EncodingPosition from, std::size_t limit,
                                   const TextOptions& options, Workspace& workspace,
                                   std::vector<TokenId>* ids) const = 0;

  // Tokens placed before and after every text.
  virtual std::span<const TokenId> before() const { return {}; }
  virtual std::span<const TokenId> behind() const { return {}; }
  // Returns the bytes that the token represents; empty for an unknown id.
  virtual std::string bytes(TokenId id) const = 0;
  // Returns whether texts can be encoded in parts; if false, advance() makes progress only with the whole
  // text.
  virtual bool supportsIncrementalEncoding() const { return true; }
  virtual std::size_t memory() const = 0;  // bytes, approximate
  virtual std::string describe() const = 0;
};

// Returns the ids of the whole text. Malformed UTF-8 is repaired first (utf8.h).
std::vector<TokenId> encode(const Tokeniser& tokeniser, std::string_view text, const TextOptions& options,
                            Workspace& workspace);
std::string decode(const Tokeniser& tokeniser, std::span<const TokenId> ids);

// Formats of tokeniser files.
enum class Format { ranks, huggingFace, sentencePiece };

struct FileOptions {
  Format format = Format::huggingFace;
  std::string pattern;  // ranks only: a name that knownPattern() accepts, or a pattern
  // Ranks and SentencePiece: properties that the file does not contain.
  std::vector<std::pair<std::string, TokenId>> specialTokens;  // ranks only
  std::vector<TokenId> before;                                 // placed before every text
  std::vector<TokenId> behind;
};

// Loads a published tokeniser file of at most 256 MiB. Throws FileError naming the file and field if the
// content is invalid or not supported.
std::shared_ptr<const Tokeniser> loadFile(const std::string& path, const FileOptions& options);
// As loadFile(), from the file's content; `name` is used in error messages.
std::shared_ptr<const Tokeniser> readRanks(const std::string& name, std::string_view bytes,
                                           const FileOptions& options);
std::shared_ptr<const Tokeniser> readHuggingFace(const std::string& name, std::string_view bytes);
// Takes the file's path, since another process reads it: garnethook-sentencepiece, which is installed in the
// same folder as this program.
std::shared_ptr<const Tokeniser> startSentencePiece(const std::string& path, const FileOptions& options);

}  // namespace garnethook::tokeniser
