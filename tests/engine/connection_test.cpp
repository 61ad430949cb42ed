// How connections to engines end, by rows of docs/endings.md: at rest, as they come up, beside their
// exchange.
#include <sys/socket.h>

#include "engine/connection_pool.h"
#include "support/pool_peers.h"

namespace garnethook::test {
namespace {

constexpr net::Micros kShort = 50'000;
constexpr net::Micros kSecond = 1'000'000;

struct EngineConnection : testing::Test {
  // An exchange with the engine, as an attempt.
  void run(engine::ConnectionPool& pool, std::uint64_t attempt = 1, EndpointId endpoint = {7}) {
    pool.start({{attempt}, 0}, endpoint, std::make_unique<Listening>(heard), engine::fixedRequest(kGet));
  }
  LoopRunner w;
  ScriptedEngine e{w.loop};
  Heard heard;
};

// A machine on which connections never come up: its queue is full, and nobody accepts.
class SilentMachine {
 public:
  SilentMachine() {
    listener_.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true, false);
    listener_.listen(0);
    for (auto& filler : fillers_) filler.connectNB(listener_.address());
  }
  Poco::Net::SocketAddress address() const { return listener_.address(); }

 private:
  Poco::Net::ServerSocket listener_;
  std::array<Poco::Net::StreamSocket, 4> fillers_;
};

// ---- at rest ----

TEST_F(EngineConnection, IsNotReusedWhenItsEngineClosedItWhileIdle) {
  engine::ConnectionPool pool(w.loop, {});
  ASSERT_NO_FATAL_FAILURE(keepOne(w, e, pool));
  rest(w);
  e.seen[0].stream->close();
  run(pool);  // the close is there, unread
  ASSERT_TRUE(w.until([&] { return heard.ends == 1; }, kSecond));
  EXPECT_EQ(pool.opened(), 2u);
  EXPECT_FALSE(heard.failed);
}

TEST_F(EngineConnection, DoesNotMixUnsolicitedBytesIntoTheNextResponse) {
  for (const bool seenBefore : {false, true}) {
    ScriptedEngine engine(w.loop);
    engine::ConnectionPool pool(w.loop, {});
    ASSERT_NO_FATAL_FAILURE(keepOne(w, engine, pool));
    rest(w);
    engine.seen[0].stream->send("HTTP/1.1 20");
    if (seenBefore) {
      EXPECT_TRUE(w.until([&] { return pool.idleConnections() == 0; }, kSecond));
    }
    Heard second;
    pool.start({{1}, 0}, {7}, std::make_unique<Listening>(second), engine::fixedRequest(kGet));
    ASSERT_TRUE(w.until([&] { return second.ends == 1; }, kSecond));
    EXPECT_EQ(second.body, "mine");
    EXPECT_EQ(pool.opened(), 2u);
  }
}

TEST_F(EngineConnection, IsClosedAfterItsIdleTimeout) {
  engine::ConnectionPool pool(w.loop, {.idleTimeout = kShort});
  ASSERT_NO_FATAL_FAILURE(keepOne(w, e, pool));
  EXPECT_TRUE(w.until([&] { return e.gone() == 1; }, kSecond));
  EXPECT_EQ(pool.idleConnections(), 0u);
}

TEST_F(EngineConnection, KeepsItsExchangeWhenItIsReusedAsItsIdleTimeoutFires) {
  engine::ConnectionPool pool(w.loop, {.idleTimeout = kShort});
  ASSERT_NO_FATAL_FAILURE(keepOne(w, e, pool));
  w.stall(2 * kShort);  // the timer is due
  run(pool);
  ASSERT_TRUE(w.until([&] { return heard.ends == 1; }, kSecond));
  EXPECT_FALSE(heard.failed);
  EXPECT_EQ(pool.opened(), 1u);
}

TEST_F(EngineConnection, IsEvictedWhileIdleWhenAllConnectionsAreInUse) {
  ScriptedEngine other(w.loop);
  engine::ConnectionPool pool(w.loop, {.allConnections = 1});
  ASSERT_NO_FATAL_FAILURE(keepOne(w, e, pool));
  auto engines = only(Poco::Net::SocketAddress(e.address()));
  engines["f"] = only(Poco::Net::SocketAddress(other.address())).at("e");
  engines["f"].name = "f";
  engines["f"].id = {8};
  pool.update(engines);
  other.script = e.script;
  run(pool, 1, {8});
  ASSERT_TRUE(w.until([&] { return heard.ends == 1 && e.gone() == 1; }, kSecond));
  EXPECT_EQ(pool.idleConnections(), 1u);
}

// ---- its engine leaves, moves or starts anew ----

TEST_F(EngineConnection, IsClosedWhileIdleWhenItsEngineRestarts) {
  engine::ConnectionPool pool(w.loop, {});
  ASSERT_NO_FATAL_FAILURE(keepOne(w, e, pool));
  auto restarted = only(Poco::Net::SocketAddress(e.address()));
  restarted["e"].startedAt = {1};
  pool.update(restarted);
  EXPECT_EQ(pool.idleConnections(), 0u);
  EXPECT_TRUE(w.until([&] { return e.gone() == 1; }, kSecond));
}

TEST_F(EngineConnection, KeepsItsExchangeWhenItsEngineLeavesTheListDrainsOrRestarts) {
  enum class Change { leaves, drains, restarts };
  for (const Change change : {Change::leaves, Change::drains, Change::restarts}) {
    ScriptedEngine engine(w.loop);  // answers when the test says so
    engine::ConnectionPool pool(w.loop, {});
    auto list = only(Poco::Net::SocketAddress(engine.address()));
    pool.update(list);
    Heard open;
    pool.start({{1}, 0}, {7}, std::make_unique<Listening>(open), engine::fixedRequest(kGet));
    ASSERT_TRUE(w.until([&] { return engine.seen.size() == 1; }, kSecond));
    if (change == Change::leaves) list.clear();
    if (change == Change::drains) list["e"].state = EndpointState::draining;
    if (change == Change::restarts) list["e"].startedAt = {1};
    pool.update(list);
    engine.seen[0].stream->send(answer("whole"));
    ASSERT_TRUE(w.until([&] { return open.ends == 1; }, kSecond));
    EXPECT_EQ(open.body, "whole");
    EXPECT_FALSE(open.failed);
    EXPECT_EQ(pool.attempts(), 0u);
    EXPECT_EQ(pool.idleConnections(), change == Change::leaves ? 0u : 1u);
  }
}

// ---- as it comes up ----

TEST_F(EngineConnection, ReportsAConnectTimeoutAsNotExecuted) {
  SilentMachine machine;
  engine::ConnectionPool pool(w.loop, {.connectTimeout = kShort});
  pool.update(only(machine.address()));
  const net::Micros before = w.loop.now();
  run(pool);
  ASSERT_TRUE(w.until([&] { return heard.failed.has_value(); }, kSecond));
  EXPECT_EQ(*heard.failed, Outcome::connectFailed);
  EXPECT_GE(w.loop.now() - before, kShort);
  EXPECT_EQ(pool.busyConnections(), 0u);
}

TEST_F(EngineConnection, SendsNothingWhenItIsEstablishedAsItsTimeoutFires) {
  engine::ConnectionPool pool(w.loop, {.connectTimeout = kShort});
  pool.update(only(Poco::Net::SocketAddress(e.address())));
  run(pool);
  w.stall(2 * kShort);  // it is up, and its timer is due
  ASSERT_TRUE(w.until([&] { return heard.failed.has_value(); }, kSecond));
  EXPECT_EQ(*heard.failed, Outcome::connectFailed);
  w.pass(kShort);
  EXPECT_TRUE(e.seen.empty());
}

TEST_F(EngineConnection, SendsNothingForAnAttemptCancelledWhileItConnects) {
  engine::ConnectionPool pool(w.loop, {});
  pool.update(only(Poco::Net::SocketAddress(e.address())));
  run(pool);
  pool.cancel({{1}, 0});
  w.pass(2 * kShort);
  EXPECT_TRUE(e.seen.empty());
  EXPECT_EQ(pool.busyConnections() + pool.idleConnections(), 0u);
  EXPECT_FALSE(heard.failed);
}

// ---- beside its exchange ----

TEST_F(EngineConnection, EndsAnExchangeWithoutResponseAtItsTimeout) {
  engine::ConnectionPool pool(w.loop, {});
  pool.update(only(Poco::Net::SocketAddress(e.address())));
  pool.start({7}, std::make_unique<Listening>(heard), kGet, kShort);
  ASSERT_TRUE(w.until([&] { return heard.failed.has_value() && e.gone() == 1; }, kSecond));
  EXPECT_EQ(*heard.failed, Outcome::timedOut);
  EXPECT_EQ(pool.busyConnections(), 0u);
}

// What is left of a request must not come before the next one on the same connection.
TEST_F(EngineConnection, IsNotReusedWhenItsResponseCameBeforeTheRequestWasWritten) {
  std::vector<Poco::Net::StreamSocket> accepted;  // never read
  net::Listener listener(w.loop, Poco::Net::SocketAddress("127.0.0.1", 0),
                         [&](auto socket) { accepted.push_back(socket); });
  engine::ConnectionPool pool(w.loop, {});
  pool.update(only(listener.address()));
  pool.start({{1}, 0}, {7}, std::make_unique<Listening>(heard),
             engine::fixedRequest(kGet + std::string(32u << 20, 'x')));
  ASSERT_TRUE(w.until([&] { return accepted.size() == 1; }, kSecond));
  w.pass(kShort);
  const std::string early = answer("early");
  accepted[0].sendBytes(early.data(), static_cast<int>(early.size()));
  ASSERT_TRUE(w.until([&] { return heard.ends == 1; }, kSecond));
  EXPECT_EQ(heard.body, "early");
  EXPECT_EQ(pool.idleConnections(), 0u);
}

}  // namespace
}  // namespace garnethook::test
