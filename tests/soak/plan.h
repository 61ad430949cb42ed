// The plan of a soak, generated from its seed before any process starts: which fault applies to which target,
// and when. Every process reads the same file and acts on its own lines; the oracle reads it to determine
// which faults were active.
#pragma once

#include <algorithm>
#include <array>
#include <fstream>
#include <random>
#include <string>
#include <vector>

#include "event_log.h"

namespace garnethook::soak {

/// One fault: `KIND TARGET FROM UNTIL DETAIL`, with times in microseconds from the start of the run.
struct Fault {
  std::string kind;
  std::string target;
  Micros from = 0;
  Micros until = 0;
  std::string detail = "-";
};

struct Plan {
  std::uint64_t seed = 1;
  Micros start = 0;  ///< Start of the run on the monotonic clock.
  Micros length = 0;
  int routers = 4;
  int prefillEngines = 4;
  int decodeEngines = 5;
  int clients = 3;
  int portBase = 0;
  std::array<int, 3> deadlinesMs{1500, 2500, 2000};  ///< Of the classes chat, keyed, order.
  std::vector<Fault> plannedFaults;

  /// Least time between the termination signal and the platform's kill of the router.
  Micros killAfterSignal() const {
    const Micros longest = *std::max_element(deadlinesMs.begin(), deadlinesMs.end()) * kMillisecond;
    return std::min(longest, 3 * kSecond) + 700 * kMillisecond;
  }

  bool isActive(const std::string& kind, const std::string& target, Micros now) const {
    return findActive(kind, target, now) != nullptr;
  }
  const Fault* findActive(const std::string& kind, const std::string& target, Micros now) const {
    const auto found = std::find_if(plannedFaults.begin(), plannedFaults.end(), [&](const Fault& fault) {
      return fault.kind == kind && fault.target == target && now - start >= fault.from &&
             now - start < fault.until;
    });
    return found == plannedFaults.end() ? nullptr : &*found;
  }
  std::vector<Fault> faultsOfKind(const std::string& kind) const {
    std::vector<Fault> result;
    std::copy_if(plannedFaults.begin(), plannedFaults.end(), std::back_inserter(result),
                 [&](const Fault& fault) { return fault.kind == kind; });
    return result;
  }
  int engines() const { return prefillEngines + decodeEngines; }
  bool isPrefillEngine(int engine) const { return engine < prefillEngines; }
  std::string zone(int engine) const { return engine % 2 == 0 ? "a" : "b"; }

  // Ports, all on loopback: routers, engines, and one proxy port for each engine.
  int routerPort(int router) const { return portBase + router; }
  int discoveryPort(int discovery) const { return portBase + 50 + discovery; }
  int enginePort(int engine) const { return portBase + 100 + engine; }
  int proxyPort(int engine) const { return portBase + 200 + engine; }
  /// Each router connects to engines and discovery from its own address, which identifies it to them.
  static std::string sourceAddressOf(int router) { return "127.0.0." + std::to_string(10 + router); }
  static int routerOf(const std::string& address) {
    return std::stoi(address.substr(address.rfind('.') + 1)) - 10;
  }

  void write(const std::string& path) const {
    std::ofstream file(path);
    file << "seed " << seed << "\nstart " << start << "\nlength " << length << "\nrouters " << routers
         << "\nprefill " << prefillEngines << "\ndecode " << decodeEngines << "\nclients " << clients
         << "\nports " << portBase << "\ndeadlines " << deadlinesMs[0] << ' ' << deadlinesMs[1] << ' '
         << deadlinesMs[2] << "\n";
    for (const Fault& fault : plannedFaults)
      file << "trouble " << fault.kind << ' ' << fault.target << ' ' << fault.from << ' ' << fault.until
           << ' ' << fault.detail << "\n";
  }
  static Plan read(const std::string& path) {
    Plan result;
    std::ifstream file(path);
    if (!file) throw std::runtime_error("can't read " + path);
    for (std::string word; file >> word;) {
      if (word == "seed") file >> result.seed;
      if (word == "start") file >> result.start;
      if (word == "length") file >> result.length;
      if (word == "routers") file >> result.routers;
      if (word == "prefill") file >> result.prefillEngines;
      if (word == "decode") file >> result.decodeEngines;
      if (word == "clients") file >> result.clients;
      if (word == "ports") file >> result.portBase;
      if (word == "deadlines")
        file >> result.deadlinesMs[0] >> result.deadlinesMs[1] >> result.deadlinesMs[2];
      if (word != "trouble") continue;
      Fault fault;
      file >> fault.kind >> fault.target >> fault.from >> fault.until >> fault.detail;
      result.plannedFaults.push_back(fault);
    }
    return result;
  }
};

/// Generates the plan of one run. Two or three faults overlap in time.
Plan generatePlan(std::uint64_t seed, Micros length, int portBase);

/// Time limits of the rules; the routers' settings specify the same values.
struct Limits {
  static constexpr Micros drainGrace = 1500 * kMillisecond;
  static constexpr Micros releaseWithin = 500 * kMillisecond;
  static constexpr Micros deduplicationWindow = 1500 * kMillisecond;
  static constexpr Micros listUpdateWithin = 6 * kSecond;
  static constexpr Micros lateAfterSignal = 700 * kMillisecond;  // later requests are lost at the kill
  static constexpr Micros answerSlack = 500 * kMillisecond;      // later answers count as lost
  static constexpr Micros releaseSlack = 300 * kMillisecond;
  static constexpr Micros timingSlack = 50 * kMillisecond;
  static constexpr Micros clientLeftSlack = 100 * kMillisecond;  // from a client's close to the last attempt
  static constexpr Micros deadlineSlack = 150 * kMillisecond;
  static constexpr Micros eventSlack = 300 * kMillisecond;
};

}  // namespace garnethook::soak
