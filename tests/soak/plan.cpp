#include "plan.h"

namespace garnethook::soak {
namespace {

// Draws troubles one after another; each begins while the one before it is still in force.
class Drawing {
 public:
  Drawing(Plan& plan, std::uint64_t seed) : plan_(plan), random_(seed) {}

  void draw() {
    Micros at = 800 * kMillisecond;
    while (at < plan_.length - 1500 * kMillisecond) {
      const Micros lasts = between(600, 2500) * kMillisecond;
      add(at, at + lasts);
      if (chance(0.5)) add(at + lasts / 3, at + lasts);
      at += lasts / 2;
    }
  }

 private:
  Micros between(Micros low, Micros high) {
    return low + static_cast<Micros>(random_() % static_cast<std::uint64_t>(high - low + 1));
  }
  bool chance(double share) { return static_cast<double>(random_() >> 11) / 9007199254740992.0 < share; }
  std::string engine() { return "e" + std::to_string(between(0, plan_.engines() - 1)); }
  std::string prefillEngine() { return "e" + std::to_string(between(0, plan_.prefillEngines - 1)); }
  std::string router() { return "r" + std::to_string(between(0, plan_.routers - 1)); }
  std::string zone() { return chance(0.5) ? "a" : "b"; }
  void put(const std::string& kind, const std::string& who, Micros from, Micros until,
           const std::string& detail = "-") {
    plan_.troubles.push_back({kind, who, from, until, detail});
  }
  // The same router is not stopped again before it is back, and no engine leaves twice.
  bool once(const std::string& kind, const std::string& who) {
    return std::none_of(plan_.troubles.begin(), plan_.troubles.end(),
                        [&](const Trouble& t) { return t.kind == kind && t.who == who; });
  }
  bool routerBusy(const std::string& who, Micros from) {
    return std::any_of(plan_.troubles.begin(), plan_.troubles.end(), [&](const Trouble& t) {
      return (t.kind == "term" || t.kind == "kill") && t.who == who && std::abs(t.from - from) < 7 * kSecond;
    });
  }
  void stop(const std::string& kind, Micros from) {
    const std::string who = router();
    if (!routerBusy(who, from)) put(kind, who, from, from + 7 * kSecond);
  }
  // Signals in quick succession: a new configuration, half a one, a pause, and the end, twice.
  void series(Micros from) {
    const std::string who = router();
    if (routerBusy(who, from)) return;
    put("hup", who, from, from, "d1");
    put(chance(0.5) ? "badhup" : "hup", who, from + between(0, 60) * kMillisecond, from, "d0");
    if (chance(0.5)) put("pause", who, from + 70 * kMillisecond, from + between(90, 200) * kMillisecond);
    const Micros endsAt = from + between(210, 600) * kMillisecond;
    put("term", who, endsAt, endsAt + 7 * kSecond);
    put("hup", who, endsAt + between(1, 300) * kMillisecond, endsAt, "d1");
    put("term-again", who, endsAt + between(1, 900) * kMillisecond, endsAt);
  }
  void add(Micros from, Micros until) {
    switch (between(0, 27)) {
      case 0: return put("hang", engine(), from, until);
      case 1: return put("refuse", engine(), from, until);
      case 2: return put("reset", engine(), from, until);
      case 3: return put("spoil", engine(), from, until);
      case 4: return put("silent", engine(), from, until);
      case 5: return put("cut", zone(), from, std::min(until, from + 1500 * kMillisecond));
      case 6: return put("quiet", "d0", from, until + 1500 * kMillisecond);
      case 7: return put("down", "d0", from, until);
      case 8: return put("dropped", "d0", from, until);
      case 9: return leave(from);
      case 10: return leave(from);
      case 11:
      case 12: return stop("term", from);
      case 13: return stop("kill", from);
      case 14: return put("hup", router(), from, from, chance(0.5) ? "d1" : "d0");
      case 15: return put("badhup", router(), from, from);
      case 16: return put("pause", router(), from, from + between(20, 140) * kMillisecond);
      case 17: return put("late", "d0", from, until + 2500 * kMillisecond);
      case 18: return put("forget", engine(), from, until);
      case 19: return put("crowd", router(), from, until);
      case 20: return restart(from);
      case 21: return put("slow", engine(), from, until);
      case 22: return put("slow", prefillEngine(), from, until);
      case 23: return put("held", engine(), from, until);
      case 24: return put("deaf", engine(), from, until);
      case 25: return put("deaf", "all", from, from + 50 * kMillisecond);
      case 26: return series(from);
      default: return put("rude", "clients", from, until);
    }
  }
  // An engine drains, and is gone a while later; at least two of each role stay.
  void leave(Micros from) {
    const std::string who = engine();
    const int number = std::stoi(who.substr(1));
    const int role = plan_.prefills(number) ? 0 : 1;
    if (left_[role] >= 2 || !once("drain", who)) return;
    ++left_[role];
    const Micros goneAt = chance(0.7) ? from + between(300, 4000) * kMillisecond : plan_.length * 2;
    put("drain", who, from, goneAt);
    put("gone", who, goneAt, plan_.length * 3);
  }

  // An engine is killed and comes back cold, under its old name with another start.
  void restart(Micros from) {
    const std::string who = engine();
    if (once("restart", who)) put("restart", who, from, from + 300 * kMillisecond);
  }

  Plan& plan_;
  std::mt19937_64 random_;
  int left_[2] = {0, 0};
};

}  // namespace

Plan drawPlan(std::uint64_t seed, Micros length, int portBase) {
  Plan plan;
  plan.seed = seed;
  plan.length = length;
  plan.portBase = portBase;
  // Every third day has short deadlines, so that the kill comes soon; every fifth has a crowd all day.
  if (seed % 3 == 0) plan.deadlinesMs = {500, 900, 700};
  if (seed % 5 == 0) {
    plan.clients = 5;
    plan.troubles.push_back({"crowd", "r" + std::to_string(seed / 5 % 4), kSecond, length, "-"});
  }
  Drawing(plan, seed).draw();
  return plan;
}

}  // namespace garnethook::soak
