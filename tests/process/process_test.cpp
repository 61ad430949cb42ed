// Tests `garnethook run` and its signal handling as a child process, with raw clients, scripted engines and
// discovery on loopback. Each test forces the race that it names.
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <deque>
#include <iostream>

#include "process_harness.h"

namespace garnethook::test {
namespace {

using Request = ScriptedEngine::Request;

// Time after an engine is reported as draining within which it may still receive new requests.
constexpr net::Micros kDrainGrace = 300 * kMillisecond;
// Limit for steps without a required time; a program that exceeds it counts as hung.
constexpr net::Micros kHangTimeout = 10 * kSecond;
// Limit for the delivery of a change, from when discovery has it and is reachable.
constexpr net::Micros kChangeDeliveryTimeout = 6 * kSecond;

struct ProgramTest : testing::Test {
  // Makes the decode engine send one event of the next stream and hold back the rest.
  void stallStreams() {
    harness.decodeEngine.script = [this](Request& request) {
      if (answerControlRequest(request)) return;
      stalledStream = request.stream;
      request.stream->send(std::string(kStreamHead) + chunk(kTokenEvent));
    };
  }
  // Returns a client whose stream has started and is held back by the decode engine.
  std::unique_ptr<RawClient> openStream(const std::string& id) {
    stallStreams();
    auto streamingClient = harness.client();
    streamingClient->ask(id);
    EXPECT_TRUE(harness.until([&] { return streamingClient->has(kTokenEvent); }, 3 * kSecond))
        << streamingClient->got;
    return streamingClient;
  }
  // Completes the stalled stream and expects the client to receive all of it.
  void expectWholeStream(RawClient& streamingClient) {
    ASSERT_NE(stalledStream, nullptr);
    stalledStream->send(chunk(kTokenEvent) + chunk(kDoneEvent) + kFinalChunk);
    EXPECT_TRUE(harness.until([&] { return streamingClient.has(kFinalChunk); }, 2 * kSecond))
        << streamingClient.got;
    EXPECT_EQ(streamingClient.count("HTTP/1.1 "), 1u);
    EXPECT_EQ(streamingClient.count(kTokenEvent), 2u);
    EXPECT_EQ(streamingClient.count(kDoneEvent), 1u);
    EXPECT_TRUE(streamingClient.got.ends_with(kFinalChunk)) << streamingClient.got;
  }
  // Waits until the program accepts no more connections.
  bool waitUntilRefused() {
    const std::string address = harness.address();
    std::unique_ptr<RawClient> probe;
    return harness.until(
        [&] {
          if (probe && probe->closed && probe->got.empty()) return true;
          if (probe && !probe->closed) return false;
          probe = harness.connectTo(address);
          probe->stream.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
          return false;
        },
        2 * kSecond);
  }

