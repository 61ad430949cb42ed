// A loop with a thread of its own that stands still whenever the test's thread is at work, since POCO's
// reactor runs once.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "net/loop.h"

namespace garnethook::test {

class LoopRunner {
 public:
  ~LoopRunner() { stopLoop(); }
  // Lets the loop run until the condition holds; false: not within `limit`.
  bool until(const std::function<bool()>& condition, net::Micros limit = 10'000'000) {
    const net::Micros end = loop.now() + limit;
    bool held = false;
    std::function<void()> check = [&] {
      held = condition();
      if (!held && loop.now() < end) {
        loop.after(1000, check);
        return;
      }
      std::unique_lock lock(mutex_);
      testsTurn_ = true;
      turn_.notify_all();
      turn_.wait(lock, [&] { return !testsTurn_; });
    };
    loop.after(0, [&check] { check(); });
    std::unique_lock lock(mutex_);
    testsTurn_ = false;
    turn_.notify_all();
    if (!thread_.joinable()) thread_ = std::thread([this] { loop.run(); });
    turn_.wait(lock, [&] { return testsTurn_; });
    return held;
  }
  void pass(net::Micros time) {
    until([] { return false; }, time);
  }

  // Lets the loop take a turn or two: what is due or ready by now is dispatched.
  void turn() {
    for (int i = 0; i < 2; ++i) until([] { return true; });
  }
  // Time goes on while the loop stands still, so that timers come due that it has not seen.
  void stall(net::Micros time) {
    const net::Micros end = loop.now() + time;
    while (loop.now() < end) std::this_thread::yield();
  }

  net::Loop loop;

 protected:
  void stopLoop() {
    if (!thread_.joinable()) return;
    loop.stop();
    {
      const std::lock_guard lock(mutex_);
      testsTurn_ = false;
    }
    turn_.notify_all();
    thread_.join();
  }

 private:
  std::mutex mutex_;
  std::condition_variable turn_;
  std::thread thread_;
  bool testsTurn_ = true;
};

}  // namespace garnethook::test
