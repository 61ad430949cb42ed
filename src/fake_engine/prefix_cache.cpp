#include "fake_engine/prefix_cache.h"

#include <xxhash.h>

namespace garnethook::fake_engine {

std::size_t PrefixCache::find(std::string_view text) {
  std::uint64_t chain = 0;
  std::size_t at = 0;
  for (; at + kBlock <= text.size(); at += kBlock) {
    chain = XXH3_64bits_withSeed(text.data() + at, kBlock, chain);
    const auto found = blocks_.find(chain);
    if (found == blocks_.end()) break;
    order_.splice(order_.begin(), order_, found->second);
  }
  return at;
}

void PrefixCache::keep(std::string_view text) {
  std::uint64_t chain = 0;
  for (std::size_t at = 0; at + kBlock <= text.size(); at += kBlock) {
    chain = XXH3_64bits_withSeed(text.data() + at, kBlock, chain);
    touch(chain);
  }
}

void PrefixCache::touch(std::uint64_t hash) {
  const auto found = blocks_.find(hash);
  if (found != blocks_.end()) {
    order_.splice(order_.begin(), order_, found->second);
    return;
  }
  order_.push_front(hash);
  blocks_[hash] = order_.begin();
  if (blocks_.size() > most_) {
    blocks_.erase(order_.back());
    order_.pop_back();
  }
}

void PrefixCache::clear() {
  blocks_.clear();
  order_.clear();
}

}  // namespace garnethook::fake_engine
