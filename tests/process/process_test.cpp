// The program itself and its signals: `garnethook run` as a child process, raw clients, scripted engines and
// discovery on loopback. Each test forces the crossing that it names.
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <deque>
#include <iostream>

#include "process_world.h"

namespace garnethook::test {
namespace {

using Request = ScriptedEngine::Request;

// From the word that an engine drains until nothing new may go to it.
constexpr net::Micros kDrainGrace = 300 * kMillisecond;
// Where no time is asked of the program, it hangs after this.
constexpr net::Micros kHangTimeout = 10 * kSecond;
// A change counts as told so long after discovery had it and could be reached.
constexpr net::Micros kChangeDeliveryTimeout = 6 * kSecond;
// From its start until the program has to serve. The operators' own bound is 10 s.
#ifdef __SANITIZE_ADDRESS__
constexpr net::Micros kStartTimeout = 5 * kSecond;
#else
constexpr net::Micros kStartTimeout = 2 * kSecond;
#endif

struct ProgramTest : testing::Test {
  // Has the writer begin the next stream with one event and hold the rest back.
  void stallStreams() {
    world.writer.script = [this](Request& request) {
      if (answerControlRequest(request)) return;
      stalledStream = request.stream;
      request.stream->send(std::string(kStreamHead) + chunk(kTokenEvent));
    };
  }
  // A client whose stream has begun and is held back by the writer.
  std::unique_ptr<RawClient> openStream(const std::string& id) {
    stallStreams();
    auto streaming = world.client();
    streaming->ask(id);
    EXPECT_TRUE(world.until([&] { return streaming->has(kTokenEvent); }, 3 * kSecond)) << streaming->got;
    return streaming;
  }
  // Has the writer end the held stream; its client has to get the whole of it.
  void expectWholeStream(RawClient& streaming) {
    ASSERT_NE(stalledStream, nullptr);
    stalledStream->send(chunk(kTokenEvent) + chunk(kDoneEvent) + kFinalChunk);
    EXPECT_TRUE(world.until([&] { return streaming.has(kFinalChunk); }, 2 * kSecond)) << streaming.got;
    EXPECT_EQ(streaming.count("HTTP/1.1 "), 1u);
    EXPECT_EQ(streaming.count(kTokenEvent), 2u);
    EXPECT_EQ(streaming.count(kDoneEvent), 1u);
    EXPECT_TRUE(streaming.got.ends_with(kFinalChunk)) << streaming.got;
  }
  // Waits until the program takes no connection any more.
  bool waitUntilRefused() {
    const std::string address = world.address();
    std::unique_ptr<RawClient> knocking;
    return world.until(
        [&] {
          if (knocking && knocking->closed && knocking->got.empty()) return true;
          if (knocking && !knocking->closed) return false;
          knocking = world.clientOf(address);
          knocking->stream.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
          return false;
        },
        2 * kSecond);
  }

  ProcessWorld world;
  net::Stream* stalledStream = nullptr;
};

// ---- SIGTERM ----

TEST_F(ProgramTest, FinishesAnOpenStreamAfterTermination) {
  ASSERT_NO_FATAL_FAILURE(world.start());
  const auto streaming = openStream("s1");
  world.program->signal(SIGTERM);
  ASSERT_TRUE(waitUntilRefused());
  EXPECT_FALSE(world.program->ended());
  expectWholeStream(*streaming);
  EXPECT_TRUE(world.until([&] { return streaming->closed; }, 1 * kSecond));
  world.expectGracefulExit();
}

TEST_F(ProgramTest, AnswersARequestAtAHungEngineAfterTermination) {
  constexpr int kExpiresInMs = 1500;
  constexpr net::Micros kSlack = 500 * kMillisecond;
  world.writer.script = [](Request& request) { answerControlRequest(request); };
  ASSERT_NO_FATAL_FAILURE(world.start());
  const auto idempotent = world.client();
  const auto nonIdempotent = world.client();
  idempotent->expiresInMs = nonIdempotent->expiresInMs = kExpiresInMs;
  const net::Micros due = world.loop.now() + kExpiresInMs * kMillisecond + kSlack;
  idempotent->ask("h1", "chat");
  nonIdempotent->ask("h2", "order");
  ASSERT_TRUE(world.until([&] { return world.writer.count("POST") >= 2; }, 1 * kSecond));
  world.program->signal(SIGTERM);
  const auto answered = [](const RawClient& c) { return c.has("HTTP/1.1 ") && c.has("\r\n\r\n"); };
  EXPECT_TRUE(
      world.until([&] { return answered(*idempotent) && answered(*nonIdempotent); }, due - world.loop.now()))
      << idempotent->got << nonIdempotent->got;
  for (const RawClient* c : {idempotent.get(), nonIdempotent.get()}) {
    EXPECT_EQ(c->count("HTTP/1.1 "), 1u);
    EXPECT_TRUE(c->has("HTTP/1.1 5") || c->has("HTTP/1.1 429")) << c->got;
  }
  EXPECT_TRUE(nonIdempotent->has("HTTP/1.1 50")) << nonIdempotent->got;
  EXPECT_TRUE(world.until([&] { return idempotent->closed && nonIdempotent->closed; }, 1 * kSecond));
  world.expectGracefulExit();
}

// Adds what comes to its connection's end; throws where that is a reset, or takes too long.
void readToEnd(Poco::Net::StreamSocket& socket, std::string& got) {
  std::array<char, 4096> piece{};
  while (const int count = socket.receiveBytes(piece.data(), static_cast<int>(piece.size())))
    got.append(piece.data(), static_cast<std::size_t>(count));
}

// One that asks at a time of its own around the signal.
struct TimedRequest {
  std::string id;
  std::unique_ptr<RawClient> client;
  std::size_t bytesBefore = 0;
  bool isSent = false;

