// The plan of a soak, drawn from its seed before anything starts: who does what, and when. Every process
// reads the same file and acts on its own lines; the oracle reads it to know what was in force.
#pragma once

#include <algorithm>
#include <array>
#include <fstream>
#include <random>
#include <string>
#include <vector>

#include "event_log.h"

namespace garnethook::soak {

/// One trouble: `KIND WHO FROM UNTIL DETAIL`, times in microseconds from the start of the day.
struct Trouble {
  std::string kind;
  std::string who;
  Micros from = 0;
  Micros until = 0;
  std::string detail = "-";
};

struct Plan {
  std::uint64_t seed = 1;
  Micros start = 0;  ///< Monotonic time of the day's beginning.
  Micros length = 0;
  int routers = 4;
  int prefillEngines = 4;
  int decodeEngines = 5;
  int clients = 3;
  int portBase = 0;
  std::array<int, 3> deadlinesMs{1500, 2500, 2000};  ///< Of the classes chat, keyed, order.
  std::vector<Trouble> troubles;

  /// The platform kills a router that was told to end no sooner than this after the signal.
  Micros killAfterSignal() const {
    const Micros longest = *std::max_element(deadlinesMs.begin(), deadlinesMs.end()) * kMillisecond;
    return std::min(longest, 3 * kSecond) + 700 * kMillisecond;
  }

  bool active(const std::string& kind, const std::string& who, Micros now) const {
    return find(kind, who, now) != nullptr;
  }
  const Trouble* find(const std::string& kind, const std::string& who, Micros now) const {
    const auto at = std::find_if(troubles.begin(), troubles.end(), [&](const Trouble& t) {
      return t.kind == kind && t.who == who && now - start >= t.from && now - start < t.until;
    });
    return at == troubles.end() ? nullptr : &*at;
  }
  std::vector<Trouble> of(const std::string& kind) const {
    std::vector<Trouble> out;
    std::copy_if(troubles.begin(), troubles.end(), std::back_inserter(out),
                 [&](const Trouble& t) { return t.kind == kind; });
    return out;
  }
  int engines() const { return prefillEngines + decodeEngines; }
  bool prefills(int engine) const { return engine < prefillEngines; }
  std::string zone(int engine) const { return engine % 2 == 0 ? "a" : "b"; }

  // Ports, all on loopback: routers, engines, and one proxy port for each engine.
  int routerPort(int router) const { return portBase + router; }
  int discoveryPort(int discovery) const { return portBase + 50 + discovery; }
  int enginePort(int engine) const { return portBase + 100 + engine; }
  int proxyPort(int engine) const { return portBase + 200 + engine; }
  /// Each router reaches engines and discovery at an address of its own, which tells them who comes.
  static std::string addressFor(int router) { return "127.0.0." + std::to_string(10 + router); }
  static int routerOf(const std::string& address) {
    return std::stoi(address.substr(address.rfind('.') + 1)) - 10;
  }

  void write(const std::string& path) const {
    std::ofstream file(path);
    file << "seed " << seed << "\nstart " << start << "\nlength " << length << "\nrouters " << routers
         << "\nprefill " << prefillEngines << "\ndecode " << decodeEngines << "\nclients " << clients
         << "\nports " << portBase << "\ndeadlines " << deadlinesMs[0] << ' ' << deadlinesMs[1] << ' '
         << deadlinesMs[2] << "\n";
    for (const Trouble& t : troubles)
      file << "trouble " << t.kind << ' ' << t.who << ' ' << t.from << ' ' << t.until << ' ' << t.detail
           << "\n";
  }
  static Plan read(const std::string& path) {
    Plan out;
    std::ifstream file(path);
    if (!file) throw std::runtime_error("can't read " + path);
    for (std::string word; file >> word;) {
      if (word == "seed") file >> out.seed;
      if (word == "start") file >> out.start;
      if (word == "length") file >> out.length;
      if (word == "routers") file >> out.routers;
      if (word == "prefill") file >> out.prefillEngines;
      if (word == "decode") file >> out.decodeEngines;
      if (word == "clients") file >> out.clients;
      if (word == "ports") file >> out.portBase;
      if (word == "deadlines") file >> out.deadlinesMs[0] >> out.deadlinesMs[1] >> out.deadlinesMs[2];
      if (word != "trouble") continue;
      Trouble t;
      file >> t.kind >> t.who >> t.from >> t.until >> t.detail;
      out.troubles.push_back(t);
    }
    return out;
  }
};

/// Draws a day. Troubles are laid so that two or three of them overlap in time.
Plan drawPlan(std::uint64_t seed, Micros length, int portBase);

/// The times within which the rules hold; the routers' settings tell the same.
struct Terms {
  static constexpr Micros drainGrace = 1500 * kMillisecond;
  static constexpr Micros releaseWithin = 500 * kMillisecond;
  static constexpr Micros repeatWindow = 1500 * kMillisecond;
  static constexpr Micros toldWithin = 6 * kSecond;
  static constexpr Micros lateAfterSignal = 700 * kMillisecond;  // what comes later is lost at the kill
  static constexpr Micros answerSlack = 500 * kMillisecond;      // later than this an answer is lost
  static constexpr Micros heldSlack = 300 * kMillisecond;
  static constexpr Micros ruleSlack = 50 * kMillisecond;
  static constexpr Micros leftSlack = 100 * kMillisecond;  // from a client's close to the last attempt
  static constexpr Micros deadlineSlack = 150 * kMillisecond;
  static constexpr Micros eventSlack = 300 * kMillisecond;
};

}  // namespace garnethook::soak
