// Tokens that are found in a text as they stand, before it is cut into pieces: the longest at the leftmost
// place.
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
  static constexpr std::size_t kMost = 65'536;
  static constexpr std::size_t kLongest = 1'024;  // bytes

  // `special`: found only where a request asks for it.
  // Throws std::invalid_argument: empty, too long, too many, or told twice with another id.
  void add(std::string_view text, TokenId id, bool special);

  struct Found {
    std::size_t begin = 0;
    std::size_t end = 0;
    TokenId id = kNoToken;
  };
  // The first that begins in [from, reach). All bytes up to text.size() are looked at. Linear in the bytes
  // times the longest token; bytes that begin no token cost one look.
  std::optional<Found> find(std::string_view text, std::size_t from, std::size_t reach, bool special) const;
  // Bytes of the longest one that is looked for; 0: none is.
  std::size_t longest(bool special) const { return special ? longestAny_ : longestPlain_; }
  std::string_view bytes(TokenId id) const;  // empty: not one of these
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
  // By the first byte: lengths that occur, longest first.
  struct Start {
    std::vector<std::uint16_t> any;
    std::vector<std::uint16_t> plain;
  };
  std::vector<Start> starts_ = std::vector<Start>(256);
  std::size_t longestAny_ = 0;
  std::size_t longestPlain_ = 0;
};

}  // namespace garnethook::tokeniser
