#include <signal.h>

#include <cstdlib>
#include <iostream>

#include "app/commands.h"
#include "app/signals.h"
#include "platform/node/node.h"

namespace garnethook::app {

int run(const std::string& logLevel) {
  net::Loop loop;
  platform::Node* serving = nullptr;
  log::Log log = log::Log::none();
  const auto onSignal = [&](int signal) {
    if (serving == nullptr) return;
    if (signal != SIGHUP) return serving->drain([&loop] { loop.stop(); });
    try {
      serving->reload(platform::loadConfig(platform::systemEnvironment));
    } catch (const std::exception& e) {  // the router goes on with what it has
      log.warn("reload", {{"trouble", e.what()}});
    }
  };
  const Signals signals(loop, onSignal);
  try {
    auto config = platform::loadConfig(platform::systemEnvironment);
    log = log::Log::open(config.name, "", logLevel);
    platform::Node node(loop, std::move(config), log);
    serving = &node;
    loop.run();
    serving = nullptr;
    log.flush();
    return 0;
  } catch (const std::exception& e) {
    std::cerr << e.what() << std::endl;
    return 2;
  }
}

}  // namespace garnethook::app
