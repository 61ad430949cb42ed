#include "routing/kv_reservation_tracker.h"

#include <algorithm>
#include <set>

namespace garnethook::routing {
namespace {

// Limits the shift in backoffDelay(): more doublings could overflow, and exceed every maximum delay anyway.
constexpr int kMaxDoublings = 20;
// A call that has not ended after this time counts as failed. Engine clients report the end much earlier.
constexpr Micros kCallTimeout = 2'000'000;

}  // namespace

void KvReservationTracker::AbandonedWork::add(const AbandonedAttempt& attempt) {
  const Micros workDuration = std::max(attempt.remainingTimeout, kMinAbandonedWork) + kAbandonedWorkMargin;
  add(AbandonedWork{attempt.at, workDuration, attempt.at + std::min(workDuration, kMaxAbandonedWork)});
}

void KvReservationTracker::AbandonedWork::add(const AbandonedWork& other) {
  lastAbandonedAt = std::max(lastAbandonedAt, other.lastAbandonedAt);
  duration = std::max(duration, other.duration);
  mayRunUntil = std::max(mayRunUntil, other.mayRunUntil);
}

void KvReservationTracker::AbandonedWork::extendFrom(Micros now) {
  mayRunUntil = std::max(mayRunUntil, std::min(now + duration, lastAbandonedAt + kMaxAbandonedWork));
}

void KvReservationTracker::report(KvReservationChange change, const Key& key,
                                  std::uint64_t callNumber) const {
  if (onChange_) onChange_({change, key.first, key.second, callNumber});
}

// ---- attempts and endpoints ----

void KvReservationTracker::onPrefillSent(RequestId request, EndpointId endpoint, Micros now) {
  const Key key{request, endpoint};
  const auto [item, isFirst] = reservations_.try_emplace(key, Reservation{.idleSince = now});
  Reservation& reservation = item->second;
  reservation.hasEarlierPrefill = !isFirst;
  const auto release = releases_.find(key);
  if (release != releases_.end()) {
    reservation.hasEarlierPrefill = true;
    reservation.abandonedPrefills.add(release->second.abandonedPrefills);
    releases_.erase(release);
  }
  report(KvReservationChange::reserved, key);
}

void KvReservationTracker::onNoReservation(RequestId request, EndpointId endpoint) {
  const Key key{request, endpoint};
  const auto item = reservations_.find(key);
  if (item == reservations_.end()) return;
  report(KvReservationChange::notReserved, key);
  if (!std::exchange(item->second.hasEarlierPrefill, false)) reservations_.erase(item);
}

void KvReservationTracker::onPrefillAbandoned(RequestId request, EndpointId endpoint,
                                              const AbandonedAttempt& attempt) {
  const Key key{request, endpoint};
  if (const auto item = reservations_.find(key); item != reservations_.end()) {
    item->second.abandonedPrefills.add(attempt);
    if (!item->second.hasEarlierPrefill) item->second.idleSince = attempt.at;
  } else if (const auto release = releases_.find(key); release != releases_.end()) {
    release->second.abandonedPrefills.add(attempt);
  } else {
    return;
  }
  report(KvReservationChange::prefillAbandoned, key);
}

void KvReservationTracker::onDecodeAbandoned(RequestId request, const AbandonedAttempt& attempt) {
  for (auto item = firstItemFor(reservations_, request);
       item != reservations_.end() && item->first.first == request; ++item) {
    item->second.abandonedDecodes.add(attempt);
    report(KvReservationChange::decodeAbandoned, item->first);
  }
}

void KvReservationTracker::onTransferred(RequestId request, EndpointId endpoint, Micros now) {
  const Key key{request, endpoint};
  const auto item = reservations_.find(key);
  if (item != reservations_.end()) {
    item->second.abandonedDecodes = {};
    if (item->second.abandonedPrefills.mayRunUntil <= now) reservations_.erase(item);
    report(KvReservationChange::transferred, key);
  }
  const auto release = releases_.find(key);
  if (release == releases_.end()) return;
  release->second.abandonedDecodes = {};
  if (release->second.abandonedPrefills.mayRunUntil <= now) releases_.erase(release);
}

void KvReservationTracker::onAttemptEnded(RequestId request, Micros now) {
  for (auto item = firstItemFor(reservations_, request);
       item != reservations_.end() && item->first.first == request; ++item)
    item->second.idleSince = now;
}

// ---- due times ----

std::optional<Micros> KvReservationTracker::releaseDueAt(RequestId request) const {
  std::optional<Micros> oldest;
  for (auto item = firstItemFor(reservations_, request);
       item != reservations_.end() && item->first.first == request; ++item)
    oldest = std::min(oldest.value_or(item->second.idleSince), item->second.idleSince);
  if (oldest) *oldest += options_.kvReleaseTimeout;
  return oldest;
}

std::vector<RequestId> KvReservationTracker::requestsDue(Micros now, Micros margin) const {
  std::set<RequestId> due;
  for (const auto& [key, reservation] : reservations_)
    if (reservation.abandonedPrefills.lastAbandonedAt != 0 &&
        reservation.idleSince + options_.kvReleaseTimeout - margin <= now)
      due.insert(key.first);
  return {due.begin(), due.end()};
}

// ---- release calls ----

ReleaseCall KvReservationTracker::startCall(const Key& key, Release& release, Micros now) {
  release.callNumber = ++lastCallNumber_;
  release.calledAt = now;
  release.retryAt = 0;
  report(KvReservationChange::releaseCalled, key, release.callNumber);
  return {key.second, key.first, release.callNumber, release.failures > 0};
}

// A release that is already pending starts again, since engines may have skipped the state on its earlier
// calls.
ReleaseCall KvReservationTracker::startRelease(const Key& key, const Reservation& reservation, Micros now) {
  Release& release = releases_[key];
  release.requestedAt = now;
  release.failures = release.confirmations = 0;
  release.abandonedPrefills.add(reservation.abandonedPrefills);
  release.abandonedDecodes.add(reservation.abandonedDecodes);
  report(KvReservationChange::releaseRequested, key);
  return startCall(key, release, now);
}

std::vector<ReleaseCall> KvReservationTracker::release(RequestId request, Micros now) {
  std::vector<ReleaseCall> calls;
  for (auto item = firstItemFor(reservations_, request);
       item != reservations_.end() && item->first.first == request; item = reservations_.erase(item))
    calls.push_back(startRelease(item->first, item->second, now));
  return calls;
}

std::vector<ReleaseCall> KvReservationTracker::releaseDuringPrefill(RequestId request, EndpointId endpoint,
                                                                    Micros now) {
  const Key key{request, endpoint};
  auto own = reservations_.extract(key);
  auto calls = release(request, now);
  if (!own) return calls;
  own.mapped().idleSince = now;
  if (own.mapped().hasEarlierPrefill && options_.releaseSkipsAwaitedState)
    calls.push_back({endpoint, request, ++lastCallNumber_});
  reservations_.insert(std::move(own));
  return calls;
}

std::vector<ReleaseCall> KvReservationTracker::releaseDuringDecode(RequestId request, Micros now) {
  std::vector<ReleaseCall> calls;
  if (!options_.releaseSkipsAwaitedState) return calls;
  for (auto item = firstItemFor(reservations_, request);
       item != reservations_.end() && item->first.first == request; ++item)
    if (!releases_.contains(item->first)) calls.push_back(startRelease(item->first, item->second, now));
  return calls;
}

Micros KvReservationTracker::backoffDelay(int callCount, Micros maxDelay) const {
  const Micros delay = options_.releaseRetryDelay << std::min(callCount - 1, kMaxDoublings);
  return std::min(std::max(options_.releaseRetryDelay, maxDelay), delay);
}

void KvReservationTracker::onReleaseEnded(const ReleaseCall& call, bool ok, Micros now,
                                          std::optional<Micros> lastReceivedAt) {
  const Key key{call.request, call.endpoint};
  const auto item = releases_.find(key);
  if (item == releases_.end() || item->second.retryAt != 0 || item->second.callNumber != call.number)
    return report(KvReservationChange::answerIgnored, key, call.number);
  Release& release = item->second;
  if (!ok) {
    if (++release.failures >= options_.maxReleaseAttempts)
      return finishRelease(key, KvReservationChange::releaseGivenUp, call.number);
    release.retryAt = now + backoffDelay(release.failures, options_.kvReleaseTimeout / 2);
    return report(KvReservationChange::releaseFailed, key, call.number);
  }
  if (++release.confirmations == 1) longestRelease_ = std::max(longestRelease_, now - release.requestedAt);
  if (lastReceivedAt && *lastReceivedAt < release.abandonedPrefills.lastAbandonedAt)
    release.abandonedPrefills.extendFrom(now);
  const Micros abandonedWorkEnd =
      std::max(release.abandonedPrefills.mayRunUntil, release.abandonedDecodes.mayRunUntil);
  if (release.calledAt >= abandonedWorkEnd)
    return finishRelease(key, KvReservationChange::releaseConfirmed, call.number);
  // While an abandoned prefill may still run, new state can appear at any time, so the release is repeated at
  // shorter intervals. An abandoned decode only delays the release of existing state.
  const Micros maxDelay = options_.kvReleaseTimeout / (release.abandonedPrefills.mayRunUntil > now ? 2 : 1);
  release.retryAt =
      std::min(now + backoffDelay(release.confirmations, maxDelay), std::max(now + 1, abandonedWorkEnd));
  report(KvReservationChange::releaseRepeated, key, call.number);
}

void KvReservationTracker::finishRelease(const Key& key, KvReservationChange change,
                                         std::uint64_t callNumber) {
  ++(change == KvReservationChange::releaseConfirmed ? releasedCount_ : abandonedCount_);
  releases_.erase(key);
  report(change, key, callNumber);
}

std::vector<ReleaseCall> KvReservationTracker::dueRetries(Micros now, const MayRepeat& mayRepeat) {
  failUnansweredCalls(now);
  std::vector<ReleaseCall> calls;
  for (auto& [key, release] : releases_) {
    if (release.retryAt == 0 || release.retryAt > now) continue;
    if (release.confirmations > 0) {
      if (mayRepeat && !mayRepeat(key.first)) continue;
      ++repeatedCount_;
    }
    calls.push_back(startCall(key, release, now));
  }
  return calls;
}

// Prevents a release from never being retried when the result of its call is lost within this process.
void KvReservationTracker::failUnansweredCalls(Micros now) {
  std::vector<ReleaseCall> unanswered;
  for (const auto& [key, release] : releases_)
    if (release.retryAt == 0 && now - release.calledAt >= kCallTimeout)
      unanswered.push_back({key.second, key.first, release.callNumber});
  for (const ReleaseCall& call : unanswered) onReleaseEnded(call, false, now);
}

// ---- queries ----

bool KvReservationTracker::isTracking(RequestId request) const {
  const auto hasItem = [&](const auto& items) {
    const auto item = firstItemFor(items, request);
    return item != items.end() && item->first.first == request;
  };
  return hasItem(reservations_) || hasItem(releases_);
}

std::size_t KvReservationTracker::countAt(EndpointId endpoint) const {
  const auto isAtEndpoint = [&](const auto& item) { return item.first.second == endpoint; };
  return static_cast<std::size_t>(std::count_if(reservations_.begin(), reservations_.end(), isAtEndpoint) +
                                  std::count_if(releases_.begin(), releases_.end(), isAtEndpoint));
}

bool KvReservationTracker::hasUnfinishedWork() const {
  return !releases_.empty() || std::any_of(reservations_.begin(), reservations_.end(), [](const auto& item) {
    return item.second.abandonedPrefills.lastAbandonedAt != 0;
  });
}

std::size_t KvReservationTracker::unconfirmedReleaseCount() const {
  return static_cast<std::size_t>(std::count_if(
      releases_.begin(), releases_.end(), [](const auto& item) { return item.second.confirmations == 0; }));
}

Micros KvReservationTracker::oldestUnconfirmedRelease(Micros now) const {
  Micros oldest = 0;
  for (const auto& [key, release] : releases_)
    if (release.confirmations == 0) oldest = std::max(oldest, now - release.requestedAt);
  return oldest;
}

}  // namespace garnethook::routing
