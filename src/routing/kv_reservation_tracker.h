/// Tracks the KV state that prefill endpoints reserve, or may reserve, for requests, and determines which
/// endpoint to send release calls to, when to send them and when to repeat them. Performs no I/O and reads no
/// clock.
///
/// A prefill leaves a reservation at its endpoint until a decode endpoint has fetched the state. A prefill
/// that was cancelled, or whose response was lost, may have left one too, so it counts as reserved. Rule 5
/// limits the time for which a reservation may be kept while its request has no attempt in flight. For this
/// limit, an attempt counts as in flight only once it has reached an endpoint: the time continues to run
/// while connections cannot be established.
///
/// Engines may continue to work on an abandoned attempt: the close of its connection can arrive late or
/// never, and engines often finish a prefill that has started. As long as this is possible, a confirmed
/// release is not final: the call may have arrived before the state existed, or the engine may have skipped
/// the state because a decode still waited for it. The release is therefore called again, at increasing
/// intervals, and once more when the abandoned attempt can no longer have an effect.
///
/// A restart of an endpoint ends no reservation. The endpoint list reports a start after it took place, and
/// its time on this router's clock is known only as an upper bound, so any state may belong to the new
/// process. A release of state that the restart has freed costs one call.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "policy/routing_policy.h"
#include "routing/kv_reservation_event.h"
#include "routing/release_call.h"

namespace garnethook::routing {

/// Tracks the reservations of all requests and the pending releases.
class KvReservationTracker {
 public:
  /// Times in microseconds.
  struct Options {
    Micros kvReleaseTimeout = 500'000;  ///< Rule 5: how long a reservation may be kept without an attempt.
    /// Failed calls after which a release is given up; the endpoint's own timeout then frees the state.
    int maxReleaseAttempts = 40;
    /// Delay before the second call. It doubles up to half of kvReleaseTimeout, so that an endpoint that
    /// becomes reachable again receives a call within that time.
    Micros releaseRetryDelay = 100'000;
    /// Engines ignore a release call for state that a decode attempt waits for.
    bool releaseSkipsAwaitedState = false;
  };
  /// An abandoned attempt: one that was cancelled, or that ended without a usable response.
  struct AbandonedAttempt {
    Micros at = 0;                ///< When it was abandoned.
    Micros remainingTimeout = 0;  ///< Remainder at that time of the timeout sent to the engine.
  };
  /// Minimum time for which engines are assumed to continue abandoned work, as some finish started work.
  static constexpr Micros kMinAbandonedWork = 1'000'000;
  /// Added to the engine's remaining timeout, for the work itself and the network latency.
  static constexpr Micros kAbandonedWorkMargin = 250'000;
  /// Maximum time after an attempt was abandoned for which its release is repeated.
  static constexpr Micros kMaxAbandonedWork = 10'000'000;

  /// Called on every change of a reservation.
  using OnChange = std::function<void(const KvReservationEvent&)>;
  /// Returns whether a confirmed release may be repeated now; false while the request waits for new state.
  using MayRepeat = std::function<bool(RequestId)>;

  /// Creates a tracker without reservations. `onChange` may be empty.
  explicit KvReservationTracker(const Options& options, OnChange onChange = {})
      : options_(options), onChange_(std::move(onChange)) {}

  /// Records that a prefill of the request was sent to the endpoint. A pending release of an earlier prefill
  /// at that endpoint is not retried, since a retry could release the new state; state that the earlier
  /// prefill may have left is released together with the new state.
  void onPrefillSent(RequestId request, EndpointId endpoint, Micros now);
  /// Records that the prefill left no state: the endpoint rejected it, or was never reached.
  void onNoReservation(RequestId request, EndpointId endpoint);
  /// Records that the prefill was cancelled, or its response was lost: the engine may continue and leave
  /// state later. The release timeout of its own state restarts: either the prefill had reached the endpoint
  /// until now, or it left no state.
  void onPrefillAbandoned(RequestId request, EndpointId endpoint, const AbandonedAttempt& attempt);
  /// Records that a decode attempt was abandoned before its first token. It may still wait for the state, in
  /// which case release calls do not free it.
  void onDecodeAbandoned(RequestId request, const AbandonedAttempt& attempt);
  /// Records that a decode attempt has received its first token: the state was fetched from `endpoint`, which
  /// released the reservation. State that an abandoned prefill at `endpoint` may still leave stays tracked.
  void onTransferred(RequestId request, EndpointId endpoint, Micros now);
  /// Restarts the release timeout of the request's reservations, since an attempt that had reached an
  /// endpoint ended.
  void onAttemptEnded(RequestId request, Micros now);

