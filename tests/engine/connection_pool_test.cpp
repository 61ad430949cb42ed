// Tests the connection pool against peers that refuse, reset and send unsolicited bytes.
#include "engine/connection_pool.h"

#include <gtest/gtest.h>

#include "platform/engine/platform_engine_client.h"
#include "support/pool_peers.h"

namespace garnethook::test {
namespace {

// Prevents unsolicited bytes that were not read yet from being taken for the next response.
TEST(ConnectionPool, DoesNotReuseAConnectionWithUnreadBytes) {
  LoopRunner runner;
  ScriptedEngine scriptedEngine(runner.loop);
  engine::ConnectionPool pool(runner.loop, {});
  RecordedResponse secondResponse;
  ASSERT_NO_FATAL_FAILURE(createIdleConnection(runner, scriptedEngine, pool));
  waitUntilReusable(runner);
  scriptedEngine.seen[0].stream->send(okResponse("foreign"));
  // The next request starts before the loop reads these bytes.
  pool.start({7}, std::make_unique<RecordingExchange>(secondResponse), kGetRequest, 0);
  ASSERT_TRUE(runner.until([&] { return secondResponse.completions == 1; }, 1'000'000));
  EXPECT_EQ(secondResponse.body, "mine");
  EXPECT_EQ(pool.opened(), 2u);
}

// A second response may arrive some milliseconds after the first. Prevents a request that is sent in between
// from receiving it as its own response.
TEST(ConnectionPool, DoesNotReuseAConnectionRightAfterItsResponse) {
  LoopRunner runner;
  ScriptedEngine scriptedEngine(runner.loop);
  engine::ConnectionPool pool(runner.loop, {});
  RecordedResponse secondResponse;
  ASSERT_NO_FATAL_FAILURE(createIdleConnection(runner, scriptedEngine, pool));
  pool.start({7}, std::make_unique<RecordingExchange>(secondResponse), kGetRequest, 0);
  scriptedEngine.seen[0].stream->send(okResponse("stray"));  // immediately after the second request
  ASSERT_TRUE(runner.until([&] { return secondResponse.completions == 1; }, 1'000'000));
  EXPECT_EQ(secondResponse.body, "mine");
  EXPECT_EQ(pool.opened(), 2u);
}

// With an empty endpoint list, KV reservations could not be released until their endpoint was listed again.
TEST(ConnectionPool, ReachesAnEndpointThatHasLeftTheListForSomeSeconds) {
  LoopRunner runner;
  ScriptedEngine scriptedEngine(runner.loop);
  engine::ConnectionPool pool(runner.loop, {});
  ASSERT_NO_FATAL_FAILURE(createIdleConnection(runner, scriptedEngine, pool));
  pool.update({});
  EXPECT_FALSE(pool.isRunning({7}));
  EXPECT_TRUE(pool.listedEndpoints().empty());
  ASSERT_NE(pool.find({7}), nullptr);
  RecordedResponse secondResponse;
  pool.start({7}, std::make_unique<RecordingExchange>(secondResponse), kGetRequest, 0);
  ASSERT_TRUE(runner.until([&] { return secondResponse.completions == 1; }, 1'000'000));
  EXPECT_EQ(secondResponse.body, "mine");
}

// The remaining time that a request states must be that at the time of writing, not at the start of the
// attempt.
TEST(ConnectionPool, MakesTheRequestWhenItsConnectionIsEstablished) {
  constexpr net::Micros kConnectDelay = 200'000;
  LoopRunner runner;
  ScriptedEngine scriptedEngine(runner.loop);
  engine::ConnectionPool pool(runner.loop, {});
  pool.update(singleEndpoint(Poco::Net::SocketAddress(scriptedEngine.address())));
  RecordedResponse response;
  net::Micros writtenAt = 0;
  const net::Micros startedAt = runner.loop.now();
  pool.start({{1}, 0}, {7}, std::make_unique<RecordingExchange>(response), [&](net::Micros now) {
    writtenAt = now;
    return kGetRequest;
  });
  runner.stall(kConnectDelay);  // the loop does not process the connection before
  ASSERT_TRUE(runner.until([&] { return scriptedEngine.seen.size() == 1; }, 1'000'000));
  EXPECT_GE(writtenAt - startedAt, kConnectDelay);
  pool.cancel({{1}, 0});
}

TEST(ConnectionPool, DoesNotWriteARequestThatIsTooLateWhenItsConnectionIsEstablished) {
  for (const bool useIdle : {false, true}) {
    LoopRunner runner;
    ScriptedEngine scriptedEngine(runner.loop);
    engine::ConnectionPool pool(runner.loop, {});
    if (useIdle) {
      ASSERT_NO_FATAL_FAILURE(createIdleConnection(runner, scriptedEngine, pool));
      waitUntilReusable(runner);
    } else {
      pool.update(singleEndpoint(Poco::Net::SocketAddress(scriptedEngine.address())));
    }
    const std::size_t requestsBefore = scriptedEngine.seen.size();
    RecordedResponse response;
    pool.start({{1}, 0}, {7}, std::make_unique<RecordingExchange>(response),
               [](net::Micros) { return std::nullopt; });
    EXPECT_FALSE(response.failure);  // must not be reported from within start()
    ASSERT_TRUE(runner.until([&] { return response.failure.has_value(); }, 1'000'000));
    EXPECT_EQ(*response.failure, Outcome::connectFailed);
    runner.pass(20'000);
    EXPECT_EQ(scriptedEngine.seen.size(), requestsBefore);
    EXPECT_EQ(pool.attempts(), 0u);
  }
}

// A request that must not be on a dead connection is sent on a new one even if an idle one is usable.
TEST(ConnectionPool, OpensANewConnectionWhenReuseIsNotAllowed) {
  for (const auto reuse : {engine::ConnectionReuse::allowed, engine::ConnectionReuse::never}) {
    LoopRunner runner;
    ScriptedEngine scriptedEngine(runner.loop);
    engine::ConnectionPool pool(runner.loop, {});
    RecordedResponse secondResponse;
    ASSERT_NO_FATAL_FAILURE(createIdleConnection(runner, scriptedEngine, pool));
    waitUntilReusable(runner);
    scriptedEngine.script = nullptr;  // reads the request and does not respond
    pool.start({{1}, 0}, {7}, std::make_unique<RecordingExchange>(secondResponse),
               engine::fixedRequest(kGetRequest), reuse);
    ASSERT_TRUE(runner.until([&] { return scriptedEngine.seen.size() == 2; }, 1'000'000));
    EXPECT_EQ(pool.opened(), reuse == engine::ConnectionReuse::never ? 2u : 1u);
    // Without a byte in return, delivery is unconfirmed on a new connection as well.
    EXPECT_EQ(pool.deliveryState({{1}, 0}), routing::DeliveryState::written);
    pool.cancel({{1}, 0});
  }
}

// Releases waiting for unresponsive engines used up the connections of attempts, so that healthy engines
// appeared to be at their limit.
TEST(ConnectionPool, DoesNotCountReleasesAgainstTheLimitOfAttempts) {
  LoopRunner runner;
  ScriptedEngine scriptedEngine(runner.loop);  // does not respond
  engine::Options options;
  options.totalConnections = 2;
  options.controlConnections = 3;
  engine::ConnectionPool pool(runner.loop, options);
  pool.update(singleEndpoint(Poco::Net::SocketAddress(scriptedEngine.address())));
  RecordedResponse response;
  for (int index = 0; index < 3; ++index) {
    EXPECT_FALSE(pool.isControlLimitReached());
    pool.start({7}, std::make_unique<RecordingExchange>(response), kGetRequest, 0);
  }
  EXPECT_TRUE(pool.isControlLimitReached());
  for (int index = 0; index < 2; ++index) {
    EXPECT_FALSE(pool.isAttemptLimitReached({7}));
    pool.start({{1}, index}, {7}, std::make_unique<RecordingExchange>(response),
               engine::fixedRequest(kGetRequest));
  }
  EXPECT_TRUE(pool.isAttemptLimitReached({7}));
  pool.cancel({{1}, 0});
  EXPECT_FALSE(pool.isAttemptLimitReached({7}));
}

// A delta leaves other endpoints unchanged; a removed endpoint is forgotten once its exchanges have ended.
TEST(ConnectionPool, LeavesOtherEndpointsAloneWhenChangesAreApplied) {
  LoopRunner runner;
  ScriptedEngine scriptedEngine(runner.loop);  // responds when the test sends the response
  engine::ConnectionPool pool(runner.loop, {.unlistedRetention = 0});
  auto endpointMap = singleEndpoint(Poco::Net::SocketAddress(scriptedEngine.address()));
  pool.update(endpointMap);
  membership::EndpointMap changes{{"f", endpointMap.at("e")}};
  changes["f"].name = "f";
  changes["f"].id = {8};
  pool.apply(changes);
  EXPECT_EQ(pool.listedEndpoints(), (std::vector<EndpointId>{{7}, {8}}));
  RecordedResponse response;
  pool.start({{1}, 0}, {7}, std::make_unique<RecordingExchange>(response), engine::fixedRequest(kGetRequest));
  ASSERT_TRUE(runner.until([&] { return scriptedEngine.seen.size() == 1; }, 1'000'000));
  endpointMap["e"].state = EndpointState::removed;
  pool.apply(endpointMap);
  EXPECT_EQ(pool.listedEndpoints(), (std::vector<EndpointId>{{8}}));
  EXPECT_FALSE(pool.isRunning({7}));
  EXPECT_NE(pool.find({7}), nullptr);  // its exchange continues
  scriptedEngine.seen[0].stream->send(okResponse("whole"));
  ASSERT_TRUE(runner.until([&] { return response.completions == 1; }, 1'000'000));
  pool.apply({});
  EXPECT_EQ(pool.find({7}), nullptr);
  EXPECT_TRUE(pool.isRunning({8}));
}

// A refused connection is retried once if the engine has other open connections, and not otherwise.
TEST(ConnectionPool, RetriesARefusedConnectionOnceWhenOthersAreOpen) {
  for (const bool hasOpenConnection : {true, false}) {
    LoopRunner runner;
    auto scriptedEngine = std::make_unique<ScriptedEngine>(runner.loop);
    const Poco::Net::SocketAddress address(scriptedEngine->address());
    engine::ConnectionPool pool(runner.loop, {});
    pool.update(singleEndpoint(address));
    RecordedResponse openResponse, retriedResponse;
    if (hasOpenConnection) {
      pool.start({{1}, 0}, {7}, std::make_unique<RecordingExchange>(openResponse),
                 engine::fixedRequest(kGetRequest));
      ASSERT_TRUE(runner.until([&] { return scriptedEngine->seen.size() == 1; }, 1'000'000));
    }
    scriptedEngine->stopListening();
    std::unique_ptr<net::Listener> reopenedListener;
    std::vector<Poco::Net::StreamSocket> accepted;
    pool.start({{2}, 0}, {7}, std::make_unique<RecordingExchange>(retriedResponse),
               engine::fixedRequest(kGetRequest));
    runner.loop.post([&] {
      reopenedListener = std::make_unique<net::Listener>(runner.loop, address,
                                                         [&](auto socket) { accepted.push_back(socket); });
    });
    EXPECT_EQ(runner.until([&] { return !accepted.empty(); }, 300'000), hasOpenConnection);
    EXPECT_EQ(retriedResponse.failure.has_value(), !hasOpenConnection);
    EXPECT_EQ(retriedResponse.failure.value_or(Outcome::connectFailed), Outcome::connectFailed);
  }
}

// A request that was not written completely was not executed; one that was is possibly executed.
TEST(ConnectionPool, ReportsABreakBeforeTheRequestIsWrittenAsNotExecuted) {
  for (const bool isComplete : {false, true}) {
    LoopRunner runner;
    std::vector<Poco::Net::StreamSocket> accepted;  // never read
    net::Listener listener(runner.loop, Poco::Net::SocketAddress("127.0.0.1", 0),
                           [&](auto socket) { accepted.push_back(socket); });
    engine::ConnectionPool pool(runner.loop, {});
    pool.update(singleEndpoint(listener.address()));
    RecordedResponse response;
    pool.start(
        {{1}, 0}, {7}, std::make_unique<RecordingExchange>(response),
        engine::fixedRequest(kGetRequest + (isComplete ? std::string() : std::string(32u << 20, 'x'))));
    ASSERT_TRUE(runner.until([&] { return accepted.size() == 1; }, 1'000'000));
    runner.pass(30'000);
    accepted[0].setLinger(true, 0);
    accepted[0].close();
    ASSERT_TRUE(runner.until([&] { return response.failure.has_value(); }, 1'000'000));
    EXPECT_EQ(*response.failure, isComplete ? Outcome::connectionReset : Outcome::connectFailed);
  }
}

// What changes between the start of an attempt and the establishment of its connection.
enum class ChangeBeforeConnect { none, endpointDraining, endpointRemoved, pastDeadline };
class LateConnection : public testing::TestWithParam<ChangeBeforeConnect> {};
INSTANTIATE_TEST_SUITE_P(All, LateConnection,
                         testing::Values(ChangeBeforeConnect::none, ChangeBeforeConnect::endpointDraining,
                                         ChangeBeforeConnect::endpointRemoved,
                                         ChangeBeforeConnect::pastDeadline));

TEST_P(LateConnection, SendsNothingToADrainingEndpointOrAfterItsDeadline) {
  LoopRunner runner;
  ScriptedEngine scriptedEngine(runner.loop);
  AttemptRecorder attemptRecorder;
  platform::PlatformEngineClient engineClient(runner.loop, {}, {}, 0, "a");
  engineClient.setEvents(attemptRecorder);
  membership::EndpointMap endpoints = singleEndpoint(Poco::Net::SocketAddress(scriptedEngine.address()));
  engineClient.update(endpoints);
  routing::Request request;
  request.target = "/v1/chat/completions";
  request.body = std::make_shared<const std::string>("{}");
  routing::AttemptSpec attemptSpec{
      .attempt = {{1}, 0}, .endpoint = {7}, .request = &request, .traceId = "x", .timeout = 1'000'000};
  if (GetParam() == ChangeBeforeConnect::pastDeadline) attemptSpec.sendBy = runner.loop.now() + 1'000;
  engineClient.begin(attemptSpec);
  if (GetParam() == ChangeBeforeConnect::endpointDraining) endpoints["e"].state = EndpointState::draining;
  if (GetParam() == ChangeBeforeConnect::endpointRemoved) endpoints.clear();
  engineClient.update(endpoints);
  runner.stall(10'000);
  if (GetParam() == ChangeBeforeConnect::none) {
    EXPECT_TRUE(runner.until([&] { return scriptedEngine.seen.size() == 1; }, 1'000'000));
    return engineClient.cancel(attemptSpec.attempt);
  }
  ASSERT_TRUE(runner.until([&] { return !attemptRecorder.results.empty(); }, 1'000'000));
  EXPECT_EQ(attemptRecorder.results[0].outcome, Outcome::connectFailed);
  runner.pass(20'000);
  EXPECT_TRUE(scriptedEngine.seen.empty());
}

// No connection is made to an engine whose address is unusable or that is not listed.
TEST(PlatformEngineClient, ReportsAnAttemptAtAnUnusableAddressAsNotSent) {
  for (const bool isListed : {true, false}) {
    LoopRunner runner;
    AttemptRecorder attemptRecorder;
    platform::PlatformEngineClient engineClient(runner.loop, {}, {}, 0, "a");
    engineClient.setEvents(attemptRecorder);
    membership::EndpointMap endpoints = singleEndpoint(Poco::Net::SocketAddress("127.0.0.1", 1));
    endpoints["e"].host = "::nowhere::";
    if (isListed) engineClient.update(endpoints);
    routing::Request request;
    request.target = "/v1/chat/completions";
    request.body = std::make_shared<const std::string>("{}");
    engineClient.begin(
        {.attempt = {{1}, 0}, .endpoint = {7}, .request = &request, .traceId = "x", .timeout = 1'000'000});
    ASSERT_TRUE(runner.until([&] { return !attemptRecorder.results.empty(); }, 1'000'000));
    EXPECT_EQ(attemptRecorder.results[0].outcome, Outcome::connectFailed);
  }
}

// An attempt that fails for lack of a free connection on the router is not evidence against its engine.
TEST(PlatformEngineClient, ReportsAnAttemptWithoutAFreeConnectionAsNotSent) {
  LoopRunner runner;
  ScriptedEngine scriptedEngine(runner.loop);
  AttemptRecorder attemptRecorder;
  platform::PlatformEngineClient engineClient(runner.loop, {.connections = 1}, {}, 0, "a");
  engineClient.setEvents(attemptRecorder);
  engineClient.update(singleEndpoint(Poco::Net::SocketAddress(scriptedEngine.address())));
  routing::Request request;
  request.target = "/v1/chat/completions";
  request.body = std::make_shared<const std::string>("{}");
  engineClient.begin(
      {.attempt = {{1}, 0}, .endpoint = {7}, .request = &request, .traceId = "x", .timeout = 1'000'000});
  engineClient.begin(
      {.attempt = {{2}, 0}, .endpoint = {7}, .request = &request, .traceId = "y", .timeout = 1'000'000});
  ASSERT_TRUE(runner.until([&] { return !attemptRecorder.results.empty(); }, 1'000'000));
  EXPECT_EQ(attemptRecorder.results[0].outcome, Outcome::rejected);
  EXPECT_FALSE(attemptRecorder.results[0].anyBytesReceived);
  engineClient.cancel({{1}, 0});
}

}  // namespace
}  // namespace garnethook::test
