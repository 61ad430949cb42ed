/// Signals as tasks of the loop: a thread waits for them, so that no handler interrupts other code.
#pragma once

#include <functional>
#include <thread>

#include "net/loop.h"

namespace garnethook::app {

/// Receives SIGTERM, SIGINT and SIGHUP for as long as it exists.
class Signals {
 public:
  /// Calls `handler` with the signal's number, on the loop's thread. Must be created before any other thread,
  /// so that all of them inherit the blocked signals. The loop must outlive it.
  Signals(net::Loop& loop, std::function<void(int)> handler);
  ~Signals();
  Signals(const Signals&) = delete;
  Signals& operator=(const Signals&) = delete;

 private:
  std::thread thread_;
};

}  // namespace garnethook::app
