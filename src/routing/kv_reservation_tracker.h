/// KV cache state that prefill endpoints reserve, or may reserve, for requests: which endpoint must be asked
/// to release it, when, and when again. Free of I/O and clocks.
///
/// A prefill leaves a reservation at its endpoint until a decode endpoint has fetched it. A prefill that was
/// cancelled, or whose response was lost, may have left one too, so it counts as reserved. Rule 5 limits the
/// time for which a reservation may be kept while its request has no attempt in flight. An attempt counts as
/// in flight once it has reached an endpoint: while connections fail to come up, the time runs on.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "policy/routing_policy.h"

namespace garnethook::routing {

/// Tracks the reservations of all requests, and the release calls that are pending.
class KvReservationTracker {
 public:
  /// Times in microseconds.
  struct Options {
    Micros kvReleaseTimeout = 500'000;  ///< Rule 5: how long a reservation may be kept without an attempt.
    int maxReleaseAttempts = 40;  ///< Of one release; after that the endpoint's own timeout is relied on.
    /// Delay before the second attempt. It doubles up to half of kvReleaseTimeout, so that an endpoint that
    /// can be reached again is asked within that time.
    Micros releaseRetryDelay = 100'000;
    /// A release call leaves alone what a decode attempt at an endpoint waits for.
    bool releaseSparesAwaited = false;
  };
  /// A release call to be made, or that was made.
  struct ReleaseCall {
    EndpointId endpoint;  ///< The endpoint that is asked.
    RequestId request;    ///< The request that the reservation is for.
  };
  /// There are no reservations at first.
  explicit KvReservationTracker(const Options& options) : options_(options) {}

  /// A prefill of the request was sent to the endpoint. A pending release of an earlier prefill there is not
  /// retried, as it could release the new state.
  void onPrefillSent(RequestId request, EndpointId endpoint, Micros now);
  /// The prefill is known to have left nothing: the endpoint rejected it, or was never reached.
  void onNoReservation(RequestId request, EndpointId endpoint);
  /// A decode endpoint has begun to answer: the reservation was fetched and released with it.
  void onTransferred(RequestId request, EndpointId endpoint);
  /// An attempt of the request that had reached an endpoint ended: the time of its reservations starts anew.
  void onAttemptEnded(RequestId request, Micros now);
  /// The endpoint has gone or was restarted: its reservations are gone.
  void onEndpointRestarted(EndpointId endpoint);

  /// When the request's reservations have to be fetched or released, unless an attempt has reached an
  /// endpoint by then; none where there is no reservation.
  std::optional<Micros> releaseDueAt(RequestId request) const;
  /// The request needs its reservations no more. Returns the calls to be made now.
  std::vector<ReleaseCall> release(RequestId request, Micros now);
  /// The release is due while a prefill at `endpoint` is in flight that may never have arrived. Returns the
  /// calls to be made now. At that endpoint one is made only where releases spare what is awaited, and it is
  /// not retried.
  std::vector<ReleaseCall> releaseOthers(RequestId request, EndpointId endpoint, Micros now);
  /// The release is due while a decode attempt is in flight that may never have arrived. Returns the calls to
  /// be made now, where releases spare what is awaited; the reservations they spare stay tracked.
  std::vector<ReleaseCall> releaseUnconfirmed(RequestId request, Micros now);
  /// A release call ended. A failed one is due again after the delay, up to the limit of attempts.
  void onReleaseEnded(const ReleaseCall& call, bool ok, Micros now);
  /// The failed release calls that are due again by now; they count as made.
  std::vector<ReleaseCall> dueRetries(Micros now);

  /// Whether the request has a reservation, or a release that is not confirmed.
  bool isTracking(RequestId request) const;
  /// Reservations whose release was not requested yet.
  std::size_t reservationCount() const { return reservations_.size(); }
  /// Releases that were requested and are not confirmed yet.
  std::size_t pendingReleaseCount() const { return releases_.size(); }
  /// Releases that were confirmed.
  std::uint64_t releasedCount() const { return releasedCount_; }
  /// Releases that were given up after all attempts.
  std::uint64_t abandonedCount() const { return abandonedCount_; }
  /// The longest time from a release's request to its confirmation, in microseconds.
  Micros longestRelease() const { return longestRelease_; }

 private:
  using Key = std::pair<RequestId, EndpointId>;
  struct Reservation {
    Micros since = 0;                // start of the time that rule 5 limits
    bool hasEarlierPrefill = false;  // an earlier prefill of the request there may have left state too
  };
  struct Release {
    Micros requestedAt = 0;
    Micros retryAt = 0;  // 0: a call is in flight
    int attempts = 0;
  };
  template <class Items>
  static auto firstOf(Items& items, RequestId request) {
    return items.lower_bound({request, EndpointId{0}});
  }

  Options options_;
  std::map<Key, Reservation> reservations_;
  std::map<Key, Release> releases_;
  std::uint64_t releasedCount_ = 0;
  std::uint64_t abandonedCount_ = 0;
  Micros longestRelease_ = 0;
};

}  // namespace garnethook::routing
