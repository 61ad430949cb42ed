// Tests of the error messages for configuration files.
#include "config/json_file.h"

#include <gtest/gtest.h>

namespace garnethook {
namespace {

TEST(JsonFile, NamesFileLineAndKeyInErrors) {
  const auto errorOf = [](std::string_view text, auto readValues) -> std::string {
    try {
      const config::Node root(config::JsonFile::parse("f.json", text));
      readValues(root);
      root.done();
    } catch (const config::Error& exception) { return exception.what(); }
    return "";
  };
  const auto readNothing = [](const config::Node&) {};
  EXPECT_EQ(errorOf("{\n// c\n\"a\": {\n/* x\n */ \"b\": [1,\n \"two\"] } }",
                    [](const config::Node& node) { node.object("a").texts("b"); }),
            "f.json:5: a.b[0]: expected a string");
  EXPECT_EQ(
      errorOf("{\n\"aim\": 3,\n\"amm\": 4}", [](const config::Node& node) { node.number("aim", 1, 0, 5); }),
      "f.json:3: amm: is not a setting");
  EXPECT_EQ(errorOf("{\n\n\"n\": 7}", [](const config::Node& node) { node.integer("n", 1, 0, 5); }),
            "f.json:3: n: 7 is not between 0 and 5");
  EXPECT_EQ(errorOf("{\"e\":\n \"x\"}",
                    [](const config::Node& node) {
                      node.choice("e", {"a", "b"}, 0);
                    }),
            "f.json:1: e: \"x\" is none of: a, b");
  EXPECT_EQ(errorOf("{}", [](const config::Node& node) { node.text("name"); }), "f.json:1: name: is missing");
  EXPECT_TRUE(errorOf("{\n\"a\": }", readNothing).starts_with("f.json:2: syntax error"));
  const std::string deeplyNested = "{\"a\":" + std::string(200'000, '[') + std::string(200'000, ']') + "}";
  EXPECT_EQ(errorOf(deeplyNested, readNothing), "f.json:1: (file): nested too deep");
  // Guards against a crash of the router, found by fuzzing: the library throws another type of exception for
  // a number that is out of range.
  EXPECT_TRUE(errorOf("{\"a\": 7e999}", readNothing).starts_with("f.json:1: (file): "));
}

}  // namespace
}  // namespace garnethook
