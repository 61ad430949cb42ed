/// What a deployment configures a router with, as the routing policy's settings. One reader serves the
/// simulator's wire and the platform's configuration file, which use the same names and units. The names of
/// the operators' pages are translated here and nowhere else.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "deployment_config/field_reader.h"
#include "policy/routing_policy.h"

namespace garnethook::deployment_config {

/// What the two free values of a load report mean at this deployment, in the words of the operators' pages.
struct ReportMeanings {
  std::string x0;  ///< Meaning of the value `x0`; empty where it is not used.
  std::string x1;  ///< Meaning of the value `x1`; empty where it is not used.
};

/// Settings of the routing policy, with the names that later messages use.
struct DeploymentConfig {
  Settings settings;                    ///< Of the routing policy.
  std::vector<std::string> classNames;  ///< Request classes, in the order of `settings.classes`.
  std::vector<std::string> kindNames;   ///< Endpoint kinds, in the order of `settings.kinds`.
  std::vector<std::string> zoneNames;   ///< Zones; their index is the zone's number.
  ReportMeanings report;                ///< How load reports are read.
  Micros engineIdleTimeout = 0;         ///< Engines close idle connections after it; 0: not known.
  std::size_t maxOpenRequests = 0;      ///< Bound on open requests of this router; 0: none.
};

/// Reads the settings. Throws FieldError, naming the field.
DeploymentConfig readDeploymentConfig(const FieldReader& fields);

/// Adds one value to a load report; values that nothing is known of are ignored.
void addReportValue(LoadReport& report, const ReportMeanings& meanings, std::string_view name, double value);

/// The place of a name in a list; nothing where it is not in it.
std::optional<std::size_t> indexOf(const std::vector<std::string>& list, std::string_view name);

}  // namespace garnethook::deployment_config
