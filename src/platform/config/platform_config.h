/// Configuration of a router on the platform, read from environment variables and the file named by
/// RELAY_CONFIG. Error messages contain the file, line and key.
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
#include "platform/discovery/endpoint_list_parser.h"

namespace garnethook::platform {

/// Resources that the process may use.
struct Limits {
  double cores = 1;               ///< Processor cores; may be a fraction.
  std::uint64_t memoryBytes = 0;  ///< Resident memory.
  std::size_t descriptors = 0;    ///< Open file descriptors.
};

/// Complete configuration of one router process.
struct PlatformConfig {
  std::string path;                                ///< Path of the configuration file.
  std::string name;                                ///< Router name, used in logs and as its instance id.
  std::string listenAddress;                       ///< HOST:PORT.
  std::string discoveryAddress;                    ///< HOST:PORT.
  std::uint64_t seed = 0;                          ///< Seed of the random number generator.
  Limits limits;                                   ///< Resource limits of the process.
  deployment_config::DeploymentConfig deployment;  ///< Settings and names used by the routing policy.
  membership::EndpointMap lastKnownEndpoints;  ///< Endpoints of the stored copy in the file; may be stale.
  std::int64_t lastKnownVersion = 0;           ///< Revision of the stored copy.
  std::vector<EntryError> lastKnownErrors;     ///< Unusable entries of the stored copy.
};

/// Looks up an environment variable; std::nullopt if it is not set.
using Environment = std::function<std::optional<std::string>(const char* name)>;

/// Looks up a variable in the environment of this process.
std::optional<std::string> systemEnvironment(const char* name);

/// Loads the file named by RELAY_CONFIG. Throws config::Error, or config::UnavailableError if a later attempt
/// may succeed.
PlatformConfig loadPlatformConfig(const Environment& environment);

/// Decodes a parsed file. Values in the file take precedence over environment variables, so that replacing
/// the file of a running router takes effect. Throws config::Error.
PlatformConfig readPlatformConfig(const std::shared_ptr<const config::JsonFile>& file,
                                  const Environment& environment);

}  // namespace garnethook::platform
