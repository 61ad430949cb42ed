// Time inside the routing policy for each request, with all its events, by fleet size and request rate.
// Simulated world, real policy. Prints a table; asserts nothing. Usage: decision_bench [ENDPOINTS]
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "policy/traffic_simulation.h"

int main(int argc, char** argv) {
  using namespace garnethook::test;
  std::printf("%9s %10s %14s %10s\n", "endpoints", "requests/s", "us a request", "served");
  std::vector<std::size_t> sizes{10, 100, 200, 400, 1000, 3200};
  if (argc > 1) sizes = {static_cast<std::size_t>(std::atoi(argv[1]))};
  for (const std::size_t endpoints : sizes)
    for (const double rate : {100.0, 1000.0}) {
      SimulationOptions options;
      options.endpoints = endpoints;
      options.perSecond = rate;
      options.seconds = rate < 500 ? 30 : 14;  // longer than the policy remembers
      options.timed = true;
      TrafficSimulation world(options);
      world.play([](auto, const auto&, const auto&) {});
      std::printf("%9zu %10.0f %14.2f %9.1f%%\n", endpoints, rate,
                  world.seconds * 1e6 / static_cast<double>(world.requests),
                  100.0 * static_cast<double>(world.served) / static_cast<double>(world.requests));
      std::fflush(stdout);
    }
}
