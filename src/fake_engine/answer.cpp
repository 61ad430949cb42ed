#include "fake_engine/answer.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace garnethook::fake_engine {
namespace {

constexpr std::array<std::string_view, 16> kWords{" flag",  " is",    " on",   " for",  " the", " north",
                                                  " hall",  " and",   " then", " roll", " out", " by",
                                                  " depot", " after", " noon", "."};

std::uint64_t step(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ x >> 27) * 0x94d049bb133111ebULL;
  return x ^ x >> 31;
}

}  // namespace

std::uint32_t countTokens(std::string_view text) {
  const auto characters = std::count_if(
      text.begin(), text.end(), [](char c) { return (static_cast<std::uint8_t>(c) & 0xc0U) != 0x80; });
  return static_cast<std::uint32_t>((characters + 3) / 4);
}

Answer::Answer(std::string_view prompt, std::uint32_t maxTokens)
    : seed_(XXH3_64bits(prompt.data(), prompt.size())) {
  const std::uint32_t wanted = 12 + static_cast<std::uint32_t>(step(seed_) % 52);
  tokens_ = std::min(wanted, std::max<std::uint32_t>(1, maxTokens));
  cut_ = tokens_ < wanted;
}

std::uint32_t Answer::id(std::uint32_t index) const {
  return static_cast<std::uint32_t>(step(seed_ + index) % 50'000);
}
std::string Answer::token(std::uint32_t index) const {
  return std::string(kWords[id(index) % kWords.size()]);
}

std::string Answer::text() const {
  std::string out;
  for (std::uint32_t i = 0; i < tokens_; ++i) out += token(i);
  return out;
}

}  // namespace garnethook::fake_engine
