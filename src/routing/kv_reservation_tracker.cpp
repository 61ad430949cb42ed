#include "routing/kv_reservation_tracker.h"

#include <algorithm>
#include <set>

namespace garnethook::routing {
namespace {

// More doublings than this would overflow, and pass every limit anyway.
constexpr int kMaxDoublings = 20;
// A call without any answer counts as failed after this; engine clients answer much earlier.
constexpr Micros kCallTimeout = 2'000'000;

}  // namespace

void KvReservationTracker::AbandonedWork::add(const AbandonedAttempt& attempt) {
  const Micros work = std::max(attempt.remainingTimeout, kMinAbandonedWork) + kAbandonedWorkMargin;
  add(AbandonedWork{attempt.at, work, attempt.at + std::min(work, kMaxAbandonedWork)});
}

void KvReservationTracker::AbandonedWork::add(const AbandonedWork& other) {
  since = std::max(since, other.since);
  lasts = std::max(lasts, other.lasts);
  until = std::max(until, other.until);
}

void KvReservationTracker::AbandonedWork::extendFrom(Micros now) {
  until = std::max(until, std::min(now + lasts, since + kMaxAbandonedWork));
}

void KvReservationTracker::report(KvReservationChange change, const Key& key,
                                  std::uint64_t callNumber) const {
  if (onChange_) onChange_({change, key.first, key.second, callNumber});
}

// ---- what attempts leave ----

void KvReservationTracker::onPrefillSent(RequestId request, EndpointId endpoint, Micros now) {
  const Key key{request, endpoint};
  const auto [item, isFirst] = reservations_.try_emplace(key, Reservation{.since = now});
  Reservation& reservation = item->second;
  reservation.sentAt = now;
  reservation.hasEarlierPrefill = !isFirst;
  const auto release = releases_.find(key);
  if (release != releases_.end()) {
    reservation.hasEarlierPrefill = true;
    reservation.prefills.add(release->second.prefills);
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
  if (const auto item = reservations_.find(key); item != reservations_.end())
    item->second.prefills.add(attempt);
  else if (const auto release = releases_.find(key); release != releases_.end())
    release->second.prefills.add(attempt);
  else
    return;
  report(KvReservationChange::prefillAbandoned, key);
}

void KvReservationTracker::onDecodeAbandoned(RequestId request, const AbandonedAttempt& attempt) {
  for (auto item = firstOf(reservations_, request);
       item != reservations_.end() && item->first.first == request; ++item) {
    item->second.decodes.add(attempt);
    report(KvReservationChange::decodeAbandoned, item->first);
  }
}

void KvReservationTracker::onTransferred(RequestId request, EndpointId endpoint, Micros now) {
  const Key key{request, endpoint};
  const auto item = reservations_.find(key);
  if (item != reservations_.end()) {
    item->second.decodes = {};
    if (item->second.prefills.until <= now) reservations_.erase(item);
    report(KvReservationChange::transferred, key);
  }
  const auto release = releases_.find(key);
  if (release == releases_.end()) return;
  release->second.decodes = {};
  if (release->second.prefills.until <= now) releases_.erase(release);
}

void KvReservationTracker::onAttemptEnded(RequestId request, Micros now) {
  for (auto item = firstOf(reservations_, request);
       item != reservations_.end() && item->first.first == request; ++item)
    item->second.since = now;
}

void KvReservationTracker::onEndpointRestarted(EndpointId endpoint, Micros startedAt) {
  const auto isGone = [&](const Key& key, Micros prefillSentAt) {
    if (key.second != endpoint || prefillSentAt >= startedAt) return false;
    report(KvReservationChange::endpointRestarted, key);
    return true;
  };
  std::erase_if(reservations_, [&](const auto& item) { return isGone(item.first, item.second.sentAt); });
  std::erase_if(releases_, [&](const auto& item) { return isGone(item.first, item.second.prefillSentAt); });
}

// ---- when they are due ----

std::optional<Micros> KvReservationTracker::releaseDueAt(RequestId request) const {
  std::optional<Micros> oldest;
  for (auto item = firstOf(reservations_, request);
       item != reservations_.end() && item->first.first == request; ++item)
    oldest = std::min(oldest.value_or(item->second.since), item->second.since);
  if (oldest) *oldest += options_.kvReleaseTimeout;
  return oldest;
}

std::vector<RequestId> KvReservationTracker::requestsDue(Micros now, Micros margin) const {
  std::set<RequestId> due;
  for (const auto& [key, reservation] : reservations_)
    if (reservation.prefills.since != 0 && reservation.since + options_.kvReleaseTimeout - margin <= now)
      due.insert(key.first);
  return {due.begin(), due.end()};
}

// ---- release calls ----

ReleaseCall KvReservationTracker::call(const Key& key, Release& release, Micros now) {
  release.callNumber = ++lastCallNumber_;
  release.calledAt = now;
  release.retryAt = 0;
  report(KvReservationChange::releaseCalled, key, release.callNumber);
  return {key.second, key.first, release.callNumber, release.failures > 0};
}

// A release that is pending already is requested anew: its earlier calls may have spared the state.
ReleaseCall KvReservationTracker::startRelease(const Key& key, const Reservation& reservation, Micros now) {
  Release& release = releases_[key];
  release.requestedAt = now;
  release.prefillSentAt = reservation.sentAt;
  release.failures = release.confirmations = 0;
  release.prefills.add(reservation.prefills);
  release.decodes.add(reservation.decodes);
  report(KvReservationChange::releaseRequested, key);
  return call(key, release, now);
}

std::vector<ReleaseCall> KvReservationTracker::release(RequestId request, Micros now) {
  std::vector<ReleaseCall> calls;
  for (auto item = firstOf(reservations_, request);
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
  own.mapped().since = now;
  if (own.mapped().hasEarlierPrefill && options_.releaseSkipsAwaitedState)
    calls.push_back({endpoint, request, ++lastCallNumber_});
  reservations_.insert(std::move(own));
  return calls;
}

std::vector<ReleaseCall> KvReservationTracker::releaseDuringDecode(RequestId request, Micros now) {
  std::vector<ReleaseCall> calls;
  if (!options_.releaseSkipsAwaitedState) return calls;
  for (auto item = firstOf(reservations_, request);
       item != reservations_.end() && item->first.first == request; ++item)
    if (!releases_.contains(item->first)) calls.push_back(startRelease(item->first, item->second, now));
  return calls;
}

Micros KvReservationTracker::delayAfter(int calls, Micros maxDelay) const {
  const Micros delay = options_.releaseRetryDelay << std::min(calls - 1, kMaxDoublings);
  return std::min(std::max(options_.releaseRetryDelay, maxDelay), delay);
}

void KvReservationTracker::onReleaseEnded(const ReleaseCall& call, bool ok, Micros now,
                                          std::optional<Micros> heardAt) {
  const Key key{call.request, call.endpoint};
  const auto item = releases_.find(key);
  if (item == releases_.end() || item->second.retryAt != 0 || item->second.callNumber != call.number)
    return report(KvReservationChange::answerIgnored, key, call.number);
  Release& release = item->second;
  if (!ok) {
    if (++release.failures >= options_.maxReleaseAttempts)
      return finishRelease(key, KvReservationChange::releaseGivenUp, call.number);
    release.retryAt = now + delayAfter(release.failures, options_.kvReleaseTimeout / 2);
    return report(KvReservationChange::releaseFailed, key, call.number);
  }
  if (++release.confirmations == 1) longestRelease_ = std::max(longestRelease_, now - release.requestedAt);
  if (heardAt && *heardAt < release.prefills.since) release.prefills.extendFrom(now);
  const Micros finalFrom = std::max(release.prefills.until, release.decodes.until);
  if (release.calledAt >= finalFrom)
    return finishRelease(key, KvReservationChange::releaseConfirmed, call.number);
  // New state may appear at any moment while a prefill goes on; a decode only keeps what is there.
  const Micros maxDelay = options_.kvReleaseTimeout / (release.prefills.until > now ? 2 : 1);
  release.retryAt = std::min(now + delayAfter(release.confirmations, maxDelay), std::max(now + 1, finalFrom));
  report(KvReservationChange::releaseRepeated, key, call.number);
}

void KvReservationTracker::finishRelease(const Key& key, KvReservationChange change,
                                         std::uint64_t callNumber) {
  ++(change == KvReservationChange::releaseConfirmed ? releasedCount_ : abandonedCount_);
  releases_.erase(key);
  report(change, key, callNumber);
}

std::vector<ReleaseCall> KvReservationTracker::dueRetries(Micros now, const MayRepeat& mayRepeat) {
  giveUpUnanswered(now);
  std::vector<ReleaseCall> calls;
  for (auto& [key, release] : releases_) {
    if (release.retryAt == 0 || release.retryAt > now) continue;
    if (release.confirmations > 0) {
      if (mayRepeat && !mayRepeat(key.first)) continue;
      ++repeatedCount_;
    }
    calls.push_back(call(key, release, now));
  }
  return calls;
}

// A call whose answer is lost in this process must not keep its release from being called again.
void KvReservationTracker::giveUpUnanswered(Micros now) {
  std::vector<ReleaseCall> unanswered;
  for (const auto& [key, release] : releases_)
    if (release.retryAt == 0 && now - release.calledAt >= kCallTimeout)
      unanswered.push_back({key.second, key.first, release.callNumber});
  for (const ReleaseCall& call : unanswered) onReleaseEnded(call, false, now);
}

// ---- what is known ----

bool KvReservationTracker::isTracking(RequestId request) const {
  const auto hasItem = [&](const auto& items) {
    const auto item = firstOf(items, request);
    return item != items.end() && item->first.first == request;
  };
  return hasItem(reservations_) || hasItem(releases_);
}

bool KvReservationTracker::hasUnfinishedWork() const {
  return !releases_.empty() || std::any_of(reservations_.begin(), reservations_.end(),
                                           [](const auto& item) { return item.second.prefills.since != 0; });
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
