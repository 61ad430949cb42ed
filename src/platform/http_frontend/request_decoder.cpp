#include "platform/http_frontend/request_decoder.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "config/json_depth.h"
#include "deployment_config/field_reader.h"

namespace garnethook::platform {
namespace {

constexpr std::size_t kMaxTraceIdBytes = 64;
constexpr std::size_t kMaxKeyBytes = 256;
// Estimates the prompt length of a request that does not specify it.
constexpr double kCharactersPerToken = 4;

// A header field that may occur only once. The router and the engine could use different values of a repeated
// field.
struct SingleField {
  std::optional<std::string_view> value;
  bool repeated = false;
};
SingleField singleField(const http1::Fields& fields, std::string_view name) {
  SingleField result;
  for (const auto& field : fields) {
    if (field.name != name) continue;
    result.repeated = result.value.has_value();
    if (result.repeated) break;
    result.value = field.value;
  }
  return result;
}

// The header fields that the router itself evaluates.
struct RequestFields {
  explicit RequestFields(const http1::Fields& fields)
      : traceId(singleField(fields, "x-trace-id")),
        requestClass(singleField(fields, "x-qos")),
        session(singleField(fields, "x-object")),
        expiresInMs(singleField(fields, "x-expires-in-ms")),
        properties(singleField(fields, "x-props")) {}
  bool anyRepeated() const {
    return traceId.repeated || requestClass.repeated || session.repeated || expiresInMs.repeated ||
           properties.repeated;
  }

  SingleField traceId;
  SingleField requestClass;
  SingleField session;
  SingleField expiresInMs;
  SingleField properties;
};

bool isValidTraceId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxTraceIdBytes &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') ||
                  (character >= 'A' && character <= 'Z') || character == '-' || character == '_';
         });
}

std::optional<std::int64_t> parseInteger(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, errorCode] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || errorCode != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::string_view trimSpaces(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  return text;
}

// Decodes `name=value, ...` into the request; ignores unknown names. Sets `promptLengthGiven` if the prompt's
// length is specified.
std::optional<DecodeError> decodeProperties(std::string_view text, const RequestLimits& limits,
                                            routing::Request& request, bool& promptLengthGiven) {
  for (const auto untrimmedProperty : deployment_config::split(text, ',')) {
    const auto property = trimSpaces(untrimmedProperty);
    const auto equals = property.find('=');
    if (equals == std::string_view::npos) return DecodeError{400, "X-Props: no '=' in a part"};
    const auto name = property.substr(0, equals);
    const auto value = property.substr(equals + 1);
    if (name == "prefix") {
      if (value.size() > kMaxKeyBytes) return DecodeError{400, "X-Props: prefix is too long"};
      request.sharedPrefixKey = value;
      continue;
    }
    if (name != "prompt_len" && name != "prefix_len" && name != "max_out") continue;
    const auto number = parseInteger(value);
    if (!number || *number < 0 || static_cast<double>(*number) > limits.maxTokens)
      return DecodeError{400, "X-Props: " + std::string(name) + " is no length"};
    if (name == "prompt_len") {
      request.promptTokens = static_cast<double>(*number);
      promptLengthGiven = true;
    } else if (name == "prefix_len") {
      request.sharedPrefixTokens = static_cast<double>(*number);
    } else {
      request.maxOutput = static_cast<std::uint32_t>(*number);
    }
  }
  return std::nullopt;
}

// Decodes the header fields that the router evaluates, except X-Props.
std::optional<DecodeError> decodeFields(const RequestFields& fields,
                                        const deployment_config::DeploymentConfig& deployment,
                                        const RequestLimits& limits, routing::Request& request) {
  if (!fields.traceId.value || !isValidTraceId(*fields.traceId.value))
    return DecodeError{400, "X-Trace-Id: an id is wanted"};
  request.traceId = *fields.traceId.value;
  if (!fields.requestClass.value) return DecodeError{400, "X-Qos: is missing"};
  const auto index = deployment_config::indexOf(deployment.classNames, *fields.requestClass.value);
  if (!index) return DecodeError{400, "X-Qos: no such class"};
  request.requestClass = *index;
  const auto expiresInMs = fields.expiresInMs.value ? parseInteger(*fields.expiresInMs.value) : std::nullopt;
  if (!expiresInMs || *expiresInMs <= 0 || *expiresInMs > limits.maxDeadline / 1000)
    return DecodeError{400, "X-Expires-In-Ms: whole milliseconds are wanted"};
  request.remaining = *expiresInMs * 1000;
  if (fields.session.value) {
    if (fields.session.value->size() > kMaxKeyBytes) return DecodeError{400, "X-Object: too long"};
    request.session = *fields.session.value;
  }
  return std::nullopt;
}

