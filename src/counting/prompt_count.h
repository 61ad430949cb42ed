// Counts one prompt with one tokeniser. Cached counts are looked up, the rest is encoded in slices, and the
// count of each prefix that is certain is cached on the way.
//
// Resuming from a cached prefix is correct because Tokeniser::advance() reports for text[0, limit) only what
// holds for every text with that prefix, and the digest covers those bytes, the tokeniser's version and the
// options. Another text with the same prefix therefore has the same tokens up to the same mark, and is
// encoded from there.
#pragma once

#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "counting/count_cache.h"
#include "counting/digest.h"
#include "counting/session_tokens.h"
#include "counting/token_blocks.h"
#include "scheduler/worker_pool.h"
#include "tokeniser/tokeniser.h"

namespace garnethook::counting {

// Cache shared by all counts. Thread-safe.
class CountStore {
 public:
  struct Options {
    std::size_t countBytes = 32u << 20;
    std::size_t sessionBytes = 64u << 20;
  };
  explicit CountStore(const Options& options) : cache_(options.countBytes), sessions_(options.sessionBytes) {}

  std::optional<tokeniser::EncodingPosition> find(const Digest& key);
  void put(const Digest& key, const tokeniser::EncodingPosition& mark);
  std::optional<SessionTokens::Turn> turn(const Digest& session);
  void putTurn(const Digest& session, SessionTokens::Turn turn);
  const DigestKey& key() const { return key_; }
  std::size_t memory() const;
  CacheCounters counters() const;

  // Buffers that a worker uses during one slice; reused for later slices.
  struct Scratch {
    explicit Scratch(const DigestKey& key) : digester(key) {}
    Digester digester;
    tokeniser::Workspace workspace;
  };
  std::unique_ptr<Scratch> acquireScratch();
  void releaseScratch(std::unique_ptr<Scratch> scratch);

 private:
  const DigestKey key_;
  mutable std::mutex mutex_;
  CountCache cache_;
  SessionTokens sessions_;
  std::mutex scratchMutex_;
  std::vector<std::unique_ptr<Scratch>> scratch_;
};

struct CountRequest {
  std::shared_ptr<const tokeniser::Tokeniser> tokeniser;
  std::string identity;  // tokeniser, version and load number; separates their cached counts
  std::shared_ptr<const std::string> text;
  std::size_t sharedPrefixBytes = 0;  // length of the prefix that other requests share
  std::string session;                // if not empty, the token ids are kept for the session's next turn
  bool specialTokens = false;
};

struct Count {
  std::size_t tokens = 0;  // including the tokens that the tokeniser adds before and after the text
  // Tokens of the shared prefix that do not depend on what follows it, including those added before the text.
  std::size_t sharedPrefixTokens = 0;
  std::size_t encoded = 0;                    // bytes that were encoded; the rest came from the cache
  std::shared_ptr<const TokenBlocks> blocks;  // only set for a prompt with a session
};

class PromptCount final : public scheduler::Job {
 public:
  // Bytes encoded between two cached prefixes.
  static constexpr std::size_t kCheckpointBytes = PrefixDigests::kBlockBytes;

  // The store must outlive this object.
  PromptCount(CountStore& store, CountRequest request);
  // Looks up the whole text in the cache, reading it once. If this returns true, result() is valid.
  bool findCached();
  // Throws what the tokeniser throws.
  std::size_t slice(std::size_t bytes) override;
  const Count& result() const { return result_; }

 private:
  void prepare(CountStore::Scratch& scratch);
  void finish();
  std::size_t nextLimit() const;
  tokeniser::EncodingPosition findLongestPrefix(PrefixDigests& prefixDigests, std::size_t maxBytes);

  CountStore& store_;
  CountRequest request_;
  tokeniser::TextOptions options_;
  std::string rewritten_;  // the text, if it had to be repaired or normalised
  std::string_view text_;  // the text that is encoded
  Digest identity_;
  std::optional<PrefixDigests> prefixDigests_;
  std::unique_ptr<CountStore::Scratch> scratch_;  // kept between slices, since prefixDigests_ refers to it
  bool prepared_ = false;
  bool sharedPrefixCounted_ = false;
  bool collectsIds_ = false;
  Digest session_;
  std::vector<tokeniser::TokenId> ids_;
  tokeniser::EncodingPosition mark_;
  std::size_t limit_ = 0;  // limit of the last advance()
  std::size_t sharedPrefixBytes_ = 0;
  SessionTokens::Turn turn_;
  Count result_;
};

}  // namespace garnethook::counting