  ProcessHarness harness;
  net::Stream* stalledStream = nullptr;
};

// ---- SIGTERM ----

TEST_F(ProgramTest, FinishesAnOpenStreamAfterTermination) {
  ASSERT_NO_FATAL_FAILURE(harness.start());
  const auto streamingClient = openStream("s1");
  harness.program->signal(SIGTERM);
  ASSERT_TRUE(waitUntilRefused());
  EXPECT_FALSE(harness.program->ended());
  expectWholeStream(*streamingClient);
  EXPECT_TRUE(harness.until([&] { return streamingClient->closed; }, 1 * kSecond));
  harness.expectGracefulExit();
}

TEST_F(ProgramTest, AnswersARequestAtAHungEngineAfterTermination) {
  constexpr int kExpiresInMs = 1500;
  constexpr net::Micros kSlack = 500 * kMillisecond;
  harness.decodeEngine.script = [](Request& request) { answerControlRequest(request); };
  ASSERT_NO_FATAL_FAILURE(harness.start());
  const auto idempotent = harness.client();
  const auto nonIdempotent = harness.client();
  idempotent->expiresInMs = nonIdempotent->expiresInMs = kExpiresInMs;
  const net::Micros deadline = harness.loop.now() + kExpiresInMs * kMillisecond + kSlack;
  idempotent->ask("h1", "chat");
  nonIdempotent->ask("h2", "order");
  ASSERT_TRUE(harness.until([&] { return harness.decodeEngine.count("POST") >= 2; }, 1 * kSecond));
  harness.program->signal(SIGTERM);
  const auto answered = [](const RawClient& rawClient) {
    return rawClient.has("HTTP/1.1 ") && rawClient.has("\r\n\r\n");
  };
  EXPECT_TRUE(harness.until([&] { return answered(*idempotent) && answered(*nonIdempotent); },
                            deadline - harness.loop.now()))
      << idempotent->got << nonIdempotent->got;
  for (const RawClient* rawClient : {idempotent.get(), nonIdempotent.get()}) {
    EXPECT_EQ(rawClient->count("HTTP/1.1 "), 1u);
    EXPECT_TRUE(rawClient->has("HTTP/1.1 5") || rawClient->has("HTTP/1.1 429")) << rawClient->got;
  }
  EXPECT_TRUE(nonIdempotent->has("HTTP/1.1 50")) << nonIdempotent->got;
  EXPECT_TRUE(harness.until([&] { return idempotent->closed && nonIdempotent->closed; }, 1 * kSecond));
  harness.expectGracefulExit();
}

// Appends received bytes to `got` until the end of the connection; throws on a reset or a timeout.
void readToEnd(Poco::Net::StreamSocket& socket, std::string& got) {
  std::array<char, 4096> buffer{};
  while (const int count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size())))
    got.append(buffer.data(), static_cast<std::size_t>(count));
}

// A client whose request is sent at a chosen time around the signal.
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
  // Whether a complete rejection was received; its body ends in a bare line feed.
  bool rejectedAsUnavailable() const { return rejectedWith("503"); }
  bool rejectedForLoad() const { return rejectedWith("429"); }
  bool rejectedWith(const std::string& status) const {
    const std::string& got = client->got;
    const bool whole = got.ends_with("\n") && !got.ends_with("\r\n");
    return whole && got.find("HTTP/1.1 " + status, bytesBefore) != std::string::npos;
  }
  bool answered() const { return served() || rejectedAsUnavailable() || rejectedForLoad(); }
  bool settled() const { return !isSent || client->closed || answered(); }
};

struct IdleConnections : ProgramTest {
  // Opens connections that have each received one response. They are opened one after another, so that none
  // is rejected for too many requests.
  void open(std::size_t count) {
    timedRequests.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
      TimedRequest& timedRequest = timedRequests[i];
      timedRequest.client = harness.client();
      timedRequest.client->ask("first" + std::to_string(i));
      ASSERT_TRUE(harness.until([&] { return timedRequest.served(); }, 3 * kSecond))
          << timedRequest.client->got;
      timedRequest.id = "again" + std::to_string(i);
      timedRequest.bytesBefore = timedRequest.client->got.size();
    }
  }
  // Expects that each request gets a complete response, or that its connection ends without a response and
  // without the request reaching an engine.
  void expectAnsweredOrIgnored() {
    const auto settled = [](const TimedRequest& timedRequest) { return timedRequest.settled(); };
    EXPECT_TRUE(harness.until(
        [&] { return std::all_of(timedRequests.begin(), timedRequests.end(), settled); }, 4 * kSecond));
    for (const TimedRequest& timedRequest : timedRequests) {
      const std::size_t answers = timedRequest.client->count("HTTP/1.1 ") - 1;
      if (timedRequest.isSent && timedRequest.answered()) {
        ++answered;
        EXPECT_EQ(answers, 1u) << timedRequest.client->got;
        continue;
      }
      EXPECT_EQ(timedRequest.client->got.size(), timedRequest.bytesBefore) << timedRequest.client->got;
      EXPECT_FALSE(harness.reachedAnEngine(timedRequest.id)) << timedRequest.id;
      if (timedRequest.isSent) ++unread;
    }
    std::cout << "answered " << answered << ", closed unread " << unread << ", not sent "
              << timedRequests.size() - answered - unread << "\n";
  }

  std::vector<TimedRequest> timedRequests;
  std::size_t answered = 0;
  std::size_t unread = 0;
};

