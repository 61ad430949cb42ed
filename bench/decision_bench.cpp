// Measures the time that the routing policy spends on each request, over all events of the request, by fleet
// size and request rate. Traffic and endpoints are simulated. Prints a table and checks no bounds.
// Usage: decision_bench [ENDPOINTS]
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "policy/traffic_simulation.h"

int main(int argc, char** argv) {
  using namespace garnethook::test;
  std::printf("%9s %10s %14s %10s\n", "endpoints", "requests/s", "us a request", "served");
  std::vector<std::size_t> fleetSizes{10, 100, 200, 400, 1000, 3200};
  if (argc > 1) fleetSizes = {static_cast<std::size_t>(std::atoi(argv[1]))};
  for (const std::size_t endpointCount : fleetSizes)
    for (const double rate : {100.0, 1000.0}) {
      SimulationOptions options;
      options.endpoints = endpointCount;
      options.requestsPerSecond = rate;
      options.durationSeconds = rate < 500 ? 30 : 14;  // longer than the policy keeps its records
      options.measurePolicyTime = true;
      TrafficSimulation simulation(options);
      simulation.run([](auto, const auto&, const auto&) {});
      std::printf("%9zu %10.0f %14.2f %9.1f%%\n", endpointCount, rate,
                  simulation.policySeconds * 1e6 / static_cast<double>(simulation.arrivedRequests),
                  100.0 * static_cast<double>(simulation.completedRequests) /
                      static_cast<double>(simulation.arrivedRequests));
      std::fflush(stdout);
    }
}
