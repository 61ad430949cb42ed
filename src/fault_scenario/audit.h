// The five rules, checked from what went over the sockets at clients and engines. Shares nothing with the
// router: a request is known by a marker in its prompt, and all times are the recording's.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace garnethook::fault_scenario {

struct AuditRules {
  std::int64_t deadlineSlack = 20'000;  // rule 1: after the client's deadline, in microseconds
  std::int64_t overlapSlack = 60'000;   // rule 2: an engine may see the end of an attempt later than the next
                                        // engine sees its beginning
  std::int64_t drainGrace = 500'000;    // rule 3: from the list's change to the last new work
  std::int64_t kvReleaseTimeout = 500'000;  // rule 5
  std::int64_t releaseSlack = 60'000;
};

struct AuditReport {
  std::vector<std::string> violations;
  std::map<std::string, std::uint64_t> counts;  // finals by code, attempts, states, ...
  std::int64_t slowestRelease = 0;              // of a state without an attempt out, in microseconds
  bool passed() const { return violations.empty(); }
};

// Events in order of time; see docs/drill.md for their fields. What is not known is passed over.
AuditReport audit(const std::vector<nlohmann::json>& events, const AuditRules& rules);

}  // namespace garnethook::fault_scenario