TEST_F(IdleConnections, AnswersOrIgnoresEachRequestSentAroundTermination) {
  constexpr std::size_t kConnections = 24;
  constexpr net::Micros kRequestInterval = 2 * kMillisecond;
  constexpr net::Micros kSignalAt = 4 * kRequestInterval;
  ASSERT_NO_FATAL_FAILURE(harness.start());
  ASSERT_NO_FATAL_FAILURE(open(kConnections));
  harness.loop.after(kSignalAt, [&] { harness.program->signal(SIGTERM); });
  for (std::size_t i = 0; i < kConnections; ++i)
    harness.loop.after(static_cast<net::Micros>(i) * kRequestInterval,
                       [&timedRequest = timedRequests[i]] { timedRequest.ask(); });
  const net::Micros lastSentAt =
      harness.loop.now() + static_cast<net::Micros>(kConnections) * kRequestInterval;
  ASSERT_TRUE(harness.until(
      [&] { return harness.loop.now() > lastSentAt && harness.linesWith(R"("draining")") == 1; }));
  expectAnsweredOrIgnored();
  harness.expectGracefulExit();
}

// The process is stopped while the requests and the signal arrive, so that it handles them in one iteration
// of its event loop.
TEST_F(IdleConnections, AnswersOrIgnoresEachRequestSentAtTheMomentOfTermination) {
  constexpr std::size_t kConnections = 24;
  ASSERT_NO_FATAL_FAILURE(harness.start());
  ASSERT_NO_FATAL_FAILURE(open(kConnections));
  harness.program->signal(SIGSTOP);
  ASSERT_TRUE(harness.until([&] { return harness.program->stopped(); }, 1 * kSecond));
  for (std::size_t i = 0; i < kConnections; i += 3) timedRequests[i].ask();
  harness.program->signal(SIGTERM);
  for (std::size_t i = 1; i < kConnections; i += 3) timedRequests[i].ask();
  harness.program->signal(SIGCONT);
  ASSERT_TRUE(harness.until([&] { return harness.linesWith(R"("draining")") == 1; }, 2 * kSecond));
  expectAnsweredOrIgnored();
  harness.expectGracefulExit();
}

// The client sends a request after the server has closed its side: it must read the end of the stream, not a
// reset.
TEST_F(IdleConnections, IgnoresARequestSentAfterTheEndOfItsConnection) {
  const std::string late =
      "POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: late\r\nX-Qos: chat\r\nX-Expires-In-Ms: "
      "3000\r\nContent-Length: 2\r\n\r\n{}";
  ASSERT_NO_FATAL_FAILURE(harness.start());
  Poco::Net::StreamSocket client{Poco::Net::SocketAddress(harness.address())};
  const std::string first = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
  client.sendBytes(first.data(), static_cast<int>(first.size()));
  ASSERT_TRUE(harness.until([&] { return client.available() > 0; }, 1 * kSecond));
  harness.program->signal(SIGTERM);
  ASSERT_TRUE(harness.until([&] { return harness.linesWith(R"("draining")") == 1; }, 2 * kSecond));
  std::string got;
  client.setReceiveTimeout(Poco::Timespan(2, 0));
  ASSERT_NO_THROW(readToEnd(client, got)) << got;
  client.sendBytes(late.data(), static_cast<int>(late.size()));
  EXPECT_TRUE(got.starts_with("HTTP/1.1 200")) << got;
  EXPECT_NO_THROW(readToEnd(client, got));
  EXPECT_TRUE(got.ends_with("ready\n")) << got;
  client.close();
  harness.expectGracefulExit();
  EXPECT_FALSE(harness.reachedAnEngine("late"));
}

