/// Reloads the configuration of a running router, and retries for a limited time if that fails.
#pragma once

#include "log/log.h"
#include "net/loop.h"
#include "platform/process/router_process.h"

namespace garnethook::app {

/// Performs reloads and their retries; a new reload replaces one that is being retried. Runs on the loop's
/// thread.
class ConfigReloader {
 public:
  /// The loop and the router must outlive the reloader.
  ConfigReloader(net::Loop& loop, platform::RouterProcess& router, log::Log log);

  /// Reloads immediately. If that fails, the router keeps its configuration, the error is logged once, and
  /// the reload is retried until the time in which operators expect a change to take effect has passed.
  void reload() { tryReload(1); }

 private:
  void tryReload(int attempt);

  platform::RouterProcess& router_;
  log::Log log_;
  timing::Alarm retryAlarm_;
};

}  // namespace garnethook::app
