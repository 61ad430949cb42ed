#include "platform/process/router_process.h"

#include <algorithm>
#include <utility>

#include "platform/process/router_options.h"
#include "platform/process/status_summary.h"
#include "platform/process/timeouts.h"

namespace garnethook::platform {
namespace {

constexpr Micros kStatusInterval = 5'000'000;

Micros longestDeadline(const Settings& settings) {
  Micros longest = 0;
  for (const RequestClass& requestClass : settings.classes)
    longest = std::max(longest, requestClass.deadline);
  return longest;
}

}  // namespace

RouterProcess::RouterProcess(net::Loop& loop, PlatformConfig config, log::Log log)
    : loop_(loop),
      config_(std::move(config)),
      log_(std::move(log)),
      logger_(log_, config_.deployment.classNames),
      budget_(makeResourceBudget(config_.limits)),
      engineClient_(loop, makeEngineOptions(config_, budget_), config_.deployment.report,
                    config_.deployment.settings.kvReleaseTimeout, ownZoneName(config_.deployment)),
      statusAlarm_(loop),
      unconfirmedListAlarm_(loop) {
  startRouting();
  startFrontend();
  loop_.onTaskFailed([this](const std::string& what) { logger_.onActionFailed(what); });
  startStatusLogging();
}

RouterProcess::~RouterProcess() {
  loop_.onTaskFailed({});
  watch_.reset();
  shutdown_.reset();
  frontend_.reset();
}

void RouterProcess::startRouting() {
  logger_.logEntryErrors(config_.lastKnownErrors);
  router_ = std::make_unique<routing::Router>(makeRoutingOptions(config_, budget_), loop_, engineClient_,
                                              static_cast<routing::Observer&>(logger_));
  engineClient_.setEvents(*router_);
  engineClient_.onConnectionClosed(
      [this](const engine::ClosedConnection& connection) { logger_.logEngineConnectionClosed(connection); });
  endpointPublisher_ = std::make_unique<EndpointPublisher>(
      loop_, membership::KindAndZoneNames{config_.deployment.kindNames, config_.deployment.zoneNames},
      engineClient_, *router_, logger_);
  endpointPublisher_->restore(config_.lastKnownEndpoints, config_.lastKnownVersion);
  watch_ = std::make_unique<Watch>(loop_, config_.discoveryAddress, *endpointPublisher_);
  unconfirmedListAlarm_.start(kUnconfirmedListTimeout, [this] { endpointPublisher_->publishUnconfirmed(); });
}

void RouterProcess::startFrontend() {
  HttpFrontend::Events events;
  events.ready = [this] { return isReady(); };
  events.rejected = [this](int status, std::string_view cause) { logger_.logRejection(status, cause); };
  events.closed = [this](CloseReason reason, std::string_view trace, bool wasResponsePending) {
    logger_.logConnectionClosed(reason, trace, wasResponsePending);
  };
  frontend_ = std::make_unique<HttpFrontend>(loop_, Poco::Net::SocketAddress(config_.listenAddress),
                                             makeFrontendOptions(budget_), config_.deployment, *router_,
                                             std::move(events));
  shutdown_ = std::make_unique<GracefulShutdown>(
      loop_, *frontend_, *router_, shutdownReleaseRepeatLimit(longestDeadline(config_.deployment.settings)));
}

void RouterProcess::startStatusLogging() {
  log_.info("listening", {{"name", config_.name},
                          {"address", address().toString()},
                          {"discovery", config_.discoveryAddress},
                          {"endpoints", endpointList().endpoints().size()},
                          {"clients", budget_.clientConnections},
                          {"attempts", budget_.attemptConnections}});
  statusAlarm_.start(kStatusInterval, [this] { logStatus(); });
}

void RouterProcess::logStatus() {
  logger_.resetRejectionCauses();
  log_.info("status", {{"summary", statusSummary()}});
  statusAlarm_.start(kStatusInterval, [this] { logStatus(); });
}

// Before a list is published, requests are rejected at once: the router knows no endpoint to send them to.
bool RouterProcess::isReady() const {
  return !shutdown_->hasBegun() && endpointPublisher_->hasPublished() && !endpointList().endpoints().empty();
}

void RouterProcess::reload(const PlatformConfig& config) {
  log_.info("reloaded", {{"discovery", config.discoveryAddress}});
  config_.discoveryAddress = config.discoveryAddress;
  watch_->changeAddress(config.discoveryAddress);
}

void RouterProcess::shutDown(std::function<void()> onFinished) {
  if (shutdown_->hasBegun()) return;
  log_.info("draining", {{"summary", statusSummary()}});
  shutdown_->begin([this, onFinished = std::move(onFinished)] {
    log_.info("drained", {{"summary", statusSummary()}});
    onFinished();
  });
}

std::string RouterProcess::statusSummary() const {
  return summarizeStatus({*router_, *frontend_, engineClient_, loop_.failedTasks(), loop_.now()});
}

}  // namespace garnethook::platform
