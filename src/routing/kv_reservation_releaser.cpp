#include "routing/kv_reservation_releaser.h"

namespace garnethook::routing {

KvReservationReleaser::KvReservationReleaser(const RouterContext& context, const RequestTable& requests)
    : context_(context),
      requests_(requests),
      tracker_(context.options.kvReservations),
      retryTimer_(context.timers) {}

void KvReservationReleaser::onPrefillSent(const ActiveRequest& active, EndpointId endpoint, Micros now) {
  tracker_.onPrefillSent(active.id, endpoint, now);
  traceIds_.try_emplace(active.id.value, active.traceId);
}

void KvReservationReleaser::release(RequestId request) {
  callReleases(tracker_.release(request, context_.timers.now()));
}

void KvReservationReleaser::releaseBeside(RequestId request, const InFlightAttempt& attempt) {
  const Micros now = context_.timers.now();
  callReleases(attempt.phase == Phase::prefill ? tracker_.releaseOthers(request, attempt.endpoint, now)
                                               : tracker_.releaseUnconfirmed(request, now));
}

void KvReservationReleaser::onReleaseEnded(EndpointId endpoint, RequestId request, bool ok) {
  context_.observer.onReleaseEnded(endpoint, request, ok);
  tracker_.onReleaseEnded({endpoint, request}, ok, context_.timers.now());
  forgetTraceId(request);
  if (!ok && !retryTimer_.running()) startRetryTimer();
}

void KvReservationReleaser::onEndpointsRestarted(const std::vector<EndpointId>& endpoints) {
  if (endpoints.empty()) return;
  for (const EndpointId endpoint : endpoints) tracker_.onEndpointRestarted(endpoint);
  std::erase_if(traceIds_, [this](const auto& item) { return !needsTraceId({item.first}); });
}

void KvReservationReleaser::forgetTraceId(RequestId request) {
  if (!needsTraceId(request)) traceIds_.erase(request.value);
}

bool KvReservationReleaser::needsTraceId(RequestId request) const {
  return requests_.contains(request) || tracker_.isTracking(request);
}

void KvReservationReleaser::callReleases(const std::vector<KvReservationTracker::ReleaseCall>& calls) {
  for (const auto& call : calls) {
    const auto traceId = traceIds_.find(call.request.value);
    if (traceId == traceIds_.end()) continue;
    context_.observer.onRelease(call.endpoint, call.request, traceId->second);
    context_.engines.release(call.endpoint, call.request, traceId->second);
  }
}

void KvReservationReleaser::startRetryTimer() {
  retryTimer_.start(context_.options.kvReservations.releaseRetryDelay, [this] { retryReleases(); });
}

void KvReservationReleaser::retryReleases() {
  callReleases(tracker_.dueRetries(context_.timers.now()));
  if (tracker_.pendingReleaseCount() > 0) startRetryTimer();
}

}  // namespace garnethook::routing
