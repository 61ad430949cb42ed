// How stand-in engines count: the definition, from a ranks file, by code of their own. Shares with the router
// only the pattern engine; no cache, no slices, none of its merging.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tokeniser/pattern.h"

namespace garnethook::fake_engine {

class OwnTokeniser {
 public:
  // `version`: what the engine tells of itself. Throws std::invalid_argument for a file that is none.
  OwnTokeniser(std::string name, std::string version, std::string_view ranks, std::string_view pattern);

  // `special`: text of special tokens stands for them.
  std::vector<std::uint32_t> encode(std::string_view text, bool special = false) const;
  void addSpecial(std::string text, std::uint32_t id) { specials_[std::move(text)] = id; }
  const std::string& name() const { return name_; }
  const std::string& version() const { return version_; }

 private:
  void plain(std::string_view text, std::vector<std::uint32_t>& ids) const;
  void merge(const std::string& piece, std::vector<std::uint32_t>& ids) const;

  std::string name_;
  std::string version_;
  std::unordered_map<std::string, std::uint32_t> ranks_;
  std::map<std::string, std::uint32_t> specials_;
  tokeniser::Pattern pattern_;
  mutable tokeniser::Pattern::Workspace workspace_;
};

}  // namespace garnethook::fake_engine
