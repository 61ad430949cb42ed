// The prefix cache of a stand-in engine: blocks of 64 characters by chained hash, oldest out first.
#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace garnethook::fake_engine {

class PrefixCache {
 public:
  explicit PrefixCache(std::size_t blocks) : most_(blocks) {}
  // Characters at the beginning of `text` that are kept, in whole blocks.
  std::size_t find(std::string_view text);
  void keep(std::string_view text);
  void clear();
  static constexpr std::size_t kBlock = 64;

 private:
  using List = std::list<std::uint64_t>;
  void touch(std::uint64_t hash);
  std::size_t most_;
  List order_;
  std::unordered_map<std::uint64_t, List::iterator> blocks_;
};

}  // namespace garnethook::fake_engine
