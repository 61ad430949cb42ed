#include "fault_scenario/runner.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

#include "fake_engine/generated_vocabulary.h"
#include "fault_scenario/clients.h"
#include "server/router_server.h"

namespace garnethook::fault_scenario {
namespace {

using fake_engine::Engine;
using fake_engine::Fleet;

// Source addresses tell the zones apart, so that a cut between zones can be played on loopback: routers of
// zone i connect from 127.0.(10 + i).1.
std::string sourceOf(std::size_t zone) { return "127.0." + std::to_string(10 + zone) + ".1"; }

class Run {
 public:
  Run(const Script& script, const RunOptions& options)
      : script_(script),
        options_(options),
        listPath_(options.folder + "/engines.json"),
        recorder_([this] { return loop_.now(); }),
        fleet_(loop_, script.fleet, recorder_),
        clients_(loop_, script, recorder_),
        watch_(loop_) {
    routers_.resize(script.routerZones.size());
    epochs_.resize(script.routerZones.size());
    fleet_.writeList(listPath_, 0);
    for (const Fault& f : script_.faults)
      if (f.what == "tokeniser") {
        auto& made = made_[static_cast<std::uint64_t>(f.size)];
        if (!made) made = fake_engine::generateTokeniser(static_cast<std::uint64_t>(f.size));
      }
    for (const std::uint64_t seed : script_.madeTokenisers)
      std::ofstream(vocabularyPath(seed), std::ios::binary) << fake_engine::generateRanks(seed);
    for (std::size_t i = 0; i < routers_.size(); ++i) startRouter(i);
  }

  Result go() {
    const Micros start = loop_.now();
    for (const Fault& f : script_.faults) {
      loop_.after(f.at, [this, &f] { apply(f, true); });
      if (f.length > 0) loop_.after(f.at + f.length, [this, &f] { apply(f, false); });
    }
    clients_.start();
    until_ = start + script_.most;
    check();
    loop_.run();
    return result();
  }

 private:
  std::string vocabularyPath(std::uint64_t seed) const {
    return options_.folder + "/made-" + std::to_string(seed) + ".tiktoken";
  }

  void startRouter(std::size_t i) {
    server::RouterSettings settings = script_.settings;
    settings.listen = "127.0.0.1:" + std::to_string(ports_.contains(i) ? ports_[i] : 0);
    settings.listPath = listPath_;
    settings.stateFolder = options_.folder + "/router-" + std::to_string(i);
    const auto& zones = settings.names.zones;
    const auto zone = static_cast<std::size_t>(std::find(zones.begin(), zones.end(), script_.routerZones[i]) -
                                               zones.begin());
    settings.routing.settings.ownZone = zone;
    settings.engine.sourceAddress = sourceOf(zone);
    for (const std::uint64_t seed : script_.madeTokenisers) {
      if (options_.guess) break;
      server::TokeniserFile f{{"made", std::to_string(seed)}, vocabularyPath(seed), {}};
      f.options.format = tokeniser::Format::ranks;
      f.options.pattern = "cl100k_base";
      f.options.specialTokens = {{"<|end|>", fake_engine::kGeneratedSpecialTokenId}};
      settings.counting.files.push_back(std::move(f));
    }
    const std::string name = "router-" + std::to_string(i) + "." + std::to_string(epochs_[i]++);
    routers_[i] =
        std::make_unique<server::RouterServer>(loop_, settings, script_.seed + i * 7919 + epochs_[i], name,
                                               log::Log::open(name, "", options_.logLevel));
    recorder_.note("router.started", {{"router", std::to_string(i)}});
    ports_[i] = routers_[i]->address().port();
    clients_.setRouter(i, routers_[i]->address());
  }

  void killRouter(std::size_t i) {
    recorder_.note("router.killed", {{"router", std::to_string(i)}});
    routers_[i].reset();  // its sockets close at once; nothing is said to anybody
  }

