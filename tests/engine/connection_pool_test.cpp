// The pool of connections to engines, against peers that refuse, reset and talk out of turn.
#include "engine/connection_pool.h"

#include <gtest/gtest.h>

#include "platform/engine/platform_engine_client.h"
#include "support/pool_peers.h"

namespace garnethook::test {
namespace {

// Bytes that came unasked and were not read yet must not become the next answer.
TEST(ConnectionPool, DoesNotReuseAConnectionWithUnreadBytes) {
  LoopRunner w;
  ScriptedEngine e(w.loop);
  engine::ConnectionPool pool(w.loop, {});
  Heard second;
  ASSERT_NO_FATAL_FAILURE(keepOne(w, e, pool));
  rest(w);
  e.seen[0].stream->send(answer("foreign"));  // and in the same turn, before the loop sees it:
  pool.start({7}, std::make_unique<Listening>(second), kGet, 0);
  ASSERT_TRUE(w.until([&] { return second.ends == 1; }, 1'000'000));
  EXPECT_EQ(second.body, "mine");
  EXPECT_EQ(pool.opened(), 2u);
}

// A second answer may follow some milliseconds behind the first: a request that is sent in between would get
// it for its own.
TEST(ConnectionPool, DoesNotReuseAConnectionRightAfterItsResponse) {
  LoopRunner w;
  ScriptedEngine e(w.loop);
  engine::ConnectionPool pool(w.loop, {});
  Heard second;
  ASSERT_NO_FATAL_FAILURE(keepOne(w, e, pool));
  pool.start({7}, std::make_unique<Listening>(second), kGet, 0);
  e.seen[0].stream->send(answer("stray"));  // right behind the second request
  ASSERT_TRUE(w.until([&] { return second.ends == 1; }, 1'000'000));
  EXPECT_EQ(second.body, "mine");
  EXPECT_EQ(pool.opened(), 2u);
}

// Seen in a drill with an empty list: what an endpoint held could not be released until it was listed again.
TEST(ConnectionPool, ReachesAnEndpointThatHasLeftTheListForSomeSeconds) {
  LoopRunner w;
  ScriptedEngine e(w.loop);
  engine::ConnectionPool pool(w.loop, {});
  ASSERT_NO_FATAL_FAILURE(keepOne(w, e, pool));
  pool.update({});
  EXPECT_FALSE(pool.isRunning({7}));
  EXPECT_TRUE(pool.listedEndpoints().empty());
  ASSERT_NE(pool.find({7}), nullptr);
  Heard second;
  pool.start({7}, std::make_unique<Listening>(second), kGet, 0);
  ASSERT_TRUE(w.until([&] { return second.ends == 1; }, 1'000'000));
  EXPECT_EQ(second.body, "mine");
}

// The time that a request tells must be what is left when it goes out, not when it was ordered.
TEST(ConnectionPool, MakesTheRequestWhenItsConnectionIsEstablished) {
  constexpr net::Micros kLate = 200'000;
  LoopRunner w;
  ScriptedEngine e(w.loop);
  engine::ConnectionPool pool(w.loop, {});
  pool.update(only(Poco::Net::SocketAddress(e.address())));
  Heard heard;
  net::Micros written = 0;
  const net::Micros ordered = w.loop.now();
  pool.start({{1}, 0}, {7}, std::make_unique<Listening>(heard), [&](net::Micros now) {
    written = now;
    return kGet;
  });
  w.stall(kLate);  // the loop sees the connection only then
  ASSERT_TRUE(w.until([&] { return e.seen.size() == 1; }, 1'000'000));
  EXPECT_GE(written - ordered, kLate);
  pool.cancel({{1}, 0});
}

TEST(ConnectionPool, DoesNotWriteARequestThatIsTooLateWhenItsConnectionIsEstablished) {
  for (const bool kept : {false, true}) {
    LoopRunner w;
    ScriptedEngine e(w.loop);
    engine::ConnectionPool pool(w.loop, {});
    if (kept) {
      ASSERT_NO_FATAL_FAILURE(keepOne(w, e, pool));
      rest(w);
    } else {
      pool.update(only(Poco::Net::SocketAddress(e.address())));
    }
    const std::size_t before = e.seen.size();
    Heard heard;
    pool.start({{1}, 0}, {7}, std::make_unique<Listening>(heard), [](net::Micros) { return std::nullopt; });
    EXPECT_FALSE(heard.failed);  // not from within the call
    ASSERT_TRUE(w.until([&] { return heard.failed.has_value(); }, 1'000'000));
    EXPECT_EQ(*heard.failed, Outcome::connectFailed);
    w.pass(20'000);
    EXPECT_EQ(e.seen.size(), before);
    EXPECT_EQ(pool.attempts(), 0u);
  }
}

// A request whose arrival has to show goes on a new connection, though a kept one is good.
TEST(ConnectionPool, OpensANewConnectionWhenReuseIsNotAllowed) {
  for (const auto reuse : {engine::ConnectionReuse::allowed, engine::ConnectionReuse::never}) {
    LoopRunner w;
    ScriptedEngine e(w.loop);
    engine::ConnectionPool pool(w.loop, {});
    Heard second;
    ASSERT_NO_FATAL_FAILURE(keepOne(w, e, pool));
    rest(w);
    e.script = nullptr;  // it takes the request and says nothing
    pool.start({{1}, 0}, {7}, std::make_unique<Listening>(second), engine::fixedRequest(kGet), reuse);
    ASSERT_TRUE(w.until([&] { return e.seen.size() == 2; }, 1'000'000));
    EXPECT_EQ(pool.opened(), reuse == engine::ConnectionReuse::never ? 2u : 1u);
    EXPECT_EQ(pool.deliveryState({{1}, 0}), reuse == engine::ConnectionReuse::never
                                                ? routing::DeliveryState::connected
                                                : routing::DeliveryState::written);
    pool.cancel({{1}, 0});
  }
}

// Releases that wait for silent engines took the connections of attempts: sound engines counted as full.
TEST(ConnectionPool, DoesNotCountReleasesAgainstTheLimitOfAttempts) {
  LoopRunner w;
  ScriptedEngine e(w.loop);  // says nothing
  engine::Options options;
  options.allConnections = 2;
  options.controlConnections = 3;
  engine::ConnectionPool pool(w.loop, options);
  pool.update(only(Poco::Net::SocketAddress(e.address())));
  Heard heard;
  for (int i = 0; i < 3; ++i) {
    EXPECT_FALSE(pool.isControlFull());
    pool.start({7}, std::make_unique<Listening>(heard), kGet, 0);
  }
  EXPECT_TRUE(pool.isControlFull());
  for (int i = 0; i < 2; ++i) {
    EXPECT_FALSE(pool.isFull({7}));
    pool.start({{1}, i}, {7}, std::make_unique<Listening>(heard), engine::fixedRequest(kGet));
  }
  EXPECT_TRUE(pool.isFull({7}));
  pool.cancel({{1}, 0});
  EXPECT_FALSE(pool.isFull({7}));
}

// A list of changes leaves the others as they are; what has gone is forgotten once its exchanges are over.
TEST(ConnectionPool, LeavesOtherEndpointsAloneWhenChangesAreApplied) {
  LoopRunner w;
  ScriptedEngine e(w.loop);  // answers when the test says so
  engine::ConnectionPool pool(w.loop, {.keepUnlisted = 0});
  auto engine = only(Poco::Net::SocketAddress(e.address()));
  pool.update(engine);
  membership::EndpointMap changes{{"f", engine.at("e")}};
  changes["f"].name = "f";
  changes["f"].id = {8};
  pool.apply(changes);
  EXPECT_EQ(pool.listedEndpoints(), (std::vector<EndpointId>{{7}, {8}}));
  Heard heard;
  pool.start({{1}, 0}, {7}, std::make_unique<Listening>(heard), engine::fixedRequest(kGet));
  ASSERT_TRUE(w.until([&] { return e.seen.size() == 1; }, 1'000'000));
  engine["e"].state = EndpointState::removed;
  pool.apply(engine);
  EXPECT_EQ(pool.listedEndpoints(), (std::vector<EndpointId>{{8}}));
  EXPECT_FALSE(pool.isRunning({7}));
  EXPECT_NE(pool.find({7}), nullptr);  // its exchange goes on
  e.seen[0].stream->send(answer("whole"));
  ASSERT_TRUE(w.until([&] { return heard.ends == 1; }, 1'000'000));
  pool.apply({});
  EXPECT_EQ(pool.find({7}), nullptr);
  EXPECT_TRUE(pool.isRunning({8}));
}

// An engine that others of its connections stand with is dialled once more; one that none stands with is not.
TEST(ConnectionPool, RetriesARefusedConnectionOnceWhenOthersAreOpen) {
  for (const bool standing : {true, false}) {
    LoopRunner w;
    auto e = std::make_unique<ScriptedEngine>(w.loop);
    const Poco::Net::SocketAddress address(e->address());
    engine::ConnectionPool pool(w.loop, {});
    pool.update(only(address));
    Heard open, tried;
    if (standing) {
      pool.start({{1}, 0}, {7}, std::make_unique<Listening>(open), engine::fixedRequest(kGet));
      ASSERT_TRUE(w.until([&] { return e->seen.size() == 1; }, 1'000'000));
    }
    e->stopListening();
    std::unique_ptr<net::Listener> again;
    std::vector<Poco::Net::StreamSocket> accepted;
    pool.start({{2}, 0}, {7}, std::make_unique<Listening>(tried), engine::fixedRequest(kGet));
    w.loop.post([&] {
      again = std::make_unique<net::Listener>(w.loop, address, [&](auto s) { accepted.push_back(s); });
    });
    EXPECT_EQ(w.until([&] { return !accepted.empty(); }, 300'000), standing);
    EXPECT_EQ(tried.failed.has_value(), !standing);
    EXPECT_EQ(tried.failed.value_or(Outcome::connectFailed), Outcome::connectFailed);
  }
}

// A request that never was written whole has not run; one that was may have.
TEST(ConnectionPool, ReportsABreakBeforeTheRequestIsWrittenAsNotExecuted) {
  for (const bool whole : {false, true}) {
    LoopRunner w;
    std::vector<Poco::Net::StreamSocket> accepted;  // never read
    net::Listener listener(w.loop, Poco::Net::SocketAddress("127.0.0.1", 0),
                           [&](auto s) { accepted.push_back(s); });
    engine::ConnectionPool pool(w.loop, {});
    pool.update(only(listener.address()));
    Heard heard;
    pool.start({{1}, 0}, {7}, std::make_unique<Listening>(heard),
               engine::fixedRequest(kGet + (whole ? std::string() : std::string(32u << 20, 'x'))));
    ASSERT_TRUE(w.until([&] { return accepted.size() == 1; }, 1'000'000));
    w.pass(30'000);
    accepted[0].setLinger(true, 0);
    accepted[0].close();
    ASSERT_TRUE(w.until([&] { return heard.failed.has_value(); }, 1'000'000));
    EXPECT_EQ(*heard.failed, whole ? Outcome::connectionReset : Outcome::connectFailed);
  }
}

// What changed between the order and the moment in which its connection is up.
enum class Meanwhile { nothing, drains, goes, tooLate };
class LateConnection : public testing::TestWithParam<Meanwhile> {};
INSTANTIATE_TEST_SUITE_P(All, LateConnection,
                         testing::Values(Meanwhile::nothing, Meanwhile::drains, Meanwhile::goes,
                                         Meanwhile::tooLate));

TEST_P(LateConnection, SendsNothingToADrainingEndpointOrAfterItsDeadline) {
  LoopRunner w;
  ScriptedEngine e(w.loop);
  AttemptEnds ends;
  platform::PlatformEngineClient engines(w.loop, {}, {}, 0, "a");
  engines.setEvents(ends);
  membership::EndpointMap map = only(Poco::Net::SocketAddress(e.address()));
  engines.update(map);
  routing::Request request;
  request.target = "/v1/chat/completions";
  request.body = std::make_shared<const std::string>("{}");
  routing::AttemptSpec order{
      .attempt = {{1}, 0}, .endpoint = {7}, .request = &request, .traceId = "x", .timeout = 1'000'000};
  if (GetParam() == Meanwhile::tooLate) order.sendBy = w.loop.now() + 1'000;
  engines.begin(order);
  if (GetParam() == Meanwhile::drains) map["e"].state = EndpointState::draining;
  if (GetParam() == Meanwhile::goes) map.clear();
  engines.update(map);
  w.stall(10'000);
  if (GetParam() == Meanwhile::nothing) {
    EXPECT_TRUE(w.until([&] { return e.seen.size() == 1; }, 1'000'000));
    return engines.cancel(order.attempt);
  }
  ASSERT_TRUE(w.until([&] { return !ends.ends.empty(); }, 1'000'000));
  EXPECT_EQ(ends.ends[0].outcome, Outcome::connectFailed);
  w.pass(20'000);
  EXPECT_TRUE(e.seen.empty());
}

// An engine whose address can't be used, or that is not listed, was never reached.
TEST(PlatformEngineClient, ReportsAnAttemptAtAnUnusableAddressAsNotSent) {
  for (const bool listed : {true, false}) {
    LoopRunner w;
    AttemptEnds ends;
    platform::PlatformEngineClient engines(w.loop, {}, {}, 0, "a");
    engines.setEvents(ends);
    membership::EndpointMap map = only(Poco::Net::SocketAddress("127.0.0.1", 1));
    map["e"].host = "::nowhere::";
    if (listed) engines.update(map);
    routing::Request request;
    request.target = "/v1/chat/completions";
    request.body = std::make_shared<const std::string>("{}");
    engines.begin(
        {.attempt = {{1}, 0}, .endpoint = {7}, .request = &request, .traceId = "x", .timeout = 1'000'000});
    ASSERT_TRUE(w.until([&] { return !ends.ends.empty(); }, 1'000'000));
    EXPECT_EQ(ends.ends[0].outcome, Outcome::connectFailed);
  }
}

// An attempt that found no room among the router's own connections tells nothing of its engine.
TEST(PlatformEngineClient, ReportsAnAttemptWithoutAFreeConnectionAsNotSent) {
  LoopRunner w;
  ScriptedEngine e(w.loop);
  AttemptEnds ends;
  platform::PlatformEngineClient engines(w.loop, {.connections = 1}, {}, 0, "a");
  engines.setEvents(ends);
  engines.update(only(Poco::Net::SocketAddress(e.address())));
  routing::Request request;
  request.target = "/v1/chat/completions";
  request.body = std::make_shared<const std::string>("{}");
  engines.begin(
      {.attempt = {{1}, 0}, .endpoint = {7}, .request = &request, .traceId = "x", .timeout = 1'000'000});
  engines.begin(
      {.attempt = {{2}, 0}, .endpoint = {7}, .request = &request, .traceId = "y", .timeout = 1'000'000});
  ASSERT_TRUE(w.until([&] { return !ends.ends.empty(); }, 1'000'000));
  EXPECT_EQ(ends.ends[0].outcome, Outcome::rejected);
  EXPECT_FALSE(ends.ends[0].anyBytesSent);
  engines.cancel({{1}, 0});
}

}  // namespace
}  // namespace garnethook::test
