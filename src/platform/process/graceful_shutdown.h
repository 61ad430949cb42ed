/// The graceful end of a router: it accepts connections a little longer, finishes what is open and then
/// reports that the process may end.
#pragma once

#include <cstdint>
#include <functional>

#include "platform/http_frontend/http_frontend.h"
#include "routing/router.h"
#include "timing/timers.h"

namespace garnethook::platform {

/// A state machine that passes through its states once, in their order. Runs on the loop's thread.
class GracefulShutdown {
 public:
  /// The phases of a shutdown.
  enum class State : std::uint8_t {
    serving,    ///< It has not begun.
    accepting,  ///< The router says that it is not ready, but still accepts connections.
    draining,   ///< No connection is accepted any more; open requests and KV releases are finished.
    finished,   ///< Nothing is left.
  };

  /// The frontend and the router must outlive the shutdown.
  /// @param timers runs everything
  /// @param frontend is drained and closed
  /// @param router whose requests and KV releases are waited for
  /// @param repeatLimit repeats of confirmed KV releases are not waited for any longer than this after
  ///        begin(), in microseconds
  GracefulShutdown(timing::Timers& timers, HttpFrontend& frontend, const routing::Router& router,
                   Micros repeatLimit);

  /// Begins; calls `onFinished` in the end. A second call does nothing.
  void begin(std::function<void()> onFinished);

  /// Whether it has begun.
  bool hasBegun() const { return state_ != State::serving; }

  /// The present state.
  State state() const { return state_; }

 private:
  void stopAccepting();
  void finishWhenDrained();
  bool isDrained() const;
  bool hasKvReservations() const;

  HttpFrontend& frontend_;
  const routing::Router& router_;
  timing::Timers& timers_;
  Micros repeatLimit_;
  Micros begunAt_ = 0;
  timing::Alarm alarm_;
  State state_ = State::serving;
  std::function<void()> onFinished_;
};

}  // namespace garnethook::platform
