// Threads that run jobs in slices, in the order that WorkQueue decides. Owned and called by one thread, whose
// turn gets the results.
#pragma once

#include <condition_variable>
#include <exception>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include "scheduler/work_queue.h"

namespace garnethook::scheduler {

// Runs on workers, one slice at a time, never two at once.
class Job {
 public:
  virtual ~Job() = default;
  // Works for about so much cost and returns what is left; 0: done. May throw: the job is over then.
  virtual std::size_t slice(std::size_t cost) = 0;
};

struct PoolOptions {
  QueueOptions queue;
  std::size_t sliceCost = 8u << 10;
};

struct PoolCounters {
  std::uint64_t taken = 0;
  std::uint64_t full = 0;  // not taken: no budget
  std::uint64_t done = 0;
  std::uint64_t failed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t slices = 0;
};

class WorkerPool {
 public:
  // `post` runs a task in the owner's thread, and may be called from any.
  WorkerPool(const PoolOptions& options, std::function<void(std::function<void()>)> post);
  // Waits for the slices that run; no call comes after.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  // `done` comes in the owner's thread, never within submit(); with the exception where a slice threw. None:
  // the budget is used up.
  using Done = std::function<void(std::exception_ptr)>;
  std::optional<JobId> submit(Level level, std::size_t cost, std::shared_ptr<Job> job, Done done);
  // `done` does not come any more. A slice that runs goes on to its end.
  void cancel(JobId id);

  PoolCounters counters() const;
  std::size_t jobs(Level level) const;
  std::size_t cost(Level level) const;

 private:
  void work();

  PoolOptions options_;
  std::function<void(std::function<void()>)> post_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  WorkQueue queue_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Job>> jobs_;
  PoolCounters counters_;
  bool stopping_ = false;
  std::uint64_t nextId_ = 1;
  // Of the owner's thread alone.
  std::shared_ptr<std::unordered_map<std::uint64_t, Done>> waiting_ =
      std::make_shared<std::unordered_map<std::uint64_t, Done>>();
  std::vector<std::thread> threads_;
};

}  // namespace garnethook::scheduler
