#include "fault_scenario/script.h"

#include <algorithm>

namespace garnethook::fault_scenario {
namespace {

using config::Node;

const std::vector<std::string> kFaults{
    "silent", "slow",     "error",       "reset",    "full",       "stall",    "die",  "trickle",
    "link",   "bad-http", "huge-event",  "restart",  "stop",       "drain",    "gone", "undrain",
    "cut",    "burst",    "kill-router", "bad-list", "empty-list", "tokeniser"};

LoadClass readClass(const Node& n, const std::vector<std::string>& known) {
  LoadClass c;
  c.name = known[n.choice("name", known, 0)];
  c.share = n.number("share", 1, 0, 1e6);
  c.promptTokens = static_cast<std::uint32_t>(n.integer("prompt_tokens", 200, 1, 1'000'000));
  c.promptSpread = n.number("prompt_spread", 0.6, 0, 3);
  c.beginnings = static_cast<std::uint32_t>(n.integer("beginnings", 8, 1, 100'000));
  c.beginningTokens = static_cast<std::uint32_t>(n.integer("beginning_tokens", 800, 1, 1'000'000));
  c.beginningShare = n.number("beginning_share", 0.8, 0, 1);
  c.outputTokens = static_cast<std::uint32_t>(n.integer("output_tokens", 64, 1, 100'000));
  c.textKind = n.choice("text", {std::begin(kTexts), std::end(kTexts)}, 0);
  c.deadline = n.micros("deadline_ms", 5000, 1, 3'600'000);
  n.done();
  return c;
}

Fault readFault(const Node& n, const Script& script) {
  Fault f;
  f.at = n.micros("at_ms", 0, 0, 3'600'000);
  f.length = n.micros("for_ms", 0, 0, 3'600'000);
  f.what = kFaults[n.choice("do", kFaults, 0)];
  f.engines = n.texts("engines");
  for (const auto& name : f.engines)
    if (std::none_of(script.fleet.begin(), script.fleet.end(), [&](const auto& e) { return e.name == name; }))
      n.failAt("engines", "\"" + name + "\" is not in the fleet");
  f.zone = n.text("zone", "");
  f.router = static_cast<std::size_t>(
      n.integer("router", 0, 0, static_cast<std::int64_t>(script.routerZones.size()) - 1));
  f.size = n.number("size", 1, 0, 1e9);
  n.done();
  return f;
}

}  // namespace

Script readScript(const std::shared_ptr<const config::JsonFile>& file, const std::string& listPath) {
  const Node root(file);
  Script s;
  s.seed = static_cast<std::uint64_t>(root.integer("seed", 1, 0, std::int64_t{1} << 53));
  s.settings = server::readSettings(root.object("router"), listPath);
  s.routerZones = root.texts("router_zones");
  if (s.routerZones.empty()) s.routerZones.push_back(s.settings.names.zones.front());
  for (const auto& zone : s.routerZones)
    if (std::find(s.settings.names.zones.begin(), s.settings.names.zones.end(), zone) ==
        s.settings.names.zones.end())
      root.failAt("router_zones", "\"" + zone + "\" is not among the zones");
  s.settings.routing.settings.routers = s.routerZones.size();
  s.fleet = fake_engine::readFleet(root, "fleet");
  s.listDelay = root.micros("list_delay_ms", 200, 0, 600'000);
  s.settle = root.micros("settle_ms", 3000, 0, 600'000);
  s.most = root.micros("most_ms", 120'000, 1, 3'600'000);
  s.leastServed = root.number("least_served", 0, 0, 1);

  const Node load = root.object("load");
  for (const Node& n : load.array("classes")) s.load.classes.push_back(readClass(n, s.settings.classNames));
  if (s.load.classes.empty()) s.load.classes.push_back({.name = s.settings.classNames.front()});
  s.load.requests = static_cast<std::uint64_t>(load.integer("requests", 1000, 0, 10'000'000));
  s.load.perSecond = load.number("per_second", 100, 0.01, 1e6);
  s.load.cancelShare = load.number("cancel_share", 0, 0, 1);
  s.load.cancelWithin = load.micros("cancel_within_ms", 500, 0, 600'000);
  s.load.retries = static_cast<int>(load.integer("retries", 0, 0, 10));
  s.load.honourHints = load.flag("honour_hints", true);
  s.load.unaryShare = load.number("unary_share", 0.1, 0, 1);
  s.load.channels = static_cast<std::size_t>(load.integer("channels", 4, 1, 1000));
  load.done();

  for (const Node& n : root.array("faults")) s.faults.push_back(readFault(n, s));

  if (root.has("made_tokenisers") && root.raw()["made_tokenisers"].is_array())
    for (const auto& seed : root.raw()["made_tokenisers"]) {
      if (!seed.is_number_unsigned() || seed == 0U || seed > 1'000'000U)
        root.failAt("made_tokenisers", "seeds from 1 to 1000000 are wanted");
      s.madeTokenisers.push_back(seed.get<std::uint64_t>());
    }

  const Node rules = root.object("rules");
  s.rules.deadlineSlack = rules.micros("deadline_slack_ms", 20, 0, 60'000);
  s.rules.overlapSlack = rules.micros("overlap_slack_ms", 60, 0, 60'000);
  s.rules.drainGrace = rules.micros("drain_grace_ms", 2000, 0, 60'000);
  s.rules.kvReleaseTimeout = s.settings.routing.settings.kvReleaseTimeout;
  s.rules.releaseSlack = rules.micros("release_slack_ms", 60, 0, 60'000);
  rules.done();
  root.done();
  return s;
}

}  // namespace garnethook::fault_scenario
