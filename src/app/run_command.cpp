#include <Poco/Exception.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <optional>

#include "app/commands.h"
#include "app/config_reloader.h"
#include "app/signals.h"
#include "platform/process/router_process.h"
#include "timing/retry.h"

namespace garnethook::app {
namespace {

constexpr int kSuccess = 0;
constexpr int kStartFailed = 2;

// Retries for a limited time while the file cannot be read.
platform::PlatformConfig loadConfigWithRetry() {
  return timing::retryFor<config::UnavailableError>(
      timing::kStartRetryTimeout, [] { return platform::loadPlatformConfig(platform::systemEnvironment); });
}

// Runs the router until a signal has shut it down gracefully. Signals are handled by the loop, so one that
// arrives during startup is handled once the router runs.
void serveUntilTerminated(const std::string& logLevel) {
  const auto loop = net::Loop::create();
  std::optional<platform::RouterProcess> router;
  std::optional<ConfigReloader> reloader;
  const Signals signals(*loop, [&](int signal) {
    if (signal == SIGHUP) return reloader->reload();
    router->shutDown([&loop] { loop->stop(); });
  });
  auto config = loadConfigWithRetry();
  const log::Log log = log::Log::open(config.name, "", logLevel);
  router.emplace(*loop, std::move(config), log);
  reloader.emplace(*loop, *router, log);
  loop->run();
  log.flush();
}

}  // namespace

int run(const std::string& logLevel) {
  try {
    serveUntilTerminated(logLevel);
    return kSuccess;
  } catch (const Poco::Exception& error) {
    std::cerr << error.displayText() << std::endl;
  } catch (const std::exception& error) { std::cerr << error.what() << std::endl; }
  return kStartFailed;
}

}  // namespace garnethook::app
