// The Huffman code of RFC 7541 appendix B. It is canonical, so the lengths of the symbols' codes define it.
#include <algorithm>
#include <array>
#include <initializer_list>

#include "http2/hpack.h"

namespace garnethook::http2 {
namespace {

constexpr std::size_t kSymbols = 257;  // 256 is EOS
constexpr std::size_t kEos = 256;
constexpr unsigned kLongest = 30;

struct Group {
  unsigned bits;
  std::initializer_list<std::uint16_t> symbols;  // ascending
};

struct Code {
  std::array<std::uint8_t, kSymbols> bits{};
  std::array<std::uint32_t, kSymbols> value{};
  // For decoding: symbols by code order, and for each length the first code and its place in that order.
  std::array<std::uint16_t, kSymbols> order{};
  std::array<std::uint32_t, kLongest + 1> first{};
  std::array<std::uint16_t, kLongest + 1> offset{};
  std::array<std::uint16_t, kLongest + 1> count{};

  Code() {
    const Group groups[] = {
        {5, {48, 49, 50, 97, 99, 101, 105, 111, 115, 116}},
        {6, {32, 37, 45, 46,  47,  51,  52,  53,  54,  55,  56,  57,  61,
             65, 95, 98, 100, 102, 103, 104, 108, 109, 110, 112, 114, 117}},
        {7, {58, 66, 67, 68, 69, 70, 71, 72, 73,  74,  75,  76,  77,  78,  79,  80,
             81, 82, 83, 84, 85, 86, 87, 89, 106, 107, 113, 118, 119, 120, 121, 122}},
        {8, {38, 42, 44, 59, 88, 90}},
        {10, {33, 34, 40, 41, 63}},
        {11, {39, 43, 124}},
        {12, {35, 62}},
        {13, {0, 36, 64, 91, 93, 126}},
        {14, {94, 125}},
        {15, {60, 96, 123}},
        {19, {92, 195, 208}},
        {20, {128, 130, 131, 162, 184, 194, 224, 226}},
        {21, {153, 161, 167, 172, 176, 177, 179, 209, 216, 217, 227, 229, 230}},
        {22, {129, 132, 133, 134, 136, 146, 154, 156, 160, 163, 164, 169, 170,
              173, 178, 181, 185, 186, 187, 189, 190, 196, 198, 228, 232, 233}},
        {23, {1,   135, 137, 138, 139, 140, 141, 143, 147, 149, 150, 151, 152, 155, 157,
              158, 165, 166, 168, 174, 175, 180, 182, 183, 188, 191, 197, 231, 239}},
        {24, {9, 142, 144, 145, 148, 159, 171, 206, 215, 225, 236, 237}},
        {25, {199, 207, 234, 235}},
        {26, {192, 193, 200, 201, 202, 205, 210, 213, 218, 219, 238, 240, 242, 243, 255}},
        {27, {203, 204, 211, 212, 214, 221, 222, 223, 241, 244, 245, 246, 247, 248, 250, 251, 252, 253, 254}},
        {28, {2,  3,  4,  5,  6,  7,  8,  11, 12, 14, 15, 16,  17,  18, 19,
              20, 21, 23, 24, 25, 26, 27, 28, 29, 30, 31, 127, 220, 249}},
        {30, {10, 13, 22, 256}},
    };
    std::uint32_t next = 0;
    unsigned length = 0;
    std::uint16_t place = 0;
    for (const Group& g : groups) {
      next <<= g.bits - length;
      length = g.bits;
      first[length] = next;
      offset[length] = place;
      count[length] = static_cast<std::uint16_t>(g.symbols.size());
      for (const std::uint16_t s : g.symbols) {
        bits[s] = static_cast<std::uint8_t>(length);
        value[s] = next++;
        order[place++] = s;
      }
    }
  }
};

const Code& code() {
  static const Code made;
  return made;
}

}  // namespace

std::size_t huffmanLength(std::string_view text) {
  std::size_t bits = 0;
  for (const char c : text) bits += code().bits[static_cast<std::uint8_t>(c)];
  return (bits + 7) / 8;
}

void huffmanEncode(std::string_view text, std::string& out) {
  std::uint64_t pending = 0;
  unsigned held = 0;
  for (const char c : text) {
    const auto s = static_cast<std::uint8_t>(c);
    pending = pending << code().bits[s] | code().value[s];
    held += code().bits[s];
    for (; held >= 8; held -= 8) out.push_back(static_cast<char>(pending >> (held - 8)));
  }
  if (held > 0) out.push_back(static_cast<char>(pending << (8 - held) | 0xffU >> held));
}

bool huffmanDecode(std::span<const std::uint8_t> in, std::string& out, std::size_t most) {
  const Code& c = code();
  std::uint32_t value = 0;
  unsigned length = 0;
  std::size_t written = 0;
  for (const std::uint8_t byte : in) {
    for (int bit = 7; bit >= 0; --bit) {
      value = value << 1 | (byte >> bit & 1U);
      if (++length > kLongest) return false;
      if (c.count[length] == 0 || value < c.first[length] || value - c.first[length] >= c.count[length])
        continue;
      const std::uint16_t symbol = c.order[c.offset[length] + (value - c.first[length])];
      if (symbol == kEos || written == most) return false;
      out.push_back(static_cast<char>(symbol));
      ++written;
      value = 0;
      length = 0;
    }
  }
  return length < 8 && value == (1U << length) - 1;
}

}  // namespace garnethook::http2
