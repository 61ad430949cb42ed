/// Derives the options of the router core, the engine client and the frontend from the configuration. Free of
/// I/O and clocks.
#pragma once

#include <string>

#include "engine/options.h"
#include "platform/config/platform_config.h"
#include "platform/http_frontend/http_frontend.h"
#include "platform/process/resource_budget.h"
#include "routing/router.h"

namespace garnethook::platform {

/// Options of the router core.
routing::Options makeRoutingOptions(const PlatformConfig& config, const ResourceBudget& budget);

/// Options of the engine client.
engine::Options makeEngineOptions(const PlatformConfig& config, const ResourceBudget& budget);

/// Options of the HTTP frontend.
HttpFrontend::Options makeFrontendOptions(const ResourceBudget& budget);

/// The name of this router's zone; empty if the settings name none.
std::string ownZoneName(const deployment_config::DeploymentConfig& deployment);

}  // namespace garnethook::platform