TEST_F(ProgramTest, ServesNewConnectionsForAShortTimeAfterTermination) {
  constexpr std::size_t kNewClients = 7;
  constexpr net::Micros kConnectInterval =
      50 * kMillisecond;  // the last client connects 0.3 s after the signal
  ASSERT_NO_FATAL_FAILURE(harness.start());
  const std::string address = harness.address();
  std::vector<TimedRequest> newClients(kNewClients);
  harness.program->signal(SIGTERM);
  for (std::size_t i = 0; i < kNewClients; ++i) {
    TimedRequest& timedRequest = newClients[i];
    timedRequest.id = "new" + std::to_string(i);
    harness.loop.after(static_cast<net::Micros>(i) * kConnectInterval, [&timedRequest, &address, this] {
      timedRequest.client = harness.connectTo(address);
      timedRequest.ask();
    });
  }
  EXPECT_TRUE(harness.until(
      [&] {
        return std::all_of(newClients.begin(), newClients.end(),
                           [](auto& timed) { return timed.client && timed.isSent && timed.settled(); });
      },
      4 * kSecond));
  for (const TimedRequest& timedRequest : newClients) {
    ASSERT_TRUE(timedRequest.client);
    EXPECT_TRUE(timedRequest.served() || timedRequest.rejectedAsUnavailable())
        << timedRequest.id << ": " << timedRequest.client->got;
    EXPECT_EQ(timedRequest.client->count("HTTP/1.1 "), 1u);
  }
  harness.expectGracefulExit();
}

struct SignalOrder : ProgramTest, testing::WithParamInterface<std::vector<int>> {};

TEST_P(SignalOrder, ExitsOnceAndFinishesTheOpenStream) {
  ASSERT_NO_FATAL_FAILURE(harness.start());
  ScriptedDiscovery secondDiscovery(harness.loop);
  secondDiscovery.list = listText(2, false, memberText("w2", harness.otherDecodeEngine, "m2"));
  const auto streamingClient = openStream("s1");
  harness.writeConfig(platformConfigText(secondDiscovery.address()));
  for (const int signal : GetParam()) harness.program->signal(signal);
  ASSERT_TRUE(waitUntilRefused());
  EXPECT_FALSE(harness.program->ended());
  harness.program->signal(GetParam().back());  // once more, long after the first signals
  expectWholeStream(*streamingClient);
  harness.expectGracefulExit();
}

INSTANTIATE_TEST_SUITE_P(Orders, SignalOrder,
                         testing::Values(std::vector{SIGTERM, SIGTERM}, std::vector{SIGHUP, SIGTERM},
                                         std::vector{SIGTERM, SIGHUP},
                                         std::vector{SIGHUP, SIGTERM, SIGHUP, SIGTERM}));

TEST_F(ProgramTest, ExitsWhenTerminatedRightAfterItIsReady) {
  ASSERT_NO_FATAL_FAILURE(harness.start());
  harness.program->signal(SIGTERM);
  harness.expectGracefulExit();
}

TEST_F(ProgramTest, ServesConnectionsWithoutARequestAfterTermination) {
  constexpr net::Micros kSentAfter = 100 * kMillisecond;
  ASSERT_NO_FATAL_FAILURE(harness.start());
  const auto silent = harness.client();
  const auto late = harness.client();
  ASSERT_TRUE(
      harness.until([&] { return silent->stream.connected() && late->stream.connected(); }, 1 * kSecond));
  harness.program->signal(SIGTERM);
  harness.loop.after(kSentAfter, [&] { late->ask("late"); });
  EXPECT_TRUE(harness.until([&] { return late->has(kFinalChunk); }, 2 * kSecond)) << late->got;
  EXPECT_TRUE(harness.until([&] { return silent->closed && late->closed; }, 2 * kSecond));
  EXPECT_EQ(silent->got, "");
  harness.expectGracefulExit();
}

TEST_F(ProgramTest, IsNotReadyAfterTermination) {
  ASSERT_NO_FATAL_FAILURE(harness.start());
  const std::string address = harness.address();
  const auto streamingClient = openStream("s1");
  harness.program->signal(SIGTERM);
  ASSERT_TRUE(harness.until([&] { return harness.linesWith(R"("draining")") == 1; }, kHangTimeout));
  const auto requester = harness.connectTo(address);
  requester->stream.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(harness.until([&] { return requester->has("HTTP/1.1 503"); }, 500 * kMillisecond))
      << requester->got;
  expectWholeStream(*streamingClient);
  harness.expectGracefulExit();
}

// ---- invalid requests ----

