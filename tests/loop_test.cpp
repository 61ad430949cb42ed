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

// What workers post must not wait for the poll to end by itself, which takes up to 100 ms with nothing to do.
TEST(Loop, ATaskFromAnotherThreadEndsThePoll) {
  Loop loop;
  const Listener listener(loop, Poco::Net::SocketAddress("127.0.0.1", 0), [](Poco::Net::StreamSocket) {});
  int ran = 0;
  timing::Micros waited = 0;
  std::thread other([&] {
    for (int i = 0; i < 20; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      const auto since = loop.now();
      loop.post([&, since] {
        waited += loop.now() - since;
        if (++ran == 20) loop.stop();
      });
    }
  });
  loop.run();
  other.join();
  EXPECT_EQ(ran, 20);
  EXPECT_LT(waited, 20 * 100'000 / 4);
}

// One that threw took the rest of its turn with it.
TEST(Loop, WhatOneTaskThrowsCostsNoOtherItsTurn) {
  Loop loop;
  const Listener listener(loop, Poco::Net::SocketAddress("127.0.0.1", 0), [](Poco::Net::StreamSocket) {});
  std::vector<std::string> told;
  int ran = 0;
  loop.onTaskFailed([&](const std::string& what) { told.push_back(what); });
  loop.post([] { throw std::runtime_error("posted"); });
  loop.post([&] { ++ran; });
  loop.after(2'000, [] { throw std::runtime_error("timer"); });
  loop.after(2'000, [&] { ++ran; });
  loop.after(20'000, [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(ran, 2);
  EXPECT_EQ(told, (std::vector<std::string>{"posted", "timer"}));
  EXPECT_EQ(loop.failedTasks(), 2u);
}

TEST(Loop, AnOwnersTimerThatThrowsCostsNoOtherOfItsTimers) {
  Loop loop;
  const Listener listener(loop, Poco::Net::SocketAddress("127.0.0.1", 0), [](Poco::Net::StreamSocket) {});
  timing::OwnedTimers timers(loop);
  int ran = 0;
  timers.after(1'000, [] { throw std::runtime_error("owned"); });
  timers.after(1'000, [&] { ++ran; });  // of the same tick
  timers.after(5'000, [&] { ++ran; });
  loop.after(30'000, [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(ran, 2);
  EXPECT_EQ(loop.failedTasks(), 1u);
}

}  // namespace
}  // namespace garnethook::net
