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
    EngineOptions options;
    const std::string name = node.text("name");
    const auto count = node.integer("count", 0, 0, 1000);
    options.role = static_cast<Role>(node.choice("role", {"reader", "writer", "both"}, 2));
    options.kind = node.text("kind");
    options.zone = node.text("zone", "");
    options.cell = node.text("cell", "");
    options.host = node.text("host", "127.0.0.1");
    if (!options.host.starts_with("127.")) node.failAt("host", "a loopback address is wanted");
    const auto port = node.integer("port", 0, 0, 65'535);
    options.prefillTokensPerSecond = node.number("read_tokens_per_s", options.prefillTokensPerSecond, 1, 1e9);
    options.prefillBaseTime = node.micros("read_base_ms", 2, 0, 1e6);
    options.slots = static_cast<unsigned>(node.integer("slots", options.slots, 1, 1'000'000));
    options.queue = static_cast<unsigned>(node.integer("queue", options.queue, 0, 1'000'000));
    options.memoryTokens = node.number("memory_tokens", options.memoryTokens, 1, 1e12);
    options.cacheTokens = node.number("cache_tokens", options.cacheTokens, 0, 1e9);
    options.tokenInterval = node.micros("token_ms", 5, 0.001, 1e6);
    options.transferTokensPerSecond =
        node.number("link_tokens_per_s", options.transferTokensPerSecond, 1, 1e12);
    options.crossCellFactor = node.number("far_factor", options.crossCellFactor, 1, 1000);
    options.warmUpMinCapacity = node.number("cold_from", options.warmUpMinCapacity, 0.01, 1);
    options.warmUpDuration = node.micros("warm_within_ms", 0, 0, 1e6);
    options.overloadMultiple = node.number("fall_multiple", options.overloadMultiple, 0.1, 1e6);
    options.overloadWindow = node.micros("fall_after_ms", 2000, 1, 1e6);
    options.kvStateLifetime = node.micros("state_life_ms", 20'000, 1, 1e7);
    options.cancelStopsPrefill = node.flag("cancel_stops", true);
    options.reportsTokeniser = node.flag("tells_tokeniser", true);
    if (const auto seed = node.integer("made_tokeniser", 0, 0, 1'000'000); seed > 0) {
      auto& tokeniser = generated[seed];
      if (!tokeniser) tokeniser = generateTokeniser(static_cast<std::uint64_t>(seed));
      options.tokeniser = tokeniser;
    }
    node.done();
    for (std::int64_t i = 1; i <= std::max<std::int64_t>(1, count); ++i) {
      options.name = count > 0 ? name + "-" + std::to_string(i) : name;
      options.port = static_cast<std::uint16_t>(port == 0 ? 0 : port + i - 1);
      result.push_back(options);
    }
  }
  return result;
}

Fleet::Fleet(net::Loop& loop, const std::vector<EngineOptions>& engines, Recorder& recorder)
    : loop_(loop), recorder_(recorder) {
  for (const auto& options : engines) {
    engines_.push_back(std::make_unique<Engine>(loop, options, recorder,
                                                [this](const std::string& name) { return find(name); }));
    listed_[options.name] = Listed::running;
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
    const auto& options = engine->options();
    const Listed state = listed_.at(options.name);
    if (state == Listed::absent) continue;
    list.push_back({{"name", options.name},
                    {"address", options.host + ":" + std::to_string(engine->port())},
                    {"kind", options.kind},
                    {"zone", options.zone},
                    {"cell", options.cell},
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
  std::size_t count = 0;
  for (const auto& engine : engines_) count += engine->held();
  return count;
}

}  // namespace garnethook::fake_engine
