// The tokeniser of fake engines: a direct implementation of byte-level BPE on a ranks file. It shares only
// the pattern engine with the router, and none of its caching, slicing or merging code, so that token counts
// can be compared independently.
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

class ReferenceTokeniser {
 public:
  // `version`: the version that the engine reports. Throws std::invalid_argument if `ranks` is not a ranks
  // file.
  ReferenceTokeniser(std::string name, std::string version, std::string_view ranks, std::string_view pattern);

  // `special`: encodes the text of special tokens as these tokens.
  std::vector<std::uint32_t> encode(std::string_view text, bool special = false) const;
  void addSpecial(std::string text, std::uint32_t id) { specialTokens_[std::move(text)] = id; }
  const std::string& name() const { return name_; }
  const std::string& version() const { return version_; }

 private:
  void encodeOrdinary(std::string_view text, std::vector<std::uint32_t>& ids) const;
  void merge(const std::string& piece, std::vector<std::uint32_t>& ids) const;

  std::string name_;
  std::string version_;
  std::unordered_map<std::string, std::uint32_t> ranks_;
  std::map<std::string, std::uint32_t> specialTokens_;
  tokeniser::Pattern pattern_;
  mutable tokeniser::Pattern::Workspace workspace_;
};

}  // namespace garnethook::fake_engine
