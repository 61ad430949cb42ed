#include "routing/kv_reservation_tracker.h"

#include <algorithm>

namespace garnethook::routing {
namespace {

// More doublings than this would overflow, and pass every limit anyway.
constexpr int kMaxDoublings = 20;

}  // namespace

void KvReservationTracker::onPrefillSent(RequestId request, EndpointId endpoint, Micros now) {
  releases_.erase({request, endpoint});
  const auto [item, isFirst] = reservations_.try_emplace({request, endpoint}, Reservation{now});
  item->second.hasEarlierPrefill = !isFirst;
}

void KvReservationTracker::onNoReservation(RequestId request, EndpointId endpoint) {
  const auto item = reservations_.find({request, endpoint});
  if (item != reservations_.end() && !std::exchange(item->second.hasEarlierPrefill, false))
    reservations_.erase(item);
}

void KvReservationTracker::onTransferred(RequestId request, EndpointId endpoint) {
  reservations_.erase({request, endpoint});
  releases_.erase({request, endpoint});
}

void KvReservationTracker::onAttemptEnded(RequestId request, Micros now) {
  for (auto item = firstOf(reservations_, request);
       item != reservations_.end() && item->first.first == request; ++item)
    item->second.since = now;
}

void KvReservationTracker::onEndpointRestarted(EndpointId endpoint) {
  const auto isThere = [&](const auto& item) { return item.first.second == endpoint; };
  std::erase_if(reservations_, isThere);
  std::erase_if(releases_, isThere);
}

std::optional<Micros> KvReservationTracker::releaseDueAt(RequestId request) const {
  std::optional<Micros> oldest;
  for (auto item = firstOf(reservations_, request);
       item != reservations_.end() && item->first.first == request; ++item)
    oldest = std::min(oldest.value_or(item->second.since), item->second.since);
  if (oldest) *oldest += options_.kvReleaseTimeout;
  return oldest;
}

std::vector<KvReservationTracker::ReleaseCall> KvReservationTracker::release(RequestId request, Micros now) {
  std::vector<ReleaseCall> calls;
  for (auto item = firstOf(reservations_, request);
       item != reservations_.end() && item->first.first == request; item = reservations_.erase(item)) {
    releases_[item->first] = {.requestedAt = now, .retryAt = 0, .attempts = 1};
    calls.push_back({item->first.second, request});
  }
  return calls;
}

std::vector<KvReservationTracker::ReleaseCall> KvReservationTracker::releaseOthers(RequestId request,
                                                                                   EndpointId endpoint,
                                                                                   Micros now) {
  const Key key{request, endpoint};
  const auto own = reservations_.extract(key);
  auto calls = release(request, now);
  if (!own) return calls;
  const bool hasEarlierPrefill = own.mapped().hasEarlierPrefill;
  if (hasEarlierPrefill && options_.releaseSparesAwaited) calls.push_back({endpoint, request});
  reservations_[key] = {.since = now, .hasEarlierPrefill = hasEarlierPrefill};
  return calls;
}

std::vector<KvReservationTracker::ReleaseCall> KvReservationTracker::releaseUnconfirmed(RequestId request,
                                                                                        Micros now) {
  std::vector<ReleaseCall> calls;
  if (!options_.releaseSparesAwaited) return calls;
  for (auto item = firstOf(reservations_, request);
       item != reservations_.end() && item->first.first == request; ++item)
    if (releases_.try_emplace(item->first, Release{.requestedAt = now, .retryAt = 0, .attempts = 1}).second)
      calls.push_back({item->first.second, request});
  return calls;
}

void KvReservationTracker::onReleaseEnded(const ReleaseCall& call, bool ok, Micros now) {
  const auto item = releases_.find({call.request, call.endpoint});
  if (item == releases_.end() || item->second.retryAt != 0) return;
  Release& release = item->second;
  if (!ok && release.attempts < options_.maxReleaseAttempts) {
    const Micros maxDelay = std::max(options_.releaseRetryDelay, options_.kvReleaseTimeout / 2);
    const Micros delay = options_.releaseRetryDelay << std::min(release.attempts - 1, kMaxDoublings);
    release.retryAt = now + std::min(maxDelay, delay);
    return;
  }
  if (ok) {
    ++releasedCount_;
    longestRelease_ = std::max(longestRelease_, now - release.requestedAt);
  } else {
    ++abandonedCount_;
  }
  releases_.erase(item);
}

std::vector<KvReservationTracker::ReleaseCall> KvReservationTracker::dueRetries(Micros now) {
  std::vector<ReleaseCall> calls;
  for (auto& [key, release] : releases_) {
    if (release.retryAt == 0 || release.retryAt > now) continue;
    release.retryAt = 0;
    ++release.attempts;
    calls.push_back({key.second, key.first});
  }
  return calls;
}

bool KvReservationTracker::isTracking(RequestId request) const {
  const auto hasItem = [&](const auto& items) {
    const auto item = firstOf(items, request);
    return item != items.end() && item->first.first == request;
  };
  return hasItem(reservations_) || hasItem(releases_);
}

}  // namespace garnethook::routing
