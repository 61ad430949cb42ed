// The Huffman code of RFC 7541 appendix B. The code is canonical, so the code lengths define it completely.
#include <algorithm>
#include <array>
#include <initializer_list>

#include "http2/hpack.h"

namespace garnethook::http2 {
namespace {

constexpr std::size_t kSymbolCount = 257;  // 256 is EOS
constexpr std::size_t kEos = 256;
constexpr unsigned kMaxCodeBits = 30;

struct LengthGroup {
  unsigned bits;
  std::initializer_list<std::uint16_t> symbols;  // ascending
};

struct HuffmanTable {
  std::array<std::uint8_t, kSymbolCount> bits{};
  std::array<std::uint32_t, kSymbolCount> value{};
  // Decoding tables: the symbols in code order and, for each code length, the first code and its position in
  // that order.
  std::array<std::uint16_t, kSymbolCount> order{};
  std::array<std::uint32_t, kMaxCodeBits + 1> firstCode{};
  std::array<std::uint16_t, kMaxCodeBits + 1> firstPosition{};
  std::array<std::uint16_t, kMaxCodeBits + 1> count{};

  HuffmanTable() {
    const LengthGroup groups[] = {
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
    std::uint32_t nextCode = 0;
    unsigned length = 0;
    std::uint16_t position = 0;
    for (const LengthGroup& group : groups) {
      nextCode <<= group.bits - length;
      length = group.bits;
      firstCode[length] = nextCode;
      firstPosition[length] = position;
      count[length] = static_cast<std::uint16_t>(group.symbols.size());
      for (const std::uint16_t symbol : group.symbols) {
        bits[symbol] = static_cast<std::uint8_t>(length);
        value[symbol] = nextCode++;
        order[position++] = symbol;
      }
    }
  }
};

const HuffmanTable& huffmanTable() {
  static const HuffmanTable instance;
  return instance;
}

}  // namespace

std::size_t huffmanLength(std::string_view text) {
  std::size_t bits = 0;
  for (const char c : text) bits += huffmanTable().bits[static_cast<std::uint8_t>(c)];
  return (bits + 7) / 8;
}

void huffmanEncode(std::string_view text, std::string& output) {
  std::uint64_t bitBuffer = 0;
  unsigned bitCount = 0;
  for (const char c : text) {
    const auto symbol = static_cast<std::uint8_t>(c);
    bitBuffer = bitBuffer << huffmanTable().bits[symbol] | huffmanTable().value[symbol];
    bitCount += huffmanTable().bits[symbol];
    for (; bitCount >= 8; bitCount -= 8) output.push_back(static_cast<char>(bitBuffer >> (bitCount - 8)));
  }
  if (bitCount > 0) output.push_back(static_cast<char>(bitBuffer << (8 - bitCount) | 0xffU >> bitCount));
}

bool huffmanDecode(std::span<const std::uint8_t> input, std::string& output, std::size_t maxBytes) {
  const HuffmanTable& table = huffmanTable();
  std::uint32_t value = 0;
  unsigned length = 0;
  std::size_t decodedBytes = 0;
  for (const std::uint8_t byte : input) {
    for (int bit = 7; bit >= 0; --bit) {
      value = value << 1 | (byte >> bit & 1U);
      if (++length > kMaxCodeBits) return false;
      if (table.count[length] == 0 || value < table.firstCode[length] ||
          value - table.firstCode[length] >= table.count[length])
        continue;
      const std::uint16_t decodedSymbol =
          table.order[table.firstPosition[length] + (value - table.firstCode[length])];
      if (decodedSymbol == kEos || decodedBytes == maxBytes) return false;
      output.push_back(static_cast<char>(decodedSymbol));
      ++decodedBytes;
      value = 0;
      length = 0;
    }
  }
  return length < 8 && value == (1U << length) - 1;
}

}  // namespace garnethook::http2
