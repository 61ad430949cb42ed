// A drill: routers, a fleet of stand-ins, clients, and what goes wrong when. JSON with comments;
// docs/drill.md lists the keys.
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
  std::uint32_t promptTokens = 200;  // of one's own text, on average (log-normal)
  double promptSpread = 0.6;
  std::uint32_t beginnings = 8;  // texts that are shared
  std::uint32_t beginningTokens = 800;
  double beginningShare = 0.8;      // of requests that begin with one of them
  std::uint32_t outputTokens = 64;  // ceiling
  std::size_t textKind = 0;  // of kTexts: what prompts are made of, four characters for each token asked for
  Micros deadline = 5'000'000;
};

inline constexpr const char* kTexts[] = {"letters", "digits", "runs"};

struct Load {
  std::vector<LoadClass> classes;
  std::uint64_t requests = 1000;
  double perSecond = 100;
  double cancelShare = 0;  // given up by the client at a random moment within cancelWithin
  Micros cancelWithin = 500'000;
  int retries = 0;  // after a refusal or a lost connection
  bool honourHints = true;
  double unaryShare = 0.1;
  std::size_t channels = 4;  // connections to each router
};

struct Fault {
  Micros at = 0;
  Micros length = 0;  // 0: for good
  std::string what;
  std::vector<std::string> engines;
  std::string zone;
  std::size_t router = 0;
  double size = 1;
};

struct Script {
  std::uint64_t seed = 1;
  server::RouterSettings settings;
  std::vector<std::string> routerZones;
  std::vector<fake_engine::EngineOptions> fleet;
  Load load;
  std::vector<Fault> faults;
  Micros listDelay = 200'000;
  Micros settle = 3'000'000;  // after the last answer, before the audit
  Micros most = 120'000'000;  // the drill's own bound
  AuditRules rules;
  std::vector<std::uint64_t> madeTokenisers;  // files of these are made for the routers
  double leastServed = 0;                     // share of requests; fewer fail the drill
};

// Throws config::Error. `listPath`: where the fleet's list is written.
Script readScript(const std::shared_ptr<const config::JsonFile>& file, const std::string& listPath);

}  // namespace garnethook::fault_scenario
