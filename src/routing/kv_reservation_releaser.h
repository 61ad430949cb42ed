/// Sends the calls that release KV reservations, and retries them.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "routing/endpoint_directory.h"
#include "routing/kv_reservation_tracker.h"
#include "routing/request_table.h"
#include "routing/router_context.h"

namespace garnethook::routing {

/// Owns the tracker of reservations, the retry timer, and the trace ids by which endpoints identify requests.
/// A trace id is kept for as long as a release may still need it.
class KvReservationReleaser {
 public:
  /// `context` and `requests` must outlive this object.
  KvReservationReleaser(const RouterContext& context, const RequestTable& requests);

  /// The reservations.
  KvReservationTracker& tracker() { return tracker_; }
  /// The reservations.
  const KvReservationTracker& tracker() const { return tracker_; }

  /// Records that a prefill of the request was sent to the endpoint.
  void onPrefillSent(const ActiveRequest& active, EndpointId endpoint, Micros now);
  /// Records that an attempt that reached its endpoint, or may have, was cancelled or lost before its
  /// response.
  void onAttemptAbandoned(RequestId request, const InFlightAttempt& attempt);
  /// Releases all reservations of the request.
  void release(RequestId request);
  /// Starts the releases that are possible while `attempt` is in flight and may never have reached its
  /// endpoint. During a prefill these are the reservations of earlier prefills; during a decode it is the
  /// state itself, if releases skip state that an endpoint waits for (releaseSkipsAwaitedState).
  void releaseDuringAttempt(RequestId request, InFlightAttempt& attempt);
  /// Handles the end of a release call; a failed one is retried later.
  void onReleaseEnded(const ReleaseCall& call, bool ok);
  /// Reports the restarts, each with the reservations that its endpoint may still hold; these are kept.
  void reportRestarts(const std::vector<EndpointRestart>& restarts) const;
  /// Erases the request's trace id unless a release may still need it.
  void forgetTraceId(RequestId request);

 private:
  bool needsTraceId(RequestId request) const;
  bool mayRepeat(RequestId request) const;
  void sendReleases(const std::vector<ReleaseCall>& calls);
  void sendRelease(const ReleaseCall& call, const std::string& traceId);
  void startTimer();
  void onTimer();
  void releaseForWaitingRequests(Micros now);

  const RouterContext& context_;
  const RequestTable& requests_;
  KvReservationTracker tracker_;
  std::unordered_map<std::uint64_t, std::string> traceIds_;  // of requests with a prefill, by RequestId
  timing::Alarm timer_;  // runs while a release is pending or a reservation has an abandoned prefill
};

}  // namespace garnethook::routing
