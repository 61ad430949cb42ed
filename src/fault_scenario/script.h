// Settings of a fault scenario: routers, a fleet of fake engines, the load of the clients, and the faults
// with their times. Read from JSON with comments; docs/drill.md lists the keys.
#pragma once

#include <string>
#include <vector>

#include "config/json_file.h"
#include "fake_engine/fleet.h"
#include "fault_scenario/audit.h"
#include "server/settings.h"

namespace garnethook::fault_scenario {

struct LoadClass {
  std::string name;
  double share = 1;
  std::uint32_t promptTokens = 200;  // mean length of the text after the shared prefix (log-normal)
  double promptSpread = 0.6;
  std::uint32_t sharedPrefixes = 8;  // number of distinct shared prefixes
  std::uint32_t sharedPrefixTokens = 800;
  double sharedPrefixShare = 0.8;   // share of requests that start with a shared prefix
  std::uint32_t outputTokens = 64;  // maximum
  std::size_t textKind = 0;  // index in kTextKinds; prompts have four characters for each requested token
  Micros deadline = 5'000'000;
};

inline constexpr const char* kTextKinds[] = {"letters", "digits", "runs"};

struct Load {
  std::vector<LoadClass> classes;
  std::uint64_t requests = 1000;
  double requestsPerSecond = 100;
  double cancelShare = 0;  // share of requests that the client cancels at a random time within cancelWithin
  Micros cancelWithin = 500'000;
  int retries = 0;  // maximum per request, after a rejection or a lost connection
  bool honourRetryAfter = true;
  double unaryShare = 0.1;
  std::size_t channels = 4;  // connections to each router
};

struct Fault {
  Micros start = 0;     // since the start of the scenario
  Micros duration = 0;  // 0: until the end
  std::string action;
  std::vector<std::string> engines;
  std::string zone;
  std::size_t router = 0;
  double size = 1;  // a factor, number of tokens, milliseconds or a seed, depending on the action
};

struct Script {
  std::uint64_t seed = 1;
  server::RouterSettings settings;
  std::vector<std::string> routerZones;
  std::vector<fake_engine::EngineOptions> fleet;
  Load load;
  std::vector<Fault> faults;
  Micros listDelay = 200'000;
  Micros settleTime = 3'000'000;     // between the last response and the audit
  Micros maxDuration = 120'000'000;  // the scenario fails when it takes longer
  AuditRules rules;
  std::vector<std::uint64_t> tokeniserSeeds;  // the routers get tokeniser files generated from these seeds
  double minServedShare = 0;                  // share of requests; the scenario fails below it
};

// Throws config::Error. `listPath`: path to which the endpoint list of the fleet is written.
Script readScript(const std::shared_ptr<const config::JsonFile>& file, const std::string& listPath);

}  // namespace garnethook::fault_scenario
