#include "platform/http_frontend/request_decoder.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "config/json_depth.h"
#include "deployment_config/field_reader.h"

namespace garnethook::platform {
namespace {

constexpr std::size_t kMaxIdSize = 64;
constexpr std::size_t kMaxKeySize = 256;
// The platform's estimate for a request that does not name its prompt's length.
constexpr double kCharactersPerToken = 4;

// A header field that may occur once. A repeated one could be read in two ways, by the engine in the other
// one.
struct SingleField {
  std::optional<std::string_view> value;
  bool repeated = false;
};
SingleField singleField(const http1::Fields& fields, std::string_view name) {
  SingleField out;
  for (const auto& field : fields) {
    if (field.name != name) continue;
    out.repeated = out.value.has_value();
    if (out.repeated) break;
    out.value = field.value;
  }
  return out;
}

// The fields that describe the request to this router.
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

bool isId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxIdSize && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
  });
}

std::optional<std::int64_t> parseInteger(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || bad != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::string_view trimSpaces(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  return text;
}

// Reads `name=value, ...` into the request; unknown names are ignored. Sets `promptLengthGiven` where the
// prompt's length is among them.
std::optional<DecodeError> decodeProperties(std::string_view text, const RequestLimits& limits,
                                            routing::Request& request, bool& promptLengthGiven) {
  for (const auto untrimmed : deployment_config::split(text, ',')) {
    const auto part = trimSpaces(untrimmed);
    const auto equals = part.find('=');
    if (equals == std::string_view::npos) return DecodeError{400, "X-Props: no '=' in a part"};
    const auto name = part.substr(0, equals);
    const auto value = part.substr(equals + 1);
    if (name == "prefix") {
      if (value.size() > kMaxKeySize) return DecodeError{400, "X-Props: prefix is too long"};
      request.sharedPrefixKey = value;
      continue;
    }
    if (name != "prompt_len" && name != "prefix_len" && name != "max_out") continue;
    const auto number = parseInteger(value);
    if (!number || *number < 0 || static_cast<double>(*number) > limits.tokens)
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

// Reads all header fields but the properties.
std::optional<DecodeError> decodeFields(const RequestFields& fields,
                                        const deployment_config::DeploymentConfig& deployment,
                                        const RequestLimits& limits, routing::Request& request) {
  if (!fields.traceId.value || !isId(*fields.traceId.value))
    return DecodeError{400, "X-Trace-Id: an id is wanted"};
  request.traceId = *fields.traceId.value;
  if (!fields.requestClass.value) return DecodeError{400, "X-Qos: is missing"};
  const auto index = deployment_config::indexOf(deployment.classNames, *fields.requestClass.value);
  if (!index) return DecodeError{400, "X-Qos: no such class"};
  request.requestClass = *index;
  const auto expiresInMs = fields.expiresInMs.value ? parseInteger(*fields.expiresInMs.value) : std::nullopt;
  if (!expiresInMs || *expiresInMs <= 0 || *expiresInMs > limits.longestDeadline / 1000)
    return DecodeError{400, "X-Expires-In-Ms: whole milliseconds are wanted"};
  request.remaining = *expiresInMs * 1000;
  if (fields.session.value) {
    if (fields.session.value->size() > kMaxKeySize) return DecodeError{400, "X-Object: too long"};
    request.session = *fields.session.value;
  }
  return std::nullopt;
}

// Engines would reject anything but a complete JSON object, such as a body that was cut short, late and at a
// cost.
bool isJsonObject(const std::string& body) {
  return !body.empty() && body.front() == '{' && config::jsonDepth(body) <= config::kDeepest &&
         nlohmann::json::accept(body);
}

// Hop-by-hop fields (RFC 9110 section 7.6.1), and those that are written anew for each engine.
bool isNotForwarded(std::string_view name) {
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

// All other fields, such as the key by which engines recognise a repeated request, are forwarded unchanged.
std::string forwardedFields(const http1::Fields& fields) {
  const auto namedByConnection = [&](std::string_view name) {
    return std::any_of(fields.begin(), fields.end(), [&](const auto& field) {
      return field.name == "connection" && http1::listContains(field.value, name);
    });
  };
  std::string out;
  for (const auto& field : fields) {
    if (!namedByConnection(field.name) && !isNotForwarded(field.name))
      out.append(field.name).append(": ").append(field.value).append("\r\n");
  }
  if (!http1::find(fields, "content-type")) out.append("content-type: application/json\r\n");
  return out;
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
  if (body.size() > limits.bodyBytes) return Failure{DecodeError{413, "the body is too large"}};
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
