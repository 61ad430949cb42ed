// A fleet of fake engines in one process and the endpoint list file that routers read, optionally delayed.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "config/json_file.h"
#include "fake_engine/engine.h"

namespace garnethook::fake_engine {

// Returns the tokeniser "made" with the seed as its version: generateRanks(seed), the pattern cl100k_base and
// the special token <|end|>.
constexpr std::uint32_t kGeneratedSpecialTokenId = 100'001;
std::shared_ptr<const ReferenceTokeniser> generateTokeniser(std::uint64_t seed);

// Reads the engines from a settings file: [ { "name", "count", "kind", "role", ... } ]. A "count" of N yields
// engines name-1 to name-N.
std::vector<EngineOptions> readFleet(const config::Node& root, std::string_view key);

class Fleet {
 public:
  Fleet(net::Loop& loop, const std::vector<EngineOptions>& engines, Recorder& recorder);

  Engine* find(const std::string& name);
  const std::vector<std::unique_ptr<Engine>>& engines() const { return engines_; }

  enum class Listed { running, draining, gone, absent };
  void setListed(const std::string& name, Listed state);
  // Replaces the list file after `delay` with the state of the engines at the time of the call.
  void writeList(const std::string& path, Micros delay);
  // Number of KV states held by all engines.
  std::size_t held() const;

 private:
  std::string listText() const;
  net::Loop& loop_;
  Recorder& recorder_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::map<std::string, Listed> listed_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace garnethook::fake_engine
