#include "net/loop.h"

#include <gtest/gtest.h>

#include <thread>

#include "net/stream.h"

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

}  // namespace
}  // namespace garnethook::net