TEST_F(ProgramTest, LogsInvalidRequestsOncePerCause) {
  constexpr int kRequestsPerCause = 20;
  const std::string head = "POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: x\r\nX-Expires-In-Ms: 1000\r\n";
  const std::array<std::string, 4> invalidRequests{
      "\x01\x02\r\n\r\n", head + "X-Qos: none\r\nContent-Length: 2\r\n\r\n{}",
      head + "X-Qos: chat\r\nContent-Length: 3\r\n\r\n{,}", "GET / HTTP/1.1\r\n\r\n"};
  ASSERT_NO_FATAL_FAILURE(harness.start());
  for (int i = 0; i < kRequestsPerCause; ++i) {
    for (const std::string& text : invalidRequests) {
      const auto client = harness.client();
      client->stream.send(text);
      ASSERT_TRUE(harness.until([&] { return client->closed; }, kHangTimeout));
      EXPECT_TRUE(client->has("HTTP/1.1 4")) << client->got;
    }
  }
  ASSERT_TRUE(harness.until(
      [&] { return harness.linesWith(R"("event":"rejected")") >= invalidRequests.size(); }, kHangTimeout));
  for (const char* cause : {"malformed", "X-Qos: no such class", "no JSON object", "no such resource"}) {
    EXPECT_GE(harness.linesWith(R"("event":"rejected")", cause), 1u) << harness.standardError();
    EXPECT_LE(harness.linesWith(R"("event":"rejected")", cause), 1 + harness.linesWith(R"("event":"status")"))
        << harness.standardError();
  }
  EXPECT_TRUE(harness.requestSucceeds("good"));
}

TEST_F(ProgramTest, UsesDefaultTimeoutsWhereTheSettingsHaveNone) {
  std::string text = platformConfigText(harness.discovery.address());
  for (const std::string& key :
       {std::string(R"(,"dialTimeoutMs":250.0)"), std::string(R"("releaseWithinMs":500.0,)")}) {
    const auto position = text.find(key);
    ASSERT_NE(position, std::string::npos) << key;
    text.erase(position, key.size());
  }
  harness.writeConfig(text);
  ASSERT_NO_FATAL_FAILURE(harness.start());
  for (int i = 0; i < 3; ++i) EXPECT_TRUE(harness.requestSucceeds("r" + std::to_string(i), 2 * kSecond));
}

// ---- SIGHUP ----

// A watch without data is abandoned after 2.4 s. Prevents the router from never receiving
// the first list of a discovery that takes longer to send it.
TEST_F(ProgramTest, AcceptsTheListOfADiscoveryThatAnswersLate) {
  constexpr net::Micros kResponseDelay = 3200 * kMillisecond;
  harness.discovery.responseDelay = kResponseDelay;
  harness.launch();
  EXPECT_TRUE(harness.waitUntilReady(kResponseDelay + 2 * kSecond)) << harness.standardError();
}

TEST_F(ProgramTest, MovesTheWatchOnReloadAndKeepsOpenStreams) {
  constexpr int kRequestsAfter = 10;
  ASSERT_NO_FATAL_FAILURE(harness.start());
  ScriptedDiscovery secondDiscovery(harness.loop);
  secondDiscovery.list = listText(2, false, memberText("w2", harness.otherDecodeEngine, "m2"));
  const auto streamingClient = openStream("s1");
  harness.writeConfig(platformConfigText(secondDiscovery.address()));
  harness.program->signal(SIGHUP);
  ASSERT_TRUE(harness.until(
      [&] { return secondDiscovery.watchesStarted() >= 1 && harness.linesWith("w2+") == 1; }, kHangTimeout));
  EXPECT_TRUE(harness.until([&] { return harness.discovery.openWatches() == 0; }, 1 * kSecond));
  secondDiscovery.publish(listText(3, false, memberText("w", harness.decodeEngine, "m2", "draining")));
  ASSERT_TRUE(harness.until([&] { return harness.linesWith("w~") == 1; }, 2 * kSecond));
  harness.pass(kDrainGrace);
  const auto before = harness.decodeEngine.count("POST");
  for (int i = 0; i < kRequestsAfter; ++i) EXPECT_TRUE(harness.requestSucceeds("r" + std::to_string(i)));
  EXPECT_EQ(harness.decodeEngine.count("POST"), before);
  EXPECT_GE(harness.otherDecodeEngine.count("POST"), static_cast<std::size_t>(kRequestsAfter));
  expectWholeStream(*streamingClient);
  // A watch is restarted only if the end of the previous one was logged.
  EXPECT_LE(harness.discovery.watchesStarted(), 1 + harness.linesWith(R"("event":"discovery")"));
}

