// Added tokens, matched literally in a text before it is split into pieces: leftmost match first, the
// longest of those.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tokeniser/vocabulary.h"

namespace garnethook::tokeniser {

class AddedTokens {
 public:
  static constexpr std::size_t kMaxTokens = 65'536;
  static constexpr std::size_t kMaxTokenBytes = 1'024;

  // `special`: matched only where a request asks for special tokens.
  // Throws std::invalid_argument for an empty or too long text, too many tokens or a duplicate text.
  void add(std::string_view text, TokenId id, bool special);

  struct Match {
    std::size_t begin = 0;
    std::size_t end = 0;
    TokenId id = kNoToken;
  };
  // Returns the first match that begins in [from, beginLimit); it may extend up to text.size(). The time is
  // proportional to the number of bytes times the longest token; a byte that begins no token costs one
  // lookup.
  std::optional<Match> find(std::string_view text, std::size_t from, std::size_t beginLimit,
                            bool special) const;
  // Length in bytes of the longest token that find() can match; 0 if there is none.
  std::size_t maxLength(bool special) const { return special ? maxLengthAny_ : maxLengthNonSpecial_; }
  std::string_view bytes(TokenId id) const;  // empty if the id is not an added token
  std::optional<TokenId> id(std::string_view text) const;
  std::size_t size() const { return byText_.size(); }
  std::size_t memory() const;

 private:
  struct Entry {
    TokenId id = kNoToken;
    bool special = false;
  };
  std::map<std::string, Entry, std::less<>> byText_;
  std::map<TokenId, std::string> byId_;
  // Indexed by first byte: the distinct token lengths, longest first.
  struct CandidateLengths {
    std::vector<std::uint16_t> any;
    std::vector<std::uint16_t> nonSpecial;
  };
  std::vector<CandidateLengths> candidatesByFirstByte_ = std::vector<CandidateLengths>(256);
  std::size_t maxLengthAny_ = 0;
  std::size_t maxLengthNonSpecial_ = 0;
};

}  // namespace garnethook::tokeniser
