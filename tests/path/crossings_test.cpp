// Crossings at the front: a client's bytes, half-close, close or reset, and an end or timer of the router's,
// within one turn of the loop and in both orders. The loop stands still between the two.
#include "support/frontend_world.h"

namespace garnethook::test {
namespace {

using Options = platform::HttpFrontend::Options;
using routing::Phase;

constexpr std::string_view kClose = "Connection: close";

// ---- a connection ends as a request arrives ----

// How the request that crosses the end is written.
enum class Written { whole, inHalves, pipelined };

struct DrainCrossing : testing::TestWithParam<std::tuple<bool, Written>> {
  bool rested() const { return std::get<0>(GetParam()); }
  Written written() const { return std::get<1>(GetParam()); }
};
INSTANTIATE_TEST_SUITE_P(All, DrainCrossing,
                         testing::Combine(testing::Bool(), testing::Values(Written::whole, Written::inHalves,
                                                                           Written::pipelined)));

TEST_P(DrainCrossing, WhatTheClientWroteBeforeTheDrainIsAnsweredAndTheEndAnnounced) {
  FrontendWorld w;
  auto c = w.acceptedClient(rested());
  const std::string first = clientRequest("a");
  const std::size_t cut = written() == Written::inHalves ? first.size() / 2 : first.size();
  c->send(first.substr(0, cut));
  std::size_t requests = 1;
  if (written() == Written::pipelined) {
    c->send(clientRequest("b") + clientRequest("c"));
    requests = 3;
  }
  w.front->drain();  // the bytes are there, unread
  c->send(first.substr(cut));
  ASSERT_TRUE(w.ended(*c)) << c->got;
  EXPECT_FALSE(c->wasReset);
  EXPECT_EQ(c->streams(), requests) << c->got;
  EXPECT_EQ(c->count(kClose), 1u) << c->got;
  EXPECT_GT(c->got.find(kClose), c->got.rfind("HTTP/1.1 200"));  // in the last head
  EXPECT_EQ(w.engines.count(Phase::decode), requests);
  EXPECT_TRUE(w.clean());
}

TEST_P(DrainCrossing, WhatTheClientWritesBehindTheEndStaysUnread) {
  Options options;
  options.lingerTimeout = 200'000;
  FrontendWorld w(options);
  auto c = w.acceptedClient(rested());
  rested() ? w.front->drain() : w.front->close();
  const std::string first = clientRequest("a");
  const std::size_t cut = written() == Written::inHalves ? first.size() / 2 : first.size();
  c->send(first.substr(0, cut));
  if (written() == Written::inHalves) w.turn();
  c->send(first.substr(cut) + (written() == Written::pipelined ? clientRequest("b") : ""));
  ASSERT_TRUE(w.ended(*c));
  EXPECT_EQ(c->got, "");
  // The router's close over unread bytes is a reset: nothing of them was read.
  EXPECT_TRUE(w.until([&] { return c->resetSeen(); }, 1'000'000));
  EXPECT_TRUE(w.engines.begun.empty());
  EXPECT_EQ(w.router->counters().accepted, 0u);
  EXPECT_TRUE(w.until([&] { return w.front->connections() == 0; }, 1'000'000));
}

TEST(Crossing, AConnectionInTheSystemsQueueIsAnsweredWhenTheListenerCloses) {
  FrontendWorld w;
  auto c = w.client();
  c->send(clientRequest("queued"));
  w.front->drain();
  w.front->close();  // it was never accepted
  ASSERT_TRUE(w.ended(*c));
  EXPECT_FALSE(c->wasReset);
  EXPECT_TRUE(c->has("HTTP/1.1 503")) << c->got;
  EXPECT_TRUE(c->has("Retry-After: 0.250"));
  EXPECT_TRUE(w.engines.begun.empty());
}

// The process may be killed before an answer to it; a refusal at once lets its client go elsewhere in time.
TEST(Crossing, ARequestThatComesWholeAfterTheLastAcceptIsRefusedAtOnce) {
  for (const bool rested : {true, false}) {
    FrontendWorld w;
    auto c = w.acceptedClient(rested);
    const std::string text = clientRequest("late");
    c->send(text.substr(0, 50));
    w.turn();
    w.front->drain();
    w.front->close();
    c->send(text.substr(50));
    ASSERT_TRUE(w.ended(*c));
    EXPECT_TRUE(c->has("HTTP/1.1 503")) << c->got;
    EXPECT_TRUE(c->has(kClose));
    EXPECT_TRUE(w.engines.begun.empty());
    EXPECT_TRUE(w.clean());
  }
}

TEST(Crossing, RequestsReadBehindARunningStreamAreAnsweredThoughTheRouterDrains) {
  for (const bool closed : {false, true}) {
    FrontendWorld w;
    w.engines.holdFirstDecode(true);
    auto c = w.acceptedClient(false);
    c->send(clientRequest("first") + clientRequest("second") + clientRequest("third"));
    ASSERT_TRUE(w.until([&] { return w.engines.held.has_value(); }));
    w.front->drain();
    if (closed) w.front->close();
    w.engines.end(*w.engines.held, Outcome::completed);
    ASSERT_TRUE(w.ended(*c)) << c->got;
    EXPECT_FALSE(c->wasReset);
    EXPECT_EQ(c->streams(), closed ? 1u : 3u) << c->got;
    EXPECT_EQ(c->count("HTTP/1.1 503"), closed ? 2u : 0u) << c->got;
    EXPECT_EQ(c->count(kClose), 1u);
    EXPECT_TRUE(w.clean());
  }
}

TEST(Crossing, ManyConnectionsThatEndTogetherAreAllWaitedFor) {
  constexpr std::size_t kMany = 100;
  FrontendWorld w;
  std::vector<std::unique_ptr<BlockingClient>> clients;
  for (std::size_t i = 0; i < kMany; ++i) clients.push_back(w.acceptedClient(true));
  w.front->drain();
  EXPECT_EQ(w.front->connections(), kMany);  // a close at once would reset those that send now
  for (auto& c : clients) c->send(clientRequest("late"));
  for (auto& c : clients) {
    ASSERT_TRUE(w.ended(*c));
    EXPECT_FALSE(c->wasReset);
    c->close();
  }
  EXPECT_TRUE(w.until([&] { return w.front->connections() == 0; }, 1'000'000));
  EXPECT_TRUE(w.engines.begun.empty());
}

Options shortTimes() {
  Options options;
  options.connections.maxIdleTimeout = options.connections.minIdleTimeout = 100'000;
  options.connections.requestTimeout = 100'000;
  options.lingerTimeout = 100'000;
  return options;
}

TEST(Crossing, ARequestThatIsThereWhenTheIdleTimeEndsIsServed) {
  FrontendWorld w(shortTimes());
  auto c = w.acceptedClient(true);
  c->send(clientRequest("a"));
  w.stall(150'000);  // the timer is due and the request unread
  EXPECT_TRUE(w.served(*c, 1)) << c->got;
  EXPECT_EQ(w.front->counters().idled, 0u);
}

TEST(Crossing, ARequestBehindTheEndOfTheIdleTimeStaysUnread) {
  FrontendWorld w(shortTimes());
  auto c = w.acceptedClient(true);
  ASSERT_TRUE(w.until([&] { return w.front->counters().idled == 1; }, 1'000'000));
  c->send(clientRequest("a"));
  ASSERT_TRUE(w.ended(*c));
  EXPECT_TRUE(w.until([&] { return c->resetSeen(); }, 1'000'000));
  EXPECT_EQ(c->got, "");
  EXPECT_TRUE(w.engines.begun.empty());
}

TEST(Crossing, ARequestWhoseLastBytesAreThereWhenItsTimeEndsIsServed) {
  FrontendWorld w(shortTimes());
  auto c = w.acceptedClient(false);
  const std::string text = clientRequest("a");
  c->send(text.substr(0, 40));
  w.turn();
  c->send(text.substr(40));
  w.stall(150'000);
  EXPECT_TRUE(w.served(*c, 1)) << c->got;
  EXPECT_EQ(w.front->counters().timedOut, 0u);
}

TEST(Crossing, ARequestWhoseLastBytesComeBehindItsTimeIsAnsweredOnceAndNotSentOn) {
  FrontendWorld w(shortTimes());
  auto c = w.acceptedClient(false);
  const std::string text = clientRequest("a");
  c->send(text.substr(0, 40));
  ASSERT_TRUE(w.until([&] { return w.front->counters().timedOut == 1; }, 1'000'000));
  c->send(text.substr(40));
  ASSERT_TRUE(w.ended(*c));
  EXPECT_FALSE(c->wasReset);
  EXPECT_TRUE(c->has("HTTP/1.1 408")) << c->got;
  EXPECT_EQ(c->count("HTTP/1.1"), 1u);
  EXPECT_TRUE(w.engines.begun.empty());
}

TEST(Crossing, AConnectionWithAnUnreadRequestIsNotClosedForANewOne) {
  Options options;
  options.connections.maxConnections = 4;
  FrontendWorld w(options);
  std::vector<std::unique_ptr<BlockingClient>> clients;
  for (int i = 0; i < 3; ++i) clients.push_back(w.acceptedClient(true));
  w.stall(2 * options.connections.minIdleBeforeEviction);
  for (std::size_t i = 0; i < clients.size(); ++i) clients[i]->send(clientRequest("r" + std::to_string(i)));
  clients.push_back(w.client());  // the fourth and the fifth make it full
  clients.push_back(w.client());
  for (std::size_t i = 0; i < 3; ++i) EXPECT_TRUE(w.served(*clients[i], 1)) << i << clients[i]->got;
  EXPECT_EQ(w.engines.count(Phase::decode), 3u);
}

// ---- a client leaves ----

enum class Leaving { close, halfClose, reset };
void leave(BlockingClient& c, Leaving how) {
  if (how == Leaving::close) return c.close();
  if (how == Leaving::halfClose) return c.halfClose();
  c.reset();
}

// Whether requests wait behind the one that is open, unread or read.
struct LeavingCrossing : testing::TestWithParam<std::tuple<Leaving, bool>> {
  Leaving how() const { return std::get<0>(GetParam()); }
  std::string behind() const { return std::get<1>(GetParam()) ? clientRequest("behind") : std::string(); }
};
INSTANTIATE_TEST_SUITE_P(All, LeavingCrossing,
                         testing::Combine(testing::Values(Leaving::close, Leaving::halfClose, Leaving::reset),
                                          testing::Bool()));

TEST_P(LeavingCrossing, NoFurtherAttemptBeginsWhereTheFailureIsSeenBeforeTheClose) {
  FrontendWorld w;
  auto c = w.acceptedClient(false);
  w.engines.script = [&](const StubEngines::Attempt& a) {
    if (!behind().empty()) c->send(behind());
    leave(*c, how());
    w.engines.end(a, Outcome::error);
  };
  c->send(clientRequest("a"));
  ASSERT_TRUE(w.until([&] { return w.front->connections() == 0; }, 1'000'000));
  w.pass(50'000);
  EXPECT_EQ(w.engines.begun.size(), 1u);
  EXPECT_TRUE(w.clean());
}

TEST_P(LeavingCrossing, NoFurtherAttemptBeginsWhereTheCloseIsSeenBeforeTheFailure) {
  FrontendWorld w;
  auto c = w.acceptedClient(false);
  std::optional<StubEngines::Attempt> out;
  w.engines.script = [&](const StubEngines::Attempt& a) { out = a; };
  c->send(clientRequest("a") + behind());
  ASSERT_TRUE(w.until([&] { return out.has_value(); }, 1'000'000));
  leave(*c, how());
  ASSERT_TRUE(w.until([&] { return w.front->connections() == 0; }, 1'000'000));
  EXPECT_EQ(w.engines.cancelled, 1u);
  w.engines.end(*out, Outcome::error);
  w.pass(50'000);
  EXPECT_EQ(w.engines.begun.size(), 1u);
  EXPECT_TRUE(w.clean());
}

TEST_P(LeavingCrossing, NothingBeginsWhereTheTimeToTryAgainComesWithTheClose) {
  FrontendWorld w;
  auto c = w.acceptedClient(false);
  w.engines.script = [&](const StubEngines::Attempt& a) { w.engines.end(a, Outcome::rejected); };
  c->send(clientRequest("a") + behind());
  ASSERT_TRUE(w.until([&] { return !w.engines.begun.empty(); }, 1'000'000));
  const std::size_t begun = w.engines.begun.size();
  leave(*c, how());
  w.stall(100'000);  // any pause before another try is over, and the close unread
  ASSERT_TRUE(w.until([&] { return w.front->connections() == 0; }, 1'000'000));
  w.pass(50'000);
  EXPECT_EQ(w.engines.begun.size(), begun);
  EXPECT_TRUE(w.clean());
}

TEST_P(LeavingCrossing, ARequestThatComesWithItsClientsCloseBeginsNothing) {
  FrontendWorld w;
  auto c = w.client();  // not accepted yet
  c->send(clientRequest("a") + behind());
  leave(*c, how());
  ASSERT_TRUE(w.until([&] { return w.front->counters().accepted == 1; }, 1'000'000));
  EXPECT_TRUE(w.until([&] { return w.front->connections() == 0; }, 1'000'000));
  EXPECT_TRUE(w.engines.begun.empty());
  EXPECT_TRUE(w.clean());
}

// ---- time that passes here ----

TEST(Crossing, TheTimeThatARequestWaitsBehindAnotherIsTakenOffItsDeadline) {
  constexpr Micros kWait = 300'000;
  FrontendWorld w;
  w.engines.holdFirstDecode(true);
  auto c = w.acceptedClient(false);
  c->send(clientRequest("first") + clientRequest("second", "chat", "", 1000) +
          clientRequest("third", "chat", "", 200));
  ASSERT_TRUE(w.until([&] { return w.engines.held.has_value(); }));
  const std::size_t before = w.engines.begun.size();
  w.pass(kWait);
  w.engines.end(*w.engines.held, Outcome::completed);
  ASSERT_TRUE(w.until([&] { return (c->receive(), c->has("HTTP/1.1 429")); }, 2'000'000)) << c->got;
  EXPECT_EQ(c->streams(), 2u);  // the third one's time was over
  ASSERT_EQ(w.engines.begun.size(), before + 2);
  for (std::size_t i = before; i < w.engines.begun.size(); ++i) {
    EXPECT_EQ(w.engines.begun[i].traceId, "second");
    EXPECT_LE(w.engines.begun[i].timeout, 1'000'000 - kWait + 50'000);
  }
  EXPECT_TRUE(w.clean());
}

// The one connection that the front may have is taken, by a request that the first write holds.
void fill(FrontendWorld& w, std::unique_ptr<BlockingClient>& by) {
  w.engines.holdFirstDecode(true);
  by = w.acceptedClient(false);
  by->send(clientRequest("first"));
  ASSERT_TRUE(w.until([&] { return w.engines.held.has_value(); }));
}

// A full router leaves new connections in the system's queue: their clients' time runs there too.
TEST(Crossing, TheTimeThatARequestWaitsToBeAcceptedIsTakenOffItsDeadline) {
  constexpr Micros kWait = 300'000;
  Options options;
  options.connections.maxConnections = 1;
  FrontendWorld w(options);
  std::unique_ptr<BlockingClient> first;
  ASSERT_NO_FATAL_FAILURE(fill(w, first));
  auto second = w.client();
  second->send(clientRequest("second", "chat", "", 1000));
  w.pass(kWait);
  ASSERT_EQ(w.front->counters().accepted, 1u);
  const std::size_t before = w.engines.begun.size();
  w.engines.end(*w.engines.held, Outcome::completed);
  first->close();
  ASSERT_TRUE(w.served(*second, 1)) << second->got;
  ASSERT_EQ(w.engines.begun.size(), before + 2);
  for (std::size_t i = before; i < w.engines.begun.size(); ++i) {
    EXPECT_EQ(w.engines.begun[i].traceId, "second");
    EXPECT_LE(w.engines.begun[i].timeout, 1'000'000 - kWait + 50'000);
  }
  EXPECT_TRUE(w.clean());
}

// A full router looks for room again and again: none of these looks may take a connection beyond its bound.
TEST(Crossing, AFullRouterTakesNobodyHoweverOftenItLooksForRoom) {
  Options options;
  options.connections.maxConnections = 1;
  options.connections.capacityRetryInterval = 1'000;
  FrontendWorld w(options);
  std::unique_ptr<BlockingClient> first;
  ASSERT_NO_FATAL_FAILURE(fill(w, first));
  auto second = w.client();
  second->send(clientRequest("second"));
  w.pass(1'000'000);
  EXPECT_EQ(w.front->counters().accepted, 1u);
  EXPECT_GT(w.front->counters().overfull, 100u);  // it did look
  w.engines.end(*w.engines.held, Outcome::completed);
  first->close();
  EXPECT_TRUE(w.served(*second, 1)) << second->got;
  EXPECT_TRUE(w.clean());
}

// ---- floods ----

TEST(Crossing, WhatWasKeptOfAFloodIsAnsweredBeforeTheConnectionEnds) {
  Options options;
  options.maxPipelinedBytes = 16 * 1024;
  FrontendWorld w(options);
  w.engines.holdFirstDecode(false);
  auto c = w.acceptedClient(false);
  c->send(clientRequest("first"));
  ASSERT_TRUE(w.until([&] { return w.engines.held.has_value(); }));
  for (int i = 0; i < 200; ++i) {
    c->send(clientRequest("more" + std::to_string(i)));
    if (i % 10 == 0) w.turn();
  }
  w.turn();
  EXPECT_LE(w.front->bufferedBytes(), options.maxPipelinedBytes + clientRequest("first").size());
  w.engines.succeed(*w.engines.held);
  ASSERT_TRUE(w.ended(*c, 10'000'000));
  EXPECT_FALSE(c->wasReset);
  EXPECT_EQ(c->streams(), w.engines.count(Phase::decode));
  EXPECT_GT(c->streams(), 50u);
  EXPECT_LT(c->streams(), 201u);
  EXPECT_TRUE(w.clean());
}

// Answers to what a peer sends without reading would pile up here without a bound.
TEST(Crossing, AClientThatAsksWithoutReadingItsAnswersIsCutOff) {
  constexpr int kRequests = 200;
  constexpr std::size_t kAnswerBytes = 60'000;  // more in all than the system takes for a client
  Options options;
  options.maxUnreadResponseBytes = 64u << 20;
  options.connections.requestTimeout = 300'000;
  FrontendWorld w(options);
  const std::string event = "data: " + std::string(kAnswerBytes, 'x') + "\n\n";
  w.engines.script = [&](const StubEngines::Attempt& a) {
    if (a.phase == Phase::prefill) return w.engines.succeed(a);
    w.engines.events->onTokens(a.id, event, 1, {});
    w.engines.end(a, Outcome::completed);
  };
  auto flooding = w.acceptedClient(false);
  for (int i = 0; i < kRequests; ++i) flooding->send(clientRequest("f" + std::to_string(i)));
  EXPECT_TRUE(w.until([&] { return w.front->connections() == 0; }, 10'000'000));
  EXPECT_LT(w.engines.count(Phase::decode), static_cast<std::size_t>(kRequests));
  EXPECT_GT(w.engines.count(Phase::decode), 10u);
  auto other = w.acceptedClient(false);
  other->send(clientRequest("other"));
  EXPECT_TRUE(w.served(*other, 1));
}

// A head that tells a body of `length` bytes, and as many of them as `sent` tells.
std::string unfinishedRequest(const std::string& id, std::size_t length, std::size_t sent) {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Trace-Id: " + id +
         "\r\nX-Qos: chat\r\nX-Expires-In-Ms: 3000\r\nContent-Length: " + std::to_string(length) +
         "\r\n\r\n" + std::string(sent, ' ');
}

// Many clients that each send most of a large body and wait would fill the process's memory.
TEST(Crossing, BodiesThatAreStillComingCountAsThoseOfOpenRequestsDo) {
  constexpr std::size_t kBody = 20'000;
  Options options;
  options.maxBufferedBytes = 2 * kBody + 10'000;
  FrontendWorld w(options);
  auto first = w.acceptedClient(false);
  auto second = w.acceptedClient(false);
  auto third = w.acceptedClient(false);
  first->send(unfinishedRequest("a", kBody, kBody - 1));
  second->send(unfinishedRequest("b", kBody, kBody - 1));
  ASSERT_TRUE(w.until([&] { return w.front->bufferedBytes() == 2 * (kBody - 1); }, 1'000'000));
  third->send(unfinishedRequest("c", kBody, kBody - 1));
  ASSERT_TRUE(w.ended(*third));
  EXPECT_TRUE(third->has("HTTP/1.1 503")) << third->got;
  EXPECT_TRUE(third->has("Retry-After: "));
  EXPECT_LE(w.front->bufferedBytes(), options.maxBufferedBytes);
  first->close();
  second->close();
  EXPECT_TRUE(w.clean());  // and all of it is given back
}

}  // namespace
}  // namespace garnethook::test
