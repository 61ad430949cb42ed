// The messages that engines are met by: OpenAI-compatible /v1/completions, read and answered apart as vLLM's
// disaggregated prefill does it (kv_transfer_params), load in ORCA's endpoint-load-metrics header. Free of
// I/O. docs/engines.md lists every field that is used, and the extensions.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "routing/engine_client.h"

namespace garnethook::engine {

// Body of the request for one attempt, as JSON.
std::string requestBody(const routing::AttemptSpec& order, std::string_view defaultModel);

// Answer to a read (not streamed): what the writer needs for the fetch, tokens found kept.
struct ReadAnswer {
  std::string kvTransferParams;
  double cachedTokens = 0;
  std::uint32_t promptTokens = 0;
};
// None, with `trouble` told, where the body is no such answer.
std::optional<ReadAnswer> parseReadAnswer(std::string_view body, std::string& error);

// One event of a streamed answer.
struct Chunk {
  std::string text;
  std::vector<std::uint32_t> ids;
  std::uint32_t tokens = 0;  // as many as ids, else 1 where there is text
  std::optional<routing::FinishReason> finish;
  std::optional<std::uint32_t> promptTokens;
  std::optional<std::uint32_t> outputTokens;
  std::optional<double> cachedTokens;
  std::string error;  // the engine's own words, where the event is an error
};
std::optional<Chunk> parseChunk(std::string_view data, std::string& error);

// What a status other than 200 says of the attempt.
routing::AttemptResult failedAnswer(int status, std::string_view body);

// endpoint-load-metrics in its JSON or TEXT form. Known names: kv_cache_usage_perc (share of memory held),
// num_requests_waiting, and the extension num_tokens_waiting. None where nothing known was found.
std::optional<LoadReport> parseLoad(std::string_view header);

}  // namespace garnethook::engine