  /// Returns when the request's reservations are due for release, unless an attempt has reached an endpoint
  /// by then; none if the request has no reservation.
  std::optional<Micros> releaseDueAt(RequestId request) const;
  /// Returns the requests with an abandoned prefill whose reservation is due for release within `margin`.
  std::vector<RequestId> requestsDue(Micros now, Micros margin) const;
  /// Starts the release of all reservations of the request. Returns the calls to make now.
  std::vector<ReleaseCall> release(RequestId request, Micros now);
  /// Starts releases that are due while a prefill at `endpoint` is in flight that may never have reached it.
  /// Returns the calls to make now. `endpoint` itself receives a call only with releaseSkipsAwaitedState, and
  /// that call is not retried.
  std::vector<ReleaseCall> releaseDuringPrefill(RequestId request, EndpointId endpoint, Micros now);
  /// Starts releases that are due while a decode attempt is in flight that may never have reached its
  /// endpoint. Returns the calls to make now, none without releaseSkipsAwaitedState. The reservations stay
  /// tracked, since engines may skip them.
  std::vector<ReleaseCall> releaseDuringDecode(RequestId request, Micros now);
  /// Handles the end of a release call; ignores it unless it is the latest call of its release. A failed call
  /// is retried after a delay, up to maxReleaseAttempts; a confirmed one is repeated if it may have been too
  /// early.
  /// @param call the call
  /// @param ok whether an endpoint confirmed the call
  /// @param now the current time
  /// @param lastReceivedAt when data was last received from the reservation's endpoint; none if unknown. An
  ///        endpoint that was silent since the attempt was abandoned may receive the attempt later and start
  ///        to work on it then.
  void onReleaseEnded(const ReleaseCall& call, bool ok, Micros now,
                      std::optional<Micros> lastReceivedAt = std::nullopt);
  /// Returns the release calls to retry or repeat now, and records them as made.
  std::vector<ReleaseCall> dueRetries(Micros now, const MayRepeat& mayRepeat = {});

  /// Whether the request has a reservation or a pending release.
  bool isTracking(RequestId request) const;
  /// Number of reservations and pending releases at the endpoint.
  std::size_t countAt(EndpointId endpoint) const;
  /// Number of reservations whose release was not requested yet.
  std::size_t reservationCount() const { return reservations_.size(); }
  /// Number of releases that were requested and are not final yet.
  std::size_t pendingReleaseCount() const { return releases_.size(); }
  /// Whether there is a pending release or a reservation with an abandoned prefill.
  bool hasUnfinishedWork() const;
  /// Number of pending releases without a confirmed call.
  std::size_t unconfirmedReleaseCount() const;
  /// Age of the oldest of these in microseconds; 0 if there is none.
  Micros oldestUnconfirmedRelease(Micros now) const;
  /// Number of releases whose confirmation was final.
  std::uint64_t releasedCount() const { return releasedCount_; }
  /// Number of calls that were repeated after a confirmed one.
  std::uint64_t repeatedCount() const { return repeatedCount_; }
  /// Number of releases that were given up after maxReleaseAttempts failed calls.
  std::uint64_t abandonedCount() const { return abandonedCount_; }
  /// The longest time from a release's request to its first confirmation, in microseconds.
  Micros longestRelease() const { return longestRelease_; }

 private:
  using Key = std::pair<RequestId, EndpointId>;
  // Abandoned attempts on which engines may continue to work.
  struct AbandonedWork {
    Micros lastAbandonedAt = 0;  // when the latest attempt was abandoned; 0: none
    Micros duration = 0;         // assumed longest time for which an engine continues
    Micros mayRunUntil = 0;      // a release call made before this time may be too early
    void add(const AbandonedAttempt& attempt);
    void add(const AbandonedWork& other);
    void extendFrom(Micros now);
  };
  struct Reservation {
    Micros idleSince = 0;             // start of the time that rule 5 limits
    bool hasEarlierPrefill = false;   // an earlier prefill here may have left state too
    AbandonedWork abandonedPrefills;  // may still leave state
    AbandonedWork abandonedDecodes;   // may still wait for the state
  };
  struct Release {
    Micros requestedAt = 0;
    Micros calledAt = 0;
    Micros retryAt = 0;  // 0: a call is in flight
    std::uint64_t callNumber = 0;
    int failures = 0;
    int confirmations = 0;
    AbandonedWork abandonedPrefills;
    AbandonedWork abandonedDecodes;
  };
  template <class Items>
  static auto firstItemFor(Items& items, RequestId request) {
    return items.lower_bound({request, EndpointId{0}});
  }
  ReleaseCall startCall(const Key& key, Release& release, Micros now);
  ReleaseCall startRelease(const Key& key, const Reservation& reservation, Micros now);
  void finishRelease(const Key& key, KvReservationChange change, std::uint64_t callNumber);
  void failUnansweredCalls(Micros now);
  Micros backoffDelay(int callCount, Micros maxDelay) const;
  void report(KvReservationChange change, const Key& key, std::uint64_t callNumber = 0) const;

  Options options_;
  OnChange onChange_;
  std::map<Key, Reservation> reservations_;
  std::map<Key, Release> releases_;
  std::uint64_t lastCallNumber_ = 0;
  std::uint64_t releasedCount_ = 0;
  std::uint64_t repeatedCount_ = 0;
  std::uint64_t abandonedCount_ = 0;
  Micros longestRelease_ = 0;
};

}  // namespace garnethook::routing
