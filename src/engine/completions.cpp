#include "engine/completions.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "config/json_depth.h"

namespace garnethook::engine {
namespace {

using nlohmann::json;

constexpr double kMaxCount = 4e9;    // larger counts are implausible and ignored
constexpr double kMaxMetric = 1e12;  // larger metric values are implausible and ignored
constexpr std::size_t kMaxErrorTextBytes = 300;

// Returns a discarded value if the text is not JSON, or is nested so deeply that serialising it again would
// exhaust the stack.
json parseJson(std::string_view text) {
  if (config::jsonDepth(text) > config::kMaxJsonDepth) return json(json::value_t::discarded);
  return json::parse(text, nullptr, false);
}

const json* findMember(const json& object, const char* key) {
  if (!object.is_object()) return nullptr;
  const auto found = object.find(key);
  return found == object.end() || found->is_null() ? nullptr : &*found;
}

std::optional<double> findNumber(const json& object, const char* key) {
  const json* value = findMember(object, key);
  if (value == nullptr || !value->is_number()) return std::nullopt;
  const double result = value->get<double>();
  return result >= 0 && result < kMaxCount ? std::optional(result) : std::nullopt;
}

std::optional<std::uint32_t> findCount(const json& object, const char* key) {
  const auto value = findNumber(object, key);
  return value ? std::optional(static_cast<std::uint32_t>(*value)) : std::nullopt;
}

std::optional<double> cachedTokensOf(const json& usage) {
  const json* details = findMember(usage, "prompt_tokens_details");
  return details == nullptr ? std::nullopt : findNumber(*details, "cached_tokens");
}

std::string errorText(const json& body) {
  const json* error = findMember(body, "error");
  const json& messageParent = error != nullptr && error->is_object() ? *error : body;
  if (const json* text = findMember(messageParent, "message"); text != nullptr && text->is_string())
    return text->get<std::string>().substr(0, kMaxErrorTextBytes);
  if (error != nullptr && error->is_string()) return error->get<std::string>().substr(0, kMaxErrorTextBytes);
  return {};
}

// Returns whether the metric is known and its value is plausible.
bool applyMetric(std::string_view name, double value, LoadReport& report) {
  if (!(value >= 0) || value > kMaxMetric) return false;
  if (name == "kv_cache_usage_perc")
    report.memoryShare = value;
  else if (name == "num_requests_waiting")
    report.queuedRequests = value;
  else if (name == "num_tokens_waiting")
    report.queuedKiloTokens = value / 1000;
  else
    return false;
  return true;
}

// Parses `{"named_metrics": {name: value, ...}}`.
bool applyJsonMetrics(std::string_view text, LoadReport& report) {
  bool anyKnown = false;
  const json body = parseJson(text);
  if (const json* namedMetrics = findMember(body, "named_metrics");
      namedMetrics != nullptr && namedMetrics->is_object())
    for (const auto& [name, value] : namedMetrics->items())
      if (value.is_number() && applyMetric(name, value.get<double>(), report)) anyKnown = true;
  return anyKnown;
}

// Parses `named_metrics.name=value, ...`.
bool applyTextMetrics(std::string_view text, LoadReport& report) {
  constexpr std::string_view kPrefix = "named_metrics.";
  bool anyKnown = false;
  while (!text.empty()) {
    const auto comma = text.find(',');
    auto item = text.substr(0, comma);
    text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
    while (item.starts_with(' ')) item.remove_prefix(1);
    const auto equals = item.find('=');
    if (equals == std::string_view::npos || !item.starts_with(kPrefix)) continue;
    double value = -1;
    const auto digits = item.substr(equals + 1);
    std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (applyMetric(item.substr(kPrefix.size(), equals - kPrefix.size()), value, report)) anyKnown = true;
  }
  return anyKnown;
}

json prefillTransferParams() {
  return {{"do_remote_decode", true},    {"do_remote_prefill", false}, {"remote_engine_id", nullptr},
          {"remote_block_ids", nullptr}, {"remote_host", nullptr},     {"remote_port", nullptr}};
}

// Returns the prefill response's parameters with the prefill and decode flags swapped.
json decodeTransferParams(std::string_view prefillParams) {
  json params = parseJson(prefillParams);
  if (!params.is_object()) params = json::object();
  params["do_remote_prefill"] = true;
  params["do_remote_decode"] = false;
  return params;
}

std::string serialise(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

void applyChoice(const json& choice, CompletionChunk& chunk) {
  if (const json* text = findMember(choice, "text"); text != nullptr && text->is_string())
    chunk.text = text->get<std::string>();
  if (const json* ids = findMember(choice, "token_ids"); ids != nullptr && ids->is_array())
    for (const json& id : *ids)
      if (id.is_number_unsigned()) chunk.tokenIds.push_back(id.get<std::uint32_t>());
  if (!chunk.tokenIds.empty())
    chunk.tokens = static_cast<std::uint32_t>(chunk.tokenIds.size());
  else
    chunk.tokens = chunk.text.empty() ? 0 : 1;
  if (const json* reason = findMember(choice, "finish_reason"); reason != nullptr && reason->is_string())
    chunk.finishReason = *reason == "length" ? routing::FinishReason::length : routing::FinishReason::stop;
}

}  // namespace

std::string_view message(CompletionError error) {
  switch (error) {
    case CompletionError::prefillResponseNotObject: return "the answer to a read is not a JSON object";
    case CompletionError::noKvTransferParams: return "the answer to a read has no kv_transfer_params";
    case CompletionError::eventNotObject: return "an event of the answer is not a JSON object";
  }
  return {};
}

std::string requestBody(const routing::AttemptSpec& attempt, std::string_view defaultModel) {
  const routing::Request& request = *attempt.request;
  json body;
  body["model"] = request.model.empty() ? std::string(defaultModel) : request.model;
  if (request.promptIds.empty())
    body["prompt"] = *request.prompt;
  else
    body["prompt"] = request.promptIds;
  if (request.specialTokens) body["special_tokens"] = true;
  if (request.temperature) body["temperature"] = *request.temperature;
  if (request.seed) body["seed"] = *request.seed;
  if (attempt.phase == routing::Phase::prefill) {
    body["max_tokens"] = 1;
    body["stream"] = false;
    body["kv_transfer_params"] = prefillTransferParams();
  } else {
    body["max_tokens"] = request.maxOutput;
    body["stream"] = true;
    body["stream_options"] = {{"include_usage", true}};
    body["return_token_ids"] = true;
    if (!request.stop.empty()) body["stop"] = request.stop;
    if (attempt.phase == routing::Phase::decode)
      body["kv_transfer_params"] = decodeTransferParams(attempt.kvTransferParams);
  }
  return serialise(body);
}

Result<PrefillResponse, CompletionError> parsePrefillResponse(std::string_view text) {
  const json body = parseJson(text);
  if (!body.is_object()) return Failure{CompletionError::prefillResponseNotObject};
  const json* params = findMember(body, "kv_transfer_params");
  if (params == nullptr || !params->is_object()) return Failure{CompletionError::noKvTransferParams};
  PrefillResponse response;
  response.kvTransferParams = serialise(*params);
  if (const json* usage = findMember(body, "usage")) {
    response.cachedTokens = cachedTokensOf(*usage).value_or(0);
    response.promptTokens = findCount(*usage, "prompt_tokens").value_or(0);
  }
  return response;
}

Result<CompletionChunk, CompletionError> parseChunk(std::string_view data) {
  const json body = parseJson(data);
  if (!body.is_object()) return Failure{CompletionError::eventNotObject};
  CompletionChunk chunk;
  if (findMember(body, "error") != nullptr) {
    chunk.engineError = errorText(body);
    if (chunk.engineError.empty()) chunk.engineError = "the engine reports an error";
    return chunk;
  }
  if (const json* choices = findMember(body, "choices");
      choices != nullptr && choices->is_array() && !choices->empty())
    applyChoice(choices->front(), chunk);
  if (const json* usage = findMember(body, "usage")) {
    chunk.promptTokens = findCount(*usage, "prompt_tokens");
    chunk.outputTokens = findCount(*usage, "completion_tokens");
    chunk.cachedTokens = cachedTokensOf(*usage);
  }
  return chunk;
}

routing::AttemptResult parseErrorResponse(int status, std::string_view text) {
  routing::AttemptResult result;
  const json body = parseJson(text);
  const std::string engineError = body.is_discarded() ? std::string() : errorText(body);
  result.text = "HTTP " + std::to_string(status) + (engineError.empty() ? "" : ": " + engineError);
  const json* error = body.is_object() ? findMember(body, "error") : nullptr;
  const json* code = error != nullptr ? findMember(*error, "code") : nullptr;
  if (code != nullptr && code->is_string() && *code == "kv_state_missing") {
    result.outcome = Outcome::rejected;
    result.kvStateMissing = true;
  } else if (status == 429 || status == 503) {
    result.outcome = Outcome::rejected;
  } else if (status == 400 || status == 404 || status == 413 || status == 422) {
    result.outcome = Outcome::notSent;
    result.badRequest = true;
  } else {
    result.outcome = Outcome::error;
  }
  return result;
}

std::optional<LoadReport> parseLoadMetrics(std::string_view header) {
  LoadReport report;
  bool anyKnown = false;
  if (header.starts_with("{")) {
    anyKnown = applyJsonMetrics(header, report);
  } else if (header.starts_with("JSON ")) {
    anyKnown = applyJsonMetrics(header.substr(5), report);
  } else {
    if (header.starts_with("TEXT ")) header.remove_prefix(5);
    anyKnown = applyTextMetrics(header, report);
  }
  return anyKnown ? std::optional(report) : std::nullopt;
}

}  // namespace garnethook::engine
