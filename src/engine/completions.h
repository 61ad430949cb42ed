/// @file
/// Messages of the OpenAI-compatible completions protocol (/v1/completions), with vLLM's disaggregated
/// prefill (kv_transfer_params) and load reports in ORCA's endpoint-load-metrics header. Performs no I/O.
/// docs/engines.md lists every field that is used, and the extensions.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/result.h"
#include "routing/engine_client.h"

namespace garnethook::engine {

/// Why a response cannot be used.
enum class CompletionError {
  prefillResponseNotObject,  ///< The response to a prefill is not a JSON object.
  noKvTransferParams,        ///< The response to a prefill has no kv_transfer_params.
  eventNotObject             ///< An event of a stream is not a JSON object.
};
/// Returns a description of the error for the log and the client.
std::string_view message(CompletionError error);

/// Returns the JSON request body for one attempt.
/// @param attempt the request and its phase
/// @param defaultModel model for requests that do not specify one
std::string requestBody(const routing::AttemptSpec& attempt, std::string_view defaultModel);

/// Response to a prefill; it is not streamed.
struct PrefillResponse {
  std::string kvTransferParams;    ///< JSON that the decode endpoint needs to fetch the KV state.
  double cachedTokens = 0;         ///< Prompt tokens found in the prefix cache.
  std::uint32_t promptTokens = 0;  ///< Prompt length in tokens; 0: not reported.
};
/// Parses the response to a prefill.
Result<PrefillResponse, CompletionError> parsePrefillResponse(std::string_view text);

/// One event of a streamed response.
struct CompletionChunk {
  std::string text;                     ///< Text of the new tokens.
  std::vector<std::uint32_t> tokenIds;  ///< Ids of the new tokens; empty: not reported.
  std::uint32_t tokens = 0;  ///< Number of new tokens: the number of ids, or 1 if there is text without ids.
  std::optional<routing::FinishReason> finishReason;  ///< Why generation ended; set by the last event.
  std::optional<std::uint32_t> promptTokens;          ///< Prompt length in tokens.
  std::optional<std::uint32_t> outputTokens;          ///< Tokens generated so far.
  std::optional<double> cachedTokens;                 ///< Prompt tokens found in the prefix cache.
  std::string engineError;  ///< The engine's error message; empty unless the event is an error.
};
/// Parses the data of one event.
Result<CompletionChunk, CompletionError> parseChunk(std::string_view data);

/// Maps a response with a status other than 200 to the result of the attempt.
/// @param status HTTP status code
/// @param text the response body; need not be JSON
routing::AttemptResult parseErrorResponse(int status, std::string_view text);

/// Parses the endpoint-load-metrics header in its JSON or TEXT form. Known metrics: kv_cache_usage_perc
/// (share of the KV cache in use), num_requests_waiting, and the extension num_tokens_waiting.
/// @return nullopt if the header contains no known metric
std::optional<LoadReport> parseLoadMetrics(std::string_view header);

}  // namespace garnethook::engine
