#include "scheduler/worker_pool.h"

#include <algorithm>

namespace garnethook::scheduler {

WorkerPool::WorkerPool(const PoolOptions& options, std::function<void(std::function<void()>)> post)
    : options_(options), post_(std::move(post)), queue_(options.queue) {
  for (unsigned i = 0; i < std::max(1U, options.queue.workers); ++i)
    threads_.emplace_back([this] { runWorker(); });
}

WorkerPool::~WorkerPool() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  for (auto& thread : threads_) thread.join();
  callbacks_->clear();
}

std::optional<JobId> WorkerPool::submit(Level level, std::size_t cost, std::shared_ptr<Job> job, Done done) {
  JobId id;
  {
    const std::lock_guard lock(mutex_);
    id = {nextId_++};
    if (!queue_.add(id, level, cost)) {
      ++counters_.rejected;
      return std::nullopt;
    }
    ++counters_.accepted;
    jobs_.emplace(id.value, std::move(job));
    callbacks_->emplace(id.value, std::move(done));
  }
  wake_.notify_one();
  return id;
}

void WorkerPool::cancel(JobId id) {
  if (callbacks_->erase(id.value) == 0) return;
  const std::lock_guard lock(mutex_);
  ++counters_.cancelled;
  if (queue_.cancel(id)) jobs_.erase(id.value);
}

void WorkerPool::runWorker() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const auto id = queue_.next();
    if (!id) {
      wake_.wait(lock);
      continue;
    }
    const std::shared_ptr<Job> job = jobs_.at(id->value);
    ++counters_.slices;
    lock.unlock();
    std::size_t remaining = 0;
    std::exception_ptr error;
    try {
      remaining = job->slice(options_.sliceCost);
    } catch (...) { error = std::current_exception(); }
    lock.lock();
    const bool finished = queue_.sliceFinished(*id, remaining);
    // The end of a long job's slice may allow another long job to run.
    wake_.notify_one();
    if (!finished) continue;
    jobs_.erase(id->value);
    if (remaining > 0) continue;  // cancelled
    ++(error ? counters_.failed : counters_.done);
    post_([callbacks = std::weak_ptr(callbacks_), id = id->value, error] {
      const auto pending = callbacks.lock();
      if (!pending) return;
      const auto at = pending->find(id);
      if (at == pending->end()) return;  // cancelled
      const Done done = std::move(at->second);
      pending->erase(at);
      done(error);
    });
  }
}

PoolCounters WorkerPool::counters() const {
  const std::lock_guard lock(mutex_);
  return counters_;
}

std::size_t WorkerPool::jobs(Level level) const {
  const std::lock_guard lock(mutex_);
  return queue_.jobs(level);
}

std::size_t WorkerPool::cost(Level level) const {
  const std::lock_guard lock(mutex_);
  return queue_.cost(level);
}

}  // namespace garnethook::scheduler
