// Tests of streams and listeners on loopback: full sockets, and closes that lose no data.
#include "net/stream.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <atomic>
#include <cerrno>
#include <ctime>
#include <thread>
#include <vector>

#include "net/listener.h"
#include "support/loop_runner.h"

namespace garnethook::test {
namespace {

using net::CloseCause;
using net::Stream;

struct StreamPeer final : net::StreamEvents {
  void onBytes(std::string_view bytes) override { received += bytes; }
  void onDrained() override { ++drainedCount; }
  void onClosed(CloseCause closeCause) override { cause = closeCause; }
  std::string received;
  int drainedCount = 0;
  std::optional<CloseCause> cause;
  std::unique_ptr<Stream> stream;
};

struct StreamTest : testing::Test, LoopRunner {
  StreamTest()
      : listener(loop, Poco::Net::SocketAddress("127.0.0.1", 0), [this](auto socket) {
          server.stream = std::make_unique<Stream>(loop, std::move(socket), server);
        }) {
    client.stream = std::make_unique<Stream>(loop, listener.address(), "", 1'000'000, client);
    EXPECT_TRUE(until([&] { return client.stream->connected() && server.stream; }, 1'000'000));
  }
  ~StreamTest() override { stopLoop(); }
  StreamPeer client;
  StreamPeer server;
  net::Listener listener;
};

// Guards against treating a full socket as a lost connection, so that every slow reader loses its response.
TEST_F(StreamTest, WaitsForAFullSocket) {
  const std::string payload(12u << 20, 'x');
  client.stream->pauseReading(true);
  server.stream->send(payload);
  pass(100'000);
  EXPECT_GT(server.stream->pending(), 0u);  // the socket buffers are full
  EXPECT_FALSE(server.cause);
  client.stream->pauseReading(false);
  EXPECT_TRUE(until([&] { return client.received.size() == payload.size(); }, 5'000'000))
      << client.received.size();
  EXPECT_FALSE(server.cause);
}

// CPU time of this process during an idle interval, as a fraction of the interval.
double cpuFraction(LoopRunner& runner) {
  constexpr net::Micros kIdleInterval = 400'000;
  const std::clock_t start = std::clock();
  runner.pass(kIdleInterval);
  return static_cast<double>(std::clock() - start) * 1e6 / CLOCKS_PER_SEC /
         static_cast<double>(kIdleInterval);
}

// Guards against the loop spinning on the write readiness of a socket for the rest of the connection, once
// the socket has been full.
TEST_F(StreamTest, DoesNotSpinTheLoopAfterAFullSocketIsDrained) {
  const std::string payload(12u << 20, 'x');
  server.stream->send(payload);
  ASSERT_TRUE(until([&] { return client.received.size() == payload.size(); }, 5'000'000));
  EXPECT_LT(cpuFraction(*this), 0.5);
  client.stream->send(payload);  // each side has both unread bytes and a full socket
  server.stream->send(payload);
  server.stream->pauseReading(true);
  client.stream->pauseReading(true);
  pass(100'000);
  EXPECT_LT(cpuFraction(*this), 0.5);
  EXPECT_FALSE(client.cause || server.cause);
}

TEST_F(StreamTest, TrySendStopsAtAFullSocketAndNotifiesOnceItIsDrained) {
  const std::string payload(12u << 20, 'x');
  client.stream->pauseReading(true);
  const auto acceptedBytes = server.stream->trySend(payload);
  EXPECT_GT(acceptedBytes, 0u);
  ASSERT_LT(acceptedBytes, payload.size());
  pass(50'000);
  EXPECT_EQ(server.drainedCount, 0);
  client.stream->pauseReading(false);
  EXPECT_TRUE(until([&] { return server.drainedCount == 1; }, 2'000'000));
  EXPECT_FALSE(server.cause);
}

TEST_F(StreamTest, FinishSendingSendsWhatIsPendingAndReadsUntilThePeerCloses) {
  const std::string payload(12u << 20, 'x');
  client.stream->pauseReading(true);
  server.stream->send(payload);
  server.stream->finishSending();
  server.stream->send("nothing follows the end");
  client.stream->send("behind the end");
  pass(50'000);
  EXPECT_EQ(server.received, "behind the end");
  EXPECT_FALSE(server.cause);
  client.stream->pauseReading(false);
  ASSERT_TRUE(until([&] { return client.cause.has_value(); }, 5'000'000));
  EXPECT_EQ(client.cause, CloseCause::peerClosed);  // no reset
  EXPECT_EQ(client.received.size(), payload.size());
  ASSERT_TRUE(until([&] { return server.cause.has_value(); }, 1'000'000));
  EXPECT_EQ(server.cause, CloseCause::peerClosed);
}

// A close with unread bytes resets the connection, which shows the peer that none of them were processed.
TEST_F(StreamTest, FinishSendingWithoutReadingDetectsThePeersClose) {
  server.stream->finishSending(Stream::Inbound::leaveUnread);
  client.stream->send("behind the end");
  ASSERT_TRUE(until([&] { return client.cause.has_value(); }, 1'000'000));  // and closes its stream
  EXPECT_EQ(client.cause, CloseCause::peerClosed);
  ASSERT_TRUE(until([&] { return server.cause.has_value(); }, 1'000'000));
  EXPECT_EQ(server.cause, CloseCause::peerClosed);
  EXPECT_EQ(server.received, "");
}

// Guards against losing requests on connections that are queued in the kernel when the listener closes.
TEST_F(StreamTest, ListenerAcceptsQueuedConnectionsBeforeItCloses) {
  Poco::Net::StreamSocket queued(listener.address());
  const auto previousStream = server.stream.get();
  listener.close();
  EXPECT_NE(server.stream.get(), previousStream);
  queued.sendBytes("x", 1);
  EXPECT_TRUE(until([&] { return server.received == "x"; }, 1'000'000));
}

// Connects repeatedly without pauses until stop(); keeps the established connections.
class RepeatedConnector {
 public:
  explicit RepeatedConnector(const Poco::Net::SocketAddress& to) : thread_([this, to] { run(to); }) {}
  ~RepeatedConnector() { stop(); }
  void stop() {
    isStopping_ = true;
    if (thread_.joinable()) thread_.join();
  }
  std::vector<Poco::Net::StreamSocket>& connected() { return connected_; }

 private:
  void run(const Poco::Net::SocketAddress& to) {
    while (!isStopping_) {
      Poco::Net::StreamSocket socket;
      try {
        socket.connect(to, Poco::Timespan(0, 20'000));
      } catch (const Poco::Exception&) {  // refused, or dropped by the listener
        continue;
      }
      connected_.push_back(socket);
    }
  }
  std::atomic<bool> isStopping_ = false;
  std::vector<Poco::Net::StreamSocket> connected_;
  std::thread thread_;
};

// Whether the peer has reset the connection.
bool wasReset(Poco::Net::StreamSocket& socket) {
  char byte = 0;
  return ::recv(socket.impl()->sockfd(), &byte, 1, MSG_DONTWAIT) < 0 && errno == ECONNRESET;
}

// Guards against losing requests while a listener closes: the system reset a connection, with the request
// that it carried, if it arrived between the last check of the accept queue and the close of the socket. A
// test of the whole program failed in this way in one of thirteen runs on a busy machine.
TEST(ListenerTest, ResetsNoConnectionThatTheSystemTookWhileItCloses) {
  constexpr int kRounds = 60;
  std::size_t connectedCount = 0;
  std::size_t resetCount = 0;
  for (int round = 0; round < kRounds; ++round) {
    LoopRunner runner;
    std::vector<Poco::Net::StreamSocket> accepted;
    net::Listener listener(runner.loop, Poco::Net::SocketAddress("127.0.0.1", 0),
                           [&](const auto& socket) { accepted.push_back(socket); });
    RepeatedConnector first(listener.address());
    RepeatedConnector second(listener.address());
    runner.pass(3'000);
    listener.close();
    runner.until([&] { return !listener.open(); }, 1'000'000);
    for (RepeatedConnector* connector : {&first, &second}) {
      connector->stop();
      connectedCount += connector->connected().size();
      for (auto& socket : connector->connected()) resetCount += wasReset(socket) ? 1 : 0;
    }
  }
  EXPECT_GT(connectedCount, static_cast<std::size_t>(kRounds));
  EXPECT_EQ(resetCount, 0u) << "of " << connectedCount;
}

TEST_F(StreamTest, PeerGoneDetectsACloseBeforeItIsRead) {
  EXPECT_FALSE(server.stream->peerGone());
  server.stream->pauseReading(true);
  client.stream->send("unread");
  pass(20'000);
  EXPECT_FALSE(server.stream->peerGone());
  client.stream->close();
  pass(20'000);
  EXPECT_TRUE(server.stream->peerGone());
  EXPECT_FALSE(server.cause);
}

}  // namespace
}  // namespace garnethook::test
