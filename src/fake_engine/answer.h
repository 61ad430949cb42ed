// What a stand-in engine answers: fixed by prompt and ceiling, so that any transcript can be checked.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace garnethook::fake_engine {

// Tokens of a text, by the stand-ins' own count: one for every four characters, rounded up.
std::uint32_t countTokens(std::string_view text);

class Answer {
 public:
  Answer(std::string_view prompt, std::uint32_t maxTokens);
  std::uint32_t tokens() const { return tokens_; }
  bool cut() const { return cut_; }  // ended by the ceiling
  std::string token(std::uint32_t index) const;
  std::uint32_t id(std::uint32_t index) const;
  std::string text() const;

 private:
  std::uint64_t seed_;
  std::uint32_t tokens_;
  bool cut_;
};

}  // namespace garnethook::fake_engine
