// Counts prompts for the loop's thread: at once where the count is remembered or the text is short, else on
// workers, and by estimate where the workers' queue is full, a count takes too long or the tokeniser fails.
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
  std::size_t inlineBytes = 2048;  // shorter texts are counted in the loop's thread
  std::size_t lookBytes =
      64u << 10;                  // and of texts up to this it looks there whether the count is remembered
  Micros timeout = 200'000;       // then the estimate is taken
  double charactersPerToken = 4;  // the estimate where nothing is learnt
  bool sessionIds = false;        // keep the ids of conversations
};

struct CounterCounters {
  std::uint64_t prompts = 0;
  std::uint64_t remembered = 0;  // counts that were known; the others of a prompt may not be
  std::uint64_t inLoop = 0;      // counted in the loop's thread
  std::uint64_t onWorkers = 0;   // counted there
  std::uint64_t estimatedFull = 0;
  std::uint64_t estimatedLate = 0;
  std::uint64_t estimatedFailed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t bytes = 0;         // of all prompts
  std::uint64_t bytesEncoded = 0;  // of them, not remembered
};

enum class Estimate { none, noFile, full, late, failed };
std::string_view name(Estimate e);

struct VersionCount {
  std::uint64_t number = 0;  // of the loaded tokeniser
  double prompt = 0;
  double shared = 0;
};
struct PromptCounts {
  double main = 0;  // by the tokeniser of most engines; an estimate where `estimate` says so
  double mainShared = 0;
  Estimate estimate = Estimate::none;
  std::vector<VersionCount> exact;  // one for each tokeniser in use that was counted
  std::shared_ptr<const TokenBlocks> blocks;
};

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
    Micros timeout =
        0;  // then the estimate is taken, or after the options' time where that is less; 0: after that
  };
  Counter(const CounterOptions& options, timing::Timers& timers,
          std::function<void(std::function<void()>)> post);
  ~Counter();

  // Counts with every one of `tokenisers`, the first being the main one. `done` comes once, maybe before this
  // returns; then the ticket is 0.
  using Done = std::function<void(const PromptCounts&)>;
  CountTicket count(Prompt prompt, const std::vector<LoadedTokeniser>& tokenisers, Done done);
  // `done` does not come any more; work that nobody waits for stops.
  void cancel(CountTicket ticket);

  // Background work on the same workers.
  scheduler::WorkerPool& workers() { return pool_; }
  const CounterCounters& counters() const { return counters_; }
  const CountStore& store() const { return store_; }
  std::size_t open() const { return open_.size(); }

 private:
  struct Part {
    std::uint64_t number = 0;
    std::shared_ptr<PromptCount> count;
    std::optional<scheduler::JobId> job;
    bool known = false;
  };
  struct Open {
    std::size_t bytes = 0;
    std::size_t characters = 0;
    std::size_t sharedCharacters = 0;
    std::vector<Part> parts;
    std::size_t waiting = 0;
    Estimate error = Estimate::none;
    Done done;
    timing::TimerKey late;
  };
  PromptCounts result(const Open& open);
  void finish(std::uint64_t ticket);
  void partDone(std::uint64_t ticket, std::size_t part, std::exception_ptr error);

  CounterOptions options_;
  timing::Timers& timers_;
  CountStore store_;
  CounterCounters counters_;
  std::unordered_map<std::uint64_t, Open> open_;
  std::uint64_t next_ = 1;
  scheduler::WorkerPool pool_;
};

}  // namespace garnethook::counting
