// Terminations of requests, streams, KV reservations, watches and configurations, as listed in
// docs/endings.md.
#include <array>

#include "path/platform_world.h"
#include "platform/discovery/watch.h"
#include "support/frontend_world.h"

namespace garnethook::test {
namespace {

using Request = ScriptedEngine::Request;
using routing::Phase;

constexpr net::Micros kMillisecond = 1'000;
constexpr net::Micros kSecond = 1'000'000;

// ---- requests and streams at the HTTP frontend ----

// The deadline and the first event occur in one loop iteration: the client gets only the response to the one
// that is processed first, and gets it whole.
TEST(RequestEnding, ADeadlineAndTheFirstEventInOneLoopIterationGiveOneResponse) {
  constexpr int kExpiresInMs = 200;
  for (const bool eventFirst : {true, false}) {
    FrontendWorld world;
    world.engines.holdFirstDecode(false);
    auto client = world.acceptedClient(false);
    client->send(clientRequest("d", "chat", "", kExpiresInMs));
    ASSERT_TRUE(world.until([&] { return world.engines.held.has_value(); }));
    const auto attempt = *world.engines.held;
    const auto sendResponse = [&world, attempt] {
      world.engines.events->onTokens(attempt.id, kTokenEvent, 1, {});
      world.engines.end(attempt, Outcome::completed);
    };
    world.stall((kExpiresInMs + 100) * kMillisecond);  // the deadline has expired but has not been processed
    if (eventFirst)
      sendResponse();
    else
      world.loop.after(0, sendResponse);  // runs after the timers that have already expired
    ASSERT_TRUE(world.until([&] { return (client->receive(), client->has("HTTP/1.1")); })) << client->got;
    world.pass(20 * kMillisecond);
    client->receive();
    EXPECT_EQ(client->count("HTTP/1.1"), 1u) << client->got;
    EXPECT_EQ(client->streams(), eventFirst ? 1u : 0u) << client->got;
    EXPECT_EQ(client->has(kTokenEvent), eventFirst) << client->got;
    EXPECT_TRUE(world.clean());
  }
}

// The stall timer of a stream and its next event occur in one loop iteration: either the stream continues, or
// it is aborted once.
TEST(StreamEnding, AnEventInTheLoopIterationOfTheStallTimerKeepsTheStream) {
  constexpr net::Micros kStallTimeout = 200 * kMillisecond;
  for (const bool eventFirst : {true, false}) {
    FrontendWorld world({}, kStallTimeout);
    world.engines.holdFirstDecode(true);
    auto client = world.acceptedClient(false);
    client->send(clientRequest("g"));
    ASSERT_TRUE(world.until([&] { return (client->receive(), client->has(kTokenEvent)); }));
    const auto attempt = *world.engines.held;
    const auto sendEvent = [&world, attempt] {
      world.engines.events->onTokens(attempt.id, kTokenEvent, 1, {});
    };
    world.stall(kStallTimeout + 50 * kMillisecond);
    if (eventFirst)
      sendEvent();
    else
      world.loop.after(0, sendEvent);
    if (eventFirst) {
      ASSERT_TRUE(world.until([&] { return (client->receive(), client->count(kTokenEvent) == 2); }))
          << client->got;
      world.engines.end(attempt, Outcome::completed);
      EXPECT_TRUE(world.served(*client, 1)) << client->got;
    } else {
      ASSERT_TRUE(world.ended(*client)) << client->got;
      EXPECT_EQ(client->count(kTokenEvent), 1u);
      EXPECT_EQ(client->streams(), 0u);  // no last chunk, so the client detects the truncation
      EXPECT_EQ(world.engines.cancelled, 1u);
    }
    EXPECT_TRUE(world.clean());
  }
}

// A closing connection waits longer for a client that keeps reading than for one that does not.
TEST(StreamEnding, ASlowReaderGetsTheWholeResponseOfAClosingConnection) {
  constexpr std::size_t kEventBytes = 400 * 1024;
  platform::HttpFrontend::Options options;
  options.lingerTimeout = 150 * kMillisecond;
  FrontendWorld world(options);
  world.engines.holdFirstDecode(true);
  auto client = world.acceptedClient(false);
  client->shrinkReceiveBuffer();
  client->send(clientRequest("s", "chat", "Connection: close\r\n"));
  ASSERT_TRUE(world.until([&] { return world.engines.held.has_value(); }));
  const auto attempt = *world.engines.held;
  world.engines.events->onTokens(attempt.id, "data: " + std::string(kEventBytes, 'x') + "\n\n", 1, {});
  world.engines.end(attempt, Outcome::completed);
  for (int i = 0; i < 400 && client->streams() == 0 && !client->wasReset; ++i) {
    client->receiveAtMost(16 * 1024);
    world.pass(10 * kMillisecond);
  }
  EXPECT_EQ(client->streams(), 1u) << client->got.size();
  EXPECT_FALSE(client->wasReset);
  EXPECT_GE(client->got.size(), kEventBytes);
}

TEST(ClientConnectionEnding, AClientThatKeepsSendingToAClosingConnectionIsDisconnected) {
  platform::HttpFrontend::Options options;
  options.maxLingeringInputBytes = 64 * 1024;
  options.lingerTimeout = 5 * kSecond;
  FrontendWorld world(options);
  auto client = world.acceptedClient(false);
  client->send("nonsense\r\n\r\n");
  ASSERT_TRUE(world.until([&] { return (client->receive(), client->has("HTTP/1.1 400")); }));
  EXPECT_EQ(world.front->connections(), 1u);  // waits for the client to close
  client->send(std::string(200 * 1024, 'x'));
  EXPECT_TRUE(world.until([&] { return world.front->connections() == 0; }, kSecond));
  EXPECT_TRUE(world.engines.begun.empty());
}

// ---- end to end ----

struct PathEnding : testing::Test {
  PlatformWorld world;
};

TEST_F(PathEnding, AClientCloseDuringItsStreamCancelsTheAttempt) {
  world.decodeEngine.script = [](Request& request) {
    if (!answerControlRequest(request)) request.stream->send(std::string(kStreamHead) + chunk(kTokenEvent));
  };
  auto client = world.connectClient();
  client->ask("m1");
  ASSERT_TRUE(world.until([&] { return client->has(kTokenEvent); }, 2 * kSecond));
  client->stream.close();
  EXPECT_TRUE(world.until([&] { return world.decodeEngine.gone() == 1; }, kSecond));
  EXPECT_EQ(world.decodeEngine.count("POST"), 1u);
  EXPECT_TRUE(world.becomesIdle());
}

// Bytes that do not complete an event do not keep a stream alive: the client connection is closed within 5 s
// of the last event.
TEST_F(PathEnding, AStreamOfBytesWithoutEventsIsAborted) {
  constexpr net::Micros kMaxTimeToClose = 5 * kSecond;
  std::function<void(net::Stream*)> sendIncompleteEvent;
  sendIncompleteEvent = [&](net::Stream* stream) {
    stream->send(chunk("x"));
    world.loop.after(100 * kMillisecond, [&, stream] { sendIncompleteEvent(stream); });
  };
  world.decodeEngine.script = [&](Request& request) {
    if (answerControlRequest(request)) return;
    request.stream->send(std::string(kStreamHead) + chunk(kTokenEvent) + chunk("data: never "));
    sendIncompleteEvent(request.stream);
  };
  auto client = world.connectClient();
  client->ask("n1");
  ASSERT_TRUE(world.until([&] { return client->has(kTokenEvent); }, 2 * kSecond));
  EXPECT_TRUE(world.until([&] { return client->closed; }, kMaxTimeToClose));
  EXPECT_FALSE(client->has(kFinalChunk));
  EXPECT_TRUE(world.becomesIdle());
}

TEST_F(PathEnding, AReloadWithTheSameDiscoveryKeepsTheWatch) {
  const auto watchCountBefore = world.watchRequests.size();
  world.routerProcess->reload(world.readConfig(world.discovery->address().toString()));
  world.pass(200 * kMillisecond);
  EXPECT_EQ(world.watchRequests.size(), watchCountBefore);
  EXPECT_TRUE(world.watchRequests.back().second->open());
}

// The router process may be destroyed with requests open: no callback runs on a destroyed object.
TEST_F(PathEnding, ARouterDestroyedWithOpenRequestsCallsNoDestroyedObject) {
  world.prefillEngine.script =
      world.decodeEngine.script = [](Request& request) { answerControlRequest(request); };
  auto waitingClient = world.connectClient();
  waitingClient->ask("p1");
  ASSERT_TRUE(world.until([&] { return world.prefillEngine.count("POST") == 1; }, 2 * kSecond));
  world.routerProcess.reset();
  EXPECT_TRUE(world.until([&] { return waitingClient->closed && world.prefillEngine.gone() == 1; }, kSecond));
}

// ---- the watch ----

// A discovery server that sends each connection the raw bytes that the test sets.
struct RawDiscovery {
  explicit RawDiscovery(net::Loop& loop)
      : listener(loop, Poco::Net::SocketAddress("127.0.0.1", 0), [this](Poco::Net::StreamSocket socket) {
          socket.setBlocking(true);
          if (!response.empty()) socket.sendBytes(response.data(), static_cast<int>(response.size()));
          accepted.push_back(std::move(socket));
        }) {}
  std::string address() const { return listener.address().toString(); }
  std::string response;
  std::vector<Poco::Net::StreamSocket> accepted;
  net::Listener listener;
};

struct WatchEnding : testing::Test, platform::Watch::Listener {
  void onListUpdate(const platform::EndpointListUpdate& update) override {
    receivedVersions.push_back(update.version);
  }
  void onWatchError(const std::string&, const platform::WatchError&) override {}
  std::int64_t currentListVersion() const override { return 0; }
  void onWatchAlive() override {}
  static std::string streamResponse(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body);
  }
  LoopRunner runner;
  std::vector<std::int64_t> receivedVersions;
};

TEST_F(WatchEnding, InvalidHttpAnUnexpectedStatusOrTheEndOfTheResponseRestartsIt) {
  for (const std::string& response :
       {std::string("noise\r\n\r\n"), std::string("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"),
        streamResponse(listText(1, true, "")) + "0\r\n\r\n"}) {
    RawDiscovery discovery(runner.loop);
    discovery.response = response;
    platform::Watch watch(runner.loop, discovery.address(), *this);
    EXPECT_TRUE(runner.until([&] { return discovery.accepted.size() >= 2; }, 3 * kSecond)) << response;
    EXPECT_LE(watch.sessionCount(), 2u);
  }
}

TEST_F(WatchEnding, AnAddressChangeTakesEffectAtOnceInEveryState) {
  enum class WatchState { reconnectPause, connecting, receivingList };
  for (const WatchState state :
       {WatchState::reconnectPause, WatchState::connecting, WatchState::receivingList}) {
    RawDiscovery oldDiscovery(runner.loop);
    RawDiscovery newDiscovery(runner.loop);
    newDiscovery.response = streamResponse(listText(7, true, "") + "\n");
    const std::string oldAddress = oldDiscovery.address();
    if (state == WatchState::reconnectPause) oldDiscovery.listener.close();
    if (state == WatchState::receivingList)
      oldDiscovery.response = streamResponse(R"({"revision":5,"complete":true,"mem)");
    receivedVersions.clear();
    platform::Watch watch(runner.loop, oldAddress, *this);
    if (state == WatchState::reconnectPause) runner.pass(80 * kMillisecond);
    if (state == WatchState::receivingList) {
      ASSERT_TRUE(runner.until([&] { return oldDiscovery.accepted.size() == 1; }, kSecond));
    }
    watch.changeAddress(newDiscovery.address());
    ASSERT_TRUE(runner.until([&] { return !receivedVersions.empty(); }, 300 * kMillisecond));
    EXPECT_EQ(receivedVersions, std::vector<std::int64_t>{7});
    runner.pass(200 * kMillisecond);
    EXPECT_EQ(newDiscovery.accepted.size(), 1u);
    EXPECT_EQ(watch.sessionCount(), 1u);
  }
}

TEST_F(WatchEnding, ADiscoveryThatIsSilentAfterAnAddressChangeIsAskedAgainWithinTheHeartbeatTimeout) {
  constexpr net::Micros kHeartbeatTimeout = 2'400 * kMillisecond;
  RawDiscovery oldDiscovery(runner.loop);
  RawDiscovery newDiscovery(runner.loop);
  oldDiscovery.response = streamResponse(listText(1, true, "") + "\n");
  platform::Watch watch(runner.loop, oldDiscovery.address(), *this);
  ASSERT_TRUE(runner.until([&] { return receivedVersions.size() == 1; }, kSecond));
  watch.changeAddress(newDiscovery.address());
  ASSERT_TRUE(runner.until([&] { return newDiscovery.accepted.size() == 1; }, kSecond));
  newDiscovery.response = streamResponse(listText(9, true, "") + "\n");
  EXPECT_TRUE(
      runner.until([&] { return receivedVersions.back() == 9; }, kHeartbeatTimeout + 500 * kMillisecond));
}

// ---- the event loop ----

TEST(LoopEnding, ObjectsHeldByTimersAndTasksAreDestroyedWhileTheLoopIsUsable) {
  struct Owner {
    Owner(net::Loop& ownerLoop, int& counter) : loop(ownerLoop), destroyedCount(counter) {}
    ~Owner() {
      loop.after(0, [] {});
      loop.post([] {});
      ++destroyedCount;
    }
    net::Loop& loop;
    int& destroyedCount;
  };
  int destroyedCount = 0;
  {
    net::Loop loop;
    loop.after(10 * kSecond, [owner = std::make_shared<Owner>(loop, destroyedCount)] {});
    loop.post([owner = std::make_shared<Owner>(loop, destroyedCount)] {});
  }
  EXPECT_EQ(destroyedCount, 2);
}

}  // namespace
}  // namespace garnethook::test
