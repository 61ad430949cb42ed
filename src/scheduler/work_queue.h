// Scheduling policy of the worker pool: which jobs are accepted and which job a free worker runs next. Uses
// no threads and no clock.
//
// Jobs run in slices. Within a level, the job with the least remaining cost runs first, so a short job waits
// for at most one slice of a long one. Every kOldestJobInterval-th slice goes to the oldest job, so a long
// job completes under any flood of short ones. Levels run in order of priority, except that every
// kLowerLevelInterval-th slice goes to the lower level first. Long jobs never occupy all workers at once.
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

// Foreground jobs have a caller waiting for the result; background jobs do not.
enum class Level { foreground, background };
constexpr std::size_t kLevels = 2;

struct Budget {
  std::size_t jobs = 1024;        // maximum number of jobs, waiting or running
  std::size_t cost = 256u << 20;  // maximum total remaining cost, in the unit of the jobs
};

struct QueueOptions {
  unsigned workers = 2;
  std::size_t longCost = 16u << 10;  // a job with a higher remaining cost is a long job
  std::array<Budget, kLevels> budgets{};
};

class WorkQueue {
 public:
  static constexpr std::uint64_t kOldestJobInterval = 8;
  static constexpr std::uint64_t kLowerLevelInterval = 16;

  explicit WorkQueue(const QueueOptions& options) : options_(options) {}

  // Returns false, without storing the job, if the level's budget is exhausted. Ids must be unique.
  bool add(JobId id, Level level, std::size_t cost);
  // Returns the job whose slice to run now, or nothing if all jobs are running or may not run yet.
  std::optional<JobId> next();
  // Reports the end of a job's slice. Returns true if the job is done (nothing remains) or cancelled; it is
  // then removed.
  bool sliceFinished(JobId id, std::size_t remaining);
  // Removes a job and returns true, unless it is running: then it is removed at the end of its slice.
  bool cancel(JobId id);

  std::size_t jobs(Level level) const { return loads_[index(level)].jobs; }
  std::size_t cost(Level level) const { return loads_[index(level)].cost; }

 private:
  struct Job {
    Level level = Level::foreground;
    std::size_t remaining = 0;
    bool running = false;
    bool cancelled = false;
  };
  struct Load {
    std::size_t jobs = 0;
    std::size_t cost = 0;
    std::set<std::pair<std::size_t, JobId>> byRemainingCost;  // jobs that wait for a slice
    std::set<JobId> bySubmission;
    std::uint64_t slices = 0;
  };
  static std::size_t index(Level level) { return static_cast<std::size_t>(level); }
  std::optional<JobId> pick(Load& load) const;
  void enqueue(JobId id, const Job& job);
  void dequeue(JobId id, const Job& job);
  void removeJob(JobId id);
  bool isLong(std::size_t remaining) const { return remaining > options_.longCost; }

  QueueOptions options_;
  std::unordered_map<std::uint64_t, Job> jobs_;
  std::array<Load, kLevels> loads_;
  unsigned runningLong_ = 0;
  std::uint64_t slices_ = 0;
};

}  // namespace garnethook::scheduler
