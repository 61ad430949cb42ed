// Endings of requests, streams, held states, watches and configurations, by rows of docs/endings.md.
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

// ---- requests and streams at the front ----

// A deadline and the first event in one turn: the client gets the one that came first, whole, and nothing
// else.
TEST(RequestEnding, ADeadlineAndTheFirstEventInOneTurnGiveOneAnswer) {
  constexpr int kExpiresInMs = 200;
  for (const bool eventFirst : {true, false}) {
    FrontendWorld w;
    w.engines.holdFirstDecode(false);
    auto c = w.acceptedClient(false);
    c->send(clientRequest("d", "chat", "", kExpiresInMs));
    ASSERT_TRUE(w.until([&] { return w.engines.held.has_value(); }));
    const auto attempt = *w.engines.held;
    const auto answer = [&w, attempt] {
      w.engines.events->onTokens(attempt.id, kTokenEvent, 1, {});
      w.engines.end(attempt, Outcome::completed);
    };
    w.stall((kExpiresInMs + 100) * kMillisecond);  // the deadline is due, and not seen
    if (eventFirst)
      answer();
    else
      w.loop.after(0, answer);  // behind the timers that are due by now
    ASSERT_TRUE(w.until([&] { return (c->receive(), c->has("HTTP/1.1")); })) << c->got;
    w.pass(20 * kMillisecond);
    c->receive();
    EXPECT_EQ(c->count("HTTP/1.1"), 1u) << c->got;
    EXPECT_EQ(c->streams(), eventFirst ? 1u : 0u) << c->got;
    EXPECT_EQ(c->has(kTokenEvent), eventFirst) << c->got;
    EXPECT_TRUE(w.clean());
  }
}

// The guard of quiet streams and another event in one turn: the event's stream goes on, or it is broken off
// once.
TEST(StreamEnding, AnEventInTheTurnOfTheGuardsTimerKeepsTheStream) {
  constexpr net::Micros kSilence = 200 * kMillisecond;
  for (const bool eventFirst : {true, false}) {
    FrontendWorld w({}, kSilence);
    w.engines.holdFirstDecode(true);
    auto c = w.acceptedClient(false);
    c->send(clientRequest("g"));
    ASSERT_TRUE(w.until([&] { return (c->receive(), c->has(kTokenEvent)); }));
    const auto attempt = *w.engines.held;
    const auto event = [&w, attempt] { w.engines.events->onTokens(attempt.id, kTokenEvent, 1, {}); };
    w.stall(kSilence + 50 * kMillisecond);
    if (eventFirst)
      event();
    else
      w.loop.after(0, event);
    if (eventFirst) {
      ASSERT_TRUE(w.until([&] { return (c->receive(), c->count(kTokenEvent) == 2); })) << c->got;
      w.engines.end(attempt, Outcome::completed);
      EXPECT_TRUE(w.served(*c, 1)) << c->got;
    } else {
      ASSERT_TRUE(w.ended(*c)) << c->got;
      EXPECT_EQ(c->count(kTokenEvent), 1u);
      EXPECT_EQ(c->streams(), 0u);  // no last chunk: the client knows that it is cut
      EXPECT_EQ(w.engines.cancelled, 1u);
    }
    EXPECT_TRUE(w.clean());
  }
}

// A connection that is to end waits for a client that goes on reading, longer than for one that does not.
TEST(StreamEnding, AClientThatReadsSlowlyGetsTheWholeAnswerThoughItsConnectionEnds) {
  constexpr std::size_t kBytes = 400 * 1024;
  platform::HttpFrontend::Options options;
  options.lingerTimeout = 150 * kMillisecond;
  FrontendWorld w(options);
  w.engines.holdFirstDecode(true);
  auto c = w.acceptedClient(false);
  c->shrinkReceiveBuffer();
  c->send(clientRequest("s", "chat", "Connection: close\r\n"));
  ASSERT_TRUE(w.until([&] { return w.engines.held.has_value(); }));
  const auto attempt = *w.engines.held;
  w.engines.events->onTokens(attempt.id, "data: " + std::string(kBytes, 'x') + "\n\n", 1, {});
  w.engines.end(attempt, Outcome::completed);
  for (int i = 0; i < 400 && c->streams() == 0 && !c->wasReset; ++i) {
    c->receiveAtMost(16 * 1024);
    w.pass(10 * kMillisecond);
  }
  EXPECT_EQ(c->streams(), 1u) << c->got.size();
  EXPECT_FALSE(c->wasReset);
  EXPECT_GE(c->got.size(), kBytes);
}

