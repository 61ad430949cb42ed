// Which job a free worker takes next, and which jobs are taken at all. Decides only: no threads, no clock.
//
// Jobs run in slices. Of the jobs of a level the one with the least left goes first, so a short one waits for
// a slice at most, never for a long one; each kOldestEvery-th slice goes to the oldest, so that a long one
// ends under any flood of short ones. Levels go in their order, and each kLowerEvery-th slice to the next
// level. Long jobs never run on all workers at once.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

namespace garnethook::scheduler {

struct JobId {
  std::uint64_t value = 0;
  friend auto operator<=>(const JobId&, const JobId&) = default;
};

// Somebody waits for the answer; or nobody does.
enum class Level { waited, background };
constexpr std::size_t kLevels = 2;

struct Budget {
  std::size_t jobs = 1024;        // waiting and running
  std::size_t cost = 256u << 20;  // what is left of them, in the jobs' own unit
};

struct QueueOptions {
  unsigned workers = 2;
  std::size_t longCost = 16u << 10;  // a job with more left than this is a long one
  std::array<Budget, kLevels> budgets{};
};

class WorkQueue {
 public:
  static constexpr std::uint64_t kOldestEvery = 8;
  static constexpr std::uint64_t kLowerEvery = 16;

  explicit WorkQueue(const QueueOptions& options) : options_(options) {}

  // False: the level's budget is used up, nothing is kept of it. Ids are not used twice.
  bool add(JobId id, Level level, std::size_t cost);
  // The job to run a slice of now; none where all are running or may not run yet.
  std::optional<JobId> next();
  // Its slice is over with so much left. True: it is done (0 left) or cancelled, and forgotten.
  bool ran(JobId id, std::size_t left);
  // Forgets a job. True where it was not running; a running one is forgotten when its slice is over.
  bool cancel(JobId id);

  std::size_t jobs(Level level) const { return loads_[index(level)].jobs; }
  std::size_t cost(Level level) const { return loads_[index(level)].cost; }

 private:
  struct Job {
    Level level = Level::waited;
    std::size_t left = 0;
    bool running = false;
    bool cancelled = false;
  };
  struct Load {
    std::size_t jobs = 0;
    std::size_t cost = 0;
    std::set<std::pair<std::size_t, JobId>> byLeft;  // those that wait for a slice
    std::set<JobId> byAge;
    std::uint64_t slices = 0;
  };
  static std::size_t index(Level level) { return static_cast<std::size_t>(level); }
  std::optional<JobId> pick(Load& load) const;
  void wait(JobId id, const Job& job);
  void unwait(JobId id, const Job& job);
  void forget(JobId id);
  bool isLong(std::size_t left) const { return left > options_.longCost; }

  QueueOptions options_;
  std::unordered_map<std::uint64_t, Job> jobs_;
  std::array<Load, kLevels> loads_;
  unsigned runningLong_ = 0;
  std::uint64_t slices_ = 0;
};

}  // namespace garnethook::scheduler