// An invalid configuration, and the text that its log line must contain.
struct InvalidConfig {
  std::string name;
  std::function<void(ProcessHarness&)> makeInvalid;
  std::string cause;
};

void PrintTo(const InvalidConfig& file, std::ostream* out) { *out << file.name; }

std::function<void(ProcessHarness&)> replaceWith(const std::string& text) {
  return [text](ProcessHarness& harness) { harness.writeConfig(text); };
}

// Writes the valid configuration with one replacement.
std::function<void(ProcessHarness&)> replaceText(const std::string& from, const std::string& to) {
  return [from, to](ProcessHarness& harness) {
    std::string text = platformConfigText(harness.discovery.address());
    const auto position = text.find(from);
    ASSERT_NE(position, std::string::npos);
    harness.writeConfig(text.replace(position, from.size(), to));
  };
}

std::function<void(ProcessHarness&)> truncateToHalf() {
  return [](ProcessHarness& harness) {
    const std::string text = platformConfigText(harness.discovery.address());
    harness.writeConfig(text.substr(0, text.size() / 2));
  };
}

std::function<void(ProcessHarness&)> removeFile() {
  return [](ProcessHarness& harness) { std::filesystem::remove(harness.configFile); };
}

struct InvalidReload : ProgramTest, testing::WithParamInterface<InvalidConfig> {};

TEST_P(InvalidReload, KeepsTheConfigurationAndLogsTheCauseOnce) {
  constexpr std::size_t kReloads = 3;
  ASSERT_NO_FATAL_FAILURE(harness.start());
  const auto streamingClient = openStream("s1");
  GetParam().makeInvalid(harness);
  for (std::size_t i = 1; i <= kReloads; ++i) {
    harness.program->signal(SIGHUP);
    ASSERT_TRUE(harness.until([&] { return harness.linesWith(harness.configFile) >= i; }, kHangTimeout))
        << harness.standardError();
    EXPECT_EQ(harness.linesWith(harness.configFile, GetParam().cause), i) << harness.standardError();
  }
  expectWholeStream(*streamingClient);
  harness.decodeEngine.script = harness.otherDecodeEngine.script;
  EXPECT_TRUE(harness.requestSucceeds("r1"));
  harness.discovery.publish(listText(2, false, memberText("w2", harness.otherDecodeEngine, "m2")));
  EXPECT_TRUE(harness.until([&] { return harness.linesWith("w2+") == 1; }, kHangTimeout));
  // A watch is restarted only if the end of the previous one was logged.
  EXPECT_LE(harness.discovery.watchesStarted(), 1 + harness.linesWith(R"("event":"discovery")"));
  EXPECT_EQ(harness.linesWith(harness.configFile), kReloads) << harness.standardError();
  EXPECT_EQ(harness.linesWith("reload"), kReloads) << harness.standardError();
  EXPECT_FALSE(harness.program->ended());
}

INSTANTIATE_TEST_SUITE_P(
    Files, InvalidReload,
    testing::Values(
        InvalidConfig{"Absent", removeFile(), "can't be read"},
        InvalidConfig{"Empty", replaceWith(""), "config.json:1"},
        InvalidConfig{"Truncated", truncateToHalf(), "config.json:"},
        InvalidConfig{"NoObject", replaceWith("[1, 2]"), "config.json:1"},
        InvalidConfig{"Binary", replaceWith(std::string("\0\x01\xff\xfe", 4)), "config.json:1"},
        InvalidConfig{"WrongTypeOfLimits", replaceText(R"("limits":{)", R"("limits":7,"x":{)"), "limits"},
        InvalidConfig{"WrongTypeOfANumber", replaceText(R"("cores":1)", R"("cores":"one")"), "cores"},
        InvalidConfig{"NoAddress", replaceText(R"("discovery":"127)", R"("discovery":"no address 127)"),
                      "discovery"},
        InvalidConfig{"ShareAboveOne", replaceText(R"("coldFrom":0.3)", R"("coldFrom":2.5)"), "coldFrom"},
        InvalidConfig{"FewerDescriptorsThanAny", replaceText(R"("sockets":256)", R"("sockets":2)"),
                      "sockets"},
        InvalidConfig{"NoRouters", replaceText(R"("balancers":1)", R"("balancers":0)"), "routers"},
        InvalidConfig{"NoSuchEffect", replaceText(R"("effect":"read_like")", R"("effect":"both")"),
                      "effect"}),
    [](const auto& file) { return file.param.name; });

