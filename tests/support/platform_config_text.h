// A complete configuration file of a router on the platform, for tests that need a realistic one.
#pragma once

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <string_view>

#include "platform/config/platform_config.h"

namespace garnethook::test {

inline constexpr std::string_view kPlatformConfigText = R"({
  "name": "n3", "listen": "127.0.0.4:9000", "discovery": "127.0.0.1:8500", "seed": "8c1f30d27a5be964",
  "limits": {"cores": 0.5, "memory_mb": 64, "sockets": 512},
  "known": {"revision": 41, "complete": true, "members": [
    {"id": "s-1", "host_port": "127.0.0.9:9000", "locality": "b", "flavor": "m1", "cell": 3, "phase": "ready", "size": 1.0, "up_since_ms": 0}]},
  "settings": {
    "az": "b", "zones": ["a", "b"], "skus": ["m1", "m2"], "balancers": 2, "discovery": "push",
    "allowed": {"attemptsCap": 6, "mayCancel": true, "probes": true, "connIdleMs": 15000.0, "dialTimeoutMs": 250.0,
                "retryAfter": true, "maxRetryAfterMs": 500.0},
    "familyInfo": {"kindRole": ["read", "write"], "memoryTokens": [200000, 100000], "releaseWithinMs": 500.0,
                   "aimUsPer1000PromptTokens": [60000.0, 40000.0], "tokenAimMs": [50.0, 70.0],
                   "reportX0": "share of memory that is held", "reportX1": "thousands of prompt tokens waiting"},
    "profiles": [
      {"name": "chat", "aimMs": 800.0, "deadlineMs": 3000.0, "effect": "read_like", "worth": 1.0},
      {"name": "order", "aimMs": 1500.0, "deadlineMs": 6000.0, "effect": "non_idempotent", "worth": 3.0}],
    "rules": {"coldFrom": 0.3, "warmWithinMs": 9000.0, "fallMultiple": 2.5, "tipAfterMs": 1500.0},
    "future": {"key": [1, 2]}}
})";

/// An environment without variables.
inline platform::Environment emptyEnvironment() {
  return [](const char*) -> std::optional<std::string> { return std::nullopt; };
}

/// Parses a configuration text.
inline platform::PlatformConfig readTestConfig(
    std::string_view text = kPlatformConfigText,
    const platform::Environment& environment = emptyEnvironment()) {
  return platform::readPlatformConfig(config::JsonFile::parse("config.json", text), environment);
}

}  // namespace garnethook::test
