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

// Zones are distinguished by source address, so that a network partition between zones can be simulated on
// loopback: routers of zone i connect from 127.0.(10 + i).1.
std::string sourceAddressOf(std::size_t zone) { return "127.0." + std::to_string(10 + zone) + ".1"; }

class ScenarioRunner {
 public:
  ScenarioRunner(const Script& script, const RunOptions& options)
      : script_(script),
        options_(options),
        listPath_(options.folder + "/engines.json"),
        recorder_([this] { return loop_.now(); }),
        fleet_(loop_, script.fleet, recorder_),
        clients_(loop_, script, recorder_),
        checkTimer_(loop_) {
    routers_.resize(script.routerZones.size());
    startCounts_.resize(script.routerZones.size());
    fleet_.writeList(listPath_, 0);
    for (const Fault& fault : script_.faults)
      if (fault.action == "tokeniser") {
        auto& tokeniserForSeed = tokenisers_[static_cast<std::uint64_t>(fault.size)];
        if (!tokeniserForSeed)
          tokeniserForSeed = fake_engine::generateTokeniser(static_cast<std::uint64_t>(fault.size));
      }
    for (const std::uint64_t seed : script_.tokeniserSeeds)
      std::ofstream(vocabularyPath(seed), std::ios::binary) << fake_engine::generateRanks(seed);
    for (std::size_t index = 0; index < routers_.size(); ++index) startRouter(index);
  }

  Result execute() {
    const Micros start = loop_.now();
    for (const Fault& fault : script_.faults) {
      loop_.after(fault.start, [this, &fault] { applyFault(fault, true); });
      if (fault.duration > 0)
        loop_.after(fault.start + fault.duration, [this, &fault] { applyFault(fault, false); });
    }
    clients_.start();
    deadline_ = start + script_.maxDuration;
    checkProgress();
    loop_.run();
    return result();
  }

 private:
  std::string vocabularyPath(std::uint64_t seed) const {
    return options_.folder + "/made-" + std::to_string(seed) + ".tiktoken";
  }

  void startRouter(std::size_t index) {
    server::RouterSettings settings = script_.settings;
    settings.listen = "127.0.0.1:" + std::to_string(ports_.contains(index) ? ports_[index] : 0);
    settings.listPath = listPath_;
    settings.stateFolder = options_.folder + "/router-" + std::to_string(index);
    const auto& zones = settings.names.zones;
    const auto zone = static_cast<std::size_t>(
        std::find(zones.begin(), zones.end(), script_.routerZones[index]) - zones.begin());
    settings.routing.settings.ownZone = zone;
    settings.engine.sourceAddress = sourceAddressOf(zone);
    for (const std::uint64_t seed : script_.tokeniserSeeds) {
      if (options_.estimateTokenCounts) break;
      server::TokeniserFile tokeniserFile{{"made", std::to_string(seed)}, vocabularyPath(seed), {}};
      tokeniserFile.options.format = tokeniser::Format::ranks;
      tokeniserFile.options.pattern = "cl100k_base";
      tokeniserFile.options.specialTokens = {{"<|end|>", fake_engine::kGeneratedSpecialTokenId}};
      settings.counting.files.push_back(std::move(tokeniserFile));
    }
    const std::string name = "router-" + std::to_string(index) + "." + std::to_string(startCounts_[index]++);
    routers_[index] = std::make_unique<server::RouterServer>(
        loop_, settings, script_.seed + index * 7919 + startCounts_[index], name,
        log::Log::open(name, "", options_.logLevel));
    recorder_.note("router.started", {{"router", std::to_string(index)}});
    ports_[index] = routers_[index]->address().port();
    clients_.setRouter(index, routers_[index]->address());
  }

  void killRouter(std::size_t index) {
    recorder_.note("router.killed", {{"router", std::to_string(index)}});
    routers_[index].reset();  // closes its sockets at once, without a graceful shutdown
  }