  void apply(const Fault& f, bool on) {
    recorder_.note(on ? "fault" : "fault.over", {{"do", f.what}});
    for (const auto& name : f.engines) {
      Engine& e = *fleet_.find(name);
      auto& faults = e.faults;
      if (f.what == "tokeniser" && on) {  // comes back with the made tokeniser of seed `size`
        e.setTokeniser(made_.at(static_cast<std::uint64_t>(f.size)));
        e.stop();
        e.start();
      }
      if (f.what == "silent") {
        faults.silent = on;
        recorder_.note(on ? "engine.cut" : "engine.back", {{"engine", name}});
      } else if (f.what == "slow")
        faults.slow = on ? f.size : 1;
      else if (f.what == "error")
        faults.error = on;
      else if (f.what == "reset") {
        faults.reset = on;  // nobody can tell it anything meanwhile
        recorder_.note(on ? "engine.cut" : "engine.back", {{"engine", name}});
      } else if (f.what == "full")
        faults.full = on;
      else if (f.what == "stall")
        faults.stallAfter = on ? static_cast<int>(f.size) : -1;
      else if (f.what == "die")
        faults.dieAfter = on ? static_cast<int>(f.size) : -1;
      else if (f.what == "trickle")
        e.setTrickle(on ? static_cast<Micros>(f.size * 1000) : 0);
      else if (f.what == "link")
        faults.link = on ? f.size : 1;
      else if (f.what == "bad-http")
        faults.badHttp = on;
      else if (f.what == "huge-event")
        faults.hugeEvent = on;
      else if (f.what == "restart" || f.what == "stop") {
        if (on)
          e.stop();
        else
          e.start();
        // The list tells of the process, late.
        fleet_.setListed(name, on ? Fleet::Listed::gone : Fleet::Listed::running);
      } else if (f.what == "drain")
        fleet_.setListed(name, on ? Fleet::Listed::draining : Fleet::Listed::running);
      else if (f.what == "gone")
        fleet_.setListed(name, on ? Fleet::Listed::absent : Fleet::Listed::running);
      else if (f.what == "undrain")
        fleet_.setListed(name, Fleet::Listed::running);
    }
    if (f.what == "restart" || f.what == "stop" || f.what == "drain" || f.what == "gone" ||
        f.what == "undrain" || f.what == "tokeniser")
      fleet_.writeList(listPath_, script_.listDelay);
    if (f.what == "cut") cut(f.zone, on);
    if (f.what == "burst") clients_.setRate(on ? f.size : 1);
    if (f.what == "kill-router") {
      if (on)
        killRouter(f.router);
      else
        startRouter(f.router);
    }
    if (f.what == "bad-list" || f.what == "empty-list") {
      if (on)
        std::ofstream(listPath_) << (f.what == "bad-list" ? "{ \"engines\": [ { \"name\": \"rea"
                                                          : "{ \"engines\": [] }");
      else
        fleet_.writeList(listPath_, 0);
    }
  }

  // Links between one zone and the others.
  void cut(const std::string& zone, bool on) {
    const auto& zones = script_.settings.names.zones;
    const auto index = static_cast<std::size_t>(std::find(zones.begin(), zones.end(), zone) - zones.begin());
    const std::string inside = sourceOf(index);
    for (const auto& e : fleet_.engines()) {
      const bool here = e->options().zone == zone;
      if (on)
        e->partitionFrom([inside, here](const std::string& host) { return (host == inside) != here; });
      else
        e->partitionFrom(nullptr);
      recorder_.note(on ? "engine.cut" : "engine.back", {{"engine", e->options().name}});
    }
  }

