// The platform's packages without sockets: what is read from peers, and what small modules decide.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <set>

#include "engine/reuse_policy.h"
#include "platform/engine/protocol.h"
#include "platform/engine/relay_exchange.h"
#include "platform/engine/release_route.h"

namespace garnethook::platform {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kSec = 1'000'000;

// ---- engines ----

http1::Head head(int status, http1::Fields fields = {}) {
  http1::Head h;
  h.status = status;
  h.fields = std::move(fields);
  return h;
}

TEST(Protocol, StatusAndFieldDecideWhatAnAnswerMeans) {
  using routing::Phase;
  EXPECT_EQ(judge(head(202), Phase::prefill), Verdict::readDone);
  EXPECT_EQ(judge(head(200), Phase::decode), Verdict::stream);
  EXPECT_EQ(judge(head(200), Phase::prefill), Verdict::failed);
  EXPECT_EQ(judge(head(202), Phase::decode), Verdict::failed);
  EXPECT_EQ(judge(head(503, {{"x-never-ran", "1"}}), Phase::decode), Verdict::rejected);
  EXPECT_EQ(judge(head(504, {{"x-never-ran", " 1 "}}), Phase::prefill), Verdict::rejected);
  EXPECT_EQ(judge(head(410, {{"x-never-ran", "1"}}), Phase::decode), Verdict::noState);
  EXPECT_EQ(judge(head(503), Phase::decode), Verdict::failed);  // no proof
  EXPECT_EQ(judge(head(410), Phase::decode), Verdict::failed);
  EXPECT_EQ(judge(head(500), Phase::prefill), Verdict::failed);
}

TEST(Protocol, ReportsAreTakenWholeOrNotAtAll) {
  const deployment_config::ReportMeanings meanings{"share_of_memory_that_is_held",
                                                   "thousands_of_prompt_tokens_waiting"};
  const auto report = parseReport(" TEXT latency_ms=41.378, x0=0.25, x1=3\r\n", meanings);
  ASSERT_TRUE(report);
  EXPECT_DOUBLE_EQ(*report->memoryShare, 0.25);
  EXPECT_DOUBLE_EQ(*report->queuedKiloTokens, 3);
  for (const char* bad : {"", "TEXT ", "TEXT x0", "TEXT x0=", "TEXT x0=0.2, x1=zz", "JSON {}", "TEXT x0=-1",
                          "TEXT x0=nan", "TEXT x0=1e999", "TEXT other=1", "\x01\xff"})
    EXPECT_FALSE(parseReport(bad, meanings)) << bad;
}

TEST(Protocol, TheClientsRequestIsPassedOnAsItCame) {
  routing::Request request;
  request.target = "/v1/chat/completions?a=b";
  request.body = std::make_shared<const std::string>(R"({"stream":true})");
  request.fields = "idempotency-key: f1b8\r\n";
  membership::EndpointSpec engine;
  engine.host = "127.0.0.9";
  engine.port = 90;
  routing::AttemptSpec order{.request = &request, .traceId = "9b1f", .timeout = 1'234'567};
  const EngineRequest sent = engineRequest(engine, order, 5'000'000);
  EXPECT_EQ(requestText(sent, 5'000'000),
            "POST /v1/chat/completions?a=b HTTP/1.1\r\nHost: 127.0.0.9:90\r\nX-Trace-Id: 9b1f\r\n"
            "X-Expires-In-Ms: 1234\r\nidempotency-key: f1b8\r\nContent-Length: "
            "15\r\n\r\n{\"stream\":true}");
  // What is told is what is left when the request is written, however late its connection came up.
  EXPECT_NE(requestText(sent, 5'900'000).find("X-Expires-In-Ms: 334\r\n"), std::string::npos);
  EXPECT_NE(requestText(sent, 9'000'000).find("X-Expires-In-Ms: 1\r\n"), std::string::npos);
  EXPECT_EQ(callText(engine, "DELETE", releaseTarget("9b1f")),
            "DELETE /v1/holds/9b1f HTTP/1.1\r\nHost: 127.0.0.9:90\r\nContent-Length: 0\r\n\r\n");
}

struct Heard final : routing::EngineClientEvents {
  void onTokens(routing::AttemptId, std::string_view text, std::uint32_t count,
                std::span<const std::uint32_t>) override {
    events += text;
    pieces += count;
    ++calls;
  }
  void onAttemptEnded(routing::AttemptId, const routing::AttemptResult& r) override {
    ++ends;
    result = r;
  }
  void onProbeEnded(EndpointId, bool, const std::optional<LoadReport>&) override {}
  void onReleaseEnded(EndpointId, RequestId, bool) override {}
  std::string events;
  std::uint32_t pieces = 0;
  int calls = 0;
  int ends = 0;
  routing::AttemptResult result;
};
const deployment_config::ReportMeanings kMeanings{"share_of_memory", "thousands_of_prompt_tokens"};
constexpr std::string_view kEvents =
    "data: {\"a\":1}\n\ndata: {\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\": 4096}}}\n\ndata: "
    "[DONE]\n\n";

// The head of a stream, as engines send it.
http1::Head streamHead() { return head(200, {{"transfer-encoding", "chunked"}}); }

TEST(Relay, EventsGoOnWholeAndUnchangedWhateverThePieces) {
  const std::string text = std::string(kEvents) + ": Endpoint-Load-Metrics: TEXT x0=0.5\n\n";
  for (std::size_t piece = 1; piece <= text.size(); ++piece) {
    Heard heard;
    RelayExchange relay(heard, {}, routing::Phase::decode, kMeanings);
    EXPECT_TRUE(relay.onHead(streamHead()));
    for (std::size_t at = 0; at < text.size(); at += piece)
      relay.onBody(std::string_view(text).substr(at, piece));
    relay.onEnd();
    EXPECT_EQ(heard.events, kEvents);
    EXPECT_EQ(heard.pieces, 3u);
    EXPECT_EQ(heard.result.outcome, Outcome::completed);
    EXPECT_DOUBLE_EQ(heard.result.cachedTokens, 4096);
    ASSERT_TRUE(heard.result.report);
    EXPECT_DOUBLE_EQ(*heard.result.report->memoryShare, 0.5);
    EXPECT_EQ(heard.ends, 1);
  }
}

TEST(Relay, AnUnfinishedEventIsNotPassedOn) {
  Heard heard;
  RelayExchange relay(heard, {}, routing::Phase::decode, kMeanings);
  relay.onHead(head(200));
  relay.onBody("data: {\"a\":1}\n\ndata: {\"b\"");
  EXPECT_EQ(heard.events, "data: {\"a\":1}\n\n");
  relay.onFailed(Outcome::connectionReset, "gone", false);
  EXPECT_EQ(heard.ends, 1);
  EXPECT_EQ(heard.result.outcome, Outcome::connectionReset);
}

// The last chunk would tell the client that a stream is whole which is not.
TEST(Relay, AStreamThatEndsWithinAnEventOrWithItsConnectionIsNotWhole) {
  struct Case {
    http1::Head head;
    std::string_view text;
    Outcome outcome;
  };
  const std::vector<Case> cases{{streamHead(), "data: {}\n\n", Outcome::completed},
                                {streamHead(), "data: {}\n\n: a comment", Outcome::completed},
                                {head(200, {{"content-length", "10"}}), "data: {}\n\n", Outcome::completed},
                                {streamHead(), "data: {}\n\ndat", Outcome::connectionReset},
                                {streamHead(), "data: {}\n\ndata: {}", Outcome::connectionReset},
                                {streamHead(), "data: {}\n\ndata: {}\n", Outcome::connectionReset},
                                {head(200), "data: {}\n\n", Outcome::connectionReset}};
  for (const Case& c : cases) {
    Heard heard;
    RelayExchange relay(heard, {}, routing::Phase::decode, kMeanings);
    relay.onHead(c.head);
    relay.onBody(c.text);
    relay.onEnd();
    EXPECT_EQ(heard.result.outcome, c.outcome) << c.text;
    EXPECT_EQ(heard.pieces, 1u);
  }
}

TEST(Relay, EndingsOfReadsAndErrors) {
  const auto end = [](int status, http1::Fields fields, routing::Phase phase, std::string_view body) {
    Heard heard;
    RelayExchange relay(heard, {}, phase, kMeanings);
    relay.onHead(head(status, std::move(fields)));
    if (!body.empty()) relay.onBody(body);
    relay.onEnd();
    EXPECT_EQ(heard.ends, 1);
    EXPECT_EQ(heard.calls, 0);
    return heard.result;
  };
  const auto read = end(202, {{"endpoint-load-metrics", "TEXT x1=2"}}, routing::Phase::prefill,
                        R"({"cached_tokens":4096})");
  EXPECT_EQ(read.outcome, Outcome::prefillDone);
  EXPECT_DOUBLE_EQ(read.cachedTokens, 4096);
  EXPECT_DOUBLE_EQ(*read.report->queuedKiloTokens, 2);
  EXPECT_EQ(end(202, {}, routing::Phase::prefill, "noise").outcome, Outcome::prefillDone);
  const auto missing = end(410, {{"x-never-ran", "1"}}, routing::Phase::decode, "");
  EXPECT_EQ(missing.outcome, Outcome::rejected);
  EXPECT_TRUE(missing.kvStateMissing);
  EXPECT_EQ(end(503, {{"x-never-ran", "1"}}, routing::Phase::prefill, "").outcome, Outcome::rejected);
  EXPECT_EQ(end(500, {}, routing::Phase::decode, "oh").outcome, Outcome::error);
  EXPECT_EQ(end(200, {}, routing::Phase::decode, ": nothing but a comment\n\n").outcome, Outcome::error);
}

TEST(Relay, WhatGrowsWithoutEndIsGivenUp) {
  Heard heard;
  RelayExchange relay(heard, {}, routing::Phase::decode, kMeanings);
  relay.onHead(head(200));
  bool going = true;
  for (int i = 0; i < 100 && going; ++i) going = relay.onBody(std::string(1024, 'x'));
  EXPECT_FALSE(going);
  EXPECT_EQ(heard.result.outcome, Outcome::error);
  Heard heard2;
  RelayExchange read(heard2, {}, routing::Phase::prefill, kMeanings);
  read.onHead(head(202));
  going = true;
  for (int i = 0; i < 100 && going; ++i) going = read.onBody(std::string(1024, 'x'));
  EXPECT_FALSE(going);
  EXPECT_EQ(heard2.ends, 1);
}

std::vector<std::uint64_t> numbers(const std::vector<EndpointId>& route) {
  std::vector<std::uint64_t> out;
  for (const EndpointId id : route) out.push_back(id.value);
  return out;
}

TEST(ReleaseRoute, TheHolderThenItsCellThenOthersThatRun) {
  using engine::Word;
  const std::vector<ReleaseCandidate> all{
      {{1}, "a", "z"}, {{2}, "a", "z"}, {{3}, "b", "z"}, {{4}, "b", "z", false}};
  for (std::uint64_t request = 0; request < 9; ++request) {
    EXPECT_EQ(numbers(releaseRoute({2}, "z", all, request)), (std::vector<std::uint64_t>{2, 1, 3, 4}));
    auto silent = all;  // the holder and its cell are not heard of any more
    for (auto& c : silent) c.word = c.cell == "a" ? Word::lost : Word::heard;
    EXPECT_EQ(numbers(releaseRoute({1}, "z", silent, request)), (std::vector<std::uint64_t>{3, 4, 1, 2}));
    silent[2].word = Word::none;  // never met: before those that were given up on
    EXPECT_EQ(numbers(releaseRoute({1}, "z", silent, request)), (std::vector<std::uint64_t>{4, 3, 1, 2}));
    const auto gone = numbers(releaseRoute({9}, "z", all, request));  // the holder is no longer listed
    ASSERT_EQ(gone.size(), 4u);
    EXPECT_EQ(gone.back(), 4u);
  }
  EXPECT_NE(releaseRoute({9}, "z", all, 0)[0], releaseRoute({9}, "z", all, 1)[0]);
  EXPECT_TRUE(releaseRoute({1}, "z", {}, 0).empty());
}

// Seen in a cut between zones: a router asked the holder's cell in the other zone in each round, for three
// seconds, while engines of its own zone would have answered.
TEST(ReleaseWindow, OfALargeFleetABoundedPartAndTheHolderAreLookedAt) {
  std::vector<EndpointId> all;
  for (std::uint64_t id = 1; id <= 3200; ++id) all.push_back({id});
  EXPECT_EQ(releaseWindow({all.begin(), all.begin() + 100}, {7}, 5).size(), 100u);
  std::set<std::uint64_t> seen;
  for (std::uint64_t request = 0; request < 60; ++request) {
    const auto window = releaseWindow(all, {7}, request);
    EXPECT_LE(window.size(), kReleaseWindow + 1);
    EXPECT_EQ(std::count(window.begin(), window.end(), EndpointId{7}), 1);
    for (const EndpointId id : window) seen.insert(id.value);
  }
  EXPECT_EQ(seen.size(), all.size());
  EXPECT_EQ(releaseWindow(all, {9999}, 3).size(), kReleaseWindow);  // a holder that is not listed
}

TEST(ReleaseRoute, EachZoneHasItsTurnTheOwnOneFirst) {
  std::vector<ReleaseCandidate> all;
  for (std::uint64_t i = 1; i <= 30; ++i)
    all.push_back({{i}, i <= 10 ? "far" : "near", i <= 20 ? "other" : "own", true, engine::Word::heard});
  for (std::uint64_t request = 0; request < 30; ++request) {
    const auto route = numbers(releaseRoute({5}, "own", all, request));
    ASSERT_EQ(route.size(), kReleaseTargets);
    EXPECT_EQ(route[0], 5u);
    EXPECT_GT(route[1], 20u);
    EXPECT_LE(route[2], 20u);
    EXPECT_EQ(std::count_if(route.begin(), route.end(), [](auto id) { return id > 20; }), 4);
    EXPECT_EQ(std::set(route.begin(), route.end()).size(), route.size());
    // What was given up on is met again only after all others of its zone.
    auto later = all;
    for (auto& c : later)
      if (std::find(route.begin(), route.end(), c.endpoint.value) != route.end()) c.word = engine::Word::lost;
    for (const auto id : numbers(releaseRoute({5}, "own", later, request)))
      EXPECT_EQ(std::find(route.begin(), route.end(), id), route.end());
  }
  // All are asked while the time for a release runs.
  EXPECT_LE(static_cast<Micros>(kReleaseTargets - 1) * releaseHedge(500'000), 500'000);
}

TEST(Reuse, IsFreeUntilAKeptConnectionDies) {
  engine::ReusePolicy policy;
  EXPECT_TRUE(policy.mayReuse(10 * kSec, true, kSec));
  for (int i = 0; i < 20; ++i) policy.note(3 * kMs, false, kSec);
  for (int i = 0; i < 5; ++i) policy.note(600 * kMs, true, kSec);
  EXPECT_TRUE(policy.mayReuse(3 * kMs, false, kSec));
  EXPECT_FALSE(policy.mayReuse(3 * kMs, true, kSec));  // one in fifty would be too many
  EXPECT_FALSE(policy.mayReuse(600 * kMs, false, kSec));
  for (int i = 0; i < 200; ++i) policy.note(3 * kMs, false, 2 * kSec);
  EXPECT_TRUE(policy.mayReuse(3 * kMs, true, 2 * kSec));
  EXPECT_TRUE(policy.mayReuse(600 * kMs, true, 60 * kSec));  // forgotten
}

}  // namespace
}  // namespace garnethook::platform
