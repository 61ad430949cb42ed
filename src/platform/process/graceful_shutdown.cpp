#include "platform/process/graceful_shutdown.h"

#include <utility>

#include "platform/process/timeouts.h"

namespace garnethook::platform {
namespace {

constexpr Micros kDrainPollInterval = 20'000;

}  // namespace

GracefulShutdown::GracefulShutdown(timing::Timers& timers, HttpFrontend& frontend,
                                   const routing::Router& router, Micros releaseRepeatLimit)
    : frontend_(frontend),
      router_(router),
      timers_(timers),
      releaseRepeatLimit_(releaseRepeatLimit),
      alarm_(timers) {}

void GracefulShutdown::begin(std::function<void()> onFinished) {
  if (hasBegun()) return;
  state_ = State::accepting;
  begunAt_ = timers_.now();
  onFinished_ = std::move(onFinished);
  frontend_.drain();
  alarm_.start(kAcceptTimeAfterStop, [this] { stopAccepting(); });
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
  const bool hasConnections = frontend_.accepting() || frontend_.connections() > 0;
  return !hasRequests && !hasConnections && !isWaitingForReleases();
}

// KV state that an engine still keeps when this process exits would never be released.
bool GracefulShutdown::isWaitingForReleases() const {
  const auto& reservations = router_.kvReservations();
  if (reservations.reservationCount() + reservations.unconfirmedReleaseCount() > 0) return true;
  return reservations.pendingReleaseCount() > 0 && timers_.now() - begunAt_ < releaseRepeatLimit_;
}

}  // namespace garnethook::platform
