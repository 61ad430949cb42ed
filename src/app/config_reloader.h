/// Reloads the configuration of a running router, and tries again for a while where that fails.
#pragma once

#include "log/log.h"
#include "net/loop.h"
#include "platform/process/router_process.h"

namespace garnethook::app {

/// The retry of one reload; a new one replaces it. Runs on the loop's thread.
class ConfigReloader {
 public:
  /// The loop and the router must outlive the reloader.
  ConfigReloader(net::Loop& loop, platform::RouterProcess& router, log::Log log);

  /// Reloads now. Where that fails the router keeps its configuration, the error is logged once, and the
  /// reload is repeated for as long as the operators allow a change to take.
  void reload() { tryReload(1); }

 private:
  void tryReload(int attempt);

  platform::RouterProcess& router_;
  log::Log log_;
  timing::Alarm retryAlarm_;
};

}  // namespace garnethook::app
