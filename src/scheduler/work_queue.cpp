#include "scheduler/work_queue.h"

#include <algorithm>

namespace garnethook::scheduler {

bool WorkQueue::add(JobId id, Level level, std::size_t cost) {
  Load& load = loads_[index(level)];
  const Budget& budget = options_.budgets[index(level)];
  cost = std::max<std::size_t>(cost, 1);
  // A single job is always accepted, or a job larger than the whole budget could never run.
  if (load.jobs >= budget.jobs || (load.jobs > 0 && load.cost + cost > budget.cost)) return false;
  const Job job{level, cost, false, false};
  if (!jobs_.emplace(id.value, job).second) return false;
  ++load.jobs;
  load.cost += cost;
  enqueue(id, job);
  return true;
}

void WorkQueue::enqueue(JobId id, const Job& job) {
  Load& load = loads_[index(job.level)];
  load.byRemainingCost.emplace(job.remaining, id);
  load.bySubmission.insert(id);
}

void WorkQueue::dequeue(JobId id, const Job& job) {
  Load& load = loads_[index(job.level)];
  load.byRemainingCost.erase({job.remaining, id});
  load.bySubmission.erase(id);
}

// A long job may not occupy the last free worker, unless there is only one worker.
std::optional<JobId> WorkQueue::pick(Load& load) const {
  if (load.byRemainingCost.empty()) return std::nullopt;
  const bool longJobAllowed = options_.workers <= 1 || runningLong_ + 1 < options_.workers;
  if (load.slices % kOldestJobInterval == kOldestJobInterval - 1) {
    const JobId oldest = *load.bySubmission.begin();
    if (longJobAllowed || !isLong(jobs_.at(oldest.value).remaining)) return oldest;
  }
  const auto& [remaining, id] = *load.byRemainingCost.begin();
  if (isLong(remaining) && !longJobAllowed) return std::nullopt;
  return id;
}

std::optional<JobId> WorkQueue::next() {
  const bool reverseLevels = slices_ % kLowerLevelInterval == kLowerLevelInterval - 1;
  for (std::size_t i = 0; i < kLevels; ++i) {
    Load& load = loads_[reverseLevels ? kLevels - 1 - i : i];
    const auto id = pick(load);
    if (!id) continue;
    Job& job = jobs_.at(id->value);
    dequeue(*id, job);
    job.running = true;
    if (isLong(job.remaining)) ++runningLong_;
    ++load.slices;
    ++slices_;
    return id;
  }
  return std::nullopt;
}

bool WorkQueue::sliceFinished(JobId id, std::size_t remaining) {
  const auto at = jobs_.find(id.value);
  if (at == jobs_.end()) return true;
  Job& job = at->second;
  Load& load = loads_[index(job.level)];
  if (isLong(job.remaining)) --runningLong_;
  remaining = std::min(remaining, job.remaining);  // a job whose cost grows keeps its share of the budget
  load.cost -= job.remaining - remaining;
  job.remaining = remaining;
  job.running = false;
  if (remaining == 0 || job.cancelled) {
    removeJob(id);
    return true;
  }
  enqueue(id, job);
  return false;
}

bool WorkQueue::cancel(JobId id) {
  const auto at = jobs_.find(id.value);
  if (at == jobs_.end()) return true;
  if (at->second.running) {
    at->second.cancelled = true;
    return false;
  }
  dequeue(id, at->second);
  removeJob(id);
  return true;
}

void WorkQueue::removeJob(JobId id) {
  const auto at = jobs_.find(id.value);
  Load& load = loads_[index(at->second.level)];
  --load.jobs;
  load.cost -= at->second.remaining;
  jobs_.erase(at);
}

}  // namespace garnethook::scheduler
