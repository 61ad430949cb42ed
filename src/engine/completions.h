/// @file
/// Messages of the OpenAI-compatible completions protocol (/v1/completions), with prefill and decode apart as
/// in vLLM's disaggregated prefill (kv_transfer_params), and load in ORCA's endpoint-load-metrics header.
/// Free of I/O. docs/engines.md lists every field that is used, and the extensions.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/result.h"
#include "routing/engine_client.h"

namespace garnethook::engine {

/// Why a response can't be used.
enum class CompletionError {
  prefillResponseNotObject,  ///< The response to a prefill is not a JSON object.
  noKvTransferParams,        ///< The response to a prefill has no kv_transfer_params.
  eventNotObject             ///< An event of a stream is not a JSON object.
};
/// The error in words, for the log and for the client.
std::string_view message(CompletionError error);

/// Body of the request for one attempt, as JSON.
/// @param attempt the request and its phase
/// @param defaultModel model of requests that name none
std::string requestBody(const routing::AttemptSpec& attempt, std::string_view defaultModel);

/// Response to a prefill, which is not streamed.
struct PrefillResponse {
  std::string kvTransferParams;    ///< JSON that the decode endpoint needs to fetch the KV cache.
  double cachedTokens = 0;         ///< Prompt tokens that were found in the prefix cache.
  std::uint32_t promptTokens = 0;  ///< Length of the prompt; 0: not given.
};
/// Parses the response to a prefill.
Result<PrefillResponse, CompletionError> parsePrefillResponse(std::string_view text);

/// One event of a streamed response.
struct CompletionChunk {
  std::string text;                     ///< Text of the new tokens.
  std::vector<std::uint32_t> tokenIds;  ///< Their ids; empty: not given.
  std::uint32_t tokens = 0;             ///< Their number: as many as ids, else 1 where there is text.
  std::optional<routing::FinishReason> finishReason;  ///< Why generation ended, in the last event.
  std::optional<std::uint32_t> promptTokens;          ///< Length of the prompt.
  std::optional<std::uint32_t> outputTokens;          ///< Tokens generated so far.
  std::optional<double> cachedTokens;                 ///< Prompt tokens found in the prefix cache.
  std::string engineError;  ///< The engine's own message where the event is an error.
};
/// Parses the data of one event.
Result<CompletionChunk, CompletionError> parseChunk(std::string_view data);

/// What a status other than 200 says about the attempt.
/// @param status HTTP status code
/// @param text the response's body, of whatever form
routing::AttemptResult parseErrorResponse(int status, std::string_view text);

/// Parses endpoint-load-metrics in its JSON or TEXT form. Known names: kv_cache_usage_perc (share of the KV
/// cache in use), num_requests_waiting, and the extension num_tokens_waiting.
/// @return nothing where no known name was found
std::optional<LoadReport> parseLoadMetrics(std::string_view header);

}  // namespace garnethook::engine
