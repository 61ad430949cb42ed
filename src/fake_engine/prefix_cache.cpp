#include "fake_engine/prefix_cache.h"

#include <xxhash.h>

namespace garnethook::fake_engine {

std::size_t PrefixCache::find(std::string_view text) {
  std::uint64_t chain = 0;
  std::size_t offset = 0;
  for (; offset + kBlockBytes <= text.size(); offset += kBlockBytes) {
    chain = XXH3_64bits_withSeed(text.data() + offset, kBlockBytes, chain);
    const auto found = blocks_.find(chain);
    if (found == blocks_.end()) break;
    recency_.splice(recency_.begin(), recency_, found->second);
  }
  return offset;
}

void PrefixCache::insert(std::string_view text) {
  std::uint64_t chain = 0;
  for (std::size_t offset = 0; offset + kBlockBytes <= text.size(); offset += kBlockBytes) {
    chain = XXH3_64bits_withSeed(text.data() + offset, kBlockBytes, chain);
    touch(chain);
  }
}

void PrefixCache::touch(std::uint64_t hash) {
  const auto found = blocks_.find(hash);
  if (found != blocks_.end()) {
    recency_.splice(recency_.begin(), recency_, found->second);
    return;
  }
  recency_.push_front(hash);
  blocks_[hash] = recency_.begin();
  if (blocks_.size() > maxBlocks_) {
    blocks_.erase(recency_.back());
    recency_.pop_back();
  }
}

void PrefixCache::clear() {
  blocks_.clear();
  recency_.clear();
}

}  // namespace garnethook::fake_engine
