#include "fault_scenario/script.h"

#include <algorithm>

namespace garnethook::fault_scenario {
namespace {

using config::Node;

const std::vector<std::string> kFaultActions{
    "silent", "slow",     "error",       "reset",    "full",       "stall",    "die",  "trickle",
    "link",   "bad-http", "huge-event",  "restart",  "stop",       "drain",    "gone", "undrain",
    "cut",    "burst",    "kill-router", "bad-list", "empty-list", "tokeniser"};

LoadClass readClass(const Node& node, const std::vector<std::string>& classNames) {
  LoadClass loadClass;
  loadClass.name = classNames[node.choice("name", classNames, 0)];
  loadClass.share = node.number("share", 1, 0, 1e6);
  loadClass.promptTokens = static_cast<std::uint32_t>(node.integer("prompt_tokens", 200, 1, 1'000'000));
  loadClass.promptSpread = node.number("prompt_spread", 0.6, 0, 3);
  loadClass.sharedPrefixes = static_cast<std::uint32_t>(node.integer("beginnings", 8, 1, 100'000));
  loadClass.sharedPrefixTokens =
      static_cast<std::uint32_t>(node.integer("beginning_tokens", 800, 1, 1'000'000));
  loadClass.sharedPrefixShare = node.number("beginning_share", 0.8, 0, 1);
  loadClass.outputTokens = static_cast<std::uint32_t>(node.integer("output_tokens", 64, 1, 100'000));
  loadClass.textKind = node.choice("text", {std::begin(kTextKinds), std::end(kTextKinds)}, 0);
  loadClass.deadline = node.micros("deadline_ms", 5000, 1, 3'600'000);
  node.done();
  return loadClass;
}

Fault readFault(const Node& node, const Script& script) {
  Fault fault;
  fault.start = node.micros("at_ms", 0, 0, 3'600'000);
  fault.duration = node.micros("for_ms", 0, 0, 3'600'000);
  fault.action = kFaultActions[node.choice("do", kFaultActions, 0)];
  fault.engines = node.texts("engines");
  for (const auto& name : fault.engines)
    if (std::none_of(script.fleet.begin(), script.fleet.end(),
                     [&](const auto& engine) { return engine.name == name; }))
      node.failAt("engines", "\"" + name + "\" is not in the fleet");
  fault.zone = node.text("zone", "");
  fault.router = static_cast<std::size_t>(
      node.integer("router", 0, 0, static_cast<std::int64_t>(script.routerZones.size()) - 1));
  fault.size = node.number("size", 1, 0, 1e9);
  node.done();
  return fault;
}

}  // namespace

Script readScript(const std::shared_ptr<const config::JsonFile>& file, const std::string& listPath) {
  const Node root(file);
  Script script;
  script.seed = static_cast<std::uint64_t>(root.integer("seed", 1, 0, std::int64_t{1} << 53));
  script.settings = server::readSettings(root.object("router"), listPath);
  script.routerZones = root.texts("router_zones");
  if (script.routerZones.empty()) script.routerZones.push_back(script.settings.names.zones.front());
  for (const auto& zone : script.routerZones)
    if (std::find(script.settings.names.zones.begin(), script.settings.names.zones.end(), zone) ==
        script.settings.names.zones.end())
      root.failAt("router_zones", "\"" + zone + "\" is not among the zones");
  script.settings.routing.settings.routers = script.routerZones.size();
  script.fleet = fake_engine::readFleet(root, "fleet");
  script.listDelay = root.micros("list_delay_ms", 200, 0, 600'000);
  script.settleTime = root.micros("settle_ms", 3000, 0, 600'000);
  script.maxDuration = root.micros("most_ms", 120'000, 1, 3'600'000);
  script.minServedShare = root.number("least_served", 0, 0, 1);

  const Node load = root.object("load");
  for (const Node& node : load.array("classes"))
    script.load.classes.push_back(readClass(node, script.settings.classNames));
  if (script.load.classes.empty())
    script.load.classes.push_back({.name = script.settings.classNames.front()});
  script.load.requests = static_cast<std::uint64_t>(load.integer("requests", 1000, 0, 10'000'000));
  script.load.requestsPerSecond = load.number("per_second", 100, 0.01, 1e6);
  script.load.cancelShare = load.number("cancel_share", 0, 0, 1);
  script.load.cancelWithin = load.micros("cancel_within_ms", 500, 0, 600'000);
  script.load.retries = static_cast<int>(load.integer("retries", 0, 0, 10));
  script.load.honourRetryAfter = load.flag("honour_hints", true);
  script.load.unaryShare = load.number("unary_share", 0.1, 0, 1);
  script.load.channels = static_cast<std::size_t>(load.integer("channels", 4, 1, 1000));
  load.done();

  for (const Node& node : root.array("faults")) script.faults.push_back(readFault(node, script));

  if (root.has("made_tokenisers") && root.raw()["made_tokenisers"].is_array())
    for (const auto& seed : root.raw()["made_tokenisers"]) {
      if (!seed.is_number_unsigned() || seed == 0U || seed > 1'000'000U)
        root.failAt("made_tokenisers", "must be integers (tokeniser seeds) from 1 to 1000000");
      script.tokeniserSeeds.push_back(seed.get<std::uint64_t>());
    }

  const Node rules = root.object("rules");
  script.rules.deadlineSlack = rules.micros("deadline_slack_ms", 20, 0, 60'000);
  script.rules.overlapSlack = rules.micros("overlap_slack_ms", 60, 0, 60'000);
  script.rules.drainGrace = rules.micros("drain_grace_ms", 2000, 0, 60'000);
  script.rules.kvReleaseTimeout = script.settings.routing.settings.kvReleaseTimeout;
  script.rules.releaseSlack = rules.micros("release_slack_ms", 60, 0, 60'000);
  rules.done();
  root.done();
  return script;
}

}  // namespace garnethook::fault_scenario
