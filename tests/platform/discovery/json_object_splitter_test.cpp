// Tests the splitting of a byte stream into JSON objects.
#include "platform/discovery/json_object_splitter.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "platform/discovery/endpoint_list_parser.h"

namespace garnethook::platform {
namespace {

// Feeds the text in pieces of `pieceBytes` bytes and returns the objects.
std::vector<std::string> splitInPieces(const std::string& text, std::size_t pieceBytes,
                                       std::size_t maxObjectBytes = 1000) {
  JsonObjectSplitter splitter(maxObjectBytes);
  std::vector<std::string> objects;
  for (std::size_t offset = 0; offset < text.size(); offset += pieceBytes)
    EXPECT_TRUE(splitter.receive(std::string_view(text).substr(offset, pieceBytes),
                                 [&](std::string_view object) { objects.emplace_back(object); }));
  EXPECT_FALSE(splitter.isInsideObject());
  return objects;
}

TEST(JsonObjectSplitter, FindsTheSameObjectsForAnyPieceSize) {
  const std::string text = "{\"a\":1}\n\r\n\n{\"b\":{\"c\":[{},{\"d\":\"}{\\\"\\\\\"}]}}\n{}{}\n";
  const std::vector<std::string> objects{"{\"a\":1}", "{\"b\":{\"c\":[{},{\"d\":\"}{\\\"\\\\\"}]}}", "{}",
                                         "{}"};
  for (std::size_t pieceBytes = 1; pieceBytes <= text.size(); ++pieceBytes)
    EXPECT_EQ(splitInPieces(text, pieceBytes), objects) << pieceBytes;
}

// Prevents an indented list from being parsed line by line, which found no valid list in any of its lines.
TEST(JsonObjectSplitter, ReportsAnIndentedListAsOneObject) {
  const std::string list =
      "{\n  \"revision\": 4,\n  \"complete\": true,\n\n  \"members\": [\n    {\n      \"id\": \"e\",\n"
      "      \"host_port\": \"h:1\",\n      \"phase\": \"ready\"\n    }\n  ]\n}";
  for (const std::size_t pieceBytes : {1, 7, 1000}) {
    const auto objects = splitInPieces("\n" + list + "\n\n" + list + "\n", pieceBytes);
    ASSERT_EQ(objects, (std::vector<std::string>{list, list}));
    const auto update = parseEndpointList(objects[0]);
    EXPECT_EQ(update.version, 4);
    ASSERT_EQ(update.endpoints.size(), 1u);
    EXPECT_EQ(update.endpoints[0].host, "h");
  }
}

TEST(JsonObjectSplitter, DiscardsOnlyOneLineOfStrayTextAndLimitsTheObjectSize) {
  EXPECT_EQ(splitInPieces("stray }{ text\n{\"a\":1}\n", 3),
            (std::vector<std::string>{"stray }{ text", "{\"a\":1}"}));
  JsonObjectSplitter splitter(10);
  EXPECT_FALSE(splitter.receive("{" + std::string(10, ' '), [](std::string_view) {}));
  splitter.reset();
  EXPECT_FALSE(splitter.isInsideObject());
  int objects = 0;
  EXPECT_TRUE(splitter.receive("{}", [&](std::string_view) { ++objects; }));
  EXPECT_EQ(objects, 1);
}

}  // namespace
}  // namespace garnethook::platform
