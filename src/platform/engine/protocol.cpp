#include "platform/engine/protocol.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "deployment_config/field_reader.h"

namespace garnethook::platform {
namespace {

std::string_view trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

// Whether the engine states that it has not executed the request, and does not contradict itself.
bool provesNeverRan(const http1::Fields& fields) {
  bool isProof = false;
  for (const http1::Field& field : fields) {
    if (field.name != "x-never-ran") continue;
    if (trim(field.value) != "1") return false;
    isProof = true;
  }
  return isProof;
}

// Appends the rest of the request line and the Host field.
void appendVersionAndHost(std::string& message, std::string_view host, std::uint16_t port) {
  message.append(" HTTP/1.1\r\nHost: ").append(host).append(":").append(std::to_string(port)).append("\r\n");
}

}  // namespace

AttemptRequest makeAttemptRequest(const membership::EndpointSpec& endpoint,
                                  const routing::AttemptSpec& attempt, Micros now) {
  return {.host = endpoint.host,
          .port = endpoint.port,
          .target = attempt.request->target,
          .traceId = std::string(attempt.traceId),
          .fields = attempt.request->fields,
          .body = attempt.request->body,
          .responseDeadline = now + attempt.timeout,
          .sendDeadline = attempt.sendBy};
}

std::string formatAttemptRequest(const AttemptRequest& request, Micros now) {
  const std::string_view body = request.body ? std::string_view(*request.body) : std::string_view();
  const Micros remainingMs = std::max<Micros>(1, (request.responseDeadline - now) / 1000);
  std::string message;
  message.reserve(body.size() + request.target.size() + request.fields.size() + 256);
  message.append("POST ").append(request.target);
  appendVersionAndHost(message, request.host, request.port);
  message.append("X-Trace-Id: ").append(request.traceId);
  message.append("\r\nX-Expires-In-Ms: ").append(std::to_string(remainingMs));
  message.append("\r\n").append(request.fields);
  message.append("Content-Length: ").append(std::to_string(body.size()));
  return message.append("\r\n\r\n").append(body);
}

std::string formatControlRequest(const membership::EndpointSpec& endpoint, std::string_view method,
                                 std::string_view target) {
  std::string message(method);
  message.append(" ").append(target);
  appendVersionAndHost(message, endpoint.host, endpoint.port);
  if (method != "GET") message.append("Content-Length: 0\r\n");
  return message.append("\r\n");
}

std::string releasePath(std::string_view traceId) { return "/v1/holds/" + std::string(traceId); }

std::optional<LoadReport> parseLoadReport(std::string_view text,
                                          const deployment_config::ReportMeanings& meanings) {
  text = trim(text);
  if (!text.starts_with("TEXT ")) return std::nullopt;
  text.remove_prefix(5);
  LoadReport report;
  for (auto entry : deployment_config::split(text, ',')) {
    entry = trim(entry);
    const auto equalsSign = entry.find('=');
    if (equalsSign == std::string_view::npos) return std::nullopt;
    const auto digits = trim(entry.substr(equalsSign + 1));
    double value = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (error != std::errc() || end != digits.data() + digits.size() || !std::isfinite(value) || value < 0)
      return std::nullopt;
    deployment_config::addReportValue(report, meanings, trim(entry.substr(0, equalsSign)), value);
  }
  if (!report.memoryShare && !report.queuedKiloTokens && !report.queuedRequests) return std::nullopt;
  return report;
}

ResponseKind classifyResponse(const http1::Head& head, routing::Phase phase) {
  if (head.status == 202 && phase == routing::Phase::prefill) return ResponseKind::prefillDone;
  if (head.status == 200 && phase != routing::Phase::prefill) return ResponseKind::stream;
  if (!provesNeverRan(head.fields)) return ResponseKind::failed;
  switch (head.status) {
    case 410: return ResponseKind::kvStateMissing;
    case 503:
    case 504: return ResponseKind::rejected;
    default: return ResponseKind::failed;
  }
}

double parseCachedTokens(std::string_view json) {
  constexpr std::string_view kName = "\"cached_tokens\"";
  const auto name = json.find(kName);
  if (name == std::string_view::npos) return 0;
  const auto digits = json.find_first_not_of(" \t:", name + kName.size());
  if (digits == std::string_view::npos) return 0;
  double value = 0;
  const auto [end, error] = std::from_chars(json.data() + digits, json.data() + json.size(), value);
  return error == std::errc() && std::isfinite(value) && value >= 0 ? value : 0;
}

}  // namespace garnethook::platform
