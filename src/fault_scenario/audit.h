// Checks the five rules against a recording of the traffic at clients and engines. Shares no code with the
// router: requests are matched by a marker in the prompt, and all times are those of the recording.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace garnethook::fault_scenario {

// Tolerances of the rules, in microseconds.
struct AuditRules {
  std::int64_t deadlineSlack = 20'000;  // rule 1: allowed delay after the client's deadline
  std::int64_t overlapSlack = 60'000;   // rule 2: an engine may observe the end of an attempt later than the
                                        // next engine observes the start of the following one
  std::int64_t drainGrace = 500'000;    // rule 3: from the endpoint list's change to the last new attempt
  std::int64_t kvReleaseTimeout = 500'000;  // rule 5
  std::int64_t releaseSlack = 60'000;
};

struct AuditReport {
  std::vector<std::string> violations;
  std::map<std::string, std::uint64_t> counts;  // final responses by status code, attempts, KV states, ...
  std::int64_t longestIdleStateTime = 0;        // KV state held with no attempt in flight, in microseconds
  bool passed() const { return violations.empty(); }
};

// Expects events in order of time; docs/drill.md lists their fields. Unknown events are ignored.
AuditReport audit(const std::vector<nlohmann::json>& events, const AuditRules& rules);

}  // namespace garnethook::fault_scenario
