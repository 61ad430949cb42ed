// Counts the tokens of prompts for the event loop's thread. A count that is cached or whose text is short is
// computed inline, any other on the worker pool. The count is estimated if the worker queue is full, counting
// times out or the tokeniser fails.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "counting/prompt_count.h"
#include "counting/tokeniser_registry.h"
#include "scheduler/worker_pool.h"
#include "timing/timers.h"

namespace garnethook::counting {

using timing::Micros;

struct CounterOptions {
  CountStore::Options store;
  scheduler::PoolOptions pool;
  std::size_t inlineBytes = 2048;  // texts up to this size are counted in the loop's thread
  // Texts up to this size are looked up in the cache in the loop's thread.
  std::size_t cacheLookupBytes = 64u << 10;
  Micros timeout = 200'000;       // after this the count is estimated
  double charactersPerToken = 4;  // used for estimates if no tokeniser has counted the prompt
  bool sessionIds = false;        // keep the token ids of sessions
};

struct CounterCounters {
  std::uint64_t prompts = 0;
  // Counts found in the cache, one per tokeniser; a prompt's other counts may be missing from it.
  std::uint64_t remembered = 0;
  std::uint64_t countedInline = 0;  // counts computed in the loop's thread
  std::uint64_t onWorkers = 0;      // counts computed on the worker pool
  std::uint64_t estimatedFull = 0;
  std::uint64_t estimatedLate = 0;
  std::uint64_t estimatedFailed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t bytes = 0;         // total size of all prompts
  std::uint64_t bytesEncoded = 0;  // of these, bytes that were not in the cache
};

// Why a count was estimated.
enum class Estimate { none, noFile, full, late, failed };
std::string_view name(Estimate cause);

struct VersionCount {
  std::uint64_t number = 0;  // load number of the tokeniser
  double prompt = 0;
  double shared = 0;
};
struct PromptCounts {
  double main = 0;  // by the tokeniser that most engines use; estimated unless `estimate` is none
  double mainShared = 0;
  Estimate estimate = Estimate::none;
  std::vector<VersionCount> exact;  // one per tokeniser in use that counted the prompt
  std::shared_ptr<const TokenBlocks> blocks;
};

// Identifies a pending count; 0 if there is none.
struct CountTicket {
  std::uint64_t value = 0;
};

class Counter {
 public:
  struct Prompt {
    std::shared_ptr<const std::string> text;
    std::size_t sharedPrefixBytes = 0;
    std::string session;
    bool specialTokens = false;
    // Time until the count is estimated, at most CounterOptions::timeout; 0 means that timeout.
    Micros timeout = 0;
  };
  Counter(const CounterOptions& options, timing::Timers& timers,
          std::function<void(std::function<void()>)> post);
  ~Counter();

  // Counts the prompt with each of `tokenisers`; the first gives the main count. `done` is called once,
  // possibly before this returns; the ticket is 0 in that case.
  using Done = std::function<void(const PromptCounts&)>;
  CountTicket count(Prompt prompt, const std::vector<LoadedTokeniser>& tokenisers, Done done);
  // After this, `done` is not called; the count's outstanding jobs are cancelled.
  void cancel(CountTicket ticket);

  // The worker pool, also available for background jobs.
  scheduler::WorkerPool& workers() { return pool_; }
  const CounterCounters& counters() const { return counters_; }
  const CountStore& store() const { return store_; }
  std::size_t open() const { return pending_.size(); }

 private:
  struct Part {
    std::uint64_t number = 0;
    std::shared_ptr<PromptCount> count;
    std::optional<scheduler::JobId> job;
    bool counted = false;
  };
  struct PendingPrompt {
    std::size_t bytes = 0;
    std::size_t characters = 0;
    std::size_t sharedCharacters = 0;
    std::vector<Part> parts;
    std::size_t runningParts = 0;
    Estimate error = Estimate::none;
    Done done;
    timing::TimerKey timeoutTimer;
  };
  PromptCounts result(const PendingPrompt& pending);
  void finish(std::uint64_t ticket);
  void onPartDone(std::uint64_t ticket, std::size_t part, std::exception_ptr error);

  CounterOptions options_;
  timing::Timers& timers_;
  CountStore store_;
  CounterCounters counters_;
  std::unordered_map<std::uint64_t, PendingPrompt> pending_;
  std::uint64_t nextTicket_ = 1;
  scheduler::WorkerPool pool_;
};

}  // namespace garnethook::counting
