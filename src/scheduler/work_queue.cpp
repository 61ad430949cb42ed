#include "scheduler/work_queue.h"

#include <algorithm>

namespace garnethook::scheduler {

bool WorkQueue::add(JobId id, Level level, std::size_t cost) {
  Load& load = loads_[index(level)];
  const Budget& budget = options_.budgets[index(level)];
  cost = std::max<std::size_t>(cost, 1);
  // One job is always taken, however large: else a job beyond the whole budget would never run.
  if (load.jobs >= budget.jobs || (load.jobs > 0 && load.cost + cost > budget.cost)) return false;
  const Job job{level, cost, false, false};
  if (!jobs_.emplace(id.value, job).second) return false;
  ++load.jobs;
  load.cost += cost;
  wait(id, job);
  return true;
}

void WorkQueue::wait(JobId id, const Job& job) {
  Load& load = loads_[index(job.level)];
  load.byLeft.emplace(job.left, id);
  load.byAge.insert(id);
}

void WorkQueue::unwait(JobId id, const Job& job) {
  Load& load = loads_[index(job.level)];
  load.byLeft.erase({job.left, id});
  load.byAge.erase(id);
}

// A long job may not take the last worker, unless it is the only one there is.
std::optional<JobId> WorkQueue::pick(Load& load) const {
  if (load.byLeft.empty()) return std::nullopt;
  const bool longMayRun = options_.workers <= 1 || runningLong_ + 1 < options_.workers;
  if (load.slices % kOldestEvery == kOldestEvery - 1) {
    const JobId oldest = *load.byAge.begin();
    if (longMayRun || !isLong(jobs_.at(oldest.value).left)) return oldest;
  }
  const auto& [left, id] = *load.byLeft.begin();
  if (isLong(left) && !longMayRun) return std::nullopt;
  return id;
}

std::optional<JobId> WorkQueue::next() {
  const bool lowerFirst = slices_ % kLowerEvery == kLowerEvery - 1;
  for (std::size_t i = 0; i < kLevels; ++i) {
    Load& load = loads_[lowerFirst ? kLevels - 1 - i : i];
    const auto id = pick(load);
    if (!id) continue;
    Job& job = jobs_.at(id->value);
    unwait(*id, job);
    job.running = true;
    if (isLong(job.left)) ++runningLong_;
    ++load.slices;
    ++slices_;
    return id;
  }
  return std::nullopt;
}

bool WorkQueue::ran(JobId id, std::size_t left) {
  const auto at = jobs_.find(id.value);
  if (at == jobs_.end()) return true;
  Job& job = at->second;
  Load& load = loads_[index(job.level)];
  if (isLong(job.left)) --runningLong_;
  left = std::min(left, job.left);  // a job that grows keeps its place in the budget
  load.cost -= job.left - left;
  job.left = left;
  job.running = false;
  if (left == 0 || job.cancelled) {
    forget(id);
    return true;
  }
  wait(id, job);
  return false;
}

bool WorkQueue::cancel(JobId id) {
  const auto at = jobs_.find(id.value);
  if (at == jobs_.end()) return true;
  if (at->second.running) {
    at->second.cancelled = true;
    return false;
  }
  unwait(id, at->second);
  forget(id);
  return true;
}

void WorkQueue::forget(JobId id) {
  const auto at = jobs_.find(id.value);
  Load& load = loads_[index(at->second.level)];
  --load.jobs;
  load.cost -= at->second.left;
  jobs_.erase(at);
}

}  // namespace garnethook::scheduler
