// Thread pool that runs jobs in slices, in the order given by WorkQueue. It is owned and called by one
// thread, on which the completion callbacks run.
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

// A unit of work. Its slices run on worker threads, never two at once.
class Job {
 public:
  virtual ~Job() = default;
  // Does work of about `cost` and returns the remaining cost; 0 if the job is done. An exception ends the
  // job.
  virtual std::size_t slice(std::size_t cost) = 0;
};

struct PoolOptions {
  QueueOptions queue;
  std::size_t sliceCost = 8u << 10;
};

struct PoolCounters {
  std::uint64_t accepted = 0;
  std::uint64_t rejected = 0;  // budget exhausted
  std::uint64_t done = 0;
  std::uint64_t failed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t slices = 0;
};

class WorkerPool {
 public:
  // `post` runs a task on the owner's thread and must be callable from any thread.
  WorkerPool(const PoolOptions& options, std::function<void(std::function<void()>)> post);
  // Waits for running slices. No callback is called afterwards.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  // `done` is called on the owner's thread, never within submit(), with the exception if a slice threw one.
  // Returns nothing if the budget is exhausted.
  using Done = std::function<void(std::exception_ptr)>;
  std::optional<JobId> submit(Level level, std::size_t cost, std::shared_ptr<Job> job, Done done);
  // After this, `done` is not called. A running slice continues to its end.
  void cancel(JobId id);

  PoolCounters counters() const;
  std::size_t jobs(Level level) const;
  std::size_t cost(Level level) const;

 private:
  void runWorker();

  PoolOptions options_;
  std::function<void(std::function<void()>)> post_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  WorkQueue queue_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Job>> jobs_;
  PoolCounters counters_;
  bool stopping_ = false;
  std::uint64_t nextId_ = 1;
  // Accessed only on the owner's thread.
  std::shared_ptr<std::unordered_map<std::uint64_t, Done>> callbacks_ =
      std::make_shared<std::unordered_map<std::uint64_t, Done>>();
  std::vector<std::thread> threads_;
};

}  // namespace garnethook::scheduler
