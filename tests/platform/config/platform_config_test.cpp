// Tests how the configuration file of a router on the platform is decoded, and its error messages.
#include "platform/config/platform_config.h"

#include <gtest/gtest.h>

#include "support/platform_config_text.h"

namespace garnethook::platform {
namespace {

using test::kPlatformConfigText;
using test::readTestConfig;

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1'000'000;

std::string configTextReplacing(std::string_view part, std::string_view replacement = "") {
  std::string text(kPlatformConfigText);
  const auto position = text.find(part);
  EXPECT_NE(position, std::string::npos);
  return text.replace(position, part.size(), replacement);
}

std::string errorMessageFor(const std::string& text) {
  try {
    readTestConfig(text);
  } catch (const config::Error& error) { return error.what(); }
  return "none";
}

TEST(PlatformConfig, DecodesTheSettingsOfTheSimulatorsWireFormat) {
  const auto config = readTestConfig();
  EXPECT_EQ(config.name, "n3");
  EXPECT_EQ(config.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(config.limits.descriptors, 512u);
  EXPECT_EQ(config.limits.memoryBytes, 64u << 20);
  const auto& settings = config.deployment.settings;
  EXPECT_EQ(settings.ownZone, 1u);
  ASSERT_EQ(settings.classes.size(), 2u);
  EXPECT_EQ(settings.classes[0].ttftObjective, 800 * kMillisecond);
  EXPECT_EQ(settings.classes[1].idempotency, Idempotency::nonIdempotent);
  EXPECT_EQ(settings.classes[1].ttftObjectivePerKiloToken, 40'000);
  EXPECT_EQ(settings.kinds[1].role, Role::decode);
  EXPECT_EQ(settings.maxAttempts, 6);
  EXPECT_EQ(config.deployment.engineIdleTimeout, 15 * kSecond);
  EXPECT_NE(config.deployment.report.x0.find("share_of_memory"), std::string::npos);
  ASSERT_EQ(config.lastKnownEndpoints.size(), 1u);
  EXPECT_EQ(config.lastKnownEndpoints.at("s-1").cell, "3");
  EXPECT_EQ(config.lastKnownVersion, 41);
}

// Golden test of the keys outside `settings`, and the field that each of them sets.
TEST(PlatformConfig, EachKeyOfTheFileSetsItsField) {
  const auto config = readTestConfig();
  EXPECT_EQ(config.path, "config.json");
  EXPECT_EQ(config.listenAddress, "127.0.0.4:9000");
  EXPECT_EQ(config.discoveryAddress, "127.0.0.1:8500");
  EXPECT_DOUBLE_EQ(config.limits.cores, 0.5);
  EXPECT_TRUE(config.lastKnownErrors.empty());
  const auto defaults =
      readTestConfig(configTextReplacing(R"("cores": 0.5, "memory_mb": 64, "sockets": 512)"));
  EXPECT_DOUBLE_EQ(defaults.limits.cores, 1);
  EXPECT_EQ(defaults.limits.memoryBytes, 1024u << 20);
  EXPECT_EQ(defaults.limits.descriptors, 1024u);
  EXPECT_EQ(readTestConfig(configTextReplacing(R"("seed": "8c1f30d27a5be964",)")).seed, 1u);
  EXPECT_EQ(readTestConfig(configTextReplacing(R"("8c1f30d27a5be964")", "17")).seed, 17u);
  EXPECT_EQ(readTestConfig(configTextReplacing(R"("name": "n3",)")).name, "router");
}

TEST(PlatformConfig, KeepsUsableEntriesOfTheLastKnownList) {
  const auto config = readTestConfig(configTextReplacing(R"("127.0.0.9:9000")", R"("nowhere")"));
  EXPECT_TRUE(config.lastKnownEndpoints.empty());
  ASSERT_EQ(config.lastKnownErrors.size(), 1u);
  EXPECT_EQ(config.lastKnownErrors[0].code, EntryErrorCode::invalidAddress);
}

TEST(PlatformConfig, PrefersValuesOfTheFileToEnvironmentVariables) {
  const Environment environment = [](const char* name) -> std::optional<std::string> {
    return std::string(name) == "RELAY_DISCOVERY" ? std::optional<std::string>("127.0.0.2:1") : std::nullopt;
  };
  EXPECT_EQ(readTestConfig(kPlatformConfigText, environment).discoveryAddress, "127.0.0.1:8500");
  EXPECT_EQ(
      readTestConfig(configTextReplacing(R"("discovery": "127.0.0.1:8500", )"), environment).discoveryAddress,
      "127.0.0.2:1");
}

TEST(PlatformConfig, ReportsFileLineAndKeyInErrors) {
  EXPECT_NE(errorMessageFor(configTextReplacing(R"("read_like")", R"("odd")"))
                .find("config.json:14: settings.field 'profiles.0.effect'"),
            std::string::npos)
      << errorMessageFor(configTextReplacing(R"("read_like")", R"("odd")"));
  EXPECT_NE(errorMessageFor(configTextReplacing("127.0.0.4:9000", "nowhere")).find("config.json:2: listen"),
            std::string::npos);
  EXPECT_NE(errorMessageFor(configTextReplacing(R"("memory_mb": 64)", R"("memory_mb": -1)"))
                .find("limits.memory_mb"),
            std::string::npos);
  EXPECT_NE(errorMessageFor(configTextReplacing(R"(["m1", "m2"])", "[]")).find("settings"),
            std::string::npos);
}

}  // namespace
}  // namespace garnethook::platform