  void applyFault(const Fault& fault, bool active) {
    recorder_.note(active ? "fault" : "fault.over", {{"do", fault.action}});
    for (const auto& name : fault.engines) {
      Engine& engine = *fleet_.find(name);
      auto& engineFaults = engine.faults;
      if (fault.action == "tokeniser" && active) {  // restarts with the generated tokeniser of seed `size`
        engine.setTokeniser(tokenisers_.at(static_cast<std::uint64_t>(fault.size)));
        engine.stop();
        engine.start();
      }
      if (fault.action == "silent") {
        engineFaults.silent = active;
        recorder_.note(active ? "engine.cut" : "engine.back", {{"engine", name}});
      } else if (fault.action == "slow")
        engineFaults.slow = active ? fault.size : 1;
      else if (fault.action == "error")
        engineFaults.error = active;
      else if (fault.action == "reset") {
        engineFaults.reset = active;  // meanwhile nothing can reach the engine
        recorder_.note(active ? "engine.cut" : "engine.back", {{"engine", name}});
      } else if (fault.action == "full")
        engineFaults.full = active;
      else if (fault.action == "stall")
        engineFaults.stallAfter = active ? static_cast<int>(fault.size) : -1;
      else if (fault.action == "die")
        engineFaults.dieAfter = active ? static_cast<int>(fault.size) : -1;
      else if (fault.action == "trickle")
        engine.setTrickle(active ? static_cast<Micros>(fault.size * 1000) : 0);
      else if (fault.action == "link")
        engineFaults.link = active ? fault.size : 1;
      else if (fault.action == "bad-http")
        engineFaults.badHttp = active;
      else if (fault.action == "huge-event")
        engineFaults.hugeEvent = active;
      else if (fault.action == "restart" || fault.action == "stop") {
        if (active)
          engine.stop();
        else
          engine.start();
        // The endpoint list reports the change of the process after listDelay.
        fleet_.setListed(name, active ? Fleet::Listed::gone : Fleet::Listed::running);
      } else if (fault.action == "drain")
        fleet_.setListed(name, active ? Fleet::Listed::draining : Fleet::Listed::running);
      else if (fault.action == "gone")
        fleet_.setListed(name, active ? Fleet::Listed::absent : Fleet::Listed::running);
      else if (fault.action == "undrain")
        fleet_.setListed(name, Fleet::Listed::running);
    }
    if (fault.action == "restart" || fault.action == "stop" || fault.action == "drain" ||
        fault.action == "gone" || fault.action == "undrain" || fault.action == "tokeniser")
      fleet_.writeList(listPath_, script_.listDelay);
    if (fault.action == "cut") partitionZone(fault.zone, active);
    if (fault.action == "burst") clients_.setRateFactor(active ? fault.size : 1);
    if (fault.action == "kill-router") {
      if (active)
        killRouter(fault.router);
      else
        startRouter(fault.router);
    }
    if (fault.action == "bad-list" || fault.action == "empty-list") {
      if (active)
        std::ofstream(listPath_) << (fault.action == "bad-list" ? "{ \"engines\": [ { \"name\": \"rea"
                                                                : "{ \"engines\": [] }");
      else
        fleet_.writeList(listPath_, 0);
    }
  }

  // Cuts or restores the links between one zone and the others.
  void partitionZone(const std::string& zone, bool active) {
    const auto& zones = script_.settings.names.zones;
    const auto index = static_cast<std::size_t>(std::find(zones.begin(), zones.end(), zone) - zones.begin());
    const std::string zoneSource = sourceAddressOf(index);
    for (const auto& engine : fleet_.engines()) {
      const bool inZone = engine->options().zone == zone;
      if (active)
        engine->partitionFrom(
            [zoneSource, inZone](const std::string& host) { return (host == zoneSource) != inZone; });
      else
        engine->partitionFrom(nullptr);
      recorder_.note(active ? "engine.cut" : "engine.back", {{"engine", engine->options().name}});
    }
  }

