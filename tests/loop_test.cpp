#include "net/loop.h"

#include <gtest/gtest.h>

#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "net/listener.h"
#include "net/stream.h"
#include "timing/owned_timers.h"

namespace garnethook::net {
namespace {

// Guards against tasks posted by worker threads that wait until the poll times out, which takes up to 100 ms
// on an idle loop.
TEST(Loop, TaskPostedFromAnotherThreadEndsThePoll) {
  Loop loop;
  const Listener listener(loop, Poco::Net::SocketAddress("127.0.0.1", 0), [](Poco::Net::StreamSocket) {});
  int runCount = 0;
  timing::Micros totalDelay = 0;
  std::thread worker([&] {
    for (int i = 0; i < 20; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      const auto postTime = loop.now();
      loop.post([&, postTime] {
        totalDelay += loop.now() - postTime;
        if (++runCount == 20) loop.stop();
      });
    }
  });
  loop.run();
  worker.join();
  EXPECT_EQ(runCount, 20);
  EXPECT_LT(totalDelay, 20 * 100'000 / 4);
}

// Guards against a task that throws and thereby prevents the remaining tasks of the turn from running.
TEST(Loop, ThrowingTaskDoesNotPreventOtherTasks) {
  Loop loop;
  const Listener listener(loop, Poco::Net::SocketAddress("127.0.0.1", 0), [](Poco::Net::StreamSocket) {});
  std::vector<std::string> errors;
  int runCount = 0;
  loop.onTaskFailed([&](const std::string& what) { errors.push_back(what); });
  loop.post([] { throw std::runtime_error("posted"); });
  loop.post([&] { ++runCount; });
  loop.after(2'000, [] { throw std::runtime_error("timer"); });
  loop.after(2'000, [&] { ++runCount; });
  loop.after(20'000, [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(runCount, 2);
  EXPECT_EQ(errors, (std::vector<std::string>{"posted", "timer"}));
  EXPECT_EQ(loop.failedTasks(), 2u);
}

TEST(Loop, ThrowingOwnedTimerDoesNotPreventOtherTimersOfItsOwner) {
  Loop loop;
  const Listener listener(loop, Poco::Net::SocketAddress("127.0.0.1", 0), [](Poco::Net::StreamSocket) {});
  timing::OwnedTimers timers(loop);
  int runCount = 0;
  timers.after(1'000, [] { throw std::runtime_error("owned"); });
  timers.after(1'000, [&] { ++runCount; });  // due in the same tick
  timers.after(5'000, [&] { ++runCount; });
  loop.after(30'000, [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(runCount, 2);
  EXPECT_EQ(loop.failedTasks(), 1u);
}

}  // namespace
}  // namespace garnethook::net
