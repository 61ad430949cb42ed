#include "membership/start_times.h"

#include <algorithm>

namespace garnethook::membership {

EndpointMap StartTimes::date(const EndpointMap& entries, bool remembered, Micros now, Micros unixNow) {
  learn(entries, now, unixNow);
  EndpointMap out = entries;
  for (auto& [name, engine] : out) {
    if (engine.startedAt == 0) continue;
    const auto known = dates_.find(name);
    const bool stands = known != dates_.end() && known->second.told == engine.startedAt &&
                        (remembered || !known->second.remembered);
    if (!stands) dates_[name] = {engine.startedAt, fresh(engine.startedAt, remembered, now), remembered};
    engine.startedAt = dates_[name].at;
  }
  if (!remembered) heardAt_ = now;
  return out;
}

// Where every start lies ahead of this machine's wall clock, it is that clock which is behind.
void StartTimes::learn(const EndpointMap& entries, Micros now, Micros unixNow) {
  std::optional<Micros> latest;
  std::optional<Micros> latestOfAll;
  for (const auto& [name, engine] : entries) {
    if (engine.startedAt == 0) continue;
    latestOfAll = std::max(latestOfAll.value_or(engine.startedAt), engine.startedAt);
    if (engine.startedAt <= unixNow + kMostAhead)
      latest = std::max(latest.value_or(engine.startedAt), engine.startedAt);
  }
  const auto evidence = latest ? latest : latestOfAll;
  if (evidence) offset_ = std::min(offset_.value_or(now - *evidence), now - *evidence);
}

// 0 would mean long ago.
Micros StartTimes::fresh(Micros told, bool remembered, Micros now) const {
  const Micros mapped = offset_ ? told + *offset_ : now;
  const Micros earliest = remembered ? 1 : std::max<Micros>(1, heardAt_.value_or(1) - kToldLate);
  return std::clamp(mapped, std::min(earliest, now), std::max<Micros>(1, now));
}

void StartTimes::keepOnly(const EndpointMap& listed) {
  std::erase_if(dates_, [&](const auto& item) { return !listed.contains(item.first); });
}

}  // namespace garnethook::membership
