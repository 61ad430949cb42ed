// Token ids of sessions. A next turn whose text begins with that of the previous turn only encodes the new
// part. Memory, including list nodes and hash buckets, is bounded; the least recently used sessions are
// evicted first. Not thread-safe.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <unordered_map>

#include "counting/digest.h"
#include "counting/token_blocks.h"
#include "tokeniser/tokeniser.h"

namespace garnethook::counting {

class SessionTokens {
 public:
  struct Turn {
    std::size_t bytes = 0;                      // length of the prefix that `prefixDigest` identifies
    Digest prefixDigest;                        // also covers the tokeniser and its options
    tokeniser::EncodingPosition mark;           // end of the tokens that are certain
    std::shared_ptr<const TokenBlocks> tokens;  // token ids of text[0, mark.at)
  };
  explicit SessionTokens(std::size_t bytes) : capacityBytes_(bytes) {}

  // `session`: digest of session key, tokeniser and options.
  std::optional<Turn> find(const Digest& session);
  // A turn larger than a quarter of the memory bound is not stored.
  void put(const Digest& session, Turn turn);

  std::size_t size() const { return index_.size(); }
  std::size_t memory() const { return used_ + index_.bucket_count() * sizeof(void*); }

 private:
  struct Node {
    Digest key;
    Turn turn;
    std::size_t bytes;
  };
  struct Hash {
    std::size_t operator()(const Digest& digest) const { return static_cast<std::size_t>(digest.low); }
  };
  // Size of a list node and a map node, each with the allocator's header.
  static constexpr std::size_t kNodeBytes =
      sizeof(Node) + 2 * sizeof(void*) + 16 + sizeof(Digest) + 4 * sizeof(void*) + 16;
  void evict(std::list<Node>::iterator at);

  std::size_t capacityBytes_;
  std::size_t used_ = 0;
  std::list<Node> recency_;  // most recently used first
  std::unordered_map<Digest, std::list<Node>::iterator, Hash> index_;
};

}  // namespace garnethook::counting
