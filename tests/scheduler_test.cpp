#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <queue>

#include "scheduler/worker_pool.h"

namespace garnethook::scheduler {
namespace {

TEST(WorkQueue, ShortJobWaitsForAtMostOneSliceOfALongJob) {
  WorkQueue queue({.workers = 1, .longCost = 100});
  ASSERT_TRUE(queue.add({1}, Level::foreground, 1'000'000));
  EXPECT_EQ(queue.next()->value, 1U);
  ASSERT_TRUE(queue.add({2}, Level::foreground, 10));
  EXPECT_FALSE(queue.sliceFinished({1}, 900'000));
  EXPECT_EQ(queue.next()->value, 2U);
  EXPECT_TRUE(queue.sliceFinished({2}, 0));
  EXPECT_EQ(queue.next()->value, 1U);
}

TEST(WorkQueue, LongJobsLeaveOneWorkerFree) {
  WorkQueue queue({.workers = 3, .longCost = 100});
  for (std::uint64_t id = 1; id <= 5; ++id) ASSERT_TRUE(queue.add({id}, Level::foreground, 1000 + id));
  EXPECT_TRUE(queue.next());
  EXPECT_TRUE(queue.next());
  EXPECT_FALSE(queue.next()) << "the third worker is reserved for short jobs";
  ASSERT_TRUE(queue.add({9}, Level::foreground, 50));
  EXPECT_EQ(queue.next()->value, 9U);
}

TEST(WorkQueue, LongJobCompletesDuringAFloodOfShortJobs) {
  WorkQueue queue({.workers = 1, .longCost = 100});
  ASSERT_TRUE(queue.add({1}, Level::foreground, 1000));
  std::uint64_t next = 2;
  std::size_t remaining = 1000;
  int slices = 0;
  for (; remaining > 0 && slices < 1000; ++slices) {
    while (queue.jobs(Level::foreground) < 5) ASSERT_TRUE(queue.add({next++}, Level::foreground, 10));
    const auto id = queue.next();
    ASSERT_TRUE(id);
    if (id->value == 1) remaining -= 100;
    queue.sliceFinished(*id, id->value == 1 ? remaining : 0);
  }
  EXPECT_EQ(remaining, 0U);
  EXPECT_LE(slices, 10 * static_cast<int>(WorkQueue::kOldestJobInterval) + 1);
}

TEST(WorkQueue, BackgroundJobsRunWhenIdleAndPeriodicallyOtherwise) {
  WorkQueue queue({.workers = 1});
  ASSERT_TRUE(queue.add({1}, Level::background, 1000));
  EXPECT_EQ(queue.next()->value, 1U);
  queue.sliceFinished({1}, 900);
  int background = 0;
  for (std::uint64_t i = 0; i < 64; ++i) {
    ASSERT_TRUE(queue.add({10 + i}, Level::foreground, 10));
    const auto id = queue.next();
    if (id->value == 1) {
      ++background;
      queue.sliceFinished(*id, 900);
    } else {
      queue.sliceFinished(*id, 0);
    }
  }
  EXPECT_EQ(background, 64 / static_cast<int>(WorkQueue::kLowerLevelInterval));
}

TEST(WorkQueue, EnforcesBudgets) {
  WorkQueue queue({.workers = 1, .longCost = 100, .budgets = {Budget{2, 1000}, Budget{10, 50}}});
  EXPECT_TRUE(queue.add({1}, Level::foreground, 5000)) << "a single job is always accepted";
  EXPECT_FALSE(queue.add({2}, Level::foreground, 1));
  EXPECT_TRUE(queue.cancel({1}));
  EXPECT_TRUE(queue.add({3}, Level::foreground, 600));
  EXPECT_FALSE(queue.add({4}, Level::foreground, 600));
  EXPECT_TRUE(queue.add({5}, Level::foreground, 300));
  EXPECT_FALSE(queue.add({6}, Level::foreground, 1)) << "two jobs at most";
  EXPECT_TRUE(queue.add({7}, Level::background, 50)) << "the background level has its own budget";
  EXPECT_EQ(queue.cost(Level::foreground), 900U);
}

TEST(WorkQueue, CancelledJobIsRemovedAfterItsSlice) {
  WorkQueue queue({.workers = 2});
  queue.add({1}, Level::foreground, 1000);
  EXPECT_EQ(queue.next()->value, 1U);
  EXPECT_FALSE(queue.cancel({1}));
  EXPECT_TRUE(queue.sliceFinished({1}, 500));
  EXPECT_FALSE(queue.next());
  EXPECT_EQ(queue.jobs(Level::foreground), 0U);
  EXPECT_EQ(queue.cost(Level::foreground), 0U);
}

// Replaces the owner's thread: posted tasks are queued until the test runs them.
class TaskQueue {
 public:
  std::function<void(std::function<void()>)> post() {
    return [this](std::function<void()> task) {
      const std::lock_guard lock(mutex_);
      tasks_.push(std::move(task));
      wake_.notify_one();
    };
  }
  bool runOne(std::chrono::milliseconds within = std::chrono::seconds(20)) {
    std::function<void()> task;
    {
      std::unique_lock lock(mutex_);
      if (!wake_.wait_for(lock, within, [&] { return !tasks_.empty(); })) return false;
      task = std::move(tasks_.front());
      tasks_.pop();
    }
    task();
    return true;
  }

 private:
  std::mutex mutex_;
  std::condition_variable wake_;
  std::queue<std::function<void()>> tasks_;
};

struct SlicedJob final : Job {
  explicit SlicedJob(std::size_t initialCost) : remaining(initialCost) {}
  std::size_t slice(std::size_t cost) override {
    if (running.exchange(true)) ranConcurrently = true;
    if (gate.valid()) gate.wait();
    if (fails) throw std::runtime_error("job failed");
    ++slices;
    remaining -= std::min(remaining, cost);
    running = false;
    return remaining;
  }
  std::size_t remaining;
  std::atomic<int> slices = 0;
  std::atomic<bool> running = false;
  std::atomic<bool> ranConcurrently = false;
  bool fails = false;
  std::shared_future<void> gate;
};

TEST(WorkerPool, RunsJobsInSlicesAndNotifiesTheOwner) {
  TaskQueue owner;
  WorkerPool pool({.queue = {.workers = 3}, .sliceCost = 10}, owner.post());
  std::vector<std::shared_ptr<SlicedJob>> jobs;
  int done = 0;
  for (std::size_t i = 0; i < 100; ++i) {
    jobs.push_back(std::make_shared<SlicedJob>(1 + i));
    ASSERT_TRUE(pool.submit(Level::foreground, 1 + i, jobs.back(), [&](std::exception_ptr error) {
      EXPECT_FALSE(error);
      ++done;
    }));
  }
  while (done < 100) ASSERT_TRUE(owner.runOne());
  for (std::size_t i = 0; i < 100; ++i) {
    EXPECT_EQ(jobs[i]->slices, static_cast<int>((1 + i + 9) / 10));
    EXPECT_FALSE(jobs[i]->ranConcurrently);
  }
  EXPECT_EQ(pool.counters().done, 100U);
}

TEST(WorkerPool, CancelledJobStopsWithoutCallback) {
  TaskQueue owner;
  std::promise<void> gateOpened;
  auto cancelledJob = std::make_shared<SlicedJob>(1'000'000);
  cancelledJob->gate = gateOpened.get_future().share();
  {
    WorkerPool pool({.queue = {.workers = 1}, .sliceCost = 1}, owner.post());
    const auto id = pool.submit(Level::foreground, 1'000'000, cancelledJob, [](std::exception_ptr) {
      FAIL() << "callback of a cancelled job was called";
    });
    while (!cancelledJob->running) std::this_thread::yield();
    pool.cancel(*id);
    pool.cancel(*id);
    gateOpened.set_value();
    bool otherDone = false;
    ASSERT_TRUE(pool.submit(Level::foreground, 1, std::make_shared<SlicedJob>(1),
                            [&](std::exception_ptr) { otherDone = true; }));
    while (!otherDone) ASSERT_TRUE(owner.runOne());
    EXPECT_EQ(pool.jobs(Level::foreground), 0U);
    EXPECT_LE(cancelledJob->slices, 1);
  }
  EXPECT_EQ(cancelledJob.use_count(), 1) << "the pool still holds a reference";
}

TEST(WorkerPool, ThrowingJobFails) {
  TaskQueue owner;
  WorkerPool pool({.queue = {.workers = 1}}, owner.post());
  auto job = std::make_shared<SlicedJob>(10);
  job->fails = true;
  bool errorReported = false;
  pool.submit(Level::foreground, 10, job,
              [&](std::exception_ptr error) { errorReported = error != nullptr; });
  ASSERT_TRUE(owner.runOne());
  EXPECT_TRUE(errorReported);
  EXPECT_EQ(pool.counters().failed, 1U);
}

TEST(WorkerPool, DestroyedWithWaitingJobs) {
  TaskQueue owner;
  WorkerPool pool({.queue = {.workers = 2}, .sliceCost = 1}, owner.post());
  for (int i = 0; i < 50; ++i)
    pool.submit(Level::background, 1'000'000, std::make_shared<SlicedJob>(1'000'000),
                [](std::exception_ptr) {});
}

}  // namespace
}  // namespace garnethook::scheduler
