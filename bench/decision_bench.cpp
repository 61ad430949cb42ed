// Time inside the decision module for each request, with all its events, by fleet size and request rate.
// Simulated world, real module. Prints a table; asserts nothing. Usage: decision_bench [SERVERS]
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "policy/busy_world.h"

int main(int argc, char** argv) {
  using namespace garnethook::test;
  std::printf("%8s %10s %14s %10s\n", "servers", "requests/s", "us a request", "served");
  std::vector<std::size_t> sizes{10, 100, 200, 400, 1000, 3200};
  if (argc > 1) sizes = {static_cast<std::size_t>(std::atoi(argv[1]))};
  for (const std::size_t servers : sizes)
    for (const double rate : {100.0, 1000.0}) {
      BusyOptions o;
      o.servers = servers;
      o.perSecond = rate;
      o.seconds = rate < 500 ? 30 : 14;  // more than what the module remembers
      o.timed = true;
      BusyWorld world(o);
      world.play([](auto, const auto&, const auto&) {});
      std::printf("%8zu %10.0f %14.2f %9.1f%%\n", servers, rate,
                  world.seconds * 1e6 / static_cast<double>(world.requests),
                  100.0 * static_cast<double>(world.served) / static_cast<double>(world.requests));
      std::fflush(stdout);
    }
}
