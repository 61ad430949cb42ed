// Checks the platform's rules as invariants over the events that the processes of a soak logged. Performs no
// I/O and reads no clock.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "event_log.h"
#include "plan.h"

namespace garnethook::soak {

struct Violation {
  Micros at = 0;  ///< Relative to the start of the run.
  std::string rule;
  std::string text;
};

struct Verdict {
  std::vector<Violation> violations;
  std::map<std::string, int> counts;  ///< Number of requests by result, and number of attempts.
};

/// Checks a whole run. `events` are those of all processes, in any order.
Verdict checkInvariants(const Plan& plan, std::vector<LoggedEvent> events);

}  // namespace garnethook::soak
