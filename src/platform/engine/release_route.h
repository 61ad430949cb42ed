// At which engines a release is tried, and when the next one is. Free of I/O.
//
// Any engine takes a release and frees what all of them hold for the request, so one that can't be reached
// need not be waited for: after the engine that holds the state others are asked, one of each zone in turn,
// this router's own zone first. Guards against a zone that is lost or cut off, where the holder, its cell and
// all that was heard of there a moment ago are silent. Within a zone those that this router has heard come
// first, then those that it never met, then those that it gave up on, so that each further round of the same
// release meets others; of equal ones those of the holder's cell (what they hold is theirs to look after
// too). Which of equal ones comes first differs between requests, so that a vanished reader's releases don't
// all fall on one engine.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

#include "engine/word.h"
#include "policy/routing_policy.h"

namespace garnethook::platform {

struct ReleaseCandidate {
  EndpointId endpoint;
  std::string_view cell;
  std::string_view zone;
  bool running = true;
  engine::Word word = engine::Word::heard;
};

// How long one engine is waited for before the next is asked as well. An answer takes a few milliseconds, and
// all must have been asked within the time that rule 5 gives.
constexpr std::size_t kReleaseTargets = 8;
inline Micros releaseHedge(Micros kvReleaseTimeout) {
  return std::max<Micros>(1, kvReleaseTimeout / static_cast<Micros>(kReleaseTargets));
}

// Of a large fleet so many are looked at, in order of ids from a place that differs between requests.
constexpr std::size_t kReleaseWindow = 128;

// Which of the listed engines (in order of ids) are looked at for a release: all, or kReleaseWindow and the
// holder where it is listed.
inline std::vector<EndpointId> releaseWindow(const std::vector<EndpointId>& listed, EndpointId holder,
                                             std::uint64_t request) {
  if (listed.size() <= kReleaseWindow) return listed;
  std::vector<EndpointId> out;
  // Requests count up by one: a step apart, they look at other parts.
  const std::size_t from = request * kReleaseWindow % listed.size();
  for (std::size_t i = 0; i < kReleaseWindow; ++i) out.push_back(listed[(from + i) % listed.size()]);
  if (std::binary_search(listed.begin(), listed.end(), holder) &&
      std::find(out.begin(), out.end(), holder) == out.end())
    out.push_back(holder);
  return out;
}

// At most kReleaseTargets of those listed, each once, in the order in which they are to be asked.
inline std::vector<EndpointId> releaseRoute(EndpointId holder, std::string_view ownZone,
                                            std::vector<ReleaseCandidate> listed, std::uint64_t request) {
  const auto known =
      std::find_if(listed.begin(), listed.end(), [&](const auto& c) { return c.endpoint == holder; });
  const bool cellKnown = known != listed.end();
  const std::string_view cell = cellKnown ? known->cell : std::string_view();
  std::sort(listed.begin(), listed.end(),
            [](const auto& a, const auto& b) { return a.endpoint < b.endpoint; });
  if (!listed.empty())
    std::rotate(listed.begin(), listed.begin() + static_cast<std::ptrdiff_t>(request % listed.size()),
                listed.end());
  const auto rank = [&](const ReleaseCandidate& c) {
    return static_cast<int>(c.word) * 8 + (c.endpoint == holder ? 0 : 4) + (c.running ? 0 : 2) +
           (cellKnown && c.cell == cell ? 0 : 1);
  };
  std::stable_sort(listed.begin(), listed.end(),
                   [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  std::vector<EndpointId> out;
  const auto room = [&] { return out.size() < kReleaseTargets; };
  std::map<std::pair<bool, std::string_view>, std::vector<EndpointId>> zones;  // own zone first
  for (const auto& c : listed)
    if (c.endpoint == holder && c.word == engine::Word::heard)
      out.push_back(c.endpoint);
    else
      zones[{c.zone != ownZone, c.zone}].push_back(c.endpoint);
  for (std::size_t turn = 0; room() && turn < listed.size(); ++turn)
    for (const auto& [zone, servers] : zones)
      if (turn < servers.size() && room()) out.push_back(servers[turn]);
  return out;
}

}  // namespace garnethook::platform
