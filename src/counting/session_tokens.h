// Token ids of conversations, so that a next turn that begins with the last one's text encodes only what is
// new. A bound in bytes that counts nodes and buckets; the least lately used go first. Used by one thread at
// a time.
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
    std::size_t bytes = 0;                      // the beginning of the text that `beginning` names
    Digest beginning;                           // of tokeniser and options too
    tokeniser::EncodingPosition mark;           // how far its tokens are certain
    std::shared_ptr<const TokenBlocks> tokens;  // of text[0, mark.at)
  };
  explicit SessionTokens(std::size_t bytes) : most_(bytes) {}

  // `session`: of key, tokeniser and options.
  std::optional<Turn> find(const Digest& session);
  // Not kept where it alone is beyond a quarter of the bound.
  void put(const Digest& session, Turn turn);

  std::size_t size() const { return byKey_.size(); }
  std::size_t memory() const { return used_ + byKey_.bucket_count() * sizeof(void*); }

 private:
  struct Held {
    Digest key;
    Turn turn;
    std::size_t bytes;
  };
  struct Hash {
    std::size_t operator()(const Digest& d) const { return static_cast<std::size_t>(d.low); }
  };
  // List node and map node, each with the allocator's header.
  static constexpr std::size_t kNode =
      sizeof(Held) + 2 * sizeof(void*) + 16 + sizeof(Digest) + 4 * sizeof(void*) + 16;
  void drop(std::list<Held>::iterator at);

  std::size_t most_;
  std::size_t used_ = 0;
  std::list<Held> order_;  // newest first
  std::unordered_map<Digest, std::list<Held>::iterator, Hash> byKey_;
};

}  // namespace garnethook::counting
