// The answer of a fake engine. It is a function of the prompt and the token limit, so that any transcript can
// be verified.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace garnethook::fake_engine {

// Returns the token count of a text for fake engines without a tokeniser: one token per four characters,
// rounded up.
std::uint32_t countTokens(std::string_view text);

class Answer {
 public:
  Answer(std::string_view prompt, std::uint32_t maxTokens);
  std::uint32_t tokens() const { return tokens_; }
  bool truncated() const { return truncated_; }  // by the token limit
  std::string tokenText(std::uint32_t index) const;
  std::uint32_t tokenId(std::uint32_t index) const;
  std::string text() const;

 private:
  std::uint64_t seed_;
  std::uint32_t tokens_;
  bool truncated_;
};

}  // namespace garnethook::fake_engine
