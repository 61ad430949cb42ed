#include "engine/completions.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "config/json_depth.h"

namespace garnethook::engine {
namespace {

using nlohmann::json;

// Discarded where it is no JSON, or nested so deep that writing it out again would run out of stack.
json parse(std::string_view text) {
  if (config::jsonDepth(text) > config::kDeepest) return json(json::value_t::discarded);
  return json::parse(text, nullptr, false);
}

const json* member(const json& object, const char* key) {
  if (!object.is_object()) return nullptr;
  const auto at = object.find(key);
  return at == object.end() || at->is_null() ? nullptr : &*at;
}

std::optional<double> number(const json& object, const char* key) {
  const json* value = member(object, key);
  if (value == nullptr || !value->is_number()) return std::nullopt;
  const double n = value->get<double>();
  return n >= 0 && n < 4e9 ? std::optional(n) : std::nullopt;
}
std::optional<std::uint32_t> count(const json& object, const char* key) {
  const auto n = number(object, key);
  return n ? std::optional(static_cast<std::uint32_t>(*n)) : std::nullopt;
}
std::optional<double> cached(const json& usage) {
  const json* details = member(usage, "prompt_tokens_details");
  return details == nullptr ? std::nullopt : number(*details, "cached_tokens");
}

std::string errorText(const json& body) {
  const json* error = member(body, "error");
  const json& holder = error != nullptr && error->is_object() ? *error : body;
  if (const json* text = member(holder, "message"); text != nullptr && text->is_string())
    return text->get<std::string>().substr(0, 300);
  if (error != nullptr && error->is_string()) return error->get<std::string>().substr(0, 300);
  return {};
}

void take(std::string_view name, double value, LoadReport& out, bool& known) {
  if (!(value >= 0) || value > 1e12) return;
  if (name == "kv_cache_usage_perc")
    out.memoryShare = value;
  else if (name == "num_requests_waiting")
    out.queuedRequests = value;
  else if (name == "num_tokens_waiting")
    out.queuedKiloTokens = value / 1000;
  else
    return;
  known = true;
}

}  // namespace

std::string requestBody(const routing::AttemptSpec& order, std::string_view defaultModel) {
  const routing::Request& request = *order.request;
  json body;
  body["model"] = request.model.empty() ? std::string(defaultModel) : request.model;
  if (request.promptIds.empty())
    body["prompt"] = *request.prompt;
  else
    body["prompt"] = request.promptIds;
  if (request.specialTokens) body["special_tokens"] = true;
  if (request.temperature) body["temperature"] = *request.temperature;
  if (request.seed) body["seed"] = *request.seed;
  if (order.phase == routing::Phase::prefill) {
    body["max_tokens"] = 1;
    body["stream"] = false;
    body["kv_transfer_params"] = {{"do_remote_decode", true},    {"do_remote_prefill", false},
                                  {"remote_engine_id", nullptr}, {"remote_block_ids", nullptr},
                                  {"remote_host", nullptr},      {"remote_port", nullptr}};
  } else {
    body["max_tokens"] = request.maxOutput;
    body["stream"] = true;
    body["stream_options"] = {{"include_usage", true}};
    body["return_token_ids"] = true;
    if (!request.stop.empty()) body["stop"] = request.stop;
    if (order.phase == routing::Phase::decode) {
      json params = parse(order.kvTransferParams);
      if (!params.is_object()) params = json::object();
      params["do_remote_prefill"] = true;
      params["do_remote_decode"] = false;
      body["kv_transfer_params"] = std::move(params);
    }
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ReadAnswer> parseReadAnswer(std::string_view text, std::string& error) {
  const json body = parse(text);
  if (!body.is_object()) {
    error = "the answer to a read is not a JSON object";
    return std::nullopt;
  }
  const json* params = member(body, "kv_transfer_params");
  if (params == nullptr || !params->is_object()) {
    error = "the answer to a read has no kv_transfer_params";
    return std::nullopt;
  }
  ReadAnswer out;
  out.kvTransferParams = params->dump(-1, ' ', false, json::error_handler_t::replace);
  if (const json* usage = member(body, "usage")) {
    out.cachedTokens = cached(*usage).value_or(0);
    out.promptTokens = count(*usage, "prompt_tokens").value_or(0);
  }
  return out;
}

std::optional<Chunk> parseChunk(std::string_view data, std::string& error) {
  const json body = parse(data);
  if (!body.is_object()) {
    error = "an event of the answer is not a JSON object";
    return std::nullopt;
  }
  Chunk out;
  if (member(body, "error") != nullptr) {
    out.error = errorText(body);
    if (out.error.empty()) out.error = "the engine reports an error";
    return out;
  }
  if (const json* choices = member(body, "choices");
      choices != nullptr && choices->is_array() && !choices->empty()) {
    const json& choice = choices->front();
    if (const json* text = member(choice, "text"); text != nullptr && text->is_string())
      out.text = text->get<std::string>();
    if (const json* ids = member(choice, "token_ids"); ids != nullptr && ids->is_array())
      for (const json& id : *ids)
        if (id.is_number_unsigned()) out.ids.push_back(id.get<std::uint32_t>());
    out.tokens = out.ids.empty() ? (out.text.empty() ? 0 : 1) : static_cast<std::uint32_t>(out.ids.size());
    if (const json* reason = member(choice, "finish_reason"); reason != nullptr && reason->is_string())
      out.finish = *reason == "length" ? routing::FinishReason::length : routing::FinishReason::stop;
  }
  if (const json* usage = member(body, "usage")) {
    out.promptTokens = count(*usage, "prompt_tokens");
    out.outputTokens = count(*usage, "completion_tokens");
    out.cachedTokens = cached(*usage);
  }
  return out;
}

routing::AttemptResult failedAnswer(int status, std::string_view text) {
  routing::AttemptResult r;
  const json body = parse(text);
  const std::string said = body.is_discarded() ? std::string() : errorText(body);
  r.text = "HTTP " + std::to_string(status) + (said.empty() ? "" : ": " + said);
  const json* error = body.is_object() ? member(body, "error") : nullptr;
  const json* code = error != nullptr ? member(*error, "code") : nullptr;
  if (code != nullptr && code->is_string() && *code == "kv_state_missing") {
    r.outcome = Outcome::rejected;
    r.kvStateMissing = true;
  } else if (status == 429 || status == 503) {
    r.outcome = Outcome::rejected;
  } else if (status == 400 || status == 404 || status == 413 || status == 422) {
    r.outcome = Outcome::notSent;
    r.badRequest = true;
  } else {
    r.outcome = Outcome::error;
  }
  return r;
}

std::optional<LoadReport> parseLoad(std::string_view header) {
  LoadReport out;
  bool known = false;
  if (header.starts_with("JSON ") || header.starts_with("{")) {
    const json body = parse(header.starts_with("{") ? header : header.substr(5));
    if (const json* named = member(body, "named_metrics"); named != nullptr && named->is_object())
      for (const auto& [name, value] : named->items())
        if (value.is_number()) take(name, value.get<double>(), out, known);
  } else {
    if (header.starts_with("TEXT ")) header.remove_prefix(5);
    while (!header.empty()) {
      const auto comma = header.find(',');
      auto item = header.substr(0, comma);
      header.remove_prefix(comma == std::string_view::npos ? header.size() : comma + 1);
      while (item.starts_with(' ')) item.remove_prefix(1);
      const auto equals = item.find('=');
      if (equals == std::string_view::npos || !item.starts_with("named_metrics.")) continue;
      double value = -1;
      const auto digits = item.substr(equals + 1);
      std::from_chars(digits.data(), digits.data() + digits.size(), value);
      take(item.substr(14, equals - 14), value, out, known);
    }
  }
  return known ? std::optional(out) : std::nullopt;
}

}  // namespace garnethook::engine
