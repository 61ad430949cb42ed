// What the platform tells a router: the environment and the configuration file that it names. Free of
// decisions; errors name file, line and key.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/json_file.h"
#include "deployment_config/deployment_config.h"
#include "membership/endpoint_spec.h"

namespace garnethook::platform {

struct Limits {
  double cores = 1;          // share of one core
  std::uint64_t memory = 0;  // bytes
  std::size_t descriptors = 0;
};

struct PlatformConfig {
  std::string path;
  std::string name;
  std::string listen;     // HOST:PORT
  std::string discovery;  // HOST:PORT
  std::uint64_t seed = 0;
  Limits limits;
  deployment_config::DeploymentConfig deployment;
  // The engines as the router last had them, and the version of that list; it may be old.
  membership::EndpointMap known;
  std::int64_t knownVersion = 0;
  std::vector<std::string> errors;  // what of `known` can't be used
};

// A variable of the environment, or nothing.
using Environment = std::function<std::optional<std::string>(const char* name)>;
std::optional<std::string> systemEnvironment(const char* name);

// Reads the file that RELAY_CONFIG names. The file's own values go before those of the environment, so that a
// file that was replaced under a running router is heard. Throws config::Error.
PlatformConfig loadConfig(const Environment& environment);
PlatformConfig readConfig(const std::shared_ptr<const config::JsonFile>& file,
                          const Environment& environment);

}  // namespace garnethook::platform
