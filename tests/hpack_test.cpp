// Checks HPACK against the examples of RFC 7541 appendix C and against malformed input from a hostile peer.
#include "http2/hpack.h"

#include <gtest/gtest.h>

namespace garnethook::http2 {
namespace {

std::vector<std::uint8_t> fromHex(std::string_view text) {
  std::vector<std::uint8_t> bytes;
  std::string digits;
  for (const char c : text)
    if (c != ' ') digits.push_back(c);
  for (std::size_t position = 0; position + 1 < digits.size(); position += 2)
    bytes.push_back(static_cast<std::uint8_t>(std::stoi(digits.substr(position, 2), nullptr, 16)));
  return bytes;
}

TEST(Hpack, DecodesTheRequestsOfAppendixC4) {
  HpackDecoder decoder({});
  Headers first;
  ASSERT_EQ(decoder.decode(fromHex("8286 8441 8cf1 e3c2 e5f2 3a6b a0ab 90f4 ff"), first), HpackError::none);
  EXPECT_EQ(
      first,
      (Headers{{":method", "GET"}, {":scheme", "http"}, {":path", "/"}, {":authority", "www.example.com"}}));
  Headers second;
  ASSERT_EQ(decoder.decode(fromHex("8286 84be 5886 a8eb 1064 9cbf"), second), HpackError::none);
  EXPECT_EQ(second.back(), (Header{"cache-control", "no-cache"}));
  Headers third;
  ASSERT_EQ(decoder.decode(fromHex("8287 85bf 4088 25a8 49e9 5ba9 7d7f 8925 a849 e95b b8e8 b4bf"), third),
            HpackError::none);
  EXPECT_EQ(third.back(), (Header{"custom-key", "custom-value"}));
  EXPECT_EQ(decoder.table().size(), 164u);
}

TEST(Hpack, EvictsEntriesAsInAppendixC6) {
  HpackDecoder decoder({.tableBytes = 256});
  Headers output;
  ASSERT_EQ(
      decoder.decode(fromHex("4882 6402 5885 aec3 771a 4b61 96d0 7abe 9410 54d4 44a8 2005 9504 0b81 66e0 "
                             "82a6 2d1b ff6e 919d 29ad"
                             "1718 63c7 8f0b 97c8 e9ae 82ae 43d3"),
                     output),
      HpackError::none);
  EXPECT_EQ(decoder.table().size(), 222u);
  output.clear();
  ASSERT_EQ(decoder.decode(fromHex("4883 640e ffc1 c0bf"), output), HpackError::none);
  EXPECT_EQ(decoder.table().size(), 222u);
  EXPECT_EQ(output.front(), (Header{":status", "307"}));
}

TEST(Hpack, HuffmanCodingRoundTripsEveryByte) {
  std::string allBytes;
  for (int byte = 0; byte < 256; ++byte) allBytes.push_back(static_cast<char>(byte));
  std::string encoded;
  huffmanEncode(allBytes, encoded);
  EXPECT_EQ(encoded.size(), huffmanLength(allBytes));
  std::string decoded;
  ASSERT_TRUE(
      huffmanDecode({reinterpret_cast<const std::uint8_t*>(encoded.data()), encoded.size()}, decoded, 256));
  EXPECT_EQ(decoded, allBytes);
  decoded.clear();
  EXPECT_FALSE(
      huffmanDecode({reinterpret_cast<const std::uint8_t*>(encoded.data()), encoded.size()}, decoded, 255));
}

TEST(Hpack, RejectsBadPaddingAndEos) {
  std::string output;
  EXPECT_FALSE(huffmanDecode(fromHex("18"), output, 100));        // 'a' padded with zeros
  EXPECT_FALSE(huffmanDecode(fromHex("1fff"), output, 100));      // 'a' with more than 7 bits of padding
  EXPECT_FALSE(huffmanDecode(fromHex("ffffffff"), output, 100));  // EOS
}

TEST(Hpack, HeadersRoundTripAndRepeatedBlocksAreShorter) {
  HpackEncoder encoder;
  HpackDecoder decoder({});
  const Headers headers{{":status", "200"},
                        {"content-type", "application/grpc"},
                        {"authorization", "secret"},
                        {"x", std::string(300, 'y')}};
  std::size_t sizes[2] = {};
  for (auto& size : sizes) {
    std::string block;
    encoder.encode(headers, block);
    size = block.size();
    Headers decoded;
    ASSERT_EQ(decoder.decode({reinterpret_cast<const std::uint8_t*>(block.data()), block.size()}, decoded),
              HpackError::none);
    EXPECT_EQ(decoded, headers);
  }
  EXPECT_LT(sizes[1], sizes[0] - 10);
}

TEST(Hpack, TruncatesExcessiveIndexedFieldsAndKeepsTheTableSynchronized) {
  HpackDecoder decoder({.listBytes = 8192});
  std::string block;
  HpackEncoder encoder;
  encoder.encode({{"x", std::string(60, 'a')}}, block);
  block.append(10'000, static_cast<char>(0x80 | 62));  // repeats the entry that was just added
  Headers output;
  EXPECT_EQ(decoder.decode({reinterpret_cast<const std::uint8_t*>(block.data()), block.size()}, output),
            HpackError::listTooLarge);
  EXPECT_LT(output.size(), 130u);
  Headers nextHeaders;
  EXPECT_EQ(decoder.decode(fromHex("be"), nextHeaders), HpackError::none);
  EXPECT_EQ(nextHeaders.front().value, std::string(60, 'a'));
}

TEST(Hpack, ReportsSpecificErrors) {
  Headers output;
  EXPECT_EQ(HpackDecoder({}).decode(fromHex("80"), output), HpackError::index);
  EXPECT_EQ(HpackDecoder({}).decode(fromHex("ff80"), output), HpackError::truncated);
  EXPECT_EQ(HpackDecoder({}).decode(fromHex("ffffffffffff7f"), output), HpackError::integer);
  EXPECT_EQ(HpackDecoder({}).decode(fromHex("3fe2ff7f"), output), HpackError::tableSize);
  EXPECT_EQ(HpackDecoder({}).decode(fromHex("8220"), output), HpackError::tableSize);  // not at the start
  EXPECT_EQ(HpackDecoder({}).decode(fromHex("400a61"), output), HpackError::truncated);
}

}  // namespace
}  // namespace garnethook::http2