TEST(ClientConnectionEnding, AClientThatGoesOnSendingBehindItsEndIsCutOff) {
  platform::HttpFrontend::Options options;
  options.maxLingeringInputBytes = 64 * 1024;
  options.lingerTimeout = 5 * kSecond;
  FrontendWorld w(options);
  auto c = w.acceptedClient(false);
  c->send("nonsense\r\n\r\n");
  ASSERT_TRUE(w.until([&] { return (c->receive(), c->has("HTTP/1.1 400")); }));
  EXPECT_EQ(w.front->connections(), 1u);  // waits for the client to close
  c->send(std::string(200 * 1024, 'x'));
  EXPECT_TRUE(w.until([&] { return w.front->connections() == 0; }, kSecond));
  EXPECT_TRUE(w.engines.begun.empty());
}

// ---- whole paths ----

struct PathEnding : testing::Test {
  PlatformWorld w;
};

TEST_F(PathEnding, AClientThatClosesInTheMiddleOfItsStreamEndsTheEnginesWork) {
  w.writer.script = [](Request& r) {
    if (!answerControlRequest(r)) r.stream->send(std::string(kStreamHead) + chunk(kTokenEvent));
  };
  auto c = w.client();
  c->ask("m1");
  ASSERT_TRUE(w.until([&] { return c->has(kTokenEvent); }, 2 * kSecond));
  c->stream.close();
  EXPECT_TRUE(w.until([&] { return w.writer.gone() == 1; }, kSecond));
  EXPECT_EQ(w.writer.count("POST"), 1u);
  EXPECT_TRUE(w.clean());
}

// Bytes that make no event keep no stream alive: the client is told within 5 s of the last event.
TEST_F(PathEnding, AStreamOfBytesWithoutEventsIsBrokenOff) {
  constexpr net::Micros kTold = 5 * kSecond;
  std::function<void(net::Stream*)> drip;
  drip = [&](net::Stream* stream) {
    stream->send(chunk("x"));
    w.loop.after(100 * kMillisecond, [&, stream] { drip(stream); });
  };
  w.writer.script = [&](Request& r) {
    if (answerControlRequest(r)) return;
    r.stream->send(std::string(kStreamHead) + chunk(kTokenEvent) + chunk("data: never "));
    drip(r.stream);
  };
  auto c = w.client();
  c->ask("n1");
  ASSERT_TRUE(w.until([&] { return c->has(kTokenEvent); }, 2 * kSecond));
  EXPECT_TRUE(w.until([&] { return c->closed; }, kTold));
  EXPECT_FALSE(c->has(kFinalChunk));
  EXPECT_TRUE(w.clean());
}

TEST_F(PathEnding, AReloadWithTheSameDiscoveryLeavesTheWatchAlone) {
  const auto begun = w.watches.size();
  w.node->reload(w.read(w.discovery->address().toString()));
  w.pass(200 * kMillisecond);
  EXPECT_EQ(w.watches.size(), begun);
  EXPECT_TRUE(w.watches.back().second->open());
}

// The process may end with everything open: nothing is called on what has gone.
TEST_F(PathEnding, ANodeThatGoesWithAllOpenCallsNothingThatHasGone) {
  w.reader.script = w.writer.script = [](Request& r) { answerControlRequest(r); };
  auto waiting = w.client();
  waiting->ask("p1");
  ASSERT_TRUE(w.until([&] { return w.reader.count("POST") == 1; }, 2 * kSecond));
  w.node.reset();
  EXPECT_TRUE(w.until([&] { return waiting->closed && w.reader.gone() == 1; }, kSecond));
}

// ---- the watch ----

