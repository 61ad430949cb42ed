#include "membership/start_times.h"

#include <algorithm>

namespace garnethook::membership {

using timing::UnixTime;

MonotonicStartTimes StartTimes::toMonotonic(const EndpointMap& endpoints, Source source, Micros now,
                                            UnixTime wallNow) {
  updateClockOffset(endpoints, now, wallNow);
  MonotonicStartTimes startTimes;
  for (const auto& [name, endpoint] : endpoints)
    startTimes[name] =
        endpoint.startedAt.isKnown() ? mappedStart(name, endpoint.startedAt, source, now).monotonicAt : 0;
  if (source == Source::discovery) lastContactAt_ = now;
  return startTimes;
}

const StartTimes::MappedStart& StartTimes::mappedStart(const std::string& name, UnixTime reportedAt,
                                                       Source source, Micros now) {
  const auto known = starts_.find(name);
  const bool isCurrent = known != starts_.end() && known->second.reportedAt == reportedAt &&
                         (source == Source::persistedCopy || known->second.source == Source::discovery);
  if (isCurrent) return known->second;
  return starts_[name] = {reportedAt, mapStart(reportedAt, source, now), source};
}

// Where every start lies ahead of this machine's wall clock, it is that clock which is behind.
void StartTimes::updateClockOffset(const EndpointMap& endpoints, Micros now, UnixTime wallNow) {
  std::optional<Micros> latestCredible;
  std::optional<Micros> latest;
  for (const auto& [name, endpoint] : endpoints) {
    if (!endpoint.startedAt.isKnown()) continue;
    const Micros reported = endpoint.startedAt.sinceEpoch;
    latest = std::max(latest.value_or(reported), reported);
    if (reported <= wallNow.sinceEpoch + kMaxClockLead)
      latestCredible = std::max(latestCredible.value_or(reported), reported);
  }
  const auto evidence = latestCredible ? latestCredible : latest;
  if (evidence) clockOffset_ = std::min(clockOffset_.value_or(now - *evidence), now - *evidence);
}

// The result is at least 1, as 0 means long ago.
Micros StartTimes::mapStart(UnixTime reportedAt, Source source, Micros now) const {
  const Micros mapped = clockOffset_ ? reportedAt.sinceEpoch + *clockOffset_ : now;
  const Micros earliest =
      source == Source::persistedCopy ? 1 : std::max<Micros>(1, lastContactAt_.value_or(1) - kMaxReportDelay);
  return std::clamp(mapped, std::min(earliest, now), std::max<Micros>(1, now));
}

void StartTimes::retainOnly(const EndpointMap& listed) {
  std::erase_if(starts_, [&](const auto& item) { return !listed.contains(item.first); });
}

}  // namespace garnethook::membership
