#include "fake_engine/answer.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace garnethook::fake_engine {
namespace {

constexpr std::array<std::string_view, 16> kWords{" flag",  " is",    " on",   " for",  " the", " north",
                                                  " hall",  " and",   " then", " roll", " out", " by",
                                                  " depot", " after", " noon", "."};

std::uint64_t mixBits(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ value >> 30) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ value >> 27) * 0x94d049bb133111ebULL;
  return value ^ value >> 31;
}

}  // namespace

std::uint32_t countTokens(std::string_view text) {
  const auto characters = std::count_if(
      text.begin(), text.end(), [](char c) { return (static_cast<std::uint8_t>(c) & 0xc0U) != 0x80; });
  return static_cast<std::uint32_t>((characters + 3) / 4);
}

Answer::Answer(std::string_view prompt, std::uint32_t maxTokens)
    : seed_(XXH3_64bits(prompt.data(), prompt.size())) {
  const std::uint32_t fullLength = 12 + static_cast<std::uint32_t>(mixBits(seed_) % 52);
  tokens_ = std::min(fullLength, std::max<std::uint32_t>(1, maxTokens));
  truncated_ = tokens_ < fullLength;
}

std::uint32_t Answer::tokenId(std::uint32_t index) const {
  return static_cast<std::uint32_t>(mixBits(seed_ + index) % 50'000);
}
std::string Answer::tokenText(std::uint32_t index) const {
  return std::string(kWords[tokenId(index) % kWords.size()]);
}

std::string Answer::text() const {
  std::string joined;
  for (std::uint32_t i = 0; i < tokens_; ++i) joined += tokenText(i);
  return joined;
}

}  // namespace garnethook::fake_engine
