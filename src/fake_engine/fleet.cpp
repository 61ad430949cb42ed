#include "fake_engine/fleet.h"

#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

#include "fake_engine/generated_vocabulary.h"

namespace garnethook::fake_engine {

std::shared_ptr<const ReferenceTokeniser> generateTokeniser(std::uint64_t seed) {
  auto generated = std::make_shared<ReferenceTokeniser>("made", std::to_string(seed), generateRanks(seed),
                                                        tokeniser::knownPattern("cl100k_base"));
  generated->addSpecial("<|end|>", kGeneratedSpecialTokenId);
  return generated;
}

std::vector<EngineOptions> readFleet(const config::Node& root, std::string_view key) {
  std::vector<EngineOptions> result;
  std::map<std::int64_t, std::shared_ptr<const ReferenceTokeniser>> generated;
  for (const auto& node : root.array(key)) {
    EngineOptions engineOptions;
    const std::string name = node.text("name");
    const auto count = node.integer("count", 0, 0, 1000);
    engineOptions.role = static_cast<Role>(node.choice("role", {"reader", "writer", "both"}, 2));
    engineOptions.kind = node.text("kind");
    engineOptions.zone = node.text("zone", "");
    engineOptions.cell = node.text("cell", "");
    engineOptions.host = node.text("host", "127.0.0.1");
    if (!engineOptions.host.starts_with("127.")) node.failAt("host", "must be a loopback address (127.*)");
    const auto port = node.integer("port", 0, 0, 65'535);
    engineOptions.prefillTokensPerSecond =
        node.number("read_tokens_per_s", engineOptions.prefillTokensPerSecond, 1, 1e9);
    engineOptions.prefillBaseTime = node.micros("read_base_ms", 2, 0, 1e6);
    engineOptions.slots = static_cast<unsigned>(node.integer("slots", engineOptions.slots, 1, 1'000'000));
    engineOptions.queue = static_cast<unsigned>(node.integer("queue", engineOptions.queue, 0, 1'000'000));
    engineOptions.memoryTokens = node.number("memory_tokens", engineOptions.memoryTokens, 1, 1e12);
    engineOptions.cacheTokens = node.number("cache_tokens", engineOptions.cacheTokens, 0, 1e9);
    engineOptions.tokenInterval = node.micros("token_ms", 5, 0.001, 1e6);
    engineOptions.transferTokensPerSecond =
        node.number("link_tokens_per_s", engineOptions.transferTokensPerSecond, 1, 1e12);
    engineOptions.crossCellFactor = node.number("far_factor", engineOptions.crossCellFactor, 1, 1000);
    engineOptions.warmUpMinCapacity = node.number("cold_from", engineOptions.warmUpMinCapacity, 0.01, 1);
    engineOptions.warmUpDuration = node.micros("warm_within_ms", 0, 0, 1e6);
    engineOptions.overloadMultiple = node.number("fall_multiple", engineOptions.overloadMultiple, 0.1, 1e6);
    engineOptions.overloadWindow = node.micros("fall_after_ms", 2000, 1, 1e6);
    engineOptions.kvStateLifetime = node.micros("state_life_ms", 20'000, 1, 1e7);
    engineOptions.cancelStopsPrefill = node.flag("cancel_stops", true);
    engineOptions.reportsTokeniser = node.flag("tells_tokeniser", true);
    if (const auto seed = node.integer("made_tokeniser", 0, 0, 1'000'000); seed > 0) {
      auto& tokeniser = generated[seed];
      if (!tokeniser) tokeniser = generateTokeniser(static_cast<std::uint64_t>(seed));
      engineOptions.tokeniser = tokeniser;
    }
    node.done();
    for (std::int64_t i = 1; i <= std::max<std::int64_t>(1, count); ++i) {
      engineOptions.name = count > 0 ? name + "-" + std::to_string(i) : name;
      engineOptions.port = static_cast<std::uint16_t>(port == 0 ? 0 : port + i - 1);
      result.push_back(engineOptions);
    }
  }
  return result;
}

Fleet::Fleet(net::Loop& loop, const std::vector<EngineOptions>& engines, Recorder& recorder)
    : loop_(loop), recorder_(recorder) {
  for (const auto& engineOptions : engines) {
    engines_.push_back(std::make_unique<Engine>(loop, engineOptions, recorder,
                                                [this](const std::string& name) { return find(name); }));
    listed_[engineOptions.name] = Listed::running;
  }
}

Engine* Fleet::find(const std::string& name) {
  for (const auto& engine : engines_)
    if (engine->options().name == name) return engine.get();
  return nullptr;
}

void Fleet::setListed(const std::string& name, Listed state) { listed_[name] = state; }

std::string Fleet::listText() const {
  nlohmann::ordered_json list = nlohmann::ordered_json::array();
  for (const auto& engine : engines_) {
    const auto& engineOptions = engine->options();
    const Listed state = listed_.at(engineOptions.name);
    if (state == Listed::absent) continue;
    list.push_back({{"name", engineOptions.name},
                    {"address", engineOptions.host + ":" + std::to_string(engine->port())},
                    {"kind", engineOptions.kind},
                    {"zone", engineOptions.zone},
                    {"cell", engineOptions.cell},
                    {"state", state == Listed::running    ? "running"
                              : state == Listed::draining ? "draining"
                                                          : "gone"},
                    {"started_ms", engine->startedUnix() / 1000}});
  }
  return nlohmann::ordered_json{{"engines", list}}.dump(2) + "\n";
}

void Fleet::writeList(const std::string& path, Micros delay) {
  // The content is fixed now; routers read it after the delay.
  const auto write = [this, path, text = listText(), listed = listed_] {
    const std::string temporaryPath = path + ".tmp";
    std::ofstream(temporaryPath, std::ios::binary) << text;
    std::rename(temporaryPath.c_str(), path.c_str());
    for (const auto& [name, state] : listed)
      recorder_.note("list.told", {{"engine", name}, {"running", state == Listed::running}});
  };
  if (delay <= 0) return write();
  loop_.after(delay, [write, alive = std::weak_ptr<int>(alive_)] {
    if (!alive.expired()) write();
  });
}

std::size_t Fleet::held() const {
  std::size_t heldStates = 0;
  for (const auto& engine : engines_) heldStates += engine->held();
  return heldStates;
}

}  // namespace garnethook::fake_engine