  void ask() {
    if (client->closed) return;
    isSent = true;
    client->ask(id);
  }
  bool served() const { return client->got.size() > bytesBefore && client->got.ends_with(kFinalChunk); }
  // A refusal, whole: its text ends in a line feed alone.
  bool refused() const { return refusedWith("503"); }
  bool tooMany() const { return refusedWith("429"); }
  bool refusedWith(const std::string& status) const {
    const std::string& got = client->got;
    const bool whole = got.ends_with("\n") && !got.ends_with("\r\n");
    return whole && got.find("HTTP/1.1 " + status, bytesBefore) != std::string::npos;
  }
  bool answered() const { return served() || refused() || tooMany(); }
  bool settled() const { return !isSent || client->closed || answered(); }
};

struct RestingConnections : ProgramTest {
  // Connections that each have had an answer; one after the other, so that none is refused as one too many.
  void open(std::size_t count) {
    timedRequests.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
      TimedRequest& timedRequest = timedRequests[i];
      timedRequest.client = world.client();
      timedRequest.client->ask("first" + std::to_string(i));
      ASSERT_TRUE(world.until([&] { return timedRequest.served(); }, 3 * kSecond))
          << timedRequest.client->got;
      timedRequest.id = "again" + std::to_string(i);
      timedRequest.bytesBefore = timedRequest.client->got.size();
    }
  }
  // Each request gets its whole answer, or its connection ends with nothing said and nothing sent on.
  void expectAnsweredOrIgnored() {
    const auto settled = [](const TimedRequest& timedRequest) { return timedRequest.settled(); };
    EXPECT_TRUE(world.until([&] { return std::all_of(timedRequests.begin(), timedRequests.end(), settled); },
                            4 * kSecond));
    for (const TimedRequest& timedRequest : timedRequests) {
      const std::size_t answers = timedRequest.client->count("HTTP/1.1 ") - 1;
      if (timedRequest.isSent && timedRequest.answered()) {
        ++answered;
        EXPECT_EQ(answers, 1u) << timedRequest.client->got;
        continue;
      }
      EXPECT_EQ(timedRequest.client->got.size(), timedRequest.bytesBefore) << timedRequest.client->got;
      EXPECT_FALSE(world.seenAtEngines(timedRequest.id)) << timedRequest.id;
      if (timedRequest.isSent) ++unread;
    }
    std::cout << "answered " << answered << ", ended unread " << unread << ", had not asked "
              << timedRequests.size() - answered - unread << "\n";
  }

