// The peers of a soak. Each function is the main loop of its own process and runs until the soak run ends.
#pragma once

#include <string>

#include "event_log.h"
#include "plan.h"

namespace garnethook::soak {

/// Options of a peer process: the run's folder contains the plan and receives the peer's events.
struct PeerOptions {
  std::string folder;
  int number = 0;

  Plan plan() const { return Plan::read(folder + "/plan"); }
  std::string logFile(const std::string& name) const { return folder + "/" + name + ".events"; }
  /// File that exists while the platform's frontend considers the router to be in service.
  std::string inService(int router) const { return folder + "/in-service-" + std::to_string(router); }
};

/// Time after the end of the run for which peers keep serving open requests.
inline constexpr Micros kDrainAfterRun = 9 * kSecond;

void runEngine(const PeerOptions& options);
void runProxy(const PeerOptions& options);  ///< `number`: 0 for zone a, 1 for zone b.
void runDiscovery(const PeerOptions& options);
void runClients(const PeerOptions& options);

}  // namespace garnethook::soak
