#include "app/config_reloader.h"

#include <exception>
#include <utility>

#include "platform/config/platform_config.h"

namespace garnethook::app {
namespace {

// A file that is unusable when the signal arrives may be usable shortly after: it may still be being written,
// or reading it may have failed temporarily. Operators expect a change to take effect within 4 s of the
// signal.
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
