// Runs a drill on one loop and tells how it went.
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
  std::size_t statesAtEngines = 0;  // held at the end
  std::size_t statesAtRouters = 0;  // that routers still mean to release
  std::size_t openAtRouters = 0;
  bool timedOut = false;             // the drill's own bound
  std::vector<std::string> routers;  // summaries
  std::vector<Micros> firstTokens;   // sorted
  std::uint64_t inTime = 0;          // of them, within the class's aim
  bool passed = false;
};

struct RunOptions {
  std::string folder;     // for the list and the routers' state; must exist
  std::string recording;  // JSON lines; empty: none
  std::string logLevel = "off";
  bool guess = false;  // the routers get no tokenisers, and estimate
};

Result run(const Script& script, const RunOptions& options);
void print(const Result& result, std::ostream& out);

}  // namespace garnethook::fault_scenario
