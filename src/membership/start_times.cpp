#include "membership/start_times.h"

#include <algorithm>

namespace garnethook::membership {

using timing::UnixTime;

MonotonicStartTimes StartTimes::toMonotonic(const EndpointMap& endpoints, Source source, Micros now,
                                            UnixTime wallNow) {
  updateClockOffset(endpoints, now, wallNow);
  MonotonicStartTimes startTimes;
  for (const auto& [name, endpoint] : endpoints)
    startTimes[name] = endpoint.startedAt.isKnown() ? mappedStart(name, endpoint.startedAt, source, now)
                                                    : latestKnownStart(name);
  if (source == Source::discovery) lastContactAt_ = now;
  return startTimes;
}

// A report of discovery never moves the start of an endpoint to an earlier time: it may come from a list that
// is older than the latest start.
Micros StartTimes::mappedStart(const std::string& name, UnixTime reportedAt, Source source, Micros now) {
  const auto existing = starts_.find(name);
  const bool isKnown = existing != starts_.end();
  const bool isFromDiscovery = isKnown && existing->second.source == Source::discovery;
  const bool isCurrent = isKnown && existing->second.reportedAt == reportedAt &&
                         (source == Source::persistedCopy || isFromDiscovery);
  if (isCurrent) return existing->second.monotonicAt;
  const Micros earliest = isFromDiscovery ? existing->second.monotonicAt : 1;
  const Micros monotonicAt = std::max(earliest, mapStart(reportedAt, source, now));
  starts_[name] = {reportedAt, monotonicAt, source};
  return monotonicAt;
}

Micros StartTimes::latestKnownStart(const std::string& name) const {
  const auto existing = starts_.find(name);
  return existing == starts_.end() ? 0 : existing->second.monotonicAt;
}

// If every start is ahead of this machine's wall clock, the wall clock is assumed to be behind, and the
// latest start is used.
void StartTimes::updateClockOffset(const EndpointMap& endpoints, Micros now, UnixTime wallNow) {
  std::optional<Micros> latestPlausible;
  std::optional<Micros> latest;
  for (const auto& [name, endpoint] : endpoints) {
    if (!endpoint.startedAt.isKnown()) continue;
    const Micros reportedStart = endpoint.startedAt.sinceEpoch;
    latest = std::max(latest.value_or(reportedStart), reportedStart);
    if (reportedStart <= wallNow.sinceEpoch + kMaxClockLead)
      latestPlausible = std::max(latestPlausible.value_or(reportedStart), reportedStart);
  }
  const auto reference = latestPlausible ? latestPlausible : latest;
  if (reference) clockOffset_ = std::min(clockOffset_.value_or(now - *reference), now - *reference);
}

// The result is at least 1, as 0 means long ago.
Micros StartTimes::mapStart(UnixTime reportedAt, Source source, Micros now) const {
  const Micros mapped = clockOffset_ ? reportedAt.sinceEpoch + *clockOffset_ : now;
  const Micros earliest =
      source == Source::persistedCopy ? 1 : std::max<Micros>(1, lastContactAt_.value_or(1) - kMaxReportDelay);
  return std::clamp(mapped, std::min(earliest, now), std::max<Micros>(1, now));
}

void StartTimes::limitUnlisted(const EndpointMap& listed) {
  if (starts_.size() <= listed.size() + kMaxUnlisted) return;
  std::erase_if(starts_, [&](const auto& entry) { return !listed.contains(entry.first); });
}

}  // namespace garnethook::membership
