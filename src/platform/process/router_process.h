/// Assembles one router on the platform from its configuration, the discovery watch, the engine client, the
/// router core and the HTTP frontend, and implements its reload and shutdown.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "log/log.h"
#include "platform/config/platform_config.h"
#include "platform/discovery/watch.h"
#include "platform/engine/platform_engine_client.h"
#include "platform/http_frontend/http_frontend.h"
#include "platform/process/endpoint_publisher.h"
#include "platform/process/graceful_shutdown.h"
#include "platform/process/resource_budget.h"
#include "platform/process/router_logger.h"
#include "routing/router.h"

namespace garnethook::platform {

/// A running router. Bound to one loop; all members must be called on the loop's thread.
class RouterProcess final {
 public:
  /// Starts listening; throws Poco::Net::NetException if that fails. The loop must outlive the router
  /// process.
  RouterProcess(net::Loop& loop, PlatformConfig config, log::Log log);
  ~RouterProcess();
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;

  /// Applies the part of a new configuration that can change at run time: discovery's address.
  void reload(const PlatformConfig& config);

  /// Starts a graceful shutdown: accepts requests for a short time, finishes the open ones, then calls
  /// `onFinished`.
  void shutDown(std::function<void()> onFinished);

  /// The address that the frontend listens on.
  Poco::Net::SocketAddress address() const { return frontend_->address(); }
  /// The router core, whose counters can be read.
  const routing::Router& router() const { return *router_; }
  /// The frontend, whose counters can be read.
  const HttpFrontend& frontend() const { return *frontend_; }
  /// The current list of endpoints.
  const EndpointList& endpointList() const { return endpointPublisher_->list(); }
  /// The counters and gauges as one line of text.
  std::string statusSummary() const;

 private:
  void startRouting();
  void startFrontend();
  void startStatusLogging();
  void logStatus();
  bool isReady() const;

  net::Loop& loop_;
  PlatformConfig config_;
  log::Log log_;
  RouterLogger logger_;
  ResourceBudget budget_;
  PlatformEngineClient engineClient_;
  std::unique_ptr<routing::Router> router_;
  std::unique_ptr<EndpointPublisher> endpointPublisher_;
  std::unique_ptr<HttpFrontend> frontend_;
  std::unique_ptr<GracefulShutdown> shutdown_;
  std::unique_ptr<Watch> watch_;
  timing::Alarm statusAlarm_;
  timing::Alarm unconfirmedListAlarm_;
};

}  // namespace garnethook::platform
