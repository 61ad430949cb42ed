// A loop on its own thread that is suspended while the test's thread runs. The loop is suspended rather than
// stopped because POCO's reactor can run only once.
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
  // Runs the loop until the condition holds. Returns false if it does not hold within `limit`.
  bool until(const std::function<bool()>& condition, net::Micros limit = 10'000'000) {
    const net::Micros deadline = loop.now() + limit;
    bool conditionMet = false;
    std::function<void()> check = [&] {
      conditionMet = condition();
      if (!conditionMet && loop.now() < deadline) {
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
    return conditionMet;
  }
  void pass(net::Micros duration) {
    until([] { return false; }, duration);
  }

  // Runs the loop for one or two turns, which dispatches all events that are due or ready now.
  void turn() {
    for (int i = 0; i < 2; ++i) until([] { return true; });
  }
  // Lets time pass while the loop is suspended, so that timers expire before the loop processes them.
  void stall(net::Micros duration) {
    const net::Micros deadline = loop.now() + duration;
    while (loop.now() < deadline) std::this_thread::yield();
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
