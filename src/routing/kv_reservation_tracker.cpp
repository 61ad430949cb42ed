#include "routing/kv_reservation_tracker.h"

#include <algorithm>
#include <utility>

namespace garnethook::routing {

void KvReservationTracker::readSent(RequestId request, EndpointId reader, Micros now) {
  calls_.erase({request, reader});
  const auto [at, first] = held_.try_emplace({request, reader}, Held{now});
  at->second.earlier = !first;
}

std::vector<KvReservationTracker::Call> KvReservationTracker::releaseOthers(RequestId request,
                                                                            EndpointId reader, Micros now) {
  const Key key{request, reader};
  const auto own = held_.extract(key);
  auto out = release(request, now);
  if (!own) return out;
  if (own.mapped().earlier && options_.sparesAwaited) out.push_back({reader, request});
  held_[key] = {.since = now, .earlier = own.mapped().earlier};
  return out;
}

std::vector<KvReservationTracker::Call> KvReservationTracker::releaseInDoubt(RequestId request, Micros now) {
  std::vector<Call> out;
  if (!options_.sparesAwaited) return out;
  for (auto at = held_.lower_bound({request, EndpointId{0}}); at != held_.end() && at->first.first == request;
       ++at)
    if (calls_.try_emplace(at->first, Release{.since = now, .again = 0, .tries = 1}).second)
      out.push_back({at->first.second, request});
  return out;
}

void KvReservationTracker::outcome(RequestId request, Micros now) {
  for (auto at = held_.lower_bound({request, EndpointId{0}}); at != held_.end() && at->first.first == request;
       ++at)
    at->second.since = now;
}

std::optional<Micros> KvReservationTracker::dueBy(RequestId request) const {
  std::optional<Micros> first;
  for (auto at = held_.lower_bound({request, EndpointId{0}}); at != held_.end() && at->first.first == request;
       ++at)
    first = std::min(first.value_or(at->second.since), at->second.since);
  if (first) *first += options_.kvReleaseTimeout;
  return first;
}

void KvReservationTracker::nothingLeft(RequestId request, EndpointId reader) {
  const auto at = held_.find({request, reader});
  if (at != held_.end() && !std::exchange(at->second.earlier, false)) held_.erase(at);
}
void KvReservationTracker::consumed(RequestId request, EndpointId reader) {
  held_.erase({request, reader});
  calls_.erase({request, reader});
}

bool KvReservationTracker::knows(RequestId request) const {
  const auto has = [&](const auto& items) {
    const auto at = items.lower_bound({request, EndpointId{0}});
    return at != items.end() && at->first.first == request;
  };
  return has(held_) || has(calls_);
}

std::vector<KvReservationTracker::Call> KvReservationTracker::release(RequestId request, Micros now) {
  std::vector<Call> out;
  for (auto at = held_.lower_bound({request, EndpointId{0}}); at != held_.end() && at->first.first == request;
       at = held_.erase(at)) {
    calls_[at->first] = {.since = now, .again = 0, .tries = 1};
    out.push_back({at->first.second, request});
  }
  return out;
}

void KvReservationTracker::ended(const Call& call, bool ok, Micros now) {
  const auto at = calls_.find({call.request, call.endpoint});
  if (at == calls_.end() || at->second.again != 0) return;
  Release& r = at->second;
  if (!ok && r.tries < options_.tries) {
    const Micros longest = std::max(options_.pause, options_.kvReleaseTimeout / 2);
    r.again = now + std::min(longest, options_.pause << std::min(r.tries - 1, 20));
    return;
  }
  if (ok) {
    ++released_;
    slowest_ = std::max(slowest_, now - r.since);
  } else {
    ++abandoned_;
  }
  calls_.erase(at);
}

void KvReservationTracker::readerLost(EndpointId reader) {
  std::erase_if(held_, [&](const auto& item) { return item.first.second == reader; });
  std::erase_if(calls_, [&](const auto& item) { return item.first.second == reader; });
}

std::vector<KvReservationTracker::Call> KvReservationTracker::due(Micros now) {
  std::vector<Call> out;
  for (auto& [key, r] : calls_)
    if (r.again != 0 && r.again <= now) {
      r.again = 0;
      ++r.tries;
      out.push_back({key.second, key.first});
    }
  return out;
}

}  // namespace garnethook::routing
