// What a deployment tells a router at its start, as the module's settings: one reader for the simulator's
// wire and for the platform's configuration file, which tell the same names in the same units.
#pragma once

#include <string>
#include <vector>

#include "deployment_config/field_reader.h"
#include "policy/routing_policy.h"

namespace garnethook::deployment_config {

// What the values of a load report mean at this deployment.
struct ReportMeanings {
  std::string x0;
  std::string x1;
};

// Settings as told at a router's start, with the names that later messages use.
struct DeploymentConfig {
  Settings settings;
  std::vector<std::string> classNames;
  std::vector<std::string> kindNames;
  std::vector<std::string> zoneNames;
  ReportMeanings report;
  Micros connectionIdle = 0;     // idle connections to engines end after it; 0: not told
  std::size_t openRequests = 0;  // 0: no bound told
};

// Throws FieldError, naming the field.
DeploymentConfig readDeploymentConfig(const FieldReader& fields);

// One value of a load report; names that nothing is known of are passed over.
void addReportValue(LoadReport& report, const ReportMeanings& meanings, std::string_view name, double value);

std::optional<std::size_t> indexOf(const std::vector<std::string>& list, std::string_view name);

}  // namespace garnethook::deployment_config
