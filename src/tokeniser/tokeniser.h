// One tokeniser of one version: text to token ids exactly as an engine does it. Immutable, used by any
// thread.
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
  bool specialTokens = false;  // special tokens' text in the prompt is meant as such
  bool frame = true;           // the tokens that a tokeniser sets before and behind a text (BOS)
};

// A place in a text up to which its tokens are known.
struct Mark {
  std::size_t at = 0;      // bytes
  std::size_t tokens = 0;  // of [0, at)
  friend bool operator==(const Mark&, const Mark&) = default;
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

  // The text as the tokeniser's own rules change it before all else; none where they leave it as it is.
  // Takes well-formed UTF-8.
  virtual std::optional<std::string> normalised(std::string_view text, const TextOptions& options) const = 0;

  // Encodes text[from.at, limit), `from` being 0 or a mark that came of this, and returns how far it got.
  // limit == text.size(): all of it. Else: as far as the tokens are the same for EVERY text that begins with
  // text[0, limit), which may be no further than `from`; no byte behind `limit` is looked at.
  // Appends the ids to `ids` where given. The text is well-formed and normalised.
  // Throws std::runtime_error where memory for the match is used up.
  virtual Mark advance(std::string_view text, Mark from, std::size_t limit, const TextOptions& options,
                       Workspace& workspace, std::vector<TokenId>* ids) const = 0;

  // Tokens before and behind every text.
  virtual std::span<const TokenId> before() const { return {}; }
  virtual std::span<const TokenId> behind() const { return {}; }
  // What the token stands for; empty for an unknown id.
  virtual std::string bytes(TokenId id) const = 0;
  // True: texts can be encoded in parts. False: advance() gets on only with the whole text.
  virtual bool inParts() const { return true; }
  virtual std::size_t memory() const = 0;  // bytes, about
  virtual std::string describe() const = 0;
};

// The whole text's ids. Text that is no UTF-8 is repaired first (utf8.h).
std::vector<TokenId> encode(const Tokeniser& tokeniser, std::string_view text, const TextOptions& options,
                            Workspace& workspace);
std::string decode(const Tokeniser& tokeniser, std::span<const TokenId> ids);

// How files are told apart.
enum class Format { ranks, huggingFace, sentencePiece };

struct FileOptions {
  Format format = Format::huggingFace;
  std::string pattern;  // ranks: knownPattern()'s name, or a pattern itself
  // Ranks and SentencePiece: what the file does not tell.
  std::vector<std::pair<std::string, TokenId>> specialTokens;  // ranks only
  std::vector<TokenId> before;                                 // set before every text
  std::vector<TokenId> behind;
};

// Reads a published file. Throws FileError naming file and field for what is wrong or not supported.
// At most 256 MiB are read.
std::shared_ptr<const Tokeniser> loadFile(const std::string& path, const FileOptions& options);
// The same of the file's bytes; `name` stands in errors.
std::shared_ptr<const Tokeniser> readRanks(const std::string& name, std::string_view bytes,
                                           const FileOptions& options);
std::shared_ptr<const Tokeniser> readHuggingFace(const std::string& name, std::string_view bytes);
// Of a file's path, since another process reads it: garnethook-sentencepiece, beside this program.
std::shared_ptr<const Tokeniser> startSentencePiece(const std::string& path, const FileOptions& options);

}  // namespace garnethook::tokeniser