// ---- descriptors ----

// Clients that connect and then neither send, read nor close.
class IdleClients {
 public:
  IdleClients(net::Loop& loop, const std::string& address) : alarm_(loop), address_(address) {}
  void add(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      sockets_.emplace_back();
      sockets_.back().connectNB(Poco::Net::SocketAddress(address_));
    }
    while (sockets_.size() > kMaxSockets) sockets_.pop_front();
  }
  // Adds a client at every interval.
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

enum class IdleClientMode { constant, growing };

struct DescriptorPressure : ProgramTest, testing::WithParamInterface<IdleClientMode> {
  static constexpr int kDescriptors = 128;
  // The operating system's limit is lowered as well, except under the address sanitizer: its check of an
  // object's type opens a pipe and reports every object as invalid if that fails, so the limit is only
  // configured there.
#ifdef __SANITIZE_ADDRESS__
  static constexpr rlim_t kSystemLimit = 0;
#else
  static constexpr rlim_t kSystemLimit = kDescriptors;
#endif
  // Limit of client connections that the program reports; its own descriptors are in addition.
  static constexpr std::size_t kClientConnections = 52;
  static constexpr std::size_t kIdleClients = 300;
  static constexpr net::Micros kArrivalInterval = 5 * kMillisecond;
};

TEST_P(DescriptorPressure, ReconnectsToDiscoveryAndServesClients) {
  constexpr std::size_t kFailedWatches = 4;
  harness.writeConfig(platformConfigText(harness.discovery.address(), kDescriptors));
  ASSERT_NO_FATAL_FAILURE(harness.start(kSystemLimit));
  ASSERT_TRUE(harness.requestSucceeds("before"));
  harness.discovery.stop();
  IdleClients idleClients(harness.loop, harness.address());
  idleClients.add(kIdleClients);
  if (GetParam() == IdleClientMode::growing) idleClients.keepArriving(kArrivalInterval);
  ASSERT_TRUE(harness.until([&] { return harness.linesWith(R"("event":"discovery")") >= kFailedWatches; },
                            5 * kSecond));
  ASSERT_TRUE(
      harness.until([&] { return harness.program->descriptors() > kClientConnections; }, 2 * kSecond));
  std::cout << "descriptors in use: " << harness.program->descriptors() << " of " << kDescriptors << "\n";
  harness.discovery.list = listText(2, false,
                                    memberText("w", harness.decodeEngine, "m2", "draining") + "," +
                                        memberText("w2", harness.otherDecodeEngine, "m2"));
  harness.discovery.start();
  const net::Micros restartedAt = harness.loop.now();
  EXPECT_TRUE(harness.until([&] { return harness.linesWith("w~") == 1; }, kChangeDeliveryTimeout));
  std::cout << "reported after " << (harness.loop.now() - restartedAt) / kMillisecond << " ms\n";
  harness.pass(kDrainGrace);
  const auto before = harness.decodeEngine.count("POST");
  EXPECT_TRUE(harness.requestSucceeds("after"));
  EXPECT_EQ(harness.decodeEngine.count("POST"), before);
  EXPECT_EQ(harness.otherDecodeEngine.count("POST"), 1u);
  EXPECT_FALSE(harness.program->ended());
  EXPECT_EQ(harness.linesWith(R"("clients":52)"), 1u);
}

