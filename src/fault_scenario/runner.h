// Runs a fault scenario on a single event loop and reports the result.
#pragma once

#include <functional>
#include <memory>
#include <ostream>
#include <string>

#include "fault_scenario/audit.h"
#include "fault_scenario/script.h"

namespace garnethook::fault_scenario {

struct Result {
  AuditReport audit;
  std::uint64_t requests = 0;
  std::uint64_t served = 0;
  std::size_t statesAtEngines = 0;        // KV states held by engines at the end
  std::size_t statesAtRouters = 0;        // KV reservations and pending releases of routers at the end
  std::size_t openRequestsAtRouters = 0;  // at the end
  bool timedOut = false;                  // the scenario exceeded its maximum duration
  std::vector<std::string> routerSummaries;
  std::vector<Micros> timesToFirstToken;  // of served streams, sorted
  std::uint64_t withinTtftObjective = 0;  // served streams that met the TTFT objective of their class
  bool passed = false;
};

struct RunOptions {
  std::string folder;     // for the endpoint list and the routers' state; must exist
  std::string recording;  // path of the JSON lines file; empty: no recording
  std::string logLevel = "off";
  bool estimateTokenCounts = false;  // routers get no tokenisers and estimate token counts
};

Result run(const Script& script, const RunOptions& options);
void print(const Result& result, std::ostream& out);

}  // namespace garnethook::fault_scenario