  void checkProgress() {
    const Micros now = loop_.now();
    if (!clients_.done())
      allEndedSince_ = 0;
    else if (allEndedSince_ == 0)
      allEndedSince_ = now;
    const bool settled =
        allEndedSince_ != 0 && now - allEndedSince_ >= script_.settleTime && !releasesPending();
    timedOut_ = now >= deadline_;
    if (settled || timedOut_) return loop_.stop();
    checkTimer_.start(50'000, [this] { checkProgress(); });
  }

  // Returns whether routers still repeat releases of abandoned attempts. The scenario ends after these
  // releases; a router that never finishes them makes the scenario time out.
  bool releasesPending() const {
    return std::any_of(routers_.begin(), routers_.end(), [](const auto& router) {
      return router && router->router().kvReservations().pendingReleaseCount() > 0;
    });
  }

  Result result() {
    Result result;
    result.audit = audit(recorder_.events(), script_.rules);
    result.requests = clients_.startedRequests();
    result.served = clients_.servedRequests();
    result.statesAtEngines = fleet_.held();
    result.timedOut = timedOut_;
    for (const auto& router : routers_) {
      if (!router) continue;
      const auto& reservations = router->router().kvReservations();
      result.statesAtRouters += reservations.reservationCount() + reservations.pendingReleaseCount();
      result.openRequestsAtRouters += router->router().pendingRequests();
      result.routerSummaries.push_back(router->summary());
    }
    result.timesToFirstToken = clients_.timesToFirstToken;
    result.withinTtftObjective = clients_.withinTtftObjective;
    std::sort(result.timesToFirstToken.begin(), result.timesToFirstToken.end());
    result.passed =
        result.audit.passed() && !result.timedOut && result.audit.counts["states-left"] == 0 &&
        result.statesAtRouters == 0 && result.openRequestsAtRouters == 0 &&
        static_cast<double>(result.served) >= script_.minServedShare * static_cast<double>(result.requests);
    if (!options_.recording.empty()) {
      std::ofstream out(options_.recording);
      recorder_.write(out);
    }
    return result;
  }

  const Script& script_;
  const RunOptions& options_;
  std::string listPath_;
  net::Loop loop_;
  fake_engine::Recorder recorder_;
  Fleet fleet_;
  std::vector<std::unique_ptr<server::RouterServer>> routers_;
  std::vector<std::uint64_t> startCounts_;
  std::map<std::size_t, int> ports_;
  Clients clients_;
  timing::Alarm checkTimer_;
  std::map<std::uint64_t, std::shared_ptr<const fake_engine::ReferenceTokeniser>> tokenisers_;
  Micros deadline_ = 0;
  Micros allEndedSince_ = 0;
  bool timedOut_ = false;
};

}  // namespace

Result run(const Script& script, const RunOptions& options) {
  return ScenarioRunner(script, options).execute();
}

void print(const Result& result, std::ostream& out) {
  out << "requests " << result.requests << ", served " << result.served << " (fake engines)\n";
  for (const auto& [name, count] : result.audit.counts) out << "  " << name << ": " << count << '\n';
  const auto quantile = [&](double fraction) {
    return result.timesToFirstToken.empty()
               ? 0.0
               : static_cast<double>(result.timesToFirstToken[static_cast<std::size_t>(
                     fraction * static_cast<double>(result.timesToFirstToken.size() - 1))]) /
                     1000;
  };
  out << "served streams with the first token within the TTFT objective: " << result.withinTtftObjective
      << '\n';
  out << "time to first token of served streams: p50 " << quantile(0.5) << " ms, p99 " << quantile(0.99)
      << " ms\n";
  out << "longest time that KV state was held with no attempt in flight: "
      << static_cast<double>(result.audit.longestIdleStateTime) / 1000 << " ms\n";
  for (std::size_t index = 0; index < result.routerSummaries.size(); ++index)
    out << "router " << index << ": " << result.routerSummaries[index] << '\n';
  out << "at the end: KV states held at engines " << result.statesAtEngines << ", at routers "
      << result.statesAtRouters << ", open requests " << result.openRequestsAtRouters << '\n';
  for (std::size_t index = 0; index < result.audit.violations.size() && index < 20; ++index)
    out << "VIOLATION " << result.audit.violations[index] << '\n';
  if (result.audit.violations.size() > 20) out << "and " << result.audit.violations.size() - 20 << " more\n";
  if (result.timedOut) out << "the scenario did not end within its maximum duration (most_ms)\n";
  out << (result.passed ? "PASSED" : "FAILED") << '\n';
}

}  // namespace garnethook::fault_scenario
