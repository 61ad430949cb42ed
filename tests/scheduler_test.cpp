#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <queue>

#include "scheduler/worker_pool.h"

namespace garnethook::scheduler {
namespace {

TEST(WorkQueue, AShortJobWaitsForASliceOfALongOneAtMost) {
  WorkQueue queue({.workers = 1, .longCost = 100});
  ASSERT_TRUE(queue.add({1}, Level::waited, 1'000'000));
  EXPECT_EQ(queue.next()->value, 1U);
  ASSERT_TRUE(queue.add({2}, Level::waited, 10));
  EXPECT_FALSE(queue.ran({1}, 900'000));
  EXPECT_EQ(queue.next()->value, 2U);
  EXPECT_TRUE(queue.ran({2}, 0));
  EXPECT_EQ(queue.next()->value, 1U);
}

TEST(WorkQueue, LongJobsLeaveAWorkerFree) {
  WorkQueue queue({.workers = 3, .longCost = 100});
  for (std::uint64_t id = 1; id <= 5; ++id) ASSERT_TRUE(queue.add({id}, Level::waited, 1000 + id));
  EXPECT_TRUE(queue.next());
  EXPECT_TRUE(queue.next());
  EXPECT_FALSE(queue.next()) << "the third worker is kept for short ones";
  ASSERT_TRUE(queue.add({9}, Level::waited, 50));
  EXPECT_EQ(queue.next()->value, 9U);
}

TEST(WorkQueue, ALongJobEndsUnderAFloodOfShortOnes) {
  WorkQueue queue({.workers = 1, .longCost = 100});
  ASSERT_TRUE(queue.add({1}, Level::waited, 1000));
  std::uint64_t next = 2;
  std::size_t left = 1000;
  int slices = 0;
  for (; left > 0 && slices < 1000; ++slices) {
    while (queue.jobs(Level::waited) < 5) ASSERT_TRUE(queue.add({next++}, Level::waited, 10));
    const auto id = queue.next();
    ASSERT_TRUE(id);
    if (id->value == 1) left -= 100;
    queue.ran(*id, id->value == 1 ? left : 0);
  }
  EXPECT_EQ(left, 0U);
  EXPECT_LE(slices, 10 * static_cast<int>(WorkQueue::kOldestEvery) + 1);
}

TEST(WorkQueue, BackgroundRunsWhenNobodyWaitsAndNowAndThenElse) {
  WorkQueue queue({.workers = 1});
  ASSERT_TRUE(queue.add({1}, Level::background, 1000));
  EXPECT_EQ(queue.next()->value, 1U);
  queue.ran({1}, 900);
  int background = 0;
  for (std::uint64_t i = 0; i < 64; ++i) {
    ASSERT_TRUE(queue.add({10 + i}, Level::waited, 10));
    const auto id = queue.next();
    if (id->value == 1) {
      ++background;
      queue.ran(*id, 900);
    } else {
      queue.ran(*id, 0);
    }
  }
  EXPECT_EQ(background, 64 / static_cast<int>(WorkQueue::kLowerEvery));
}

TEST(WorkQueue, BudgetsHold) {
  WorkQueue queue({.workers = 1, .longCost = 100, .budgets = {Budget{2, 1000}, Budget{10, 50}}});
  EXPECT_TRUE(queue.add({1}, Level::waited, 5000)) << "one is always taken";
  EXPECT_FALSE(queue.add({2}, Level::waited, 1));
  EXPECT_TRUE(queue.cancel({1}));
  EXPECT_TRUE(queue.add({3}, Level::waited, 600));
  EXPECT_FALSE(queue.add({4}, Level::waited, 600));
  EXPECT_TRUE(queue.add({5}, Level::waited, 300));
  EXPECT_FALSE(queue.add({6}, Level::waited, 1)) << "two jobs at most";
  EXPECT_TRUE(queue.add({7}, Level::background, 50)) << "a budget of its own";
  EXPECT_EQ(queue.cost(Level::waited), 900U);
}

TEST(WorkQueue, ACancelledJobIsForgottenAfterItsSlice) {
  WorkQueue queue({.workers = 2});
  queue.add({1}, Level::waited, 1000);
  EXPECT_EQ(queue.next()->value, 1U);
  EXPECT_FALSE(queue.cancel({1}));
  EXPECT_TRUE(queue.ran({1}, 500));
  EXPECT_FALSE(queue.next());
  EXPECT_EQ(queue.jobs(Level::waited), 0U);
  EXPECT_EQ(queue.cost(Level::waited), 0U);
}

// The owner's thread, played by the test: posted tasks wait until they are run here.
class Owner {
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

struct Steps final : Job {
  explicit Steps(std::size_t n) : left(n) {}
  std::size_t slice(std::size_t cost) override {
    if (running.exchange(true)) twice = true;
    if (gate.valid()) gate.wait();
    if (fails) throw std::runtime_error("no");
    ++slices;
    left -= std::min(left, cost);
    running = false;
    return left;
  }
  std::size_t left;
  std::atomic<int> slices = 0;
  std::atomic<bool> running = false;
  std::atomic<bool> twice = false;
  bool fails = false;
  std::shared_future<void> gate;
};

TEST(WorkerPool, RunsJobsInSlicesAndTellsTheOwner) {
  Owner owner;
  WorkerPool pool({.queue = {.workers = 3}, .sliceCost = 10}, owner.post());
  std::vector<std::shared_ptr<Steps>> jobs;
  int done = 0;
  for (std::size_t i = 0; i < 100; ++i) {
    jobs.push_back(std::make_shared<Steps>(1 + i));
    ASSERT_TRUE(pool.submit(Level::waited, 1 + i, jobs.back(), [&](std::exception_ptr e) {
      EXPECT_FALSE(e);
      ++done;
    }));
  }
  while (done < 100) ASSERT_TRUE(owner.runOne());
  for (std::size_t i = 0; i < 100; ++i) {
    EXPECT_EQ(jobs[i]->slices, static_cast<int>((1 + i + 9) / 10));
    EXPECT_FALSE(jobs[i]->twice);
  }
  EXPECT_EQ(pool.counters().done, 100U);
}

TEST(WorkerPool, ACancelledJobTellsNothingAndStops) {
  Owner owner;
  std::promise<void> open;
  auto held = std::make_shared<Steps>(1'000'000);
  held->gate = open.get_future().share();
  {
    WorkerPool pool({.queue = {.workers = 1}, .sliceCost = 1}, owner.post());
    const auto id = pool.submit(Level::waited, 1'000'000, held, [](std::exception_ptr) { FAIL() << "told"; });
    while (!held->running) std::this_thread::yield();
    pool.cancel(*id);
    pool.cancel(*id);
    open.set_value();
    bool other = false;
    ASSERT_TRUE(
        pool.submit(Level::waited, 1, std::make_shared<Steps>(1), [&](std::exception_ptr) { other = true; }));
    while (!other) ASSERT_TRUE(owner.runOne());
    EXPECT_EQ(pool.jobs(Level::waited), 0U);
    EXPECT_LE(held->slices, 1);
  }
  EXPECT_EQ(held.use_count(), 1) << "the pool keeps nothing of it";
}

TEST(WorkerPool, AJobThatThrowsIsOver) {
  Owner owner;
  WorkerPool pool({.queue = {.workers = 1}}, owner.post());
  auto job = std::make_shared<Steps>(10);
  job->fails = true;
  bool told = false;
  pool.submit(Level::waited, 10, job, [&](std::exception_ptr e) { told = e != nullptr; });
  ASSERT_TRUE(owner.runOne());
  EXPECT_TRUE(told);
  EXPECT_EQ(pool.counters().failed, 1U);
}

TEST(WorkerPool, EndsWithJobsWaiting) {
  Owner owner;
  WorkerPool pool({.queue = {.workers = 2}, .sliceCost = 1}, owner.post());
  for (int i = 0; i < 50; ++i)
    pool.submit(Level::background, 1'000'000, std::make_shared<Steps>(1'000'000), [](std::exception_ptr) {});
}

}  // namespace
}  // namespace garnethook::scheduler
