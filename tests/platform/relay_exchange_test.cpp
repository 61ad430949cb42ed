// The exchange of an attempt in the platform's protocol, without a connection.
#include "platform/engine/relay_exchange.h"

#include <gtest/gtest.h>

namespace garnethook::platform {
namespace {

http1::Head responseHead(int status, http1::Fields fields = {}) {
  http1::Head head;
  head.status = status;
  head.fields = std::move(fields);
  return head;
}

// Records what an exchange reports.
struct RecordedEvents final : routing::EngineClientEvents {
  void onTokens(routing::AttemptId, std::string_view text, std::uint32_t count,
                std::span<const std::uint32_t>) override {
    events += text;
    eventCount += count;
    ++calls;
  }
  void onAttemptEnded(routing::AttemptId, const routing::AttemptResult& attemptResult) override {
    ++ends;
    result = attemptResult;
  }
  void onProbeEnded(EndpointId, bool, const std::optional<LoadReport>&) override {}
  void onReleaseEnded(const routing::ReleaseCall&, bool) override {}
  std::string events;
  std::uint32_t eventCount = 0;
  int calls = 0;
  int ends = 0;
  routing::AttemptResult result;
};
const deployment_config::ReportMeanings kMeanings{"share_of_memory", "thousands_of_prompt_tokens"};
constexpr std::string_view kEvents =
    "data: {\"a\":1}\n\ndata: {\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\": 4096}}}\n\ndata: "
    "[DONE]\n\n";

// The head of a stream, as engines send it.
http1::Head streamHead() { return responseHead(200, {{"transfer-encoding", "chunked"}}); }

TEST(RelayExchange, ForwardsCompleteEventsUnchangedHoweverTheyAreSplit) {
  const std::string text = std::string(kEvents) + ": Endpoint-Load-Metrics: TEXT x0=0.5\n\n";
  for (std::size_t piece = 1; piece <= text.size(); ++piece) {
    RecordedEvents recorded;
    RelayExchange relay(recorded, {}, routing::Phase::decode, kMeanings);
    EXPECT_TRUE(relay.onHead(streamHead()));
    for (std::size_t at = 0; at < text.size(); at += piece)
      relay.onBody(std::string_view(text).substr(at, piece));
    relay.onEnd();
    EXPECT_EQ(recorded.events, kEvents);
    EXPECT_EQ(recorded.eventCount, 3u);
    EXPECT_EQ(recorded.result.outcome, Outcome::completed);
    EXPECT_DOUBLE_EQ(recorded.result.cachedTokens, 4096);
    ASSERT_TRUE(recorded.result.report);
    EXPECT_DOUBLE_EQ(*recorded.result.report->memoryShare, 0.5);
    EXPECT_EQ(recorded.ends, 1);
  }
}

TEST(RelayExchange, DoesNotForwardAnUnfinishedEvent) {
  RecordedEvents recorded;
  RelayExchange relay(recorded, {}, routing::Phase::decode, kMeanings);
  relay.onHead(responseHead(200));
  relay.onBody("data: {\"a\":1}\n\ndata: {\"b\"");
  EXPECT_EQ(recorded.events, "data: {\"a\":1}\n\n");
  relay.onFailed(Outcome::connectionReset, "gone", false);
  EXPECT_EQ(recorded.ends, 1);
  EXPECT_EQ(recorded.result.outcome, Outcome::connectionReset);
}

// The last chunk would make the client believe that an incomplete stream is complete.
TEST(RelayExchange, TreatsAStreamThatEndsWithinAnEventOrWithItsConnectionAsIncomplete) {
  struct Case {
    http1::Head head;
    std::string_view text;
    Outcome outcome;
  };
  const std::vector<Case> cases{
      {streamHead(), "data: {}\n\n", Outcome::completed},
      {streamHead(), "data: {}\n\n: a comment", Outcome::completed},
      {responseHead(200, {{"content-length", "10"}}), "data: {}\n\n", Outcome::completed},
      {streamHead(), "data: {}\n\ndat", Outcome::connectionReset},
      {streamHead(), "data: {}\n\ndata: {}", Outcome::connectionReset},
      {streamHead(), "data: {}\n\ndata: {}\n", Outcome::connectionReset},
      {responseHead(200), "data: {}\n\n", Outcome::connectionReset}};
  for (const Case& testCase : cases) {
    RecordedEvents recorded;
    RelayExchange relay(recorded, {}, routing::Phase::decode, kMeanings);
    relay.onHead(testCase.head);
    relay.onBody(testCase.text);
    relay.onEnd();
    EXPECT_EQ(recorded.result.outcome, testCase.outcome) << testCase.text;
    EXPECT_EQ(recorded.eventCount, 1u);
  }
}

TEST(RelayExchange, MapsPrefillResponsesAndErrorsToOutcomes) {
  const auto end = [](int status, http1::Fields fields, routing::Phase phase, std::string_view body) {
    RecordedEvents recorded;
    RelayExchange relay(recorded, {}, phase, kMeanings);
    relay.onHead(responseHead(status, std::move(fields)));
    if (!body.empty()) relay.onBody(body);
    relay.onEnd();
    EXPECT_EQ(recorded.ends, 1);
    EXPECT_EQ(recorded.calls, 0);
    return recorded.result;
  };
  const auto prefill = end(202, {{"endpoint-load-metrics", "TEXT x1=2"}}, routing::Phase::prefill,
                           R"({"cached_tokens":4096})");
  EXPECT_EQ(prefill.outcome, Outcome::prefillDone);
  EXPECT_DOUBLE_EQ(prefill.cachedTokens, 4096);
  EXPECT_DOUBLE_EQ(*prefill.report->queuedKiloTokens, 2);
  EXPECT_EQ(end(202, {}, routing::Phase::prefill, "noise").outcome, Outcome::prefillDone);
  const auto missing = end(410, {{"x-never-ran", "1"}}, routing::Phase::decode, "");
  EXPECT_EQ(missing.outcome, Outcome::rejected);
  EXPECT_TRUE(missing.kvStateMissing);
  EXPECT_EQ(end(503, {{"x-never-ran", "1"}}, routing::Phase::prefill, "").outcome, Outcome::rejected);
  EXPECT_EQ(end(500, {}, routing::Phase::decode, "oh").outcome, Outcome::error);
  EXPECT_EQ(end(200, {}, routing::Phase::decode, ": nothing but a comment\n\n").outcome, Outcome::error);
}

TEST(RelayExchange, GivesUpOnAResponseThatGrowsWithoutEnd) {
  RecordedEvents recorded;
  RelayExchange relay(recorded, {}, routing::Phase::decode, kMeanings);
  relay.onHead(responseHead(200));
  bool going = true;
  for (int i = 0; i < 100 && going; ++i) going = relay.onBody(std::string(1024, 'x'));
  EXPECT_FALSE(going);
  EXPECT_EQ(recorded.result.outcome, Outcome::error);
  RecordedEvents recordedPrefill;
  RelayExchange prefill(recordedPrefill, {}, routing::Phase::prefill, kMeanings);
  prefill.onHead(responseHead(202));
  going = true;
  for (int i = 0; i < 100 && going; ++i) going = prefill.onBody(std::string(1024, 'x'));
  EXPECT_FALSE(going);
  EXPECT_EQ(recordedPrefill.ends, 1);
}

}  // namespace
}  // namespace garnethook::platform
