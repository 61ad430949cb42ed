// The prefix cache of a fake engine: blocks of 64 bytes, keyed by chained hash, with LRU eviction.
#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace garnethook::fake_engine {

class PrefixCache {
 public:
  explicit PrefixCache(std::size_t blocks) : maxBlocks_(blocks) {}
  // Returns the length in bytes of the longest cached prefix of `text`, in whole blocks.
  std::size_t find(std::string_view text);
  void insert(std::string_view text);
  void clear();
  static constexpr std::size_t kBlockBytes = 64;

 private:
  using HashList = std::list<std::uint64_t>;
  void touch(std::uint64_t hash);
  std::size_t maxBlocks_;
  HashList recency_;
  std::unordered_map<std::uint64_t, HashList::iterator> blocks_;
};

}  // namespace garnethook::fake_engine
