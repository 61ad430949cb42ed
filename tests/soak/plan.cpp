#include "plan.h"

namespace garnethook::soak {
namespace {

// Generates faults one after another; each begins while the previous one is still active.
class PlanGenerator {
 public:
  PlanGenerator(Plan& plan, std::uint64_t seed) : plan_(plan), random_(seed) {}

  void generate() {
    Micros start = 800 * kMillisecond;
    while (start < plan_.length - 1500 * kMillisecond) {
      const Micros duration = between(600, 2500) * kMillisecond;
      addRandomFault(start, start + duration);
      if (chance(0.5)) addRandomFault(start + duration / 3, start + duration);
      start += duration / 2;
    }
  }

 private:
  Micros between(Micros low, Micros high) {
    return low + static_cast<Micros>(random_() % static_cast<std::uint64_t>(high - low + 1));
  }
  bool chance(double probability) {
    return static_cast<double>(random_() >> 11) / 9007199254740992.0 < probability;
  }
  std::string engine() { return "e" + std::to_string(between(0, plan_.engines() - 1)); }
  std::string prefillEngine() { return "e" + std::to_string(between(0, plan_.prefillEngines - 1)); }
  std::string router() { return "r" + std::to_string(between(0, plan_.routers - 1)); }
  std::string zone() { return chance(0.5) ? "a" : "b"; }
  void addFault(const std::string& kind, const std::string& target, Micros from, Micros until,
                const std::string& detail = "-") {
    plan_.plannedFaults.push_back({kind, target, from, until, detail});
  }
  // Prevents a second stop of a router before it has restarted, and a second drain or restart of the same
  // engine.
  bool isFirst(const std::string& kind, const std::string& target) {
    return std::none_of(plan_.plannedFaults.begin(), plan_.plannedFaults.end(),
                        [&](const Fault& fault) { return fault.kind == kind && fault.target == target; });
  }
  bool hasRecentStop(const std::string& target, Micros from) {
    return std::any_of(plan_.plannedFaults.begin(), plan_.plannedFaults.end(), [&](const Fault& fault) {
      return (fault.kind == "term" || fault.kind == "kill") && fault.target == target &&
             std::abs(fault.from - from) < 7 * kSecond;
    });
  }
  void addRouterStop(const std::string& kind, Micros from) {
    const std::string target = router();
    if (!hasRecentStop(target, from)) addFault(kind, target, from, from + 7 * kSecond);
  }
  // Signals in quick succession: a reload, a reload of a truncated configuration or another valid one, a
  // pause, and two termination signals.
  void addSignalSequence(Micros from) {
    const std::string target = router();
    if (hasRecentStop(target, from)) return;
    addFault("hup", target, from, from, "d1");
    addFault(chance(0.5) ? "badhup" : "hup", target, from + between(0, 60) * kMillisecond, from, "d0");
    if (chance(0.5))
      addFault("pause", target, from + 70 * kMillisecond, from + between(90, 200) * kMillisecond);
    const Micros endsAt = from + between(210, 600) * kMillisecond;
    addFault("term", target, endsAt, endsAt + 7 * kSecond);
    addFault("hup", target, endsAt + between(1, 300) * kMillisecond, endsAt, "d1");
    addFault("term-again", target, endsAt + between(1, 900) * kMillisecond, endsAt);
  }
  void addRandomFault(Micros from, Micros until) {
    switch (between(0, 27)) {
      case 0: return addFault("hang", engine(), from, until);
      case 1: return addFault("refuse", engine(), from, until);
      case 2: return addFault("reset", engine(), from, until);
      case 3: return addFault("spoil", engine(), from, until);
      case 4: return addFault("silent", engine(), from, until);
      case 5: return addFault("cut", zone(), from, std::min(until, from + 1500 * kMillisecond));
      case 6: return addFault("quiet", "d0", from, until + 1500 * kMillisecond);
      case 7: return addFault("down", "d0", from, until);
      case 8: return addFault("dropped", "d0", from, until);
      case 9: return addEndpointDrain(from);
      case 10: return addEndpointDrain(from);
      case 11:
      case 12: return addRouterStop("term", from);
      case 13: return addRouterStop("kill", from);
      case 14: return addFault("hup", router(), from, from, chance(0.5) ? "d1" : "d0");
      case 15: return addFault("badhup", router(), from, from);
      case 16: return addFault("pause", router(), from, from + between(20, 140) * kMillisecond);
      case 17: return addFault("late", "d0", from, until + 2500 * kMillisecond);
      case 18: return addFault("forget", engine(), from, until);
      case 19: return addFault("crowd", router(), from, until);
      case 20: return addEngineRestart(from);
      case 21: return addFault("slow", engine(), from, until);
      case 22: return addFault("slow", prefillEngine(), from, until);
      case 23: return addFault("held", engine(), from, until);
      case 24: return addFault("deaf", engine(), from, until);
      case 25: return addFault("deaf", "all", from, from + 50 * kMillisecond);
      case 26: return addSignalSequence(from);
      default: return addFault("rude", "clients", from, until);
    }
  }
  // An endpoint drains and is removed later; at least two of each role remain.
  void addEndpointDrain(Micros from) {
    const std::string target = engine();
    const int number = std::stoi(target.substr(1));
    const int role = plan_.isPrefillEngine(number) ? 0 : 1;
    if (removedByRole_[role] >= 2 || !isFirst("drain", target)) return;
    ++removedByRole_[role];
    const Micros goneAt = chance(0.7) ? from + between(300, 4000) * kMillisecond : plan_.length * 2;
    addFault("drain", target, from, goneAt);
    addFault("gone", target, goneAt, plan_.length * 3);
  }

  // An engine is killed and restarts cold, under the same name with a new start time.
  void addEngineRestart(Micros from) {
    const std::string target = engine();
    if (isFirst("restart", target)) addFault("restart", target, from, from + 300 * kMillisecond);
  }

  Plan& plan_;
  std::mt19937_64 random_;
  int removedByRole_[2] = {0, 0};
};

}  // namespace

Plan generatePlan(std::uint64_t seed, Micros length, int portBase) {
  Plan plan;
  plan.seed = seed;
  plan.length = length;
  plan.portBase = portBase;
  // Every third seed has short deadlines, so that the kill follows soon after the signal; every fifth has a
  // request overload for the whole run.
  if (seed % 3 == 0) plan.deadlinesMs = {500, 900, 700};
  if (seed % 5 == 0) {
    plan.clients = 5;
    plan.plannedFaults.push_back({"crowd", "r" + std::to_string(seed / 5 % 4), kSecond, length, "-"});
  }
  PlanGenerator(plan, seed).generate();
  return plan;
}

}  // namespace garnethook::soak
