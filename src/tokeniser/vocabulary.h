// The tokens of a vocabulary, with lookup by id and by bytes. Immutable and thread-safe once sealed.
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

// Reports a vocabulary or tokeniser file that cannot be used. what() is "file: field: reason".
class FileError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Vocabulary {
 public:
  static constexpr std::size_t kMostTokens = 4'000'000;
  static constexpr std::size_t kMaxTokenBytes = 65'536;

  // Throws std::invalid_argument for a duplicate id, an empty or too long token, or an id of kMostTokens or
  // more; seal() throws it for two tokens with the same bytes.
  void add(TokenId id, std::string_view bytes);
  // Builds the index. add() must not be called afterwards.
  void seal();

  std::size_t size() const { return count_; }
  TokenId ids() const { return static_cast<TokenId>(ranges_.size()); }  // one more than the largest id
  // Returns kNoToken if there is no such token. O(length).
  TokenId find(std::string_view bytes) const;
  bool has(TokenId id) const { return id < ranges_.size() && ranges_[id].length > 0; }
  // Returns an empty view for an unknown id. The view is valid as long as the vocabulary.
  std::string_view bytes(TokenId id) const {
    return id < ranges_.size() ? std::string_view(text_).substr(ranges_[id].begin, ranges_[id].length)
                               : std::string_view();
  }
  std::size_t memory() const;  // bytes

 private:
  struct ByteRange {
    std::uint32_t begin = 0;
    std::uint32_t length = 0;
  };
  std::uint64_t hash(std::string_view bytes) const;

  std::string text_;
  std::vector<ByteRange> ranges_;
  struct Slot {
    TokenId id = kNoToken;
    std::uint32_t fingerprint = 0;  // other bits of the hash, which avoid most comparisons with the text
  };
  std::vector<Slot> slots_;
  std::size_t count_ = 0;
  std::uint64_t seed_ = 0;
};

}  // namespace garnethook::tokeniser
