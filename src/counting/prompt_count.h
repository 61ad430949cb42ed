// One prompt being counted with one tokeniser: what is remembered of it is looked up, the rest is encoded in
// slices, and each certain beginning on the way is remembered.
//
// Why a remembered beginning may be gone on from: Tokeniser::advance() tells of text[0, limit) only what
// holds for every text that begins so, and the digest names those bytes, the tokeniser's version and the
// options. Another text with the same beginning therefore has the same tokens up to the same mark, and is
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

// What all counts remember. Any thread.
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
  void keep(const Digest& session, SessionTokens::Turn turn);
  const DigestKey& key() const { return key_; }
  std::size_t memory() const;
  CacheCounters counters() const;

  // Scratch of one worker for one slice; kept for the next.
  struct Tools {
    explicit Tools(const DigestKey& key) : digester(key) {}
    Digester digester;
    tokeniser::Workspace workspace;
  };
  std::unique_ptr<Tools> borrow();
  void giveBack(std::unique_ptr<Tools> tools);

 private:
  const DigestKey key_;
  mutable std::mutex mutex_;
  CountCache cache_;
  SessionTokens sessions_;
  std::mutex toolsMutex_;
  std::vector<std::unique_ptr<Tools>> tools_;
};

struct CountOrder {
  std::shared_ptr<const tokeniser::Tokeniser> tokeniser;
  std::string identity;  // of tokeniser, version and load: counts of one are never taken for another's
  std::shared_ptr<const std::string> text;
  std::size_t sharedPrefixBytes = 0;  // of the text: the beginning that other requests have too
  std::string session;                // not empty: ids are kept for its next turn
  bool specialTokens = false;
};

struct Count {
  std::size_t tokens = 0;  // with the frame
  // Tokens of the shared beginning that are the same whatever follows it, with those before the text.
  std::size_t sharedPrefixTokens = 0;
  std::size_t encoded = 0;                    // bytes that were encoded for it; the rest was remembered
  std::shared_ptr<const TokenBlocks> blocks;  // of a session's prompt; none otherwise
};

class PromptCount final : public scheduler::Job {
 public:
  // Bytes encoded between two remembered beginnings.
  static constexpr std::size_t kStep = Beginnings::kBlock;

  // The store must outlive this.
  PromptCount(CountStore& store, CountOrder order);
  // Looks only whether the whole is remembered; reads the text once. True: result() stands.
  bool remembered();
  // May throw what the tokeniser throws.
  std::size_t slice(std::size_t bytes) override;
  const Count& result() const { return result_; }

 private:
  void prepare(CountStore::Tools& tools);
  void finish();
  std::size_t nextLimit() const;
  tokeniser::EncodingPosition remember(Beginnings& beginnings, std::size_t most);

  CountStore& store_;
  CountOrder order_;
  tokeniser::TextOptions options_;
  std::string changed_;    // the text where it had to be repaired or normalised
  std::string_view text_;  // what is encoded
  Digest identity_;
  std::optional<Beginnings> beginnings_;
  std::unique_ptr<CountStore::Tools> tools_;  // while a slice runs, and until the end: the beginnings use it
  bool prepared_ = false;
  bool sharedKnown_ = false;
  bool keepsIds_ = false;
  Digest session_;
  std::vector<tokeniser::TokenId> ids_;
  tokeniser::EncodingPosition mark_;
  std::size_t limit_ = 0;  // of the last advance
  std::size_t sharedBytes_ = 0;
  SessionTokens::Turn turn_;
  Count result_;
};

}  // namespace garnethook::counting
