// Races at the HTTP frontend: a client's bytes, half-close, close or reset, and a close or timer of the
// router, occur within one loop iteration, in both orders. The event loop does not run between the two.
#include "support/frontend_world.h"

namespace garnethook::test {
namespace {

using Options = platform::HttpFrontend::Options;
using routing::Phase;

constexpr std::string_view kClose = "Connection: close";

// ---- a connection is closed as a request arrives ----

// How the client writes the request that races with the close.
enum class WriteMode { whole, twoHalves, pipelined };

struct DrainRace : testing::TestWithParam<std::tuple<bool, WriteMode>> {
  bool isIdleConnection() const { return std::get<0>(GetParam()); }
  WriteMode writeMode() const { return std::get<1>(GetParam()); }
};
INSTANTIATE_TEST_SUITE_P(All, DrainRace,
                         testing::Combine(testing::Bool(),
                                          testing::Values(WriteMode::whole, WriteMode::twoHalves,
                                                          WriteMode::pipelined)));

TEST_P(DrainRace, RequestsWrittenBeforeTheDrainAreAnsweredAndTheCloseIsAnnounced) {
  FrontendWorld world;
  auto blockingClient = world.acceptedClient(isIdleConnection());
  const std::string first = clientRequest("a");
  const std::size_t firstPartSize = writeMode() == WriteMode::twoHalves ? first.size() / 2 : first.size();
  blockingClient->send(first.substr(0, firstPartSize));
  std::size_t requests = 1;
  if (writeMode() == WriteMode::pipelined) {
    blockingClient->send(clientRequest("b") + clientRequest("c"));
    requests = 3;
  }
  world.front->drain();  // the bytes have arrived but have not been read
  blockingClient->send(first.substr(firstPartSize));
  ASSERT_TRUE(world.ended(*blockingClient)) << blockingClient->got;
  EXPECT_FALSE(blockingClient->wasReset);
  EXPECT_EQ(blockingClient->streams(), requests) << blockingClient->got;
  EXPECT_EQ(blockingClient->count(kClose), 1u) << blockingClient->got;
  EXPECT_GT(blockingClient->got.find(kClose),
            blockingClient->got.rfind("HTTP/1.1 200"));  // in the last response head
  EXPECT_EQ(world.engines.count(Phase::decode), requests);
  EXPECT_TRUE(world.clean());
}

TEST_P(DrainRace, RequestsWrittenAfterTheCloseStayUnread) {
  Options options;
  options.lingerTimeout = 200'000;
  FrontendWorld world(options);
  auto blockingClient = world.acceptedClient(isIdleConnection());
  isIdleConnection() ? world.front->drain() : world.front->close();
  const std::string first = clientRequest("a");
  const std::size_t firstPartSize = writeMode() == WriteMode::twoHalves ? first.size() / 2 : first.size();
  blockingClient->send(first.substr(0, firstPartSize));
  if (writeMode() == WriteMode::twoHalves) world.turn();
  blockingClient->send(first.substr(firstPartSize) +
                       (writeMode() == WriteMode::pipelined ? clientRequest("b") : ""));
  ASSERT_TRUE(world.ended(*blockingClient));
  EXPECT_EQ(blockingClient->got, "");
  // Closing a socket with unread bytes sends a reset, which shows that none of them was read.
  EXPECT_TRUE(world.until([&] { return blockingClient->resetSeen(); }, 1'000'000));
  EXPECT_TRUE(world.engines.begun.empty());
  EXPECT_EQ(world.router->counters().accepted, 0u);
  EXPECT_TRUE(world.until([&] { return world.front->connections() == 0; }, 1'000'000));
}

TEST(FrontendRace, AConnectionInTheAcceptQueueIsAnsweredWhenTheListenerCloses) {
  FrontendWorld world;
  auto blockingClient = world.client();
  blockingClient->send(clientRequest("queued"));
  world.front->drain();
  world.front->close();  // the connection has not been accepted
  ASSERT_TRUE(world.ended(*blockingClient));
  EXPECT_FALSE(blockingClient->wasReset);
  EXPECT_TRUE(blockingClient->has("HTTP/1.1 503")) << blockingClient->got;
  EXPECT_TRUE(blockingClient->has("Retry-After: 0.250"));
  EXPECT_TRUE(world.engines.begun.empty());
}

// The process may be killed before it can respond; an immediate rejection lets the client retry elsewhere in
// time.
TEST(FrontendRace, ARequestCompletedAfterTheListenerClosedIsRejectedAtOnce) {
  for (const bool isIdleConnection : {true, false}) {
    FrontendWorld world;
    auto blockingClient = world.acceptedClient(isIdleConnection);
    const std::string text = clientRequest("late");
    blockingClient->send(text.substr(0, 50));
    world.turn();
    world.front->drain();
    world.front->close();
    blockingClient->send(text.substr(50));
    ASSERT_TRUE(world.ended(*blockingClient));
    EXPECT_TRUE(blockingClient->has("HTTP/1.1 503")) << blockingClient->got;
    EXPECT_TRUE(blockingClient->has(kClose));
    EXPECT_TRUE(world.engines.begun.empty());
    EXPECT_TRUE(world.clean());
  }
}

TEST(FrontendRace, PipelinedRequestsBehindAnOpenStreamAreAnsweredDuringTheDrain) {
  for (const bool closed : {false, true}) {
    FrontendWorld world;
    world.engines.holdFirstDecode(true);
    auto blockingClient = world.acceptedClient(false);
    blockingClient->send(clientRequest("first") + clientRequest("second") + clientRequest("third"));
    ASSERT_TRUE(world.until([&] { return world.engines.held.has_value(); }));
    world.front->drain();
    if (closed) world.front->close();
    world.engines.end(*world.engines.held, Outcome::completed);
    ASSERT_TRUE(world.ended(*blockingClient)) << blockingClient->got;
    EXPECT_FALSE(blockingClient->wasReset);
    EXPECT_EQ(blockingClient->streams(), closed ? 1u : 3u) << blockingClient->got;
    EXPECT_EQ(blockingClient->count("HTTP/1.1 503"), closed ? 2u : 0u) << blockingClient->got;
    EXPECT_EQ(blockingClient->count(kClose), 1u);
    EXPECT_TRUE(world.clean());
  }
}

TEST(FrontendRace, ManyConnectionsClosedTogetherAllLinger) {
  constexpr std::size_t kConnectionCount = 100;
  FrontendWorld world;
  std::vector<std::unique_ptr<BlockingClient>> clients;
  for (std::size_t i = 0; i < kConnectionCount; ++i) clients.push_back(world.acceptedClient(true));
  world.front->drain();
  // An immediate close would reset clients that are sending.
  EXPECT_EQ(world.front->connections(), kConnectionCount);
  for (auto& blockingClient : clients) blockingClient->send(clientRequest("late"));
  for (auto& blockingClient : clients) {
    ASSERT_TRUE(world.ended(*blockingClient));
    EXPECT_FALSE(blockingClient->wasReset);
    blockingClient->close();
  }
  EXPECT_TRUE(world.until([&] { return world.front->connections() == 0; }, 1'000'000));
  EXPECT_TRUE(world.engines.begun.empty());
}

Options shortTimeouts() {
  Options options;
  options.connections.maxIdleTimeout = options.connections.minIdleTimeout = 100'000;
  options.connections.requestTimeout = 100'000;
  options.lingerTimeout = 100'000;
  return options;
}

TEST(FrontendRace, ARequestThatHasArrivedWhenTheIdleTimeoutExpiresIsServed) {
  FrontendWorld world(shortTimeouts());
  auto blockingClient = world.acceptedClient(true);
  blockingClient->send(clientRequest("a"));
  world.stall(150'000);  // the timer has expired and the request is unread
  EXPECT_TRUE(world.served(*blockingClient, 1)) << blockingClient->got;
  EXPECT_EQ(world.front->counters().closedIdle, 0u);
}

TEST(FrontendRace, ARequestAfterTheIdleTimeoutStaysUnread) {
  FrontendWorld world(shortTimeouts());
  auto blockingClient = world.acceptedClient(true);
  ASSERT_TRUE(world.until([&] { return world.front->counters().closedIdle == 1; }, 1'000'000));
  blockingClient->send(clientRequest("a"));
  ASSERT_TRUE(world.ended(*blockingClient));
  EXPECT_TRUE(world.until([&] { return blockingClient->resetSeen(); }, 1'000'000));
  EXPECT_EQ(blockingClient->got, "");
  EXPECT_TRUE(world.engines.begun.empty());
}

TEST(FrontendRace, ARequestWhoseLastBytesHaveArrivedWhenItsTimeoutExpiresIsServed) {
  FrontendWorld world(shortTimeouts());
  auto blockingClient = world.acceptedClient(false);
  const std::string text = clientRequest("a");
  blockingClient->send(text.substr(0, 40));
  world.turn();
  blockingClient->send(text.substr(40));
  world.stall(150'000);
  EXPECT_TRUE(world.served(*blockingClient, 1)) << blockingClient->got;
  EXPECT_EQ(world.front->counters().timedOut, 0u);
}

TEST(FrontendRace, ARequestWhoseLastBytesArriveAfterItsTimeoutIsAnsweredOnceAndNotForwarded) {
  FrontendWorld world(shortTimeouts());
  auto blockingClient = world.acceptedClient(false);
  const std::string text = clientRequest("a");
  blockingClient->send(text.substr(0, 40));
  ASSERT_TRUE(world.until([&] { return world.front->counters().timedOut == 1; }, 1'000'000));
  blockingClient->send(text.substr(40));
  ASSERT_TRUE(world.ended(*blockingClient));
  EXPECT_FALSE(blockingClient->wasReset);
  EXPECT_TRUE(blockingClient->has("HTTP/1.1 408")) << blockingClient->got;
  EXPECT_EQ(blockingClient->count("HTTP/1.1"), 1u);
  EXPECT_TRUE(world.engines.begun.empty());
}

TEST(FrontendRace, AConnectionWithAnUnreadRequestIsNotEvictedForANewOne) {
  Options options;
  options.connections.maxConnections = 4;
  FrontendWorld world(options);
  std::vector<std::unique_ptr<BlockingClient>> clients;
  for (int i = 0; i < 3; ++i) clients.push_back(world.acceptedClient(true));
  world.stall(2 * options.connections.minIdleBeforeEviction);
  for (std::size_t i = 0; i < clients.size(); ++i) clients[i]->send(clientRequest("r" + std::to_string(i)));
  clients.push_back(world.client());  // the fourth and fifth connections bring the frontend to its limit
  clients.push_back(world.client());
  for (std::size_t i = 0; i < 3; ++i) EXPECT_TRUE(world.served(*clients[i], 1)) << i << clients[i]->got;
  EXPECT_EQ(world.engines.count(Phase::decode), 3u);
}

// ---- a client disconnects ----

enum class Disconnect { close, halfClose, reset };
void disconnect(BlockingClient& blockingClient, Disconnect manner) {
  if (manner == Disconnect::close) return blockingClient.close();
  if (manner == Disconnect::halfClose) return blockingClient.halfClose();
  blockingClient.reset();
}

// With or without a pipelined request, read or unread, behind the open one.
struct DisconnectRace : testing::TestWithParam<std::tuple<Disconnect, bool>> {
  Disconnect disconnectMode() const { return std::get<0>(GetParam()); }
  std::string pipelinedRequest() const {
    return std::get<1>(GetParam()) ? clientRequest("behind") : std::string();
  }
};
INSTANTIATE_TEST_SUITE_P(All, DisconnectRace,
                         testing::Combine(testing::Values(Disconnect::close, Disconnect::halfClose,
                                                          Disconnect::reset),
                                          testing::Bool()));

TEST_P(DisconnectRace, NoFurtherAttemptStartsWhenTheFailureIsProcessedBeforeTheClose) {
  FrontendWorld world;
  auto blockingClient = world.acceptedClient(false);
  world.engines.script = [&](const StubEngines::Attempt& attempt) {
    if (!pipelinedRequest().empty()) blockingClient->send(pipelinedRequest());
    disconnect(*blockingClient, disconnectMode());
    world.engines.end(attempt, Outcome::error);
  };
  blockingClient->send(clientRequest("a"));
  ASSERT_TRUE(world.until([&] { return world.front->connections() == 0; }, 1'000'000));
  world.pass(50'000);
  EXPECT_EQ(world.engines.begun.size(), 1u);
  EXPECT_TRUE(world.clean());
}

TEST_P(DisconnectRace, NoFurtherAttemptStartsWhenTheCloseIsProcessedBeforeTheFailure) {
  FrontendWorld world;
  auto blockingClient = world.acceptedClient(false);
  std::optional<StubEngines::Attempt> openAttempt;
  world.engines.script = [&](const StubEngines::Attempt& attempt) { openAttempt = attempt; };
  blockingClient->send(clientRequest("a") + pipelinedRequest());
  ASSERT_TRUE(world.until([&] { return openAttempt.has_value(); }, 1'000'000));
  disconnect(*blockingClient, disconnectMode());
  ASSERT_TRUE(world.until([&] { return world.front->connections() == 0; }, 1'000'000));
  EXPECT_EQ(world.engines.cancelled, 1u);
  world.engines.end(*openAttempt, Outcome::error);
  world.pass(50'000);
  EXPECT_EQ(world.engines.begun.size(), 1u);
  EXPECT_TRUE(world.clean());
}

TEST_P(DisconnectRace, NoAttemptStartsWhenTheRetryIsDueTogetherWithTheClose) {
  FrontendWorld world;
  auto blockingClient = world.acceptedClient(false);
  world.engines.script = [&](const StubEngines::Attempt& attempt) {
    world.engines.end(attempt, Outcome::rejected);
  };
  blockingClient->send(clientRequest("a") + pipelinedRequest());
  ASSERT_TRUE(world.until([&] { return !world.engines.begun.empty(); }, 1'000'000));
  const std::size_t attemptCount = world.engines.begun.size();
  disconnect(*blockingClient, disconnectMode());
  world.stall(100'000);  // every retry delay has expired, and the close is unread
  ASSERT_TRUE(world.until([&] { return world.front->connections() == 0; }, 1'000'000));
  world.pass(50'000);
  EXPECT_EQ(world.engines.begun.size(), attemptCount);
  EXPECT_TRUE(world.clean());
}

TEST_P(DisconnectRace, ARequestThatArrivesWithItsClientsCloseStartsNoAttempt) {
  FrontendWorld world;
  auto blockingClient = world.client();  // not accepted yet
  blockingClient->send(clientRequest("a") + pipelinedRequest());
  disconnect(*blockingClient, disconnectMode());
  ASSERT_TRUE(world.until([&] { return world.front->counters().accepted == 1; }, 1'000'000));
  EXPECT_TRUE(world.until([&] { return world.front->connections() == 0; }, 1'000'000));
  EXPECT_TRUE(world.engines.begun.empty());
  EXPECT_TRUE(world.clean());
}

// ---- time spent waiting in the router ----

TEST(FrontendRace, TheTimeARequestWaitsBehindAnotherCountsAgainstItsDeadline) {
  constexpr Micros kWaitTime = 300'000;
  FrontendWorld world;
  world.engines.holdFirstDecode(true);
  auto blockingClient = world.acceptedClient(false);
  blockingClient->send(clientRequest("first") + clientRequest("second", "chat", "", 1000) +
                       clientRequest("third", "chat", "", 200));
  ASSERT_TRUE(world.until([&] { return world.engines.held.has_value(); }));
  const std::size_t attemptsBefore = world.engines.begun.size();
  world.pass(kWaitTime);
  world.engines.end(*world.engines.held, Outcome::completed);
  ASSERT_TRUE(world.until([&] { return (blockingClient->receive(), blockingClient->has("HTTP/1.1 429")); },
                          2'000'000))
      << blockingClient->got;
  EXPECT_EQ(blockingClient->streams(), 2u);  // the third request's deadline had passed
  ASSERT_EQ(world.engines.begun.size(), attemptsBefore + 2);
  for (std::size_t i = attemptsBefore; i < world.engines.begun.size(); ++i) {
    EXPECT_EQ(world.engines.begun[i].traceId, "second");
    EXPECT_LE(world.engines.begun[i].timeout, 1'000'000 - kWaitTime + 50'000);
  }
  EXPECT_TRUE(world.clean());
}

// Uses the only connection that the frontend may have, for a request whose decode attempt stays open.
void occupyOnlyConnection(FrontendWorld& world, std::unique_ptr<BlockingClient>& openClient) {
  world.engines.holdFirstDecode(true);
  openClient = world.acceptedClient(false);
  openClient->send(clientRequest("first"));
  ASSERT_TRUE(world.until([&] { return world.engines.held.has_value(); }));
}

// At its connection limit the router leaves new connections in the kernel's accept queue; the time there
// counts against the clients' deadlines too.
TEST(FrontendRace, TheTimeARequestWaitsToBeAcceptedCountsAgainstItsDeadline) {
  constexpr Micros kWaitTime = 300'000;
  Options options;
  options.connections.maxConnections = 1;
  FrontendWorld world(options);
  std::unique_ptr<BlockingClient> first;
  ASSERT_NO_FATAL_FAILURE(occupyOnlyConnection(world, first));
  auto second = world.client();
  second->send(clientRequest("second", "chat", "", 1000));
  world.pass(kWaitTime);
  ASSERT_EQ(world.front->counters().accepted, 1u);
  const std::size_t attemptsBefore = world.engines.begun.size();
  world.engines.end(*world.engines.held, Outcome::completed);
  first->close();
  ASSERT_TRUE(world.served(*second, 1)) << second->got;
  ASSERT_EQ(world.engines.begun.size(), attemptsBefore + 2);
  for (std::size_t i = attemptsBefore; i < world.engines.begun.size(); ++i) {
    EXPECT_EQ(world.engines.begun[i].traceId, "second");
    EXPECT_LE(world.engines.begun[i].timeout, 1'000'000 - kWaitTime + 50'000);
  }
  EXPECT_TRUE(world.clean());
}

// A process may be held up (stopped, without a core, in a long task) while requests arrive.
struct HeldUpRouter : testing::TestWithParam<bool> {
  static constexpr Micros kHoldUp = 300'000;
  static constexpr Micros kTolerance = 100'000;  // less than the slack of the deadlines that engines are told
  static constexpr int kExpiresMs = 1000;
  bool isIdleConnection() const { return GetParam(); }
  FrontendWorld world;
};
INSTANTIATE_TEST_SUITE_P(All, HeldUpRouter, testing::Bool());

// Guards against counting a request's deadline from the moment of its read: engines were told time that the
// client no longer had.
TEST_P(HeldUpRouter, CountsTheTimeThatARequestWaitsToBeReadAgainstItsDeadline) {
  auto blockingClient = isIdleConnection() ? world.acceptedClient(true) : world.client();
  blockingClient->send(clientRequest("late", "chat", "", kExpiresMs));
  world.stall(kHoldUp);
  ASSERT_TRUE(world.served(*blockingClient, 1)) << blockingClient->got;
  ASSERT_EQ(world.engines.begun.size(), 2u);
  for (const auto& attempt : world.engines.begun)
    EXPECT_LE(attempt.timeout, kExpiresMs * 1000 - kHoldUp + kTolerance);
}

// The system reports only the arrival of the last byte, so requests before it have waited for longer.
TEST_P(HeldUpRouter, CountsTheWaitOfEachPipelinedRequest) {
  auto blockingClient = isIdleConnection() ? world.acceptedClient(true) : world.client();
  blockingClient->send(clientRequest("first", "chat", "", kExpiresMs));
  world.stall(kHoldUp);
  blockingClient->send(clientRequest("second", "chat", "", kExpiresMs));
  ASSERT_TRUE(world.served(*blockingClient, 2)) << blockingClient->got;
  ASSERT_EQ(world.engines.begun.size(), 4u);
  for (const auto& attempt : world.engines.begun) {
    if (attempt.traceId != "first") continue;
    EXPECT_LE(attempt.timeout, kExpiresMs * 1000 - kHoldUp + kTolerance);
  }
}

// The counterpart: a request that arrives at the end of the hold-up keeps its time.
TEST_P(HeldUpRouter, LeavesALateRequestItsTime) {
  auto blockingClient = isIdleConnection() ? world.acceptedClient(true) : world.client();
  world.stall(kHoldUp);
  const Micros sentAt = world.loop.now();
  blockingClient->send(clientRequest("fresh", "chat", "", kExpiresMs));
  ASSERT_TRUE(world.served(*blockingClient, 1)) << blockingClient->got;
  const Micros elapsed = world.loop.now() - sentAt;
  ASSERT_EQ(world.engines.begun.size(), 2u);
  EXPECT_GE(world.engines.begun.front().timeout, kExpiresMs * 1000 - elapsed - kTolerance);
}

// A router at its connection limit checks for free capacity periodically; none of these checks may accept a
// connection beyond the limit.
TEST(FrontendRace, ARouterAtItsConnectionLimitAcceptsNobodyHoweverOftenItChecks) {
  Options options;
  options.connections.maxConnections = 1;
  options.connections.capacityRetryInterval = 1'000;
  FrontendWorld world(options);
  std::unique_ptr<BlockingClient> first;
  ASSERT_NO_FATAL_FAILURE(occupyOnlyConnection(world, first));
  auto second = world.client();
  second->send(clientRequest("second"));
  world.pass(1'000'000);
  EXPECT_EQ(world.front->counters().accepted, 1u);
  EXPECT_GT(world.front->counters().overCapacity, 100u);  // it did check
  world.engines.end(*world.engines.held, Outcome::completed);
  first->close();
  EXPECT_TRUE(world.served(*second, 1)) << second->got;
  EXPECT_TRUE(world.clean());
}

// ---- floods ----

// Guards against requests of a flood that are read and never answered.
TEST(FrontendRace, EachRequestOfAFloodIsAnsweredOnce) {
  constexpr std::size_t kFlood = 200;
  Options options;
  options.maxPipelinedBytes = 16 * 1024;
  FrontendWorld world(options);
  world.engines.holdFirstDecode(false);
  auto blockingClient = world.acceptedClient(false);
  blockingClient->send(clientRequest("first"));
  ASSERT_TRUE(world.until([&] { return world.engines.held.has_value(); }));
  for (std::size_t i = 0; i < kFlood; ++i) {
    blockingClient->send(clientRequest("more" + std::to_string(i)));
    if (i % 10 == 0) world.turn();
  }
  world.turn();
  EXPECT_LE(world.front->bufferedBytes(), options.maxPipelinedBytes + clientRequest("first").size());
  world.engines.succeed(*world.engines.held);
  const auto answers = [&] { return blockingClient->streams() + blockingClient->count("HTTP/1.1 503"); };
  EXPECT_TRUE(world.until([&] { return (blockingClient->receive(), answers() == kFlood + 1); }, 10'000'000));
  EXPECT_FALSE(blockingClient->wasReset);
  EXPECT_EQ(blockingClient->streams(), world.engines.count(Phase::decode));
  EXPECT_GT(blockingClient->streams(), 50u);
  EXPECT_LT(blockingClient->streams(), kFlood + 1);
  blockingClient->close();
  EXPECT_TRUE(world.clean());
}

// Prevents unbounded memory use: responses to a peer that sends requests without reading would accumulate.
TEST(FrontendRace, AClientThatDoesNotReadItsResponsesIsDisconnected) {
  constexpr int kRequests = 200;
  constexpr std::size_t kResponseBytes = 60'000;  // more in total than the kernel buffers for a client
  Options options;
  options.maxUnreadResponseBytes = 64u << 20;
  options.connections.requestTimeout = 300'000;
  FrontendWorld world(options);
  const std::string event = "data: " + std::string(kResponseBytes, 'x') + "\n\n";
  world.engines.script = [&](const StubEngines::Attempt& attempt) {
    if (attempt.phase == Phase::prefill) return world.engines.succeed(attempt);
    world.engines.events->onTokens(attempt.id, event, 1, {});
    world.engines.end(attempt, Outcome::completed);
  };
  auto flooding = world.acceptedClient(false);
  for (int i = 0; i < kRequests; ++i) flooding->send(clientRequest("f" + std::to_string(i)));
  EXPECT_TRUE(world.until([&] { return world.front->connections() == 0; }, 10'000'000));
  EXPECT_LT(world.engines.count(Phase::decode), static_cast<std::size_t>(kRequests));
  EXPECT_GT(world.engines.count(Phase::decode), 10u);
  auto other = world.acceptedClient(false);
  other->send(clientRequest("other"));
  EXPECT_TRUE(world.served(*other, 1));
}

// A request head that announces a body of `contentLength` bytes, followed by the first `sentBytes` of them.
std::string incompleteRequest(const std::string& id, std::size_t contentLength, std::size_t sentBytes) {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Trace-Id: " + id +
         "\r\nX-Qos: chat\r\nX-Expires-In-Ms: 3000\r\nContent-Length: " + std::to_string(contentLength) +
         "\r\n\r\n" + std::string(sentBytes, ' ');
}

// Prevents memory exhaustion by many clients that each send most of a large body and then wait.
TEST(FrontendRace, IncompleteBodiesCountTowardsTheBufferLimitLikeThoseOfOpenRequests) {
  constexpr std::size_t kBodyBytes = 20'000;
  Options options;
  options.maxBufferedBytes = 2 * kBodyBytes + 10'000;
  FrontendWorld world(options);
  auto first = world.acceptedClient(false);
  auto second = world.acceptedClient(false);
  auto third = world.acceptedClient(false);
  first->send(incompleteRequest("a", kBodyBytes, kBodyBytes - 1));
  second->send(incompleteRequest("b", kBodyBytes, kBodyBytes - 1));
  ASSERT_TRUE(world.until([&] { return world.front->bufferedBytes() == 2 * (kBodyBytes - 1); }, 1'000'000));
  third->send(incompleteRequest("c", kBodyBytes, kBodyBytes - 1));
  ASSERT_TRUE(world.ended(*third));
  EXPECT_TRUE(third->has("HTTP/1.1 503")) << third->got;
  EXPECT_TRUE(third->has("Retry-After: "));
  EXPECT_LE(world.front->bufferedBytes(), options.maxBufferedBytes);
  first->close();
  second->close();
  EXPECT_TRUE(world.clean());  // and all buffered bytes are released
}

}  // namespace
}  // namespace garnethook::test