  void check() {
    const Micros now = loop_.now();
    if (!clients_.done())
      doneSince_ = 0;
    else if (doneSince_ == 0)
      doneSince_ = now;
    const bool settled = doneSince_ != 0 && now - doneSince_ >= script_.settle && !repeatReleases();
    timedOut_ = now >= until_;
    if (settled || timedOut_) return loop_.stop();
    watch_.start(50'000, [this] { check(); });
  }

  // Whether routers still repeat releases of attempts that were given up. The day ends after them; a router
  // that never comes to an end with them makes the day time out.
  bool repeatReleases() const {
    return std::any_of(routers_.begin(), routers_.end(), [](const auto& router) {
      return router && router->router().kvReservations().pendingReleaseCount() > 0;
    });
  }

  Result result() {
    Result r;
    r.audit = audit(recorder_.events(), script_.rules);
    r.requests = clients_.started();
    r.served = clients_.served();
    r.statesAtEngines = fleet_.held();
    r.timedOut = timedOut_;
    for (const auto& router : routers_) {
      if (!router) continue;
      const auto& held = router->router().kvReservations();
      r.statesAtRouters += held.reservationCount() + held.pendingReleaseCount();
      r.openAtRouters += router->router().pendingRequests();
      r.routers.push_back(router->summary());
    }
    r.firstTokens = clients_.firstTokens;
    r.inTime = clients_.inTime;
    std::sort(r.firstTokens.begin(), r.firstTokens.end());
    r.passed = r.audit.passed() && !r.timedOut && r.audit.counts["states-left"] == 0 &&
               r.statesAtRouters == 0 && r.openAtRouters == 0 &&
               static_cast<double>(r.served) >= script_.leastServed * static_cast<double>(r.requests);
    if (!options_.recording.empty()) {
      std::ofstream out(options_.recording);
      recorder_.write(out);
    }
    return r;
  }

  const Script& script_;
  const RunOptions& options_;
  std::string listPath_;
  net::Loop loop_;
  fake_engine::Recorder recorder_;
  Fleet fleet_;
  std::vector<std::unique_ptr<server::RouterServer>> routers_;
  std::vector<std::uint64_t> epochs_;
  std::map<std::size_t, int> ports_;
  Clients clients_;
  timing::Alarm watch_;
  std::map<std::uint64_t, std::shared_ptr<const fake_engine::ReferenceTokeniser>> made_;
  Micros until_ = 0;
  Micros doneSince_ = 0;
  bool timedOut_ = false;
};

}  // namespace

Result run(const Script& script, const RunOptions& options) { return Run(script, options).go(); }

void print(const Result& r, std::ostream& out) {
  out << "requests " << r.requests << ", served " << r.served << " (stand-in engines)\n";
  for (const auto& [what, n] : r.audit.counts) out << "  " << what << ": " << n << '\n';
  const auto quantile = [&](double q) {
    return r.firstTokens.empty() ? 0.0
                                 : static_cast<double>(r.firstTokens[static_cast<std::size_t>(
                                       q * static_cast<double>(r.firstTokens.size() - 1))]) /
                                       1000;
  };
  out << "streams served with the first token within the aim: " << r.inTime << '\n';
  out << "first token of served streams: p50 " << quantile(0.5) << " ms, p99 " << quantile(0.99) << " ms\n";
  out << "longest time that a state stayed with no attempt out: "
      << static_cast<double>(r.audit.slowestRelease) / 1000 << " ms\n";
  for (std::size_t i = 0; i < r.routers.size(); ++i) out << "router " << i << ": " << r.routers[i] << '\n';
  out << "at the end: states held at engines " << r.statesAtEngines << ", at routers " << r.statesAtRouters
      << ", requests open " << r.openAtRouters << '\n';
  for (std::size_t i = 0; i < r.audit.violations.size() && i < 20; ++i)
    out << "VIOLATION " << r.audit.violations[i] << '\n';
  if (r.audit.violations.size() > 20) out << "and " << r.audit.violations.size() - 20 << " more\n";
  if (r.timedOut) out << "the drill did not end within its own bound\n";
  out << (r.passed ? "PASSED" : "FAILED") << '\n';
}

}  // namespace garnethook::fault_scenario
