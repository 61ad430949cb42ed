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

constexpr std::size_t kLongestId = 64;
constexpr std::size_t kLongestKey = 256;
// The platform's count, where a request tells none.
constexpr double kCharactersPerToken = 4;

// A field that may stand once. What stands twice could be read in two ways, by the engine in the other one.
struct Lone {
  std::optional<std::string_view> value;
  bool twice = false;
};
Lone lone(const http1::Fields& fields, std::string_view name) {
  Lone out;
  for (const auto& f : fields) {
    if (f.name != name) continue;
    out.twice = out.value.has_value();
    if (out.twice) break;
    out.value = f.value;
  }
  return out;
}

bool isId(std::string_view text) {
  return !text.empty() && text.size() <= kLongestId && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
  });
}

std::optional<std::int64_t> wholeNumber(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || bad != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// `name=value, ...`; names that are not known are passed over.
std::string readProps(std::string_view text, const RequestLimits& limits, routing::Request& request,
                      bool& counted) {
  for (auto part : deployment_config::split(text, ',')) {
    while (!part.empty() && part.front() == ' ') part.remove_prefix(1);
    while (!part.empty() && part.back() == ' ') part.remove_suffix(1);
    const auto equals = part.find('=');
    if (equals == std::string_view::npos) return "X-Props: no '=' in a part";
    const auto name = part.substr(0, equals);
    const auto value = part.substr(equals + 1);
    if (name == "prefix") {
      if (value.size() > kLongestKey) return "X-Props: prefix is too long";
      request.sharedPrefixKey = value;
      continue;
    }
    if (name != "prompt_len" && name != "prefix_len" && name != "max_out") continue;
    const auto number = wholeNumber(value);
    if (!number || *number < 0 || static_cast<double>(*number) > limits.tokens)
      return "X-Props: " + std::string(name) + " is no length";
    if (name == "prompt_len") {
      request.promptTokens = static_cast<double>(*number);
      counted = true;
    } else if (name == "prefix_len") {
      request.sharedPrefixTokens = static_cast<double>(*number);
    } else {
      request.maxOutput = static_cast<std::uint32_t>(*number);
    }
  }
  return {};
}

// Fields of one connection (RFC 9110 section 7.6.1), and those that are written anew for each engine.
bool endsHere(std::string_view name) {
  constexpr std::array<std::string_view, 14> kOwn{"connection",
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
  return std::find(kOwn.begin(), kOwn.end(), name) != kOwn.end();
}

// What else a client says of its request, such as the key by which engines know a repeat, goes on as it came.
std::string furtherFields(const http1::Fields& fields) {
  const auto named = [&](std::string_view name) {
    return std::any_of(fields.begin(), fields.end(), [&](const auto& field) {
      return field.name == "connection" && http1::listHas(field.value, name);
    });
  };
  std::string out;
  for (const auto& field : fields) {
    if (!named(field.name) && !endsHere(field.name))
      out.append(field.name).append(": ").append(field.value).append("\r\n");
  }
  if (!http1::find(fields, "content-type")) out.append("content-type: application/json\r\n");
  return out;
}

}  // namespace

std::variant<routing::Request, Rejection> readRequest(const http1::Head& head, std::string body,
                                                      const deployment_config::DeploymentConfig& deployment,
                                                      const RequestLimits& limits) {
  const auto path = std::string_view(head.target).substr(0, head.target.find('?'));
  if (path != "/v1/chat/completions") return Rejection{404, "no such resource"};
  if (head.method != "POST") return Rejection{405, "POST is wanted"};
  const auto id = lone(head.fields, "x-trace-id");
  const auto kind = lone(head.fields, "x-qos");
  const auto session = lone(head.fields, "x-object");
  const auto expires = lone(head.fields, "x-expires-in-ms");
  const auto props = lone(head.fields, "x-props");
  for (const auto& field : {id, kind, session, expires, props})
    if (field.twice) return Rejection{400, "a field of the request stands twice"};

  routing::Request request;
  if (!id.value || !isId(*id.value)) return Rejection{400, "X-Trace-Id: an id is wanted"};
  request.traceId = *id.value;
  if (!kind.value) return Rejection{400, "X-Qos: is missing"};
  const auto index = deployment_config::indexOf(deployment.classNames, *kind.value);
  if (!index) return Rejection{400, "X-Qos: no such class"};
  request.requestClass = *index;
  const auto remaining = expires.value ? wholeNumber(*expires.value) : std::nullopt;
  if (!remaining || *remaining <= 0 || *remaining > limits.longestDeadline / 1000)
    return Rejection{400, "X-Expires-In-Ms: whole milliseconds are wanted"};
  request.remaining = *remaining * 1000;
  if (session.value) {
    if (session.value->size() > kLongestKey) return Rejection{400, "X-Object: too long"};
    request.session = *session.value;
  }
  bool counted = false;
  if (props.value)
    if (auto error = readProps(*props.value, limits, request, counted); !error.empty())
      return Rejection{400, std::move(error)};
  if (body.size() > limits.bodyBytes) return Rejection{413, "the body is too large"};
  // Engines would turn away, late and at a cost, what is no whole JSON object: a body that was cut short.
  if (body.empty() || body.front() != '{' || config::jsonDepth(body) > config::kDeepest ||
      !nlohmann::json::accept(body))
    return Rejection{400, "the body is no JSON object"};
  if (!counted) {
    request.promptTokens = std::ceil(static_cast<double>(body.size()) / kCharactersPerToken);
    request.estimated = true;
  }
  request.sharedPrefixTokens = std::min(request.sharedPrefixTokens, request.promptTokens);
  request.target = head.target;
  request.fields = furtherFields(head.fields);
  request.body = std::make_shared<const std::string>(std::move(body));
  return request;
}

}  // namespace garnethook::platform
