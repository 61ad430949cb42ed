#include <gtest/gtest.h>

#include "grpc/message.h"

namespace garnethook::grpc {
namespace {

TEST(GrpcMessage, RoundTripsWhenSplitIntoPieces) {
  std::string bytes;
  frame("hello", bytes);
  frame("", bytes);
  frame(std::string(1000, 'x'), bytes);
  for (const std::size_t pieceSize : {std::size_t{1}, std::size_t{3}, bytes.size()}) {
    MessageReader reader(2000);
    std::vector<std::string> received;
    for (std::size_t offset = 0; offset < bytes.size(); offset += pieceSize)
      ASSERT_EQ(reader
                    .receive(std::string_view(bytes).substr(offset, pieceSize),
                             [&](auto payload) { received.emplace_back(payload); })
                    .code,
                Code::ok);
    EXPECT_EQ(received, (std::vector<std::string>{"hello", "", std::string(1000, 'x')}));
    EXPECT_FALSE(reader.hasPartialInput());
  }
}

TEST(GrpcMessage, RejectsOversizedCompressedAndUnknownFlags) {
  const auto code = [](std::string bytes) { return MessageReader(100).receive(bytes, [](auto) {}).code; };
  EXPECT_EQ(code(std::string("\0\0\0\0\x65", 5)),
            Code::resourceExhausted);  // rejected before any byte of the payload has arrived
  EXPECT_EQ(code(std::string("\1\0\0\0\1x", 6)), Code::unimplemented);
  EXPECT_EQ(code(std::string("\2\0\0\0\1x", 6)), Code::internal);
}

TEST(GrpcTimeout, ParsesTheFormatsOfTheSpecification) {
  EXPECT_EQ(parseTimeout("1H"), 3'600'000'000);
  EXPECT_EQ(parseTimeout("5S"), 5'000'000);
  EXPECT_EQ(parseTimeout("250m"), 250'000);
  EXPECT_EQ(parseTimeout("99999999n"), 99'999);
  for (const char* malformed : {"", "S", "5", "-1S", "123456789S", "5 S", "5x"})
    EXPECT_FALSE(parseTimeout(malformed)) << malformed;
  for (const std::int64_t timeoutMicros : {0LL, 1LL, 99'999'999LL, 100'000'000LL, 7'200'000'000LL})
    EXPECT_NEAR(static_cast<double>(*parseTimeout(formatTimeout(timeoutMicros))),
                static_cast<double>(timeoutMicros), static_cast<double>(timeoutMicros) / 1000);
}

TEST(GrpcStatus, RoundTripsThroughTrailers) {
  const Status status{Code::unavailable, "50% \xc3\xa9\n", 1500};
  const auto headers = trailers(status, std::string("\0\xff", 2));
  EXPECT_EQ(http2::find(headers, "grpc-message"), "50%25 %C3%A9%0A");
  EXPECT_EQ(http2::find(headers, "grpc-retry-pushback-ms"), "1500");
  EXPECT_EQ(base64Decode(*http2::find(headers, "grpc-status-details-bin")), std::string("\0\xff", 2));
  const Status decoded = fromTrailers(headers);
  EXPECT_EQ(decoded.code, status.code);
  EXPECT_EQ(decoded.message, status.message);
  EXPECT_EQ(decoded.retryAfterMs, 1500);
  EXPECT_EQ(fromTrailers({{":status", "503"}}).code, Code::unavailable);
  EXPECT_EQ(fromTrailers({{"grpc-status", "17"}}).code, Code::unknown);
  EXPECT_EQ(percentDecode("%4"), "%4");
  EXPECT_EQ(percentDecode("%41%zz"), "A%zz");
}

TEST(Base64, DecodesWithAndWithoutPadding) {
  for (const char* text : {"", "f", "fo", "foo", "foob"}) EXPECT_EQ(base64Decode(base64Encode(text)), text);
  EXPECT_EQ(base64Decode("Zg=="), "f");
  EXPECT_FALSE(base64Decode("Z"));
  EXPECT_FALSE(base64Decode("Z*=="));
}

}  // namespace
}  // namespace garnethook::grpc
