/// @file
/// Decodes the simulator's lines into events and settings of the policy. The verbs and field names of
/// event lines are defined only here. Makes no routing decisions.
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

/// Error of a malformed line; contains the name of the invalid field.
using LineError = deployment_config::FieldError;
/// Settings of a deployment and the names that later lines refer to.
using deployment_config::DeploymentConfig;
/// The name=value fields of a line.
using deployment_config::FieldReader;

/// Initial configuration of a policy instance.
struct InstanceConfig {
  DeploymentConfig deployment;  ///< Settings and names of the deployment.
  std::uint64_t seed = 0;       ///< Seed of the random number generator.
};

/// Returns the verb of a line, which is its first word.
std::string_view parseVerb(std::string_view line);

/// Parses the name=value fields of a line, which may be in any order. Throws LineError.
FieldReader parseFields(std::string_view line);

/// Decodes the line that starts a policy instance. Throws LineError.
InstanceConfig decodeInstanceConfig(std::string_view line);

/// Whether the verb denotes an event of an instance. Lines with unknown verbs are skipped, since the
/// simulator may add new ones.
bool isEventVerb(std::string_view verb);

/// Whether a line is an entry of the endpoint list that a preceding line begins.
bool isListEntry(std::string_view line);

/// Decodes an event; `entries`: the list entry lines of an endpoint update. Throws LineError.
Event decodeEvent(std::string_view verb, const FieldReader& fields, std::span<const std::string> entries,
                  const DeploymentConfig& deployment);

}  // namespace garnethook::simulator_adapter