  std::vector<TimedRequest> timedRequests;
  std::size_t answered = 0;
  std::size_t unread = 0;
};

TEST_F(RestingConnections, AnswersOrIgnoresEachRequestSentAroundTermination) {
  constexpr std::size_t kConnections = 24;
  constexpr net::Micros kStep = 2 * kMillisecond;  // from one request to the next
  constexpr net::Micros kSignalAt = 4 * kStep;
  ASSERT_NO_FATAL_FAILURE(world.start());
  ASSERT_NO_FATAL_FAILURE(open(kConnections));
  world.loop.after(kSignalAt, [&] { world.program->signal(SIGTERM); });
  for (std::size_t i = 0; i < kConnections; ++i)
    world.loop.after(static_cast<net::Micros>(i) * kStep,
                     [&timedRequest = timedRequests[i]] { timedRequest.ask(); });
  const net::Micros lastSentAt = world.loop.now() + static_cast<net::Micros>(kConnections) * kStep;
  ASSERT_TRUE(
      world.until([&] { return world.loop.now() > lastSentAt && world.linesWith(R"("draining")") == 1; }));
  expectAnsweredOrIgnored();
  world.expectGracefulExit();
}

// The process stands still while both the requests and the signal come, so that it meets them in one turn.
TEST_F(RestingConnections, AnswersOrIgnoresEachRequestSentInTheInstantOfTermination) {
  constexpr std::size_t kConnections = 24;
  ASSERT_NO_FATAL_FAILURE(world.start());
  ASSERT_NO_FATAL_FAILURE(open(kConnections));
  world.program->signal(SIGSTOP);
  ASSERT_TRUE(world.until([&] { return world.program->stopped(); }, 1 * kSecond));
  for (std::size_t i = 0; i < kConnections; i += 3) timedRequests[i].ask();
  world.program->signal(SIGTERM);
  for (std::size_t i = 1; i < kConnections; i += 3) timedRequests[i].ask();
  world.program->signal(SIGCONT);
  ASSERT_TRUE(world.until([&] { return world.linesWith(R"("draining")") == 1; }, 2 * kSecond));
  expectAnsweredOrIgnored();
  world.expectGracefulExit();
}

// Its client writes on although the end of the connection has come: it reads that end, not a reset.
TEST_F(RestingConnections, IgnoresARequestSentAfterTheEndOfItsConnection) {
  const std::string late =
      "POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: late\r\nX-Qos: chat\r\nX-Expires-In-Ms: "
      "3000\r\nContent-Length: 2\r\n\r\n{}";
  ASSERT_NO_FATAL_FAILURE(world.start());
  Poco::Net::StreamSocket client{Poco::Net::SocketAddress(world.address())};
  const std::string first = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
  client.sendBytes(first.data(), static_cast<int>(first.size()));
  ASSERT_TRUE(world.until([&] { return client.available() > 0; }, 1 * kSecond));
  world.program->signal(SIGTERM);
  ASSERT_TRUE(world.until([&] { return world.linesWith(R"("draining")") == 1; }, 2 * kSecond));
  std::string got;
  client.setReceiveTimeout(Poco::Timespan(2, 0));
  ASSERT_NO_THROW(readToEnd(client, got)) << got;
  client.sendBytes(late.data(), static_cast<int>(late.size()));
  EXPECT_TRUE(got.starts_with("HTTP/1.1 200")) << got;
  EXPECT_NO_THROW(readToEnd(client, got));
  EXPECT_TRUE(got.ends_with("ready\n")) << got;
  client.close();
  world.expectGracefulExit();
  EXPECT_FALSE(world.seenAtEngines("late"));
}

TEST_F(ProgramTest, ServesNewConnectionsForAWhileAfterTermination) {
  constexpr std::size_t kNewcomers = 7;
  constexpr net::Micros kApart = 50 * kMillisecond;  // the last 0.3 s after the signal
  ASSERT_NO_FATAL_FAILURE(world.start());
  const std::string address = world.address();
  std::vector<TimedRequest> newcomers(kNewcomers);
  world.program->signal(SIGTERM);
  for (std::size_t i = 0; i < kNewcomers; ++i) {
    TimedRequest& timedRequest = newcomers[i];
    timedRequest.id = "new" + std::to_string(i);
    world.loop.after(static_cast<net::Micros>(i) * kApart, [&timedRequest, &address, this] {
      timedRequest.client = world.clientOf(address);
      timedRequest.ask();
    });
  }
  EXPECT_TRUE(world.until(
      [&] {
        return std::all_of(newcomers.begin(), newcomers.end(),
                           [](auto& a) { return a.client && a.isSent && a.settled(); });
      },
      4 * kSecond));
  for (const TimedRequest& timedRequest : newcomers) {
    ASSERT_TRUE(timedRequest.client);
    EXPECT_TRUE(timedRequest.served() || timedRequest.refused())
        << timedRequest.id << ": " << timedRequest.client->got;
    EXPECT_EQ(timedRequest.client->count("HTTP/1.1 "), 1u);
  }
  world.expectGracefulExit();
}

struct SignalOrder : ProgramTest, testing::WithParamInterface<std::vector<int>> {};

TEST_P(SignalOrder, ExitsOnceAndFinishesTheOpenStream) {
  ASSERT_NO_FATAL_FAILURE(world.start());
  ScriptedDiscovery second(world.loop);
  second.list = listText(2, false, memberText("w2", world.otherWriter, "m2"));
  const auto streaming = openStream("s1");
  world.writeConfig(platformConfigText(second.address()));
  for (const int signal : GetParam()) world.program->signal(signal);
  ASSERT_TRUE(waitUntilRefused());
  EXPECT_FALSE(world.program->ended());
  world.program->signal(GetParam().back());  // once more, long after the first ones
  expectWholeStream(*streaming);
  world.expectGracefulExit();
}

INSTANTIATE_TEST_SUITE_P(Orders, SignalOrder,
                         testing::Values(std::vector{SIGTERM, SIGTERM}, std::vector{SIGHUP, SIGTERM},
                                         std::vector{SIGTERM, SIGHUP},
                                         std::vector{SIGHUP, SIGTERM, SIGHUP, SIGTERM}));

TEST_F(ProgramTest, ExitsWhenTerminatedRightAfterItIsReady) {
  ASSERT_NO_FATAL_FAILURE(world.start());
  world.program->signal(SIGTERM);
  world.expectGracefulExit();
}

TEST_F(ProgramTest, ServesConnectionsWithoutARequestAfterTermination) {
  constexpr net::Micros kSentAfter = 100 * kMillisecond;
  ASSERT_NO_FATAL_FAILURE(world.start());
  const auto silent = world.client();
  const auto late = world.client();
  ASSERT_TRUE(
      world.until([&] { return silent->stream.connected() && late->stream.connected(); }, 1 * kSecond));
  world.program->signal(SIGTERM);
  world.loop.after(kSentAfter, [&] { late->ask("late"); });
  EXPECT_TRUE(world.until([&] { return late->has(kFinalChunk); }, 2 * kSecond)) << late->got;
  EXPECT_TRUE(world.until([&] { return silent->closed && late->closed; }, 2 * kSecond));
  EXPECT_EQ(silent->got, "");
  world.expectGracefulExit();
}

TEST_F(ProgramTest, IsNotReadyAfterTermination) {
  ASSERT_NO_FATAL_FAILURE(world.start());
  const std::string address = world.address();
  const auto streaming = openStream("s1");
  world.program->signal(SIGTERM);
  ASSERT_TRUE(world.until([&] { return world.linesWith(R"("draining")") == 1; }, kHangTimeout));
  const auto requester = world.clientOf(address);
  requester->stream.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(world.until([&] { return requester->has("HTTP/1.1 503"); }, 500 * kMillisecond))
      << requester->got;
  expectWholeStream(*streaming);
  world.expectGracefulExit();
}

// ---- bad input ----

TEST_F(ProgramTest, LogsBadRequestsOnceForEachCause) {
  constexpr int kOfEach = 20;
  const std::string head = "POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: x\r\nX-Expires-In-Ms: 1000\r\n";
  const std::array<std::string, 4> bad{
      "\x01\x02\r\n\r\n", head + "X-Qos: none\r\nContent-Length: 2\r\n\r\n{}",
      head + "X-Qos: chat\r\nContent-Length: 3\r\n\r\n{,}", "GET / HTTP/1.1\r\n\r\n"};
  ASSERT_NO_FATAL_FAILURE(world.start());
  for (int i = 0; i < kOfEach; ++i) {
    for (const std::string& text : bad) {
      const auto client = world.client();
      client->stream.send(text);
      ASSERT_TRUE(world.until([&] { return client->closed; }, kHangTimeout));
      EXPECT_TRUE(client->has("HTTP/1.1 4")) << client->got;
    }
  }
  ASSERT_TRUE(
      world.until([&] { return world.linesWith(R"("event":"rejected")") >= bad.size(); }, kHangTimeout));
  for (const char* cause : {"malformed", "X-Qos: no such class", "no JSON object", "no such resource"}) {
    EXPECT_GE(world.linesWith(R"("event":"rejected")", cause), 1u) << world.standardError();
    EXPECT_LE(world.linesWith(R"("event":"rejected")", cause), 1 + world.linesWith(R"("event":"status")"))
        << world.standardError();
  }
  EXPECT_TRUE(world.isServed("good"));
}

TEST_F(ProgramTest, UsesDefaultTimeoutsWhereTheSettingsHaveNone) {
  std::string text = platformConfigText(world.discovery.address());
  for (const std::string& key :
       {std::string(R"(,"dialTimeoutMs":250.0)"), std::string(R"("releaseWithinMs":500.0,)")}) {
    const auto at = text.find(key);
    ASSERT_NE(at, std::string::npos) << key;
    text.erase(at, key.size());
  }
  world.writeConfig(text);
  ASSERT_NO_FATAL_FAILURE(world.start());
  for (int i = 0; i < 3; ++i) EXPECT_TRUE(world.isServed("r" + std::to_string(i), 2 * kSecond));
}

// ---- SIGHUP ----

// A silent watch is given up after 2.4 s. A discovery that takes longer for its first list was never heard.
TEST_F(ProgramTest, AcceptsTheListOfADiscoveryThatAnswersLate) {
  constexpr net::Micros kResponseDelay = 3200 * kMillisecond;
  world.discovery.responseDelay = kResponseDelay;
  world.launch();
  EXPECT_TRUE(world.waitUntilReady(kResponseDelay + 2 * kSecond)) << world.standardError();
}

TEST_F(ProgramTest, MovesTheWatchAtAReloadAndKeepsOpenStreams) {
  constexpr int kRequestsAfter = 10;
  ASSERT_NO_FATAL_FAILURE(world.start());
  ScriptedDiscovery second(world.loop);
  second.list = listText(2, false, memberText("w2", world.otherWriter, "m2"));
  const auto streaming = openStream("s1");
  world.writeConfig(platformConfigText(second.address()));
  world.program->signal(SIGHUP);
  ASSERT_TRUE(
      world.until([&] { return second.watchesBegun() >= 1 && world.linesWith("w2+") == 1; }, kHangTimeout));
  EXPECT_TRUE(world.until([&] { return world.discovery.openWatches() == 0; }, 1 * kSecond));
  second.publish(listText(3, false, memberText("w", world.writer, "m2", "draining")));
  ASSERT_TRUE(world.until([&] { return world.linesWith("w~") == 1; }, 2 * kSecond));
  world.pass(kDrainGrace);
  const auto before = world.writer.count("POST");
  for (int i = 0; i < kRequestsAfter; ++i) EXPECT_TRUE(world.isServed("r" + std::to_string(i)));
  EXPECT_EQ(world.writer.count("POST"), before);
  EXPECT_GE(world.otherWriter.count("POST"), static_cast<std::size_t>(kRequestsAfter));
  expectWholeStream(*streaming);
  // A watch is begun anew only where the end of the one before was told.
  EXPECT_LE(world.discovery.watchesBegun(), 1 + world.linesWith(R"("event":"discovery")"));
}

// A configuration that can't be used, and what the line about it has to tell.
struct BadFile {
  std::string name;
  std::function<void(ProcessWorld&)> makeInvalid;
  std::string cause;
};

void PrintTo(const BadFile& file, std::ostream* out) { *out << file.name; }

std::function<void(ProcessWorld&)> replacedBy(const std::string& text) {
  return [text](ProcessWorld& world) { world.writeConfig(text); };
}

// The good text with one place changed.
std::function<void(ProcessWorld&)> changed(const std::string& from, const std::string& to) {
  return [from, to](ProcessWorld& world) {
    std::string text = platformConfigText(world.discovery.address());
    const auto at = text.find(from);
    ASSERT_NE(at, std::string::npos);
    world.writeConfig(text.replace(at, from.size(), to));
  };
}

std::function<void(ProcessWorld&)> cutInHalf() {
  return [](ProcessWorld& world) {
    const std::string text = platformConfigText(world.discovery.address());
    world.writeConfig(text.substr(0, text.size() / 2));
  };
}

std::function<void(ProcessWorld&)> removed() {
  return [](ProcessWorld& world) { std::filesystem::remove(world.configFile); };
}

struct BadReload : ProgramTest, testing::WithParamInterface<BadFile> {};

TEST_P(BadReload, KeepsTheConfigurationAndLogsTheCauseOnce) {
  constexpr std::size_t kReloads = 3;
  ASSERT_NO_FATAL_FAILURE(world.start());
  const auto streaming = openStream("s1");
  GetParam().makeInvalid(world);
  for (std::size_t i = 1; i <= kReloads; ++i) {
    world.program->signal(SIGHUP);
    ASSERT_TRUE(world.until([&] { return world.linesWith(world.configFile) >= i; }, kHangTimeout))
        << world.standardError();
    EXPECT_EQ(world.linesWith(world.configFile, GetParam().cause), i) << world.standardError();
  }
  expectWholeStream(*streaming);
  world.writer.script = world.otherWriter.script;
  EXPECT_TRUE(world.isServed("r1"));
  world.discovery.publish(listText(2, false, memberText("w2", world.otherWriter, "m2")));
  EXPECT_TRUE(world.until([&] { return world.linesWith("w2+") == 1; }, kHangTimeout));
  // A watch is begun anew only where the end of the one before was told.
  EXPECT_LE(world.discovery.watchesBegun(), 1 + world.linesWith(R"("event":"discovery")"));
  EXPECT_EQ(world.linesWith(world.configFile), kReloads) << world.standardError();
  EXPECT_EQ(world.linesWith("reload"), kReloads) << world.standardError();
  EXPECT_FALSE(world.program->ended());
}

INSTANTIATE_TEST_SUITE_P(
    Files, BadReload,
    testing::Values(
        BadFile{"Absent", removed(), "can't be read"}, BadFile{"Empty", replacedBy(""), "config.json:1"},
        BadFile{"Truncated", cutInHalf(), "config.json:"},
        BadFile{"NoObject", replacedBy("[1, 2]"), "config.json:1"},
        BadFile{"Binary", replacedBy(std::string("\0\x01\xff\xfe", 4)), "config.json:1"},
        BadFile{"WrongTypeOfLimits", changed(R"("limits":{)", R"("limits":7,"x":{)"), "limits"},
        BadFile{"WrongTypeOfANumber", changed(R"("cores":1)", R"("cores":"one")"), "cores"},
        BadFile{"NoAddress", changed(R"("discovery":"127)", R"("discovery":"no address 127)"), "discovery"},
        BadFile{"ShareAboveOne", changed(R"("coldFrom":0.3)", R"("coldFrom":2.5)"), "coldFrom"},
        BadFile{"FewerDescriptorsThanAny", changed(R"("sockets":256)", R"("sockets":2)"), "sockets"},
        BadFile{"NoRouters", changed(R"("balancers":1)", R"("balancers":0)"), "routers"},
        BadFile{"NoSuchEffect", changed(R"("effect":"read_like")", R"("effect":"both")"), "effect"}),
    [](const auto& file) { return file.param.name; });

// ---- starts ----

enum class DiscoveryAtStart { answering, silent, refusing };

struct Starts : ProgramTest, testing::WithParamInterface<DiscoveryAtStart> {
  // From the start of the program until it has served a request; none where that took too long.
  std::optional<net::Micros> timeToServe(const std::string& id) {
    const net::Micros from = world.loop.now();
    world.launch();
    std::unique_ptr<RawClient> requester;
    int tries = 0;
    const bool served = world.until(
        [&] {
          if (requester && requester->has(kFinalChunk)) return true;
          if (requester && !requester->closed && !requester->has("HTTP/1.1 429") &&
              !requester->has("HTTP/1.1 5"))
            return false;
          const std::string address = world.address();
          if (address.empty()) return false;
          requester = world.clientOf(address);
          requester->ask(id + "-" + std::to_string(++tries));
          return false;
        },
        kStartTimeout);
    if (!served) return std::nullopt;
    return world.loop.now() - from;
  }
};

TEST_P(Starts, ServesInTime) {
  constexpr int kStarts = 5;
  world.discovery.silent = GetParam() == DiscoveryAtStart::silent;
  if (GetParam() == DiscoveryAtStart::refusing) world.discovery.stop();
  const std::string known = R"("known":)" + listText(1, true, world.members) + ",";
  const std::string more = GetParam() == DiscoveryAtStart::answering ? "" : known;
  world.writeConfig(platformConfigText(world.discovery.address(), 256, more));
  for (int i = 0; i < kStarts; ++i) {
    const auto took = timeToServe("start" + std::to_string(i));
    ASSERT_TRUE(took) << "start " << i;
    std::cout << "served after " << *took / kMillisecond << " ms\n";
    EXPECT_TRUE(world.waitUntilReady(kStartTimeout));
    EXPECT_LE(*took, kStartTimeout);
  }
}

std::string startName(const testing::TestParamInfo<DiscoveryAtStart>& start) {
  if (start.param == DiscoveryAtStart::answering) return "Answering";
  return start.param == DiscoveryAtStart::silent ? "Silent" : "Refusing";
}

INSTANTIATE_TEST_SUITE_P(Discovery, Starts,
                         testing::Values(DiscoveryAtStart::answering, DiscoveryAtStart::silent,
                                         DiscoveryAtStart::refusing),
                         startName);

// ---- descriptors ----

// Clients that connect, say nothing and neither read nor close.
class IdleCrowd {
 public:
  IdleCrowd(net::Loop& loop, const std::string& address) : alarm_(loop), address_(address) {}
  void add(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      sockets_.emplace_back();
      sockets_.back().connectNB(Poco::Net::SocketAddress(address_));
    }
    while (sockets_.size() > kMaxSockets) sockets_.pop_front();
  }
  // One more comes every so often.
  void keepArriving(net::Micros every) {
    add(1);
    alarm_.start(every, [this, every] { keepArriving(every); });
  }

