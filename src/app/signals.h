/// Delivers signals as tasks of the event loop. A thread waits for them, so that no signal handler interrupts
/// other code.
#pragma once

#include <functional>
#include <thread>

#include "net/loop.h"

namespace garnethook::app {

/// Receives SIGTERM, SIGINT and SIGHUP during its lifetime.
class Signals {
 public:
  /// Must be created before any other thread, so that all threads inherit the blocked signals.
  /// @param loop must outlive this object
  /// @param handler called on the loop's thread with the signal number
  Signals(net::Loop& loop, std::function<void(int)> handler);
  ~Signals();
  Signals(const Signals&) = delete;
  Signals& operator=(const Signals&) = delete;

 private:
  std::thread thread_;
};

}  // namespace garnethook::app
