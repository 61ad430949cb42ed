#include "platform/process/router_options.h"

#include <algorithm>

#include "platform/process/timeouts.h"

namespace garnethook::platform {
namespace {

constexpr std::size_t kMaxEngineHeadBytes = std::size_t{16} * 1024;
constexpr std::size_t kMaxEngineBodyBytes = std::size_t{256} * 1024;
constexpr std::size_t kMaxChunkLineBytes = 256;

}  // namespace

routing::Options makeRoutingOptions(const PlatformConfig& config, const ResourceBudget& budget) {
  const auto& deployment = config.deployment;
  routing::Options options;
  options.settings = deployment.settings;
  options.seed = config.seed;
  options.instance = config.name;
  options.maxPendingRequests = budget.clientConnections;
  if (deployment.maxOpenRequests > 0)
    options.maxPendingRequests = std::min(options.maxPendingRequests, deployment.maxOpenRequests);
  options.streamGuard.stallTimeout = kStreamStallTimeout;
  options.streamGuard.deadlineMargin = 0;
  options.streamGuard.enforcesDeadline = false;
  const Micros releaseTimeout = deployment.settings.kvReleaseTimeout;
  options.kvReservations.kvReleaseTimeout = releaseTimeout > 0 ? releaseTimeout : kDefaultKvReleaseTimeout;
  options.kvReservations.releaseSkipsAwaitedState = true;
  return options;
}

engine::Options makeEngineOptions(const PlatformConfig& config, const ResourceBudget& budget) {
  engine::Options options;
  options.probePath = "/-/load";
  const Micros connectTimeout = config.deployment.settings.connectTimeout;
  options.connectTimeout = connectTimeout > 0 ? connectTimeout : kDefaultConnectTimeout;
  options.controlTimeout = options.connectTimeout;
  options.idleTimeout = engineIdleTimeout(config.deployment.engineIdleTimeout);
  options.connections = budget.attemptConnections;
  options.totalConnections = budget.attemptConnections;
  options.controlConnections = budget.controlConnections;
  options.message = {.headBytes = kMaxEngineHeadBytes,
                     .bodyBytes = kMaxEngineBodyBytes,
                     .chunkLineBytes = kMaxChunkLineBytes};
  return options;
}

HttpFrontend::Options makeFrontendOptions(const ResourceBudget& budget) {
  HttpFrontend::Options options;
  options.connections.maxConnections = budget.clientConnections;
  options.maxLingeringConnections = budget.closingConnections;
  options.maxBufferedBytes = budget.requestBodyBytes;
  options.maxUnsentBytes = budget.unsentResponseBytes;
  return options;
}

std::string ownZoneName(const deployment_config::DeploymentConfig& deployment) {
  const std::size_t ownZone = deployment.settings.ownZone;
  return ownZone < deployment.zoneNames.size() ? deployment.zoneNames[ownZone] : std::string();
}

}  // namespace garnethook::platform
