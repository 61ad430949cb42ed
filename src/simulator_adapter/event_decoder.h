/// @file
/// Decodes the simulator's lines into the policy's events and settings. The words of those lines are known
/// here only; nothing is decided.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "deployment_config/deployment_config.h"
#include "policy/routing_policy.h"

namespace garnethook::simulator_adapter {

/// A line that can't be understood; names the field at fault.
using LineError = deployment_config::FieldError;
/// What a deployment tells, with the names that later lines use.
using deployment_config::DeploymentConfig;
/// The name=value parts of a line.
using deployment_config::FieldReader;

/// What an instance of the policy starts with.
struct InstanceConfig {
  DeploymentConfig deployment;  ///< Settings and names.
  std::uint64_t seed = 0;       ///< Seed of its random numbers.
};

/// The first word of a line.
std::string_view verbOf(std::string_view line);

/// The name=value parts of a line, in any order. Throws LineError.
FieldReader fieldsOf(std::string_view line);

/// Decodes the line that starts an instance. Throws LineError.
InstanceConfig decodeInstanceConfig(std::string_view line);

/// Whether a line is an event of an instance; others are skipped, as the simulator may add some.
bool isEventVerb(std::string_view verb);

/// Whether a line is an entry of the endpoint list that the line before it begins.
bool isListEntry(std::string_view line);

/// Decodes an event; `entries`: the lines of its list entries. Throws LineError.
Event decodeEvent(std::string_view verb, const FieldReader& fields, std::span<const std::string> entries,
                  const DeploymentConfig& deployment);

}  // namespace garnethook::simulator_adapter