// Whether the body is a complete JSON object of limited depth. An engine would reject any other body, such as
// a truncated one, only late and after an attempt has used resources.
bool isJsonObject(const std::string& body) {
  return !body.empty() && body.front() == '{' && config::jsonDepth(body) <= config::kMaxJsonDepth &&
         nlohmann::json::accept(body);
}

// Hop-by-hop fields (RFC 9110 section 7.6.1) and fields that the router writes itself for each attempt.
bool isHopByHopOrRewritten(std::string_view name) {
  constexpr std::array<std::string_view, 14> kNames{"connection",
                                                    "keep-alive",
                                                    "proxy-connection",
                                                    "proxy-authenticate",
                                                    "proxy-authorization",
                                                    "te",
                                                    "trailer",
                                                    "transfer-encoding",
                                                    "upgrade",
                                                    "expect",
                                                    "host",
                                                    "content-length",
                                                    "x-trace-id",
                                                    "x-expires-in-ms"};
  return std::find(kNames.begin(), kNames.end(), name) != kNames.end();
}

// Returns the names of the fields that apply to this connection only (RFC 9110 section 7.6.1), in lower case.
std::set<std::string, std::less<>> connectionOptions(const http1::Fields& fields) {
  std::set<std::string, std::less<>> options;
  for (const auto& field : fields)
    if (field.name == "connection")
      for (auto& option : http1::splitList(field.value)) options.insert(std::move(option));
  return options;
}

// Returns the fields to forward unchanged, such as the idempotency key by which engines detect a repeated
// request.
std::string forwardedFields(const http1::Fields& fields) {
  const auto hopByHopNames = connectionOptions(fields);
  std::string forwarded;
  for (const auto& field : fields) {
    if (!hopByHopNames.contains(field.name) && !isHopByHopOrRewritten(field.name))
      forwarded.append(field.name).append(": ").append(field.value).append("\r\n");
  }
  if (!http1::find(fields, "content-type")) forwarded.append("content-type: application/json\r\n");
  return forwarded;
}

}  // namespace

Result<routing::Request, DecodeError> decodeRequest(const http1::Head& head, std::string body,
                                                    const deployment_config::DeploymentConfig& deployment,
                                                    const RequestLimits& limits) {
  const auto path = std::string_view(head.target).substr(0, head.target.find('?'));
  if (path != "/v1/chat/completions") return Failure{DecodeError{404, "no such resource"}};
  if (head.method != "POST") return Failure{DecodeError{405, "POST is wanted"}};
  const RequestFields fields(head.fields);
  if (fields.anyRepeated()) return Failure{DecodeError{400, "a field of the request stands twice"}};

  routing::Request request;
  if (auto error = decodeFields(fields, deployment, limits, request)) return Failure{std::move(*error)};
  bool promptLengthGiven = false;
  if (fields.properties.value)
    if (auto error = decodeProperties(*fields.properties.value, limits, request, promptLengthGiven))
      return Failure{std::move(*error)};
  if (body.size() > limits.maxBodyBytes) return Failure{DecodeError{413, "the body is too large"}};
  if (!isJsonObject(body)) return Failure{DecodeError{400, "the body is no JSON object"}};
  if (!promptLengthGiven) {
    request.promptTokens = std::ceil(static_cast<double>(body.size()) / kCharactersPerToken);
    request.estimated = true;
  }
  request.sharedPrefixTokens = std::min(request.sharedPrefixTokens, request.promptTokens);
  request.target = head.target;
  request.fields = forwardedFields(head.fields);
  request.body = std::make_shared<const std::string>(std::move(body));
  return request;
}

}  // namespace garnethook::platform
