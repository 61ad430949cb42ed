/// One router on the platform, put together: configuration, discovery, connections to engines, the router
/// core, the HTTP frontend; its reload and its shutdown.
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

/// A running router. Lives on one loop, on whose thread all of it is called.
class RouterProcess final {
 public:
  /// Listens at once; throws Poco::Net::NetException where that fails. The loop must outlive the process.
  RouterProcess(net::Loop& loop, PlatformConfig config, log::Log log);
  ~RouterProcess();
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;

  /// Takes over what a new configuration may change under a running router: discovery's address.
  void reload(const PlatformConfig& config);

  /// Accepts requests a little longer, finishes the open ones, then calls `onFinished`.
  void shutDown(std::function<void()> onFinished);

  /// The address that the frontend listens at.
  Poco::Net::SocketAddress address() const { return frontend_->address(); }
  /// The router core, for its counters.
  const routing::Router& router() const { return *router_; }
  /// The frontend, for its counters.
  const HttpFrontend& frontend() const { return *frontend_; }
  /// The present list of endpoints.
  const EndpointList& endpointList() const { return endpoints_->list(); }
  /// The counters as one line of text.
  std::string statusSummary() const;

 private:
  void startRouting();
  void startFrontend();
  void startStatusReports();
  void logStatus();
  bool isReady() const;

  net::Loop& loop_;
  PlatformConfig config_;
  log::Log log_;
  RouterLogger logger_;
  ResourceBudget budget_;
  PlatformEngineClient engines_;
  std::unique_ptr<routing::Router> router_;
  std::unique_ptr<EndpointPublisher> endpoints_;
  std::unique_ptr<HttpFrontend> frontend_;
  std::unique_ptr<GracefulShutdown> shutdown_;
  std::unique_ptr<Watch> watch_;
  timing::Alarm statusAlarm_;
  Micros startedAt_;
};

}  // namespace garnethook::platform
