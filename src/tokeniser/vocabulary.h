// The tokens of one vocabulary: bytes by id and id by bytes. Immutable once built, read by any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace garnethook::tokeniser {

using TokenId = std::uint32_t;
constexpr TokenId kNoToken = 0xffffffff;

// A vocabulary or tokeniser file that can't be used. what(): "file: field: trouble".
class FileError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Vocabulary {
 public:
  static constexpr std::size_t kMostTokens = 4'000'000;
  static constexpr std::size_t kLongest = 65'536;  // bytes of a token

  // Throws std::invalid_argument: two tokens with the same bytes or id, an empty or too long token, an id
  // of kMostTokens or more.
  void add(TokenId id, std::string_view bytes);
  // Builds the index. No add() after it.
  void seal();

  std::size_t size() const { return count_; }
  TokenId ids() const { return static_cast<TokenId>(at_.size()); }  // one above the greatest
  // kNoToken where there is none. O(length).
  TokenId find(std::string_view bytes) const;
  bool has(TokenId id) const { return id < at_.size() && at_[id].length > 0; }
  // Empty for an id that is not there. Holds as long as the vocabulary.
  std::string_view bytes(TokenId id) const {
    return id < at_.size() ? std::string_view(text_).substr(at_[id].from, at_[id].length)
                           : std::string_view();
  }
  std::size_t memory() const;  // bytes

 private:
  struct Place {
    std::uint32_t from = 0;
    std::uint32_t length = 0;
  };
  std::uint64_t hash(std::string_view bytes) const;

  std::string text_;
  std::vector<Place> at_;
  struct Slot {
    TokenId id = kNoToken;
    std::uint32_t check = 0;  // other bits of the hash: spares most looks at the text
  };
  std::vector<Slot> slots_;
  std::size_t count_ = 0;
  std::uint64_t seed_ = 0;
};

}  // namespace garnethook::tokeniser
