#include "fake_engine/fleet.h"

#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

#include "fake_engine/made_vocabulary.h"

namespace garnethook::fake_engine {

std::shared_ptr<const OwnTokeniser> madeTokeniser(std::uint64_t seed) {
  auto made = std::make_shared<OwnTokeniser>("made", std::to_string(seed), madeRanks(seed),
                                             tokeniser::knownPattern("cl100k_base"));
  made->addSpecial("<|end|>", kMadeSpecial);
  return made;
}

std::vector<EngineOptions> readFleet(const config::Node& root, std::string_view key) {
  std::vector<EngineOptions> out;
  std::map<std::int64_t, std::shared_ptr<const OwnTokeniser>> made;
  for (const auto& n : root.array(key)) {
    EngineOptions o;
    const std::string name = n.text("name");
    const auto count = n.integer("count", 0, 0, 1000);
    o.role = static_cast<Role>(n.choice("role", {"reader", "writer", "both"}, 2));
    o.kind = n.text("kind");
    o.zone = n.text("zone", "");
    o.cell = n.text("cell", "");
    o.host = n.text("host", "127.0.0.1");
    if (!o.host.starts_with("127.")) n.failAt("host", "a loopback address is wanted");
    const auto port = n.integer("port", 0, 0, 65'535);
    o.readPerSecond = n.number("read_tokens_per_s", o.readPerSecond, 1, 1e9);
    o.readBase = n.micros("read_base_ms", 2, 0, 1e6);
    o.slots = static_cast<unsigned>(n.integer("slots", o.slots, 1, 1'000'000));
    o.queue = static_cast<unsigned>(n.integer("queue", o.queue, 0, 1'000'000));
    o.memoryTokens = n.number("memory_tokens", o.memoryTokens, 1, 1e12);
    o.cacheTokens = n.number("cache_tokens", o.cacheTokens, 0, 1e9);
    o.tokenInterval = n.micros("token_ms", 5, 0.001, 1e6);
    o.linkPerSecond = n.number("link_tokens_per_s", o.linkPerSecond, 1, 1e12);
    o.farFactor = n.number("far_factor", o.farFactor, 1, 1000);
    o.warmUpMinCapacity = n.number("cold_from", o.warmUpMinCapacity, 0.01, 1);
    o.warmUpDuration = n.micros("warm_within_ms", 0, 0, 1e6);
    o.overloadMultiple = n.number("fall_multiple", o.overloadMultiple, 0.1, 1e6);
    o.overloadWindow = n.micros("fall_after_ms", 2000, 1, 1e6);
    o.stateLife = n.micros("state_life_ms", 20'000, 1, 1e7);
    o.cancelStops = n.flag("cancel_stops", true);
    o.tellsTokeniser = n.flag("tells_tokeniser", true);
    if (const auto seed = n.integer("made_tokeniser", 0, 0, 1'000'000); seed > 0) {
      auto& tokeniser = made[seed];
      if (!tokeniser) tokeniser = madeTokeniser(static_cast<std::uint64_t>(seed));
      o.tokeniser = tokeniser;
    }
    n.done();
    for (std::int64_t i = 1; i <= std::max<std::int64_t>(1, count); ++i) {
      o.name = count > 0 ? name + "-" + std::to_string(i) : name;
      o.port = static_cast<std::uint16_t>(port == 0 ? 0 : port + i - 1);
      out.push_back(o);
    }
  }
  return out;
}

Fleet::Fleet(net::Loop& loop, const std::vector<EngineOptions>& engines, Recorder& recorder)
    : loop_(loop), recorder_(recorder) {
  for (const auto& o : engines) {
    engines_.push_back(
        std::make_unique<Engine>(loop, o, recorder, [this](const std::string& name) { return find(name); }));
    listed_[o.name] = Listed::running;
  }
}

Engine* Fleet::find(const std::string& name) {
  for (const auto& e : engines_)
    if (e->options().name == name) return e.get();
  return nullptr;
}

void Fleet::setListed(const std::string& name, Listed state) { listed_[name] = state; }

std::string Fleet::listText() const {
  nlohmann::ordered_json list = nlohmann::ordered_json::array();
  for (const auto& e : engines_) {
    const auto& o = e->options();
    const Listed state = listed_.at(o.name);
    if (state == Listed::absent) continue;
    list.push_back({{"name", o.name},
                    {"address", o.host + ":" + std::to_string(e->port())},
                    {"kind", o.kind},
                    {"zone", o.zone},
                    {"cell", o.cell},
                    {"state", state == Listed::running    ? "running"
                              : state == Listed::draining ? "draining"
                                                          : "gone"},
                    {"started_ms", e->startedUnix() / 1000}});
  }
  return nlohmann::ordered_json{{"engines", list}}.dump(2) + "\n";
}

void Fleet::writeList(const std::string& path, Micros delay) {
  // What the list tells is fixed now; routers learn it later.
  const auto write = [this, path, text = listText(), listed = listed_] {
    const std::string fresh = path + ".tmp";
    std::ofstream(fresh, std::ios::binary) << text;
    std::rename(fresh.c_str(), path.c_str());
    for (const auto& [name, state] : listed)
      recorder_.note("list.told", {{"engine", name}, {"running", state == Listed::running}});
  };
  if (delay <= 0) return write();
  loop_.after(delay, [write, alive = std::weak_ptr<int>(alive_)] {
    if (!alive.expired()) write();
  });
}

std::size_t Fleet::held() const {
  std::size_t n = 0;
  for (const auto& e : engines_) n += e->held();
  return n;
}

}  // namespace garnethook::fake_engine
