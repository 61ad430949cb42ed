#include "app/config_reloader.h"

#include <exception>
#include <utility>

#include "platform/config/platform_config.h"

namespace garnethook::app {
namespace {

// A file that cannot be used at the signal may be usable a moment later: it was still being written, or
// reading it failed. The operators expect a change to be in force 4 s after the signal.
constexpr net::Micros kRetryInterval = 250'000;
constexpr int kMaxAttempts = 13;

}  // namespace

ConfigReloader::ConfigReloader(net::Loop& loop, platform::RouterProcess& router, log::Log log)
    : router_(router), log_(std::move(log)), retryAlarm_(loop) {}

void ConfigReloader::tryReload(int attempt) {
  retryAlarm_.stop();
  try {
    router_.reload(platform::loadPlatformConfig(platform::systemEnvironment));
  } catch (const std::exception& error) {
    if (attempt == 1) log_.warn("reload-failed", {{"error", error.what()}});
    if (attempt < kMaxAttempts)
      retryAlarm_.start(kRetryInterval, [this, attempt] { tryReload(attempt + 1); });
  }
}

}  // namespace garnethook::app
