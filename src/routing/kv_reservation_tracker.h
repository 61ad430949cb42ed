/// KV cache state that prefill endpoints reserve, or may reserve, for requests: which endpoint must be asked
/// to release it, when, and when again. Free of I/O and clocks.
///
/// A prefill leaves a reservation at its endpoint until a decode endpoint has fetched it. A prefill that was
/// cancelled, or whose response was lost, may have left one too, so it counts as reserved. Rule 5 limits the
/// time for which a reservation may be kept while its request has no attempt in flight. An attempt counts as
/// in flight once it has reached an endpoint: while connections fail to come up, the time runs on.
///
/// Engines may go on with an attempt that was given up: its close can come late or never, and a prefill that
/// has begun is often finished. Until that can't be so any more, a confirmed release is not final: it may
/// have come before the state, or have spared it for a decode that was still waiting. So it is called again,
/// at growing intervals, and one more time when the attempt can't change anything any more.
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

/// Tracks the reservations of all requests, and the release calls that are pending.
class KvReservationTracker {
 public:
  /// Times in microseconds.
  struct Options {
    Micros kvReleaseTimeout = 500'000;  ///< Rule 5: how long a reservation may be kept without an attempt.
    int maxReleaseAttempts = 40;  ///< Failed calls of one release; then the endpoint's timeout is relied on.
    /// Delay before the second call. It doubles up to half of kvReleaseTimeout, so that an endpoint that
    /// can be reached again is asked within that time.
    Micros releaseRetryDelay = 100'000;
    /// A release call leaves alone what a decode attempt at an endpoint waits for.
    bool releaseSkipsAwaitedState = false;
  };
  /// An attempt that was given up: when, and how long the engine was told that its result is of use.
  struct AbandonedAttempt {
    Micros at = 0;                ///< When it was given up.
    Micros remainingTimeout = 0;  ///< What was left then of the time that the engine was told.
  };
  /// Engines are taken to go on with abandoned work for this long at least: some finish what has begun.
  static constexpr Micros kMinAbandonedWork = 1'000'000;
  /// ... and this much longer than they were told, for the work itself and the way there.
  static constexpr Micros kAbandonedWorkMargin = 250'000;
  /// No release is repeated for longer than this after the attempt was given up.
  static constexpr Micros kMaxAbandonedWork = 10'000'000;

  /// Told of every change of a reservation.
  using OnChange = std::function<void(const KvReservationEvent&)>;
  /// Whether a confirmed release may be called again now: not while the request waits for a new state.
  using MayRepeat = std::function<bool(RequestId)>;

  /// There are no reservations at first. `onChange`: may be empty.
  explicit KvReservationTracker(const Options& options, OnChange onChange = {})
      : options_(options), onChange_(std::move(onChange)) {}

  /// A prefill of the request was sent to the endpoint. A pending release of an earlier prefill there is not
  /// retried, as it could release the new state; what that prefill may have left is released with the new
  /// one.
  void onPrefillSent(RequestId request, EndpointId endpoint, Micros now);
  /// The prefill is known to have left nothing: the endpoint rejected it, or was never reached.
  void onNoReservation(RequestId request, EndpointId endpoint);
  /// The prefill was given up, or its response was lost: the engine may go on with it and leave state later.
  void onPrefillAbandoned(RequestId request, EndpointId endpoint, const AbandonedAttempt& attempt);
  /// A decode attempt was given up before its first token: it may still wait for the state, so that release
  /// calls spare it.
  void onDecodeAbandoned(RequestId request, const AbandonedAttempt& attempt);
  /// A decode endpoint has begun to answer: the reservation was fetched and released with it. What an
  /// abandoned prefill at that endpoint may still leave stays tracked.
  void onTransferred(RequestId request, EndpointId endpoint, Micros now);
  /// An attempt of the request that had reached an endpoint ended: the time of its reservations starts anew.
  void onAttemptEnded(RequestId request, Micros now);
  /// The endpoint was started at that time: what prefills sent before reserved is gone.
  void onEndpointRestarted(EndpointId endpoint, Micros startedAt);

