#include "scheduler/worker_pool.h"

#include <algorithm>

namespace garnethook::scheduler {

WorkerPool::WorkerPool(const PoolOptions& options, std::function<void(std::function<void()>)> post)
    : options_(options), post_(std::move(post)), queue_(options.queue) {
  for (unsigned i = 0; i < std::max(1U, options.queue.workers); ++i)
    threads_.emplace_back([this] { work(); });
}

WorkerPool::~WorkerPool() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  for (auto& t : threads_) t.join();
  waiting_->clear();
}

std::optional<JobId> WorkerPool::submit(Level level, std::size_t cost, std::shared_ptr<Job> job, Done done) {
  JobId id;
  {
    const std::lock_guard lock(mutex_);
    id = {nextId_++};
    if (!queue_.add(id, level, cost)) {
      ++counters_.full;
      return std::nullopt;
    }
    ++counters_.taken;
    jobs_.emplace(id.value, std::move(job));
    waiting_->emplace(id.value, std::move(done));
  }
  wake_.notify_one();
  return id;
}

void WorkerPool::cancel(JobId id) {
  if (waiting_->erase(id.value) == 0) return;
  const std::lock_guard lock(mutex_);
  ++counters_.cancelled;
  if (queue_.cancel(id)) jobs_.erase(id.value);
}

void WorkerPool::work() {
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
    std::size_t left = 0;
    std::exception_ptr error;
    try {
      left = job->slice(options_.sliceCost);
    } catch (...) { error = std::current_exception(); }
    lock.lock();
    const bool over = queue_.ran(*id, left);
    // The end of a long one's slice may let another run.
    wake_.notify_one();
    if (!over) continue;
    jobs_.erase(id->value);
    if (left > 0) continue;  // cancelled
    ++(error ? counters_.failed : counters_.done);
    post_([waiting = std::weak_ptr(waiting_), id = id->value, error] {
      const auto all = waiting.lock();
      if (!all) return;
      const auto at = all->find(id);
      if (at == all->end()) return;  // cancelled
      const Done done = std::move(at->second);
      all->erase(at);
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
