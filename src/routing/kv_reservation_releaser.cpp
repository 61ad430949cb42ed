#include "routing/kv_reservation_releaser.h"

#include <algorithm>
#include <exception>

namespace garnethook::routing {
namespace {

// The reservations of a request that waits for capacity are released this long before they are due, since
// nothing else checks them before the next attempt.
constexpr Micros kWaitingRequestMargin = 150'000;

}  // namespace

KvReservationReleaser::KvReservationReleaser(const RouterContext& context, const RequestTable& requests)
    : context_(context),
      requests_(requests),
      tracker_(context.options.kvReservations,
               [this](const KvReservationEvent& event) { context_.observer.onKvReservation(event); }),
      timer_(context.timers) {}

void KvReservationReleaser::onPrefillSent(const ActiveRequest& active, EndpointId endpoint, Micros now) {
  tracker_.onPrefillSent(active.id, endpoint, now);
  traceIds_.try_emplace(active.id.value, active.traceId);
}

void KvReservationReleaser::onAttemptAbandoned(RequestId request, const InFlightAttempt& attempt) {
  if (!context_.engines.canRelease()) return;
  const Micros now = context_.timers.now();
  const KvReservationTracker::AbandonedAttempt abandoned{now,
                                                         std::max<Micros>(0, attempt.engineDeadline - now)};
  if (attempt.phase == Phase::prefill) tracker_.onPrefillAbandoned(request, attempt.endpoint, abandoned);
  if (attempt.phase == Phase::decode) tracker_.onDecodeAbandoned(request, abandoned);
  startTimer();
}

void KvReservationReleaser::release(RequestId request) {
  sendReleases(tracker_.release(request, context_.timers.now()));
}

void KvReservationReleaser::releaseDuringAttempt(RequestId request, InFlightAttempt& attempt) {
  attempt.isDeliveryUncertain = true;
  const Micros now = context_.timers.now();
  sendReleases(attempt.phase == Phase::prefill ? tracker_.releaseDuringPrefill(request, attempt.endpoint, now)
                                               : tracker_.releaseDuringDecode(request, now));
}

void KvReservationReleaser::onReleaseEnded(const ReleaseCall& call, bool ok) {
  context_.observer.onReleaseEnded(call, ok);
  tracker_.onReleaseEnded(call, ok, context_.timers.now(), context_.engines.lastReceivedAt(call.endpoint));
  forgetTraceId(call.request);
  startTimer();
}

void KvReservationReleaser::reportRestarts(const std::vector<EndpointRestart>& restarts) const {
  const Micros now = context_.timers.now();
  for (const EndpointRestart& restart : restarts) {
    EndpointRestartEvent event{.endpoint = restart.endpoint,
                               .startAge = now - restart.startedAt,
                               .keptReservations = tracker_.countAt(restart.endpoint)};
    if (restart.previousStartedAt != 0) event.previousStartAge = now - restart.previousStartedAt;
    context_.observer.onEndpointRestarted(event);
  }
}

void KvReservationReleaser::forgetTraceId(RequestId request) {
  if (!needsTraceId(request)) traceIds_.erase(request.value);
}

bool KvReservationReleaser::needsTraceId(RequestId request) const {
  return requests_.contains(request) || tracker_.isTracking(request);
}

// A release call frees all state that an engine holds for the request, so a repeated call would also free the
// state that a newer prefill of the request has left or is about to leave. The repeat therefore waits until
// the request has ended or its response has started, unless the attempt in flight may never have reached its
// endpoint.
bool KvReservationReleaser::mayRepeat(RequestId request) const {
  const ActiveRequest* active = requests_.find(request);
  if (active == nullptr || active->isFinished()) return true;
  if (!active->attempt) return !active->kvEndpoint;
  return active->attempt->hasStarted || active->attempt->isDeliveryUncertain;
}

void KvReservationReleaser::sendReleases(const std::vector<ReleaseCall>& calls) {
  for (const ReleaseCall& call : calls) {
    const auto traceId = traceIds_.find(call.request.value);
    if (traceId != traceIds_.end()) sendRelease(call, traceId->second);
  }
  if (!calls.empty()) startTimer();
}

// A call that throws must not prevent the remaining calls; the tracker schedules a retry.
void KvReservationReleaser::sendRelease(const ReleaseCall& call, const std::string& traceId) {
  context_.observer.onRelease(call, traceId);
  try {
    context_.engines.release(call, traceId);
  } catch (const std::exception& error) {
    ++context_.counters.failedActions;
    context_.observer.onActionFailed(error.what());
    tracker_.onReleaseEnded(call, false, context_.timers.now());
  }
}

void KvReservationReleaser::startTimer() {
  if (timer_.running() || !tracker_.hasUnfinishedWork()) return;
  timer_.start(context_.options.kvReservations.releaseRetryDelay / 2, [this] { onTimer(); });
}

void KvReservationReleaser::onTimer() {
  const Micros now = context_.timers.now();
  sendReleases(tracker_.dueRetries(now, [this](RequestId request) { return mayRepeat(request); }));
  releaseForWaitingRequests(now);
  startTimer();
}

// Between two attempts, a request may wait for capacity for longer than the state of an abandoned prefill may
// be kept.
void KvReservationReleaser::releaseForWaitingRequests(Micros now) {
  const Micros margin = std::min(kWaitingRequestMargin, context_.options.kvReservations.kvReleaseTimeout / 2);
  for (const RequestId request : tracker_.requestsDue(now, margin)) {
    const ActiveRequest* active = requests_.find(request);
    if (active != nullptr && !active->attempt && !active->kvEndpoint) release(request);
  }
}

}  // namespace garnethook::routing
