#include "tokeniser/utf8.h"

#include <cstdint>
#include <cstring>

namespace garnethook::tokeniser {
namespace {

constexpr bool continues(std::uint8_t c) { return (c & 0xc0U) == 0x80; }

struct Step {
  std::size_t length = 1;  // of the character or the ill-formed subpart
  bool good = false;
};

// Decodes one character by table 3-7, where the range of the second byte depends on the first.
Step step(const std::uint8_t* at, const std::uint8_t* end) {
  const std::uint8_t first = *at;
  if (first < 0x80) return {1, true};
  std::size_t more = 0;
  std::uint8_t low = 0x80;
  std::uint8_t high = 0xbf;
  if (first >= 0xc2 && first <= 0xdf) {
    more = 1;
  } else if (first >= 0xe0 && first <= 0xef) {
    more = 2;
    if (first == 0xe0) low = 0xa0;
    if (first == 0xed) high = 0x9f;
  } else if (first >= 0xf0 && first <= 0xf4) {
    more = 3;
    if (first == 0xf0) low = 0x90;
    if (first == 0xf4) high = 0x8f;
  } else {
    return {1, false};
  }
  const auto left = static_cast<std::size_t>(end - at);
  for (std::size_t i = 1; i <= more; ++i) {
    if (i >= left) return {i, false};
    const bool fits = i == 1 ? at[i] >= low && at[i] <= high : continues(at[i]);
    if (!fits) return {i, false};
  }
  return {more + 1, true};
}

// Skips the ASCII bytes from `at` on, eight at a time.
const std::uint8_t* pastAscii(const std::uint8_t* at, const std::uint8_t* end) {
  while (end - at >= 8) {
    std::uint64_t word = 0;
    std::memcpy(&word, at, 8);
    if ((word & 0x8080808080808080U) != 0) break;
    at += 8;
  }
  while (at < end && *at < 0x80) ++at;
  return at;
}

}  // namespace

bool wellFormed(std::string_view text) {
  const auto* at = reinterpret_cast<const std::uint8_t*>(text.data());
  const auto* const end = at + text.size();
  while ((at = pastAscii(at, end)) < end) {
    const Step s = step(at, end);
    if (!s.good) return false;
    at += s.length;
  }
  return true;
}

std::optional<std::string> repaired(std::string_view text) {
  if (wellFormed(text)) return std::nullopt;
  std::string out;
  out.reserve(text.size() + 64);
  const auto* at = reinterpret_cast<const std::uint8_t*>(text.data());
  const auto* const end = at + text.size();
  while (at < end) {
    const Step s = step(at, end);
    if (s.good)
      out.append(reinterpret_cast<const char*>(at), s.length);
    else
      out += "\xef\xbf\xbd";
    at += s.length;
  }
  return out;
}

std::size_t characterStart(std::string_view text, std::size_t at) {
  if (at >= text.size()) return text.size();
  while (at > 0 && continues(static_cast<std::uint8_t>(text[at]))) --at;
  return at;
}

std::size_t bytesOf(std::string_view text, std::size_t characters) {
  std::size_t seen = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (continues(static_cast<std::uint8_t>(text[i]))) continue;
    if (seen == characters) return i;
    ++seen;
  }
  return text.size();
}

void append(std::string& out, char32_t c) {
  const auto put = [&](std::uint32_t byte) { out.push_back(static_cast<char>(byte)); };
  if (c < 0x80) {
    put(c);
  } else if (c < 0x800) {
    put(0xc0 | c >> 6);
    put(0x80 | (c & 0x3f));
  } else if (c < 0x10000) {
    put(0xe0 | c >> 12);
    put(0x80 | (c >> 6 & 0x3f));
    put(0x80 | (c & 0x3f));
  } else {
    put(0xf0 | c >> 18);
    put(0x80 | (c >> 12 & 0x3f));
    put(0x80 | (c >> 6 & 0x3f));
    put(0x80 | (c & 0x3f));
  }
}

char32_t take(std::string_view text, std::size_t& at) {
  const auto byte = [&](std::size_t i) {
    return static_cast<std::uint32_t>(static_cast<std::uint8_t>(text[i]));
  };
  const std::uint32_t first = byte(at);
  const std::size_t length = first < 0x80 ? 1 : first < 0xe0 ? 2 : first < 0xf0 ? 3 : 4;
  char32_t c = length == 1 ? first : first & (0x7fU >> length);
  for (std::size_t i = 1; i < length; ++i) c = c << 6 | (byte(at + i) & 0x3f);
  at += length;
  return c;
}

}  // namespace garnethook::tokeniser
