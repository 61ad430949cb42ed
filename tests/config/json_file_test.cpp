// Errors of configuration files.
#include "config/json_file.h"

#include <gtest/gtest.h>

namespace garnethook {
namespace {

TEST(JsonFile, NamesFileLineAndKeyInErrors) {
  const auto error = [](std::string_view text, auto use) -> std::string {
    try {
      const config::Node root(config::JsonFile::parse("f.json", text));
      use(root);
      root.done();
    } catch (const config::Error& e) { return e.what(); }
    return "";
  };
  const auto none = [](const config::Node&) {};
  EXPECT_EQ(error("{\n// c\n\"a\": {\n/* x\n */ \"b\": [1,\n \"two\"] } }",
                  [](const config::Node& n) { n.object("a").texts("b"); }),
            "f.json:5: a.b[0]: a text is wanted");
  EXPECT_EQ(error("{\n\"aim\": 3,\n\"amm\": 4}", [](const config::Node& n) { n.number("aim", 1, 0, 5); }),
            "f.json:3: amm: is not a setting");
  EXPECT_EQ(error("{\n\n\"n\": 7}", [](const config::Node& n) { n.integer("n", 1, 0, 5); }),
            "f.json:3: n: 7 is not between 0 and 5");
  EXPECT_EQ(error("{\"e\":\n \"x\"}",
                  [](const config::Node& n) {
                    n.choice("e", {"a", "b"}, 0);
                  }),
            "f.json:1: e: \"x\" is none of: a, b");
  EXPECT_EQ(error("{}", [](const config::Node& n) { n.text("name"); }), "f.json:1: name: is missing");
  EXPECT_TRUE(error("{\n\"a\": }", none).starts_with("f.json:2: syntax error"));
  const std::string deep = "{\"a\":" + std::string(200'000, '[') + std::string(200'000, ']') + "}";
  EXPECT_EQ(error(deep, none), "f.json:1: (file): nested too deep");
  // Found by fuzzing: the library throws another exception for it, which ended the router.
  EXPECT_TRUE(error("{\"a\": 7e999}", none).starts_with("f.json:1: (file): "));
}

}  // namespace
}  // namespace garnethook
