#include "platform/process/graceful_shutdown.h"

#include <utility>

#include "platform/process/timeouts.h"

namespace garnethook::platform {
namespace {

constexpr Micros kDrainPollInterval = 20'000;

}  // namespace

GracefulShutdown::GracefulShutdown(timing::Timers& timers, HttpFrontend& frontend,
                                   const routing::Router& router)
    : frontend_(frontend), router_(router), alarm_(timers) {}

void GracefulShutdown::begin(std::function<void()> onFinished) {
  if (hasBegun()) return;
  state_ = State::accepting;
  onFinished_ = std::move(onFinished);
  frontend_.drain();
  alarm_.start(kAcceptAfterStop, [this] { stopAccepting(); });
}

void GracefulShutdown::stopAccepting() {
  state_ = State::draining;
  frontend_.close();
  finishWhenDrained();
}

void GracefulShutdown::finishWhenDrained() {
  if (!isDrained()) return alarm_.start(kDrainPollInterval, [this] { finishWhenDrained(); });
  state_ = State::finished;
  onFinished_();
}

bool GracefulShutdown::isDrained() const {
  const bool hasRequests =
      router_.pendingRequests() > 0 || router_.activeRequests() > 0 || frontend_.openRequests() > 0;
  const bool hasKvReservations =
      router_.kvReservations().reservationCount() + router_.kvReservations().pendingReleaseCount() > 0;
  const bool hasConnections = frontend_.accepting() || frontend_.connections() > 0;
  return !hasRequests && !hasKvReservations && !hasConnections;
}

}  // namespace garnethook::platform
