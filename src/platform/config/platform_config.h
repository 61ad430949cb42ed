/// The configuration of a router on the platform: the environment and the file that it names. Errors name
/// file, line and key.
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

/// Everything that one router process is configured with.
struct PlatformConfig {
  std::string path;                                ///< The file that was read.
  std::string name;                                ///< The router's name, for logs and its instance id.
  std::string listenAddress;                       ///< HOST:PORT.
  std::string discoveryAddress;                    ///< HOST:PORT.
  std::uint64_t seed = 0;                          ///< Of the random generator.
  Limits limits;                                   ///< Resources of the process.
  deployment_config::DeploymentConfig deployment;  ///< Settings of the routing policy, and names.
  membership::EndpointMap lastKnownEndpoints;      ///< The router's latest list, which may be old.
  std::int64_t lastKnownVersion = 0;               ///< Revision of that list.
  std::vector<EntryError> lastKnownErrors;         ///< Entries of that list that cannot be used.
};

/// Looks up an environment variable; nothing where it is not set.
using Environment = std::function<std::optional<std::string>(const char* name)>;

/// The environment of this process.
std::optional<std::string> systemEnvironment(const char* name);

/// Reads the file that RELAY_CONFIG names. Throws config::Error; config::UnavailableError where reading may
/// succeed later.
PlatformConfig loadPlatformConfig(const Environment& environment);

/// Decodes a parsed file. The file's own values take precedence over those of the environment, so that a file
/// that is replaced under a running router is effective. Throws config::Error.
PlatformConfig readPlatformConfig(const std::shared_ptr<const config::JsonFile>& file,
                                  const Environment& environment);

}  // namespace garnethook::platform
