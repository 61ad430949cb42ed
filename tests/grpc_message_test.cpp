#include <gtest/gtest.h>

#include "grpc/message.h"

namespace garnethook::grpc {
namespace {

TEST(GrpcMessage, ComesBackFromAnyPieces) {
  std::string bytes;
  frame("hello", bytes);
  frame("", bytes);
  frame(std::string(1000, 'x'), bytes);
  for (const std::size_t piece : {std::size_t{1}, std::size_t{3}, bytes.size()}) {
    MessageReader reader(2000);
    std::vector<std::string> got;
    for (std::size_t at = 0; at < bytes.size(); at += piece)
      ASSERT_EQ(
          reader.receive(std::string_view(bytes).substr(at, piece), [&](auto m) { got.emplace_back(m); })
              .code,
          Code::ok);
    EXPECT_EQ(got, (std::vector<std::string>{"hello", "", std::string(1000, 'x')}));
    EXPECT_FALSE(reader.hasPartialInput());
  }
}

TEST(GrpcMessage, RefusesTooLargeCompressedAndUnknown) {
  const auto code = [](std::string bytes) { return MessageReader(100).receive(bytes, [](auto) {}).code; };
  EXPECT_EQ(code(std::string("\0\0\0\0\x65", 5)),
            Code::resourceExhausted);  // before a single byte of it came
  EXPECT_EQ(code(std::string("\1\0\0\0\1x", 6)), Code::unimplemented);
  EXPECT_EQ(code(std::string("\2\0\0\0\1x", 6)), Code::internal);
}

TEST(GrpcTimeout, ReadsTheSpecificationsForms) {
  EXPECT_EQ(parseTimeout("1H"), 3'600'000'000);
  EXPECT_EQ(parseTimeout("5S"), 5'000'000);
  EXPECT_EQ(parseTimeout("250m"), 250'000);
  EXPECT_EQ(parseTimeout("99999999n"), 99'999);
  for (const char* bad : {"", "S", "5", "-1S", "123456789S", "5 S", "5x"})
    EXPECT_FALSE(parseTimeout(bad)) << bad;
  for (const std::int64_t t : {0LL, 1LL, 99'999'999LL, 100'000'000LL, 7'200'000'000LL})
    EXPECT_NEAR(static_cast<double>(*parseTimeout(formatTimeout(t))), static_cast<double>(t),
                static_cast<double>(t) / 1000);
}

TEST(GrpcStatus, TravelsInTrailers) {
  const Status status{Code::unavailable, "50% \xc3\xa9\n", 1500};
  const auto headers = trailers(status, std::string("\0\xff", 2));
  EXPECT_EQ(http2::find(headers, "grpc-message"), "50%25 %C3%A9%0A");
  EXPECT_EQ(http2::find(headers, "grpc-retry-pushback-ms"), "1500");
  EXPECT_EQ(base64Decode(*http2::find(headers, "grpc-status-details-bin")), std::string("\0\xff", 2));
  const Status back = fromTrailers(headers);
  EXPECT_EQ(back.code, status.code);
  EXPECT_EQ(back.message, status.message);
  EXPECT_EQ(back.retryAfterMs, 1500);
  EXPECT_EQ(fromTrailers({{":status", "503"}}).code, Code::unavailable);
  EXPECT_EQ(fromTrailers({{"grpc-status", "17"}}).code, Code::unknown);
  EXPECT_EQ(percentDecode("%4"), "%4");
  EXPECT_EQ(percentDecode("%41%zz"), "A%zz");
}

TEST(Base64, WithAndWithoutPadding) {
  for (const char* text : {"", "f", "fo", "foo", "foob"}) EXPECT_EQ(base64Decode(base64Encode(text)), text);
  EXPECT_EQ(base64Decode("Zg=="), "f");
  EXPECT_FALSE(base64Decode("Z"));
  EXPECT_FALSE(base64Decode("Z*=="));
}

}  // namespace
}  // namespace garnethook::grpc
