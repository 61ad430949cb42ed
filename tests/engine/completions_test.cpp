// Tests the JSON of completions requests byte for byte, and the parsing of responses.
#include "engine/completions.h"

#include <gtest/gtest.h>

namespace garnethook::engine {
namespace {

routing::Request completionRequest() {
  routing::Request request;
  request.prompt = std::make_shared<const std::string>("Hello \"you\"");
  request.maxOutput = 20;
  return request;
}

// These bytes are what engines receive.
TEST(Completions, WritesTheRequestOfEachPhaseByteForByte) {
  const routing::Request request = completionRequest();
  EXPECT_EQ(
      requestBody({.phase = routing::Phase::prefill, .request = &request}, "m"),
      R"({"kv_transfer_params":{"do_remote_decode":true,"do_remote_prefill":false,"remote_block_ids":null,)"
      R"("remote_engine_id":null,"remote_host":null,"remote_port":null},"max_tokens":1,"model":"m",)"
      R"("prompt":"Hello \"you\"","stream":false})");
  EXPECT_EQ(requestBody({.phase = routing::Phase::decode,
                         .request = &request,
                         .kvTransferParams = R"({"remote_engine_id":"e1","do_remote_decode":true})"},
                        "m"),
            R"({"kv_transfer_params":{"do_remote_decode":false,"do_remote_prefill":true,)"
            R"("remote_engine_id":"e1"},"max_tokens":20,"model":"m","prompt":"Hello \"you\"",)"
            R"("return_token_ids":true,"stream":true,"stream_options":{"include_usage":true}})");
}

TEST(Completions, WritesOptionalFieldsOnlyWhereTheRequestHasThem) {
  routing::Request request = completionRequest();
  request.model = "own";
  request.promptIds = {1, 2};
  request.specialTokens = true;
  request.temperature = 0.5;
  request.seed = 7;
  request.stop = {"x"};
  EXPECT_EQ(requestBody({.phase = routing::Phase::combined, .request = &request}, "m"),
            R"({"max_tokens":20,"model":"own","prompt":[1,2],"return_token_ids":true,"seed":7,)"
            R"("special_tokens":true,"stop":["x"],"stream":true,"stream_options":{"include_usage":true},)"
            R"("temperature":0.5})");
}

TEST(Completions, ReportsWhyAPrefillResponseCannotBeUsed) {
  const auto response = parsePrefillResponse(
      R"({"kv_transfer_params":{"a":1},"usage":{"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":4}}})");
  ASSERT_TRUE(response.hasValue());
  EXPECT_EQ(response->kvTransferParams, R"({"a":1})");
  EXPECT_EQ(response->promptTokens, 9u);
  EXPECT_DOUBLE_EQ(response->cachedTokens, 4);
  const auto notAnObject = parsePrefillResponse("[]");
  ASSERT_FALSE(notAnObject.hasValue());
  EXPECT_EQ(notAnObject.error(), CompletionError::prefillResponseNotObject);
  EXPECT_EQ(message(notAnObject.error()), "the answer to a read is not a JSON object");
  const auto withoutParams = parsePrefillResponse("{}");
  ASSERT_FALSE(withoutParams.hasValue());
  EXPECT_EQ(withoutParams.error(), CompletionError::noKvTransferParams);
  EXPECT_EQ(message(withoutParams.error()), "the answer to a read has no kv_transfer_params");
}

TEST(Completions, ParsesTheEventsOfAStream) {
  const auto chunk = parseChunk(
      R"({"choices":[{"text":"ab","token_ids":[5,6],"finish_reason":"length"}],"usage":{"completion_tokens":2}})");
  ASSERT_TRUE(chunk.hasValue());
  EXPECT_EQ(chunk->text, "ab");
  EXPECT_EQ(chunk->tokens, 2u);
  EXPECT_EQ(chunk->tokenIds, (std::vector<std::uint32_t>{5, 6}));
  EXPECT_EQ(chunk->finishReason, routing::FinishReason::length);
  EXPECT_EQ(chunk->outputTokens, 2u);
  EXPECT_EQ(parseChunk(R"({"choices":[{"text":"a"}]})")->tokens, 1u);
  EXPECT_EQ(parseChunk(R"({"error":{"message":"out of memory"}})")->engineError, "out of memory");
  EXPECT_EQ(parseChunk(R"({"error":{}})")->engineError, "the engine reports an error");
  const auto notAnObject = parseChunk("1");
  ASSERT_FALSE(notAnObject.hasValue());
  EXPECT_EQ(message(notAnObject.error()), "an event of the answer is not a JSON object");
}

TEST(Completions, ReadsLoadMetricsInBothForms) {
  for (const char* header :
       {R"(JSON {"named_metrics":{"kv_cache_usage_perc":0.5,"num_tokens_waiting":2000}})",
        R"({"named_metrics":{"kv_cache_usage_perc":0.5,"num_tokens_waiting":2000}})",
        "TEXT named_metrics.kv_cache_usage_perc=0.5, named_metrics.num_tokens_waiting=2000"}) {
    const auto report = parseLoadMetrics(header);
    ASSERT_TRUE(report) << header;
    EXPECT_DOUBLE_EQ(report->memoryShare.value_or(0), 0.5);
    EXPECT_DOUBLE_EQ(report->queuedKiloTokens.value_or(0), 2);
  }
  EXPECT_FALSE(parseLoadMetrics("TEXT named_metrics.other=1"));
}

}  // namespace
}  // namespace garnethook::engine
