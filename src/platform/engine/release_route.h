// At which engines a release is tried, and when the next one is. Free of I/O.
//
// Any engine takes a release and frees what all of them hold for the request, so one that can't be reached
// need not be waited for: after the engine that holds the state, others are asked, those of its cell first
// (what they hold is theirs to look after too), then any. Those that this router has heard from since it last
// gave up on them come before all others: where a zone is lost or cut off, the holder and its whole cell may
// be silent. Which of equal ones comes first differs between requests, so that a vanished reader's releases
// don't all fall on one engine.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "brain.h"

namespace garnethook::platform {

struct ReleaseCandidate {
  ServerId server;
  std::string cell;
  bool running = true;
  bool sound = true;  // the latest news of it is a word from it
};

constexpr std::size_t kReleaseTargets = 3;

// How long one engine is waited for before the next is asked as well. An answer takes a few milliseconds, and
// all three must have been asked within the time that rule 5 gives.
inline Micros releaseHedge(Micros releaseWithin) { return std::max<Micros>(1, releaseWithin / 8); }

inline std::vector<ServerId> releaseRoute(ServerId holder, std::vector<ReleaseCandidate> listed,
                                          std::uint64_t request) {
  std::string cell;
  bool known = false;
  for (const auto& c : listed)
    if (c.server == holder) {
      cell = c.cell;
      known = true;
    }
  std::sort(listed.begin(), listed.end(), [](const auto& a, const auto& b) { return a.server < b.server; });
  if (!listed.empty())
    std::rotate(listed.begin(), listed.begin() + static_cast<std::ptrdiff_t>(request % listed.size()),
                listed.end());
  std::stable_sort(listed.begin(), listed.end(), [&](const auto& a, const auto& b) {
    const auto rank = [&](const auto& c) {
      return (c.sound ? 0 : 8) + (c.server == holder ? 0 : 4) + (c.running ? 0 : 2) +
             (known && c.cell == cell ? 0 : 1);
    };
    return rank(a) < rank(b);
  });
  std::vector<ServerId> out;
  for (const auto& c : listed)
    if (out.size() < kReleaseTargets) out.push_back(c.server);
  return out;
}

}  // namespace garnethook::platform
