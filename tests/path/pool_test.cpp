// The pool of connections to engines, against peers that refuse, reset and talk out of turn.
#include "engine/pool.h"

#include <gtest/gtest.h>

#include "platform_world.h"

namespace garnethook::test {
namespace {

struct Heard {
  std::string body;
  int ends = 0;
  std::optional<Outcome> failed;
};
struct Listening final : engine::Exchange {
  explicit Listening(Heard& to) : heard(to) {}
  bool onHead(const http1::Head&) override { return true; }
  bool onBody(std::string_view octets) override {
    heard.body += octets;
    return true;
  }
  void onEnd() override { ++heard.ends; }
  void onFailed(Outcome outcome, const std::string&, bool) override { heard.failed = outcome; }
  void mute() override {}
  Heard& heard;
};

membership::EngineMap only(const Poco::Net::SocketAddress& address) {
  membership::EngineSpec e;
  e.name = "e";
  e.id = {7};
  e.host = address.host().toString();
  e.port = address.port();
  return {{"e", e}};
}
const std::string kGet = "GET / HTTP/1.1\r\nHost: e\r\n\r\n";
std::string answer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// One exchange with an engine that answers "mine", after which its connection is kept.
void keepOne(LoopRunner& w, ScriptedEngine& e, engine::Pool& pool) {
  e.script = [](ScriptedEngine::Request& r) { r.stream->send(answer("mine")); };
  pool.update(only(Poco::Net::SocketAddress(e.address())));
  Heard first;
  pool.run({7}, std::make_unique<Listening>(first), kGet, 0);
  ASSERT_TRUE(w.until([&] { return pool.idleConnections() == 1; }, 1'000'000));
  EXPECT_EQ(first.ends, 1);
}

// Octets that came unasked and were not read yet must not become the next answer.
TEST(Pool, AKeptConnectionOnWhichOctetsWaitIsNotUsed) {
  LoopRunner w;
  ScriptedEngine e(w.loop);
  engine::Pool pool(w.loop, {});
  Heard second;
  ASSERT_NO_FATAL_FAILURE(keepOne(w, e, pool));
  e.seen[0].stream->send(answer("foreign"));  // and in the same turn, before the loop sees it:
  pool.run({7}, std::make_unique<Listening>(second), kGet, 0);
  ASSERT_TRUE(w.until([&] { return second.ends == 1; }, 1'000'000));
  EXPECT_EQ(second.body, "mine");
  EXPECT_EQ(pool.opened(), 2u);
}

// A request whose arrival has to show goes on a new connection, though a kept one is good.
TEST(Pool, ANewConnectionIsMadeWhereNoKeptOneWillDo) {
  for (const auto reuse : {engine::Reuse::usual, engine::Reuse::none}) {
    LoopRunner w;
    ScriptedEngine e(w.loop);
    engine::Pool pool(w.loop, {});
    Heard second;
    ASSERT_NO_FATAL_FAILURE(keepOne(w, e, pool));
    e.script = nullptr;  // it takes the request and says nothing
    pool.run({{1}, 0}, {7}, std::make_unique<Listening>(second), kGet, reuse);
    ASSERT_TRUE(w.until([&] { return e.seen.size() == 2; }, 1'000'000));
    EXPECT_EQ(pool.opened(), reuse == engine::Reuse::none ? 2u : 1u);
    EXPECT_EQ(pool.reach({{1}, 0}),
              reuse == engine::Reuse::none ? routing::Reach::engine : routing::Reach::written);
    pool.abandon({{1}, 0});
  }
}

// An engine that others of its connections stand with is dialled once more; one that none stands with is not.
TEST(Pool, ARefusedConnectionIsDialledOnceMoreWhereOthersStand) {
  for (const bool standing : {true, false}) {
    LoopRunner w;
    auto e = std::make_unique<ScriptedEngine>(w.loop);
    const Poco::Net::SocketAddress address(e->address());
    engine::Pool pool(w.loop, {});
    pool.update(only(address));
    Heard open, tried;
    if (standing) {
      pool.run({{1}, 0}, {7}, std::make_unique<Listening>(open), kGet);
      ASSERT_TRUE(w.until([&] { return e->seen.size() == 1; }, 1'000'000));
    }
    e->stopListening();
    std::unique_ptr<net::Listener> again;
    std::vector<Poco::Net::StreamSocket> accepted;
    pool.run({{2}, 0}, {7}, std::make_unique<Listening>(tried), kGet);
    w.loop.post([&] {
      again = std::make_unique<net::Listener>(w.loop, address, [&](auto s) { accepted.push_back(s); });
    });
    EXPECT_EQ(w.until([&] { return !accepted.empty(); }, 300'000), standing);
    EXPECT_EQ(tried.failed.has_value(), !standing);
    EXPECT_EQ(tried.failed.value_or(Outcome::connectFailed), Outcome::connectFailed);
  }
}

// A request that never was written whole has not run; one that was may have.
TEST(Pool, ABreakBeforeTheRequestsEndProvesThatNothingRan) {
  for (const bool whole : {false, true}) {
    LoopRunner w;
    std::vector<Poco::Net::StreamSocket> accepted;  // never read
    net::Listener listener(w.loop, Poco::Net::SocketAddress("127.0.0.1", 0),
                           [&](auto s) { accepted.push_back(s); });
    engine::Pool pool(w.loop, {});
    pool.update(only(listener.address()));
    Heard heard;
    pool.run({{1}, 0}, {7}, std::make_unique<Listening>(heard),
             kGet + (whole ? std::string() : std::string(32u << 20, 'x')));
    ASSERT_TRUE(w.until([&] { return accepted.size() == 1; }, 1'000'000));
    w.pass(30'000);
    accepted[0].setLinger(true, 0);
    accepted[0].close();
    ASSERT_TRUE(w.until([&] { return heard.failed.has_value(); }, 1'000'000));
    EXPECT_EQ(*heard.failed, whole ? Outcome::reset : Outcome::connectFailed);
  }
}

}  // namespace
}  // namespace garnethook::test
