#include "routing/kv_reservation_releaser.h"

#include <algorithm>
#include <exception>

namespace garnethook::routing {
namespace {

// The reservations of a request that waits for capacity are released this much ahead of their time: nothing
// else looks at them before the next attempt.
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
  const KvReservationTracker::AbandonedAttempt abandoned{now, std::max<Micros>(0, attempt.usefulUntil - now)};
  if (attempt.phase == Phase::prefill) tracker_.onPrefillAbandoned(request, attempt.endpoint, abandoned);
  if (attempt.phase == Phase::decode) tracker_.onDecodeAbandoned(request, abandoned);
  startTimer();
}

void KvReservationReleaser::release(RequestId request) {
  callReleases(tracker_.release(request, context_.timers.now()));
}

void KvReservationReleaser::releaseDuringAttempt(RequestId request, InFlightAttempt& attempt) {
  attempt.mayNotHaveArrived = true;
  const Micros now = context_.timers.now();
  callReleases(attempt.phase == Phase::prefill ? tracker_.releaseDuringPrefill(request, attempt.endpoint, now)
                                               : tracker_.releaseDuringDecode(request, now));
}

void KvReservationReleaser::onReleaseEnded(const ReleaseCall& call, bool ok) {
  context_.observer.onReleaseEnded(call, ok);
  tracker_.onReleaseEnded(call, ok, context_.timers.now(), context_.engines.lastReceivedAt(call.endpoint));
  forgetTraceId(call.request);
  startTimer();
}

void KvReservationReleaser::onEndpointsRestarted(const std::vector<EndpointRestart>& restarts) {
  if (restarts.empty()) return;
  for (const EndpointRestart& restart : restarts)
    tracker_.onEndpointRestarted(restart.endpoint, restart.startedAt);
  std::erase_if(traceIds_, [this](const auto& item) { return !needsTraceId({item.first}); });
}

void KvReservationReleaser::forgetTraceId(RequestId request) {
  if (!needsTraceId(request)) traceIds_.erase(request.value);
}

bool KvReservationReleaser::needsTraceId(RequestId request) const {
  return requests_.contains(request) || tracker_.isTracking(request);
}

// Engines release all that is held for a request, so a repeated call would take the state that a newer
// prefill of it has left, or is about to leave. It waits until the request has ended or its answer has begun,
// unless the attempt in flight may never have arrived.
bool KvReservationReleaser::mayRepeat(RequestId request) const {
  const ActiveRequest* active = requests_.find(request);
  if (active == nullptr || active->isFinished()) return true;
  if (!active->attempt) return !active->kvEndpoint;
  return active->attempt->hasStarted || active->attempt->mayNotHaveArrived;
}

void KvReservationReleaser::callReleases(const std::vector<ReleaseCall>& calls) {
  for (const ReleaseCall& call : calls) {
    const auto traceId = traceIds_.find(call.request.value);
    if (traceId != traceIds_.end()) callRelease(call, traceId->second);
  }
  if (!calls.empty()) startTimer();
}

// One call that can't be made must not cost the others; the tracker has it made again.
void KvReservationReleaser::callRelease(const ReleaseCall& call, const std::string& traceId) {
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
  callReleases(tracker_.dueRetries(now, [this](RequestId request) { return mayRepeat(request); }));
  releaseOfWaitingRequests(now);
  startTimer();
}

// Between two attempts a request may wait for capacity for longer than what an abandoned prefill left may
// stay.
void KvReservationReleaser::releaseOfWaitingRequests(Micros now) {
  const Micros margin = std::min(kWaitingRequestMargin, context_.options.kvReservations.kvReleaseTimeout / 2);
  for (const RequestId request : tracker_.requestsDue(now, margin)) {
    const ActiveRequest* active = requests_.find(request);
    if (active != nullptr && !active->attempt && !active->kvEndpoint) release(request);
  }
}

}  // namespace garnethook::routing