  /// When the request's reservations have to be fetched or released, unless an attempt has reached an
  /// endpoint by then; none where there is no reservation.
  std::optional<Micros> releaseDueAt(RequestId request) const;
  /// Requests with an abandoned prefill whose reservation is due for release within `margin`.
  std::vector<RequestId> requestsDue(Micros now, Micros margin) const;
  /// The request needs its reservations no more. Returns the calls to be made now.
  std::vector<ReleaseCall> release(RequestId request, Micros now);
  /// The release is due while a prefill at `endpoint` is in flight that may never have arrived. Returns the
  /// calls to be made now. At that endpoint one is made only where releases spare what is awaited, and it is
  /// not retried.
  std::vector<ReleaseCall> releaseDuringPrefill(RequestId request, EndpointId endpoint, Micros now);
  /// The release is due while a decode attempt is in flight that may never have arrived. Returns the calls to
  /// be made now, where releases spare what is awaited; the reservations they spare stay tracked.
  std::vector<ReleaseCall> releaseDuringDecode(RequestId request, Micros now);
  /// A release call ended; only the latest one of a reservation counts. A failed one is due again after the
  /// delay, up to the limit of attempts, and a confirmed one where it may have come too early.
  /// @param call the call
  /// @param ok an endpoint has taken it
  /// @param now the current time
  /// @param heardAt when anything came from the reservation's endpoint last; none where that is not known. An
  ///        endpoint that was silent since the attempt was given up may get it later and begin with it then.
  void onReleaseEnded(const ReleaseCall& call, bool ok, Micros now,
                      std::optional<Micros> heardAt = std::nullopt);
  /// The release calls that are due again by now; they count as made.
  std::vector<ReleaseCall> dueRetries(Micros now, const MayRepeat& mayRepeat = {});

  /// Whether the request has a reservation, or a release that is not final.
  bool isTracking(RequestId request) const;
  /// Reservations whose release was not requested yet.
  std::size_t reservationCount() const { return reservations_.size(); }
  /// Releases that were requested and are not final yet.
  std::size_t pendingReleaseCount() const { return releases_.size(); }
  /// Whether the releaser has anything to do later: a pending release, or an abandoned prefill.
  bool hasUnfinishedWork() const;
  /// Pending releases of which no call was confirmed yet.
  std::size_t unconfirmedReleaseCount() const;
  /// How long the oldest of those has been waiting, in microseconds; 0 where there is none.
  Micros oldestUnconfirmedRelease(Micros now) const;
  /// Releases that were confirmed for good.
  std::uint64_t releasedCount() const { return releasedCount_; }
  /// Calls that were made again though one had been confirmed.
  std::uint64_t repeatedCount() const { return repeatedCount_; }
  /// Releases that were given up after all attempts.
  std::uint64_t abandonedCount() const { return abandonedCount_; }
  /// The longest time from a release's request to its first confirmation, in microseconds.
  Micros longestRelease() const { return longestRelease_; }

 private:
  using Key = std::pair<RequestId, EndpointId>;
  // Attempts that were given up and may go on at their engines.
  struct AbandonedWork {
    Micros since = 0;  // when the latest one was given up; 0: there is none
    Micros lasts = 0;  // from there on
    Micros until = 0;  // a release call that is made by then may have come too early
    void add(const AbandonedAttempt& attempt);
    void add(const AbandonedWork& other);
    void extendFrom(Micros now);
  };
  struct Reservation {
    Micros since = 0;                // start of the time that rule 5 limits
    Micros sentAt = 0;               // the latest prefill
    bool hasEarlierPrefill = false;  // an earlier prefill of the request there may have left state too
    AbandonedWork prefills;          // may still leave state
    AbandonedWork decodes;           // may still wait for the state
  };
  struct Release {
    Micros requestedAt = 0;
    Micros prefillSentAt = 0;
    Micros calledAt = 0;
    Micros retryAt = 0;  // 0: a call is in flight
    std::uint64_t callNumber = 0;
    int failures = 0;
    int confirmations = 0;
    AbandonedWork prefills;
    AbandonedWork decodes;
  };
  template <class Items>
  static auto firstOf(Items& items, RequestId request) {
    return items.lower_bound({request, EndpointId{0}});
  }
  ReleaseCall call(const Key& key, Release& release, Micros now);
  ReleaseCall startRelease(const Key& key, const Reservation& reservation, Micros now);
  void finishRelease(const Key& key, KvReservationChange change, std::uint64_t callNumber);
  void giveUpUnanswered(Micros now);
  Micros delayAfter(int calls, Micros maxDelay) const;
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