 private:
  static constexpr std::size_t kMaxSockets = 600;
  timing::Alarm alarm_;
  std::string address_;
  std::deque<Poco::Net::StreamSocket> sockets_;
};

enum class Crowd { stays, keepsComing };

struct DescriptorPressure : ProgramTest, testing::WithParamInterface<Crowd> {
  static constexpr int kDescriptors = 128;
  // The system's bound as well. The sanitizer's check of an object's type opens a pipe, and takes every
  // object for broken where that fails, so there the program is only told of its limit.
#ifdef __SANITIZE_ADDRESS__
  static constexpr rlim_t kSystemLimit = 0;
#else
  static constexpr rlim_t kSystemLimit = kDescriptors;
#endif
  // The share of clients' connections, as the program tells it; its own descriptors come on top.
  static constexpr std::size_t kClientConnections = 52;
  static constexpr std::size_t kCrowd = 300;
  static constexpr net::Micros kArrivalInterval = 5 * kMillisecond;
};

TEST_P(DescriptorPressure, NoticesTheRecoveryOfDiscoveryAndServesClients) {
  constexpr std::size_t kFailedWatches = 4;
  world.writeConfig(platformConfigText(world.discovery.address(), kDescriptors));
  ASSERT_NO_FATAL_FAILURE(world.start(kSystemLimit));
  ASSERT_TRUE(world.isServed("before"));
  world.discovery.stop();
  IdleCrowd crowd(world.loop, world.address());
  crowd.add(kCrowd);
  if (GetParam() == Crowd::keepsComing) crowd.keepArriving(kArrivalInterval);
  ASSERT_TRUE(
      world.until([&] { return world.linesWith(R"("event":"discovery")") >= kFailedWatches; }, 5 * kSecond));
  ASSERT_TRUE(world.until([&] { return world.program->descriptors() > kClientConnections; }, 2 * kSecond));
  std::cout << "descriptors taken: " << world.program->descriptors() << " of " << kDescriptors << "\n";
  world.discovery.list = listText(
      2, false,
      memberText("w", world.writer, "m2", "draining") + "," + memberText("w2", world.otherWriter, "m2"));
  world.discovery.start();
  const net::Micros returned = world.loop.now();
  EXPECT_TRUE(world.until([&] { return world.linesWith("w~") == 1; }, kChangeDeliveryTimeout));
  std::cout << "told after " << (world.loop.now() - returned) / kMillisecond << " ms\n";
  world.pass(kDrainGrace);
  const auto before = world.writer.count("POST");
  EXPECT_TRUE(world.isServed("after"));
  EXPECT_EQ(world.writer.count("POST"), before);
  EXPECT_EQ(world.otherWriter.count("POST"), 1u);
  EXPECT_FALSE(world.program->ended());
  EXPECT_EQ(world.linesWith(R"("clients":52)"), 1u);
}

