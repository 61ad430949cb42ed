/// Makes the calls that release KV cache reservations, and retries them.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "routing/endpoint_directory.h"
#include "routing/kv_reservation_tracker.h"
#include "routing/request_table.h"
#include "routing/router_context.h"

namespace garnethook::routing {

/// Owns the tracker of reservations, the retry timer, and the trace ids under which endpoints know the
/// requests: they are kept for as long as a release may still need them.
class KvReservationReleaser {
 public:
  /// `context` and `requests` are referred to.
  KvReservationReleaser(const RouterContext& context, const RequestTable& requests);

  /// The reservations.
  KvReservationTracker& tracker() { return tracker_; }
  /// The reservations.
  const KvReservationTracker& tracker() const { return tracker_; }

  /// A prefill of the request was sent to the endpoint.
  void onPrefillSent(const ActiveRequest& active, EndpointId endpoint, Micros now);
  /// An attempt that had reached its endpoint, or may have, was given up or lost before it had a response.
  void onAttemptAbandoned(RequestId request, const InFlightAttempt& attempt);
  /// Releases all that is reserved for the request.
  void release(RequestId request);
  /// Releases what may be released beside an attempt in flight that may never have arrived: what earlier
  /// prefills left, beside a prefill; the state itself beside a decode, where a release spares what an
  /// endpoint waits for.
  void releaseDuringAttempt(RequestId request, InFlightAttempt& attempt);
  /// A release call ended; a failed one is retried later.
  void onReleaseEnded(const ReleaseCall& call, bool ok);
  /// These endpoints were restarted: what they reserved is gone.
  void onEndpointsRestarted(const std::vector<EndpointRestart>& restarts);
  /// Forgets the request's trace id, where no release may need it any more.
  void forgetTraceId(RequestId request);

 private:
  bool needsTraceId(RequestId request) const;
  bool mayRepeat(RequestId request) const;
  void callReleases(const std::vector<ReleaseCall>& calls);
  void callRelease(const ReleaseCall& call, const std::string& traceId);
  void startTimer();
  void onTimer();
  void releaseOfWaitingRequests(Micros now);

  const RouterContext& context_;
  const RequestTable& requests_;
  KvReservationTracker tracker_;
  std::unordered_map<std::uint64_t, std::string> traceIds_;  // of requests with a prefill, by RequestId
  timing::Alarm timer_;  // runs while a release is pending, or a prefill was abandoned
};

}  // namespace garnethook::routing
