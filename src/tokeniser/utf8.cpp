#include "tokeniser/utf8.h"

#include <cstdint>
#include <cstring>

namespace garnethook::tokeniser {
namespace {

constexpr bool isContinuation(std::uint8_t c) { return (c & 0xc0U) == 0x80; }

struct DecodedUnit {
  std::size_t length = 1;  // of the character or the ill-formed subpart
  bool valid = false;
};

// Decodes one character by table 3-7, where the range of the second byte depends on the first.
DecodedUnit decodeUnit(const std::uint8_t* at, const std::uint8_t* end) {
  const std::uint8_t first = *at;
  if (first < 0x80) return {1, true};
  std::size_t trailing = 0;
  std::uint8_t low = 0x80;
  std::uint8_t high = 0xbf;
  if (first >= 0xc2 && first <= 0xdf) {
    trailing = 1;
  } else if (first >= 0xe0 && first <= 0xef) {
    trailing = 2;
    if (first == 0xe0) low = 0xa0;
    if (first == 0xed) high = 0x9f;
  } else if (first >= 0xf0 && first <= 0xf4) {
    trailing = 3;
    if (first == 0xf0) low = 0x90;
    if (first == 0xf4) high = 0x8f;
  } else {
    return {1, false};
  }
  const auto available = static_cast<std::size_t>(end - at);
  for (std::size_t i = 1; i <= trailing; ++i) {
    if (i >= available) return {i, false};
    const bool inRange = i == 1 ? at[i] >= low && at[i] <= high : isContinuation(at[i]);
    if (!inRange) return {i, false};
  }
  return {trailing + 1, true};
}

// Skips the ASCII bytes from `at` on, eight at a time.
const std::uint8_t* skipAscii(const std::uint8_t* at, const std::uint8_t* end) {
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
  while ((at = skipAscii(at, end)) < end) {
    const DecodedUnit unit = decodeUnit(at, end);
    if (!unit.valid) return false;
    at += unit.length;
  }
  return true;
}

std::optional<std::string> repaired(std::string_view text) {
  if (wellFormed(text)) return std::nullopt;
  std::string output;
  output.reserve(text.size() + 64);
  const auto* at = reinterpret_cast<const std::uint8_t*>(text.data());
  const auto* const end = at + text.size();
  while (at < end) {
    const DecodedUnit unit = decodeUnit(at, end);
    if (unit.valid)
      output.append(reinterpret_cast<const char*>(at), unit.length);
    else
      output += "\xef\xbf\xbd";
    at += unit.length;
  }
  return output;
}

std::size_t characterStart(std::string_view text, std::size_t at) {
  if (at >= text.size()) return text.size();
  while (at > 0 && isContinuation(static_cast<std::uint8_t>(text[at]))) --at;
  return at;
}

std::size_t bytesOf(std::string_view text, std::size_t characters) {
  std::size_t counted = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (isContinuation(static_cast<std::uint8_t>(text[i]))) continue;
    if (counted == characters) return i;
    ++counted;
  }
  return text.size();
}

void append(std::string& output, char32_t c) {
  const auto appendByte = [&](std::uint32_t byte) { output.push_back(static_cast<char>(byte)); };
  if (c < 0x80) {
    appendByte(c);
  } else if (c < 0x800) {
    appendByte(0xc0 | c >> 6);
    appendByte(0x80 | (c & 0x3f));
  } else if (c < 0x10000) {
    appendByte(0xe0 | c >> 12);
    appendByte(0x80 | (c >> 6 & 0x3f));
    appendByte(0x80 | (c & 0x3f));
  } else {
    appendByte(0xf0 | c >> 18);
    appendByte(0x80 | (c >> 12 & 0x3f));
    appendByte(0x80 | (c >> 6 & 0x3f));
    appendByte(0x80 | (c & 0x3f));
  }
}

char32_t decodeCharacter(std::string_view text, std::size_t& at) {
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