TEST_P(DescriptorPressure, ServesClientsThatArriveTogether) {
  constexpr std::size_t kClients = 12;
  world.writeConfig(platformConfigText(world.discovery.address(), kDescriptors));
  ASSERT_NO_FATAL_FAILURE(world.start(kSystemLimit));
  ASSERT_TRUE(world.isServed("before"));
  IdleCrowd crowd(world.loop, world.address());
  crowd.add(kCrowd);
  if (GetParam() == Crowd::keepsComing) crowd.keepArriving(kArrivalInterval);
  ASSERT_TRUE(world.until([&] { return world.program->descriptors() > kClientConnections; }, 2 * kSecond));
  std::vector<TimedRequest> timedRequests(kClients);
  for (std::size_t i = 0; i < kClients; ++i) {
    timedRequests[i].id = "c" + std::to_string(i);
    timedRequests[i].client = world.client();
    timedRequests[i].ask();
  }
  const auto settled = [](const TimedRequest& timedRequest) { return timedRequest.settled(); };
  std::size_t maxDescriptors = 0;
  EXPECT_TRUE(world.until(
      [&] {
        if (!world.program->ended()) maxDescriptors = std::max(maxDescriptors, world.program->descriptors());
        return std::all_of(timedRequests.begin(), timedRequests.end(), settled);
      },
      4 * kSecond));
  EXPECT_LE(maxDescriptors, static_cast<std::size_t>(kDescriptors));
  for (const TimedRequest& timedRequest : timedRequests)
    EXPECT_TRUE(timedRequest.served()) << timedRequest.id << ": " << timedRequest.client->got;
  std::cout << "descriptors at the most: " << maxDescriptors << " of " << kDescriptors << "\n";
}

