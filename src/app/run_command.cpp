#include <Poco/Exception.h>
#include <signal.h>

#include <cstdlib>
#include <iostream>

#include "app/commands.h"
#include "app/signals.h"
#include "platform/process/router_process.h"
#include "timing/retry.h"

namespace garnethook::app {
namespace {

// A file that can't be used at the signal may be usable a moment later: it was still being written, or
// reading it failed. The operators count a change as told 4 s after the signal.
constexpr net::Micros kReloadPause = 250'000;
constexpr int kReloadTries = 13;

// Reloads the configuration at a signal, and again for a while where that fails; the cause is told once.
class Reload {
 public:
  Reload(net::Loop& loop, platform::RouterProcess& node, const log::Log& log)
      : node_(node), log_(log), again_(loop) {}

  void start() { attempt(1); }

 private:
  void attempt(int number) {
    again_.stop();
    try {
      node_.reload(platform::loadConfig(platform::systemEnvironment));
    } catch (const std::exception& e) {  // the router goes on with what it has
      if (number == 1) log_.warn("reload", {{"trouble", e.what()}});
      if (number < kReloadTries) again_.start(kReloadPause, [this, number] { attempt(number + 1); });
    }
  }

  platform::RouterProcess& node_;
  const log::Log& log_;
  timing::Alarm again_;
};

}  // namespace

int run(const std::string& logLevel) {
  try {
    const auto loop = net::Loop::create();
    platform::RouterProcess* serving = nullptr;
    Reload* reload = nullptr;
    const Signals signals(*loop, [&](int signal) {
      if (serving == nullptr) return;
      if (signal == SIGHUP) return reload->start();
      serving->drain([&loop] { loop->stop(); });
    });
    auto config = timing::retryFor<config::UnavailableError>(
        timing::kStartWithin, [] { return platform::loadConfig(platform::systemEnvironment); });
    const log::Log log = log::Log::open(config.name, "", logLevel);
    platform::RouterProcess node(*loop, std::move(config), log);
    Reload reloading(*loop, node, log);
    reload = &reloading;
    serving = &node;
    loop->run();
    serving = nullptr;
    log.flush();
    return 0;
  } catch (const Poco::Exception& e) {
    std::cerr << e.displayText() << std::endl;
  } catch (const std::exception& e) { std::cerr << e.what() << std::endl; }
  return 2;
}

}  // namespace garnethook::app
