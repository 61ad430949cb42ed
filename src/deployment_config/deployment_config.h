/// @file
/// Reads a deployment's configuration into the settings of the routing policy. The simulator protocol and the
/// platform's configuration file share this reader, since they use the same names and units. The operators'
/// names are translated to those of the policy here and nowhere else.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "deployment_config/field_reader.h"
#include "policy/routing_policy.h"

namespace garnethook::deployment_config {

/// Meanings of the two deployment-specific values of a load report, in the operators' wording.
struct ReportMeanings {
  std::string x0;  ///< Meaning of the value `x0`; empty if unused.
  std::string x1;  ///< Meaning of the value `x1`; empty if unused.
};

/// Settings of the routing policy, and the names by which later messages refer to classes, kinds and zones.
struct DeploymentConfig {
  Settings settings;                    ///< Settings of the routing policy.
  std::vector<std::string> classNames;  ///< Names of request classes, in the order of `settings.classes`.
  std::vector<std::string> kindNames;   ///< Names of endpoint kinds, in the order of `settings.kinds`.
  std::vector<std::string> zoneNames;   ///< Names of zones, by zone index.
  ReportMeanings report;                ///< Interpretation of load reports.
  Micros engineIdleTimeout = 0;         ///< Time after which engines close idle connections; 0: unknown.
  std::size_t maxOpenRequests = 0;      ///< Maximum open requests of this router; 0: no limit.
};

/// Reads the configuration. Throws FieldError, which names the invalid field.
DeploymentConfig readDeploymentConfig(const FieldReader& fields);

/// Adds one value to a load report; ignores values of unknown name or meaning.
void addReportValue(LoadReport& report, const ReportMeanings& meanings, std::string_view name, double value);

/// The index of a name in a list, or nullopt if the list does not contain it.
std::optional<std::size_t> indexOf(const std::vector<std::string>& list, std::string_view name);

}  // namespace garnethook::deployment_config