std::string crowdName(const testing::TestParamInfo<Crowd>& crowd) {
  return crowd.param == Crowd::stays ? "ThatStays" : "ThatKeepsComing";
}

INSTANTIATE_TEST_SUITE_P(Crowds, DescriptorPressure, testing::Values(Crowd::stays, Crowd::keepsComing),
                         crowdName);

// What is held for a request whose client left has to be let go of before the process ends.
TEST_F(ProgramTest, ReleasesKvReservationsBeforeItExits) {
  constexpr net::Micros kReleaseDelay = 900 * kMillisecond;
  const net::Micros from = world.loop.now();
  std::size_t confirmed = 0;
  const auto answerLateCalls = [&](Request& request) {
    if (request.head.method == "POST") return;
    if (world.loop.now() - from < kReleaseDelay) return;  // an engine that says nothing to releases yet
    ++confirmed;
    answerControlRequest(request);
  };
  world.writer.script = world.otherWriter.script = answerLateCalls;
  world.reader.script = [&](Request& request) {
    if (request.head.method == "POST")
      request.stream->send(kPrefillResponse);
    else
      answerLateCalls(request);
  };
  ASSERT_NO_FATAL_FAILURE(world.start());
  auto cancelling = world.client();
  cancelling->ask("h1");
  ASSERT_TRUE(world.until([&] { return world.writer.count("POST") == 1; }, 2 * kSecond));
  cancelling->stream.close();
  world.program->signal(SIGTERM);
  EXPECT_TRUE(world.until([&] { return confirmed > 0; }, 4 * kSecond));
  world.expectGracefulExit();
  EXPECT_EQ(world.linesWith(R"("drained")", "kv reservations 0, releases in flight 0"), 1u);
  EXPECT_EQ(world.linesWith(R"("drained")", "abandoned 0"), 1u);
}

// The address is another process's for good: the reason on standard error, and status 2.
TEST_F(ProgramTest, ExitsWithTheReasonWhereItsAddressIsTaken) {
  const net::Listener other(world.loop, Poco::Net::SocketAddress("127.0.0.1", 0), [](auto) {});
  const std::string address = other.address().toString();
  std::string text = platformConfigText(world.discovery.address());
  const std::string any = R"("listen":"127.0.0.1:0")";
  text.replace(text.find(any), any.size(), R"("listen":")" + address + "\"");
  world.writeConfig(text);
  world.launch();
  ASSERT_TRUE(world.until([&] { return world.program->ended(); }, 8 * kSecond));
  EXPECT_EQ(world.program->exitStatus(), 2);
  EXPECT_NE(world.standardError().find("can't listen on " + address), std::string::npos)
      << world.standardError();
}

}  // namespace
}  // namespace garnethook::test
