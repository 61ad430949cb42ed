// Tests how connections to engines end, by rows of docs/endings.md: while idle, while connecting and during
// an exchange.
#include <sys/socket.h>

#include "engine/connection_pool.h"
#include "support/pool_peers.h"

namespace garnethook::test {
namespace {

constexpr net::Micros kShortTimeout = 50'000;
constexpr net::Micros kSecond = 1'000'000;

struct EngineConnection : testing::Test {
  // Starts an exchange with the engine as an attempt.
  void startAttempt(engine::ConnectionPool& pool, std::uint64_t attempt = 1, EndpointId endpoint = {7}) {
    pool.start({{attempt}, 0}, endpoint, std::make_unique<RecordingExchange>(response),
               engine::fixedRequest(kGetRequest));
  }
  LoopRunner runner;
  ScriptedEngine scriptedEngine{runner.loop};
  RecordedResponse response;
};

// A listener on which connections are never established: its backlog is full, and nothing accepts from it.
class FullBacklogListener {
 public:
  FullBacklogListener() {
    listener_.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true, false);
    listener_.listen(0);
    for (auto& filler : fillers_) filler.connectNB(listener_.address());
  }
  Poco::Net::SocketAddress address() const { return listener_.address(); }

 private:
  Poco::Net::ServerSocket listener_;
  std::array<Poco::Net::StreamSocket, 4> fillers_;
};

// ---- while idle ----

TEST_F(EngineConnection, IsNotReusedWhenItsEngineClosedItWhileIdle) {
  engine::ConnectionPool pool(runner.loop, {});
  ASSERT_NO_FATAL_FAILURE(createIdleConnection(runner, scriptedEngine, pool));
  waitUntilReusable(runner);
  scriptedEngine.seen[0].stream->close();
  startAttempt(pool);  // the close has arrived but has not been read
  ASSERT_TRUE(runner.until([&] { return response.completions == 1; }, kSecond));
  EXPECT_EQ(pool.opened(), 2u);
  EXPECT_FALSE(response.failure);
}

TEST_F(EngineConnection, DoesNotMixUnsolicitedBytesIntoTheNextResponse) {
  for (const bool isReadWhileIdle : {false, true}) {
    ScriptedEngine localEngine(runner.loop);
    engine::ConnectionPool pool(runner.loop, {});
    ASSERT_NO_FATAL_FAILURE(createIdleConnection(runner, localEngine, pool));
    waitUntilReusable(runner);
    localEngine.seen[0].stream->send("HTTP/1.1 20");
    if (isReadWhileIdle) {
      EXPECT_TRUE(runner.until([&] { return pool.idleConnections() == 0; }, kSecond));
    }
    RecordedResponse secondResponse;
    pool.start({{1}, 0}, {7}, std::make_unique<RecordingExchange>(secondResponse),
               engine::fixedRequest(kGetRequest));
    ASSERT_TRUE(runner.until([&] { return secondResponse.completions == 1; }, kSecond));
    EXPECT_EQ(secondResponse.body, "mine");
    EXPECT_EQ(pool.opened(), 2u);
  }
}

TEST_F(EngineConnection, IsClosedAfterItsIdleTimeout) {
  engine::ConnectionPool pool(runner.loop, {.idleTimeout = kShortTimeout});
  ASSERT_NO_FATAL_FAILURE(createIdleConnection(runner, scriptedEngine, pool));
  EXPECT_TRUE(runner.until([&] { return scriptedEngine.gone() == 1; }, kSecond));
  EXPECT_EQ(pool.idleConnections(), 0u);
}

TEST_F(EngineConnection, KeepsItsExchangeWhenItIsReusedAsItsIdleTimeoutFires) {
  engine::ConnectionPool pool(runner.loop, {.idleTimeout = kShortTimeout});
  ASSERT_NO_FATAL_FAILURE(createIdleConnection(runner, scriptedEngine, pool));
  runner.stall(2 * kShortTimeout);  // the idle timer is due
  startAttempt(pool);
  ASSERT_TRUE(runner.until([&] { return response.completions == 1; }, kSecond));
  EXPECT_FALSE(response.failure);
  EXPECT_EQ(pool.opened(), 1u);
}

TEST_F(EngineConnection, IsEvictedWhileIdleWhenAllConnectionsAreInUse) {
  ScriptedEngine otherEngine(runner.loop);
  engine::ConnectionPool pool(runner.loop, {.totalConnections = 1});
  ASSERT_NO_FATAL_FAILURE(createIdleConnection(runner, scriptedEngine, pool));
  auto endpoints = singleEndpoint(Poco::Net::SocketAddress(scriptedEngine.address()));
  endpoints["f"] = singleEndpoint(Poco::Net::SocketAddress(otherEngine.address())).at("e");
  endpoints["f"].name = "f";
  endpoints["f"].id = {8};
  pool.update(endpoints);
  otherEngine.script = scriptedEngine.script;
  startAttempt(pool, 1, {8});
  ASSERT_TRUE(runner.until([&] { return response.completions == 1 && scriptedEngine.gone() == 1; }, kSecond));
  EXPECT_EQ(pool.idleConnections(), 1u);
}

// ---- its engine leaves the list or restarts ----

TEST_F(EngineConnection, IsClosedWhileIdleWhenItsEngineRestarts) {
  engine::ConnectionPool pool(runner.loop, {});
  ASSERT_NO_FATAL_FAILURE(createIdleConnection(runner, scriptedEngine, pool));
  auto restarted = singleEndpoint(Poco::Net::SocketAddress(scriptedEngine.address()));
  restarted["e"].startedAt = {1};
  pool.update(restarted);
  EXPECT_EQ(pool.idleConnections(), 0u);
  EXPECT_TRUE(runner.until([&] { return scriptedEngine.gone() == 1; }, kSecond));
}

TEST_F(EngineConnection, KeepsItsExchangeWhenItsEngineLeavesTheListDrainsOrRestarts) {
  enum class Change { leaves, drains, restarts };
  for (const Change change : {Change::leaves, Change::drains, Change::restarts}) {
    ScriptedEngine localEngine(runner.loop);  // responds when the test sends the response
    engine::ConnectionPool pool(runner.loop, {});
    auto endpointList = singleEndpoint(Poco::Net::SocketAddress(localEngine.address()));
    pool.update(endpointList);
    RecordedResponse openResponse;
    pool.start({{1}, 0}, {7}, std::make_unique<RecordingExchange>(openResponse),
               engine::fixedRequest(kGetRequest));
    ASSERT_TRUE(runner.until([&] { return localEngine.seen.size() == 1; }, kSecond));
    if (change == Change::leaves) endpointList.clear();
    if (change == Change::drains) endpointList["e"].state = EndpointState::draining;
    if (change == Change::restarts) endpointList["e"].startedAt = {1};
    pool.update(endpointList);
    localEngine.seen[0].stream->send(okResponse("whole"));
    ASSERT_TRUE(runner.until([&] { return openResponse.completions == 1; }, kSecond));
    EXPECT_EQ(openResponse.body, "whole");
    EXPECT_FALSE(openResponse.failure);
    EXPECT_EQ(pool.attempts(), 0u);
    EXPECT_EQ(pool.idleConnections(), change == Change::leaves ? 0u : 1u);
  }
}

// ---- while connecting ----

TEST_F(EngineConnection, ReportsAConnectTimeoutAsNotExecuted) {
  FullBacklogListener fullListener;
  engine::ConnectionPool pool(runner.loop, {.connectTimeout = kShortTimeout});
  pool.update(singleEndpoint(fullListener.address()));
  const net::Micros startTime = runner.loop.now();
  startAttempt(pool);
  ASSERT_TRUE(runner.until([&] { return response.failure.has_value(); }, kSecond));
  EXPECT_EQ(*response.failure, Outcome::connectFailed);
  EXPECT_GE(runner.loop.now() - startTime, kShortTimeout);
  EXPECT_EQ(pool.busyConnections(), 0u);
}

TEST_F(EngineConnection, SendsNothingWhenItIsEstablishedAsItsTimeoutFires) {
  engine::ConnectionPool pool(runner.loop, {.connectTimeout = kShortTimeout});
  pool.update(singleEndpoint(Poco::Net::SocketAddress(scriptedEngine.address())));
  startAttempt(pool);
  runner.stall(2 * kShortTimeout);  // the connection is established, and its timer is due
  ASSERT_TRUE(runner.until([&] { return response.failure.has_value(); }, kSecond));
  EXPECT_EQ(*response.failure, Outcome::connectFailed);
  runner.pass(kShortTimeout);
  EXPECT_TRUE(scriptedEngine.seen.empty());
}

TEST_F(EngineConnection, SendsNothingForAnAttemptCancelledWhileItConnects) {
  engine::ConnectionPool pool(runner.loop, {});
  pool.update(singleEndpoint(Poco::Net::SocketAddress(scriptedEngine.address())));
  startAttempt(pool);
  pool.cancel({{1}, 0});
  runner.pass(2 * kShortTimeout);
  EXPECT_TRUE(scriptedEngine.seen.empty());
  EXPECT_EQ(pool.busyConnections() + pool.idleConnections(), 0u);
  EXPECT_FALSE(response.failure);
}

// ---- during an exchange ----

TEST_F(EngineConnection, EndsAnExchangeWithoutResponseAtItsTimeout) {
  engine::ConnectionPool pool(runner.loop, {});
  pool.update(singleEndpoint(Poco::Net::SocketAddress(scriptedEngine.address())));
  pool.start({7}, std::make_unique<RecordingExchange>(response), kGetRequest, kShortTimeout);
  ASSERT_TRUE(
      runner.until([&] { return response.failure.has_value() && scriptedEngine.gone() == 1; }, kSecond));
  EXPECT_EQ(*response.failure, Outcome::timedOut);
  EXPECT_EQ(pool.busyConnections(), 0u);
}

// Prevents the unwritten rest of a request from preceding the next request on the same connection.
TEST_F(EngineConnection, IsNotReusedWhenItsResponseCameBeforeTheRequestWasWritten) {
  std::vector<Poco::Net::StreamSocket> accepted;  // never read
  net::Listener listener(runner.loop, Poco::Net::SocketAddress("127.0.0.1", 0),
                         [&](auto socket) { accepted.push_back(socket); });
  engine::ConnectionPool pool(runner.loop, {});
  pool.update(singleEndpoint(listener.address()));
  pool.start({{1}, 0}, {7}, std::make_unique<RecordingExchange>(response),
             engine::fixedRequest(kGetRequest + std::string(32u << 20, 'x')));
  ASSERT_TRUE(runner.until([&] { return accepted.size() == 1; }, kSecond));
  runner.pass(kShortTimeout);
  const std::string earlyResponse = okResponse("early");
  accepted[0].sendBytes(earlyResponse.data(), static_cast<int>(earlyResponse.size()));
  ASSERT_TRUE(runner.until([&] { return response.completions == 1; }, kSecond));
  EXPECT_EQ(response.body, "early");
  EXPECT_EQ(pool.idleConnections(), 0u);
}

}  // namespace
}  // namespace garnethook::test