// A discovery of raw bytes: what it says to each connection is the test's.
struct RawDiscovery {
  explicit RawDiscovery(net::Loop& loop)
      : listener(loop, Poco::Net::SocketAddress("127.0.0.1", 0), [this](Poco::Net::StreamSocket socket) {
          socket.setBlocking(true);
          if (!says.empty()) socket.sendBytes(says.data(), static_cast<int>(says.size()));
          accepted.push_back(std::move(socket));
        }) {}
  std::string address() const { return listener.address().toString(); }
  std::string says;
  std::vector<Poco::Net::StreamSocket> accepted;
  net::Listener listener;
};

struct WatchEnding : testing::Test, platform::Watch::Listener {
  void onListUpdate(const platform::EndpointListUpdate& update) override { lists.push_back(update.version); }
  void onWatchError(const std::string&, const platform::WatchError&) override {}
  std::int64_t currentListVersion() const override { return 0; }
  void onWatchAlive() override {}
  static std::string stream(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body);
  }
  LoopRunner w;
  std::vector<std::int64_t> lists;
};

TEST_F(WatchEnding, BadHttpAnotherStatusAndAnEndOfTheAnswerBeginItAnew) {
  for (const std::string& says :
       {std::string("noise\r\n\r\n"), std::string("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"),
        stream(listText(1, true, "")) + "0\r\n\r\n"}) {
    RawDiscovery discovery(w.loop);
    discovery.says = says;
    platform::Watch watch(w.loop, discovery.address(), *this);
    EXPECT_TRUE(w.until([&] { return discovery.accepted.size() >= 2; }, 3 * kSecond)) << says;
    EXPECT_LE(watch.sessionCount(), 2u);
  }
}

TEST_F(WatchEnding, AMoveIsFollowedAtOnceWhateverTheWatchIsAt) {
  enum class At { pause, connecting, withinAList };
  for (const At at : {At::pause, At::connecting, At::withinAList}) {
    RawDiscovery before(w.loop);
    RawDiscovery after(w.loop);
    after.says = stream(listText(7, true, "") + "\n");
    const std::string old = before.address();
    if (at == At::pause) before.listener.close();
    if (at == At::withinAList) before.says = stream(R"({"revision":5,"complete":true,"mem)");
    lists.clear();
    platform::Watch watch(w.loop, old, *this);
    if (at == At::pause) w.pass(80 * kMillisecond);
    if (at == At::withinAList) {
      ASSERT_TRUE(w.until([&] { return before.accepted.size() == 1; }, kSecond));
    }
    watch.changeAddress(after.address());
    ASSERT_TRUE(w.until([&] { return !lists.empty(); }, 300 * kMillisecond));
    EXPECT_EQ(lists, std::vector<std::int64_t>{7});
    w.pass(200 * kMillisecond);
    EXPECT_EQ(after.accepted.size(), 1u);
    EXPECT_EQ(watch.sessionCount(), 1u);
  }
}

TEST_F(WatchEnding, ADiscoveryThatIsSilentAfterAMoveIsAskedAnewWithinTheBeat) {
  constexpr net::Micros kBeat = 2'400 * kMillisecond;
  RawDiscovery before(w.loop);
  RawDiscovery after(w.loop);
  before.says = stream(listText(1, true, "") + "\n");
  platform::Watch watch(w.loop, before.address(), *this);
  ASSERT_TRUE(w.until([&] { return lists.size() == 1; }, kSecond));
  watch.changeAddress(after.address());
  ASSERT_TRUE(w.until([&] { return after.accepted.size() == 1; }, kSecond));
  after.says = stream(listText(9, true, "") + "\n");
  EXPECT_TRUE(w.until([&] { return lists.back() == 9; }, kBeat + 500 * kMillisecond));
}

// ---- the loop ----

TEST(LoopEnding, WhatTimersAndTasksHoldGoesWhileTheLoopStands) {
  struct Owner {
    Owner(net::Loop& l, int& g) : loop(l), gone(g) {}
    ~Owner() {
      loop.after(0, [] {});
      loop.post([] {});
      ++gone;
    }
    net::Loop& loop;
    int& gone;
  };
  int gone = 0;
  {
    net::Loop loop;
    loop.after(10 * kSecond, [own = std::make_shared<Owner>(loop, gone)] {});
    loop.post([own = std::make_shared<Owner>(loop, gone)] {});
  }
  EXPECT_EQ(gone, 2);
}

}  // namespace
}  // namespace garnethook::test