TEST_P(DescriptorPressure, ServesClientsThatArriveTogether) {
  constexpr std::size_t kClients = 12;
  harness.writeConfig(platformConfigText(harness.discovery.address(), kDescriptors));
  ASSERT_NO_FATAL_FAILURE(harness.start(kSystemLimit));
  ASSERT_TRUE(harness.requestSucceeds("before"));
  IdleClients idleClients(harness.loop, harness.address());
  idleClients.add(kIdleClients);
  if (GetParam() == IdleClientMode::growing) idleClients.keepArriving(kArrivalInterval);
  ASSERT_TRUE(
      harness.until([&] { return harness.program->descriptors() > kClientConnections; }, 2 * kSecond));
  std::vector<TimedRequest> timedRequests(kClients);
  for (std::size_t i = 0; i < kClients; ++i) {
    timedRequests[i].id = "c" + std::to_string(i);
    timedRequests[i].client = harness.client();
    timedRequests[i].ask();
  }
  const auto settled = [](const TimedRequest& timedRequest) { return timedRequest.settled(); };
  std::size_t maxDescriptors = 0;
  EXPECT_TRUE(harness.until(
      [&] {
        if (!harness.program->ended())
          maxDescriptors = std::max(maxDescriptors, harness.program->descriptors());
        return std::all_of(timedRequests.begin(), timedRequests.end(), settled);
      },
      4 * kSecond));
  EXPECT_LE(maxDescriptors, static_cast<std::size_t>(kDescriptors));
  for (const TimedRequest& timedRequest : timedRequests)
    EXPECT_TRUE(timedRequest.served()) << timedRequest.id << ": " << timedRequest.client->got;
  std::cout << "maximum descriptors: " << maxDescriptors << " of " << kDescriptors << "\n";
}

std::string idleClientModeName(const testing::TestParamInfo<IdleClientMode>& mode) {
  return mode.param == IdleClientMode::constant ? "Constant" : "Growing";
}

INSTANTIATE_TEST_SUITE_P(Modes, DescriptorPressure,
                         testing::Values(IdleClientMode::constant, IdleClientMode::growing),
                         idleClientModeName);

// KV reservations of a request whose client disconnected must be released before the process exits.
TEST_F(ProgramTest, ReleasesKvReservationsBeforeItExits) {
  constexpr net::Micros kReleaseDelay = 900 * kMillisecond;
  const net::Micros from = harness.loop.now();
  std::size_t confirmed = 0;
  const auto answerLateCalls = [&](Request& request) {
    if (request.head.method == "POST") return;
    if (harness.loop.now() - from < kReleaseDelay) return;  // the engine does not answer releases yet
    ++confirmed;
    answerControlRequest(request);
  };
  harness.decodeEngine.script = harness.otherDecodeEngine.script = answerLateCalls;
  harness.prefillEngine.script = [&](Request& request) {
    if (request.head.method == "POST")
      request.stream->send(kPrefillResponse);
    else
      answerLateCalls(request);
  };
  ASSERT_NO_FATAL_FAILURE(harness.start());
  auto cancelling = harness.client();
  cancelling->ask("h1");
  ASSERT_TRUE(harness.until([&] { return harness.decodeEngine.count("POST") == 1; }, 2 * kSecond));
  cancelling->stream.close();
  harness.program->signal(SIGTERM);
  EXPECT_TRUE(harness.until([&] { return confirmed > 0; }, 4 * kSecond));
  harness.expectGracefulExit();
  EXPECT_EQ(harness.linesWith(R"("drained")", "kv reservations 0, releases in flight 0"), 1u);
  EXPECT_EQ(harness.linesWith(R"("drained")", "abandoned 0"), 1u);
}

// The address stays in use by another process: the program exits with status 2 and reports the reason on
// standard error.
TEST_F(ProgramTest, ExitsWithTheReasonIfItsAddressIsInUse) {
  const net::Listener occupyingListener(harness.loop, Poco::Net::SocketAddress("127.0.0.1", 0), [](auto) {});
  const std::string address = occupyingListener.address().toString();
  std::string text = platformConfigText(harness.discovery.address());
  const std::string defaultListen = R"("listen":"127.0.0.1:0")";
  text.replace(text.find(defaultListen), defaultListen.size(), R"("listen":")" + address + "\"");
  harness.writeConfig(text);
  harness.launch();
  ASSERT_TRUE(harness.until([&] { return harness.program->ended(); }, 8 * kSecond));
  EXPECT_EQ(harness.program->exitStatus(), 2);
  EXPECT_NE(harness.standardError().find("can't listen on " + address), std::string::npos)
      << harness.standardError();
}

}  // namespace
}  // namespace garnethook::test
