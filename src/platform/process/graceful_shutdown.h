/// Graceful shutdown of a router: keeps accepting connections for a short time, finishes open requests and KV
/// releases, then reports that the process may exit.
#pragma once

#include <cstdint>
#include <functional>

#include "platform/http_frontend/http_frontend.h"
#include "routing/router.h"
#include "timing/timers.h"

namespace garnethook::platform {

/// A state machine that passes through its states once, in the order of their declaration. Runs on the loop's
/// thread.
class GracefulShutdown {
 public:
  /// The states of a shutdown.
  enum class State : std::uint8_t {
    serving,    ///< The shutdown has not begun.
    accepting,  ///< The router reports not ready but still accepts connections.
    draining,   ///< No new connections; waits for open requests and KV releases.
    finished,   ///< All requests, connections and KV releases have ended.
  };

  /// The frontend and the router must outlive the shutdown.
  /// @param timers runs the timers of the shutdown
  /// @param frontend the frontend to drain and close
  /// @param router the router whose requests and KV releases must finish
  /// @param releaseRepeatLimit longest time after begin() to wait for repeats of confirmed KV releases, in
  ///        microseconds
  GracefulShutdown(timing::Timers& timers, HttpFrontend& frontend, const routing::Router& router,
                   Micros releaseRepeatLimit);

  /// Begins the shutdown; `onFinished` is called once it has finished. A second call has no effect.
  void begin(std::function<void()> onFinished);

  /// Whether begin() has been called.
  bool hasBegun() const { return state_ != State::serving; }

  /// The current state.
  State state() const { return state_; }

 private:
  void stopAccepting();
  void finishWhenDrained();
  bool isDrained() const;
  bool isWaitingForReleases() const;

  HttpFrontend& frontend_;
  const routing::Router& router_;
  timing::Timers& timers_;
  Micros releaseRepeatLimit_;
  Micros begunAt_ = 0;
  timing::Alarm alarm_;
  State state_ = State::serving;
  std::function<void()> onFinished_;
};

}  // namespace garnethook::platform
