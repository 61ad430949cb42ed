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

std::string& host(std::string& out, std::string_view name, std::uint16_t port) {
  return out.append(" HTTP/1.1\r\nHost: ")
      .append(name)
      .append(":")
      .append(std::to_string(port))
      .append("\r\n");
}

}  // namespace

EngineRequest engineRequest(const membership::EndpointSpec& engine, const routing::AttemptSpec& order,
                            Micros now) {
  return {.host = engine.host,
          .port = engine.port,
          .target = order.request->target,
          .traceId = std::string(order.traceId),
          .fields = order.request->fields,
          .body = order.request->body,
          .answerBy = now + order.timeout,
          .sendBy = order.sendBy};
}

std::string requestText(const EngineRequest& request, Micros now) {
  const std::string_view body = request.body ? std::string_view(*request.body) : std::string_view();
  const Micros leftMs = std::max<Micros>(1, (request.answerBy - now) / 1000);
  std::string out;
  out.reserve(body.size() + request.target.size() + request.fields.size() + 256);
  out.append("POST ").append(request.target);
  host(out, request.host, request.port).append("X-Trace-Id: ").append(request.traceId);
  out.append("\r\nX-Expires-In-Ms: ").append(std::to_string(leftMs));
  out.append("\r\n").append(request.fields);
  out.append("Content-Length: ").append(std::to_string(body.size()));
  return out.append("\r\n\r\n").append(body);
}

std::string callText(const membership::EndpointSpec& engine, std::string_view method,
                     std::string_view target) {
  std::string out(method);
  out.append(" ").append(target);
  host(out, engine.host, engine.port);
  if (method != "GET") out.append("Content-Length: 0\r\n");
  return out.append("\r\n");
}

std::string releaseTarget(std::string_view traceId) { return "/v1/holds/" + std::string(traceId); }

std::optional<LoadReport> parseReport(std::string_view text,
                                      const deployment_config::ReportMeanings& meanings) {
  text = trim(text);
  if (!text.starts_with("TEXT ")) return std::nullopt;
  text.remove_prefix(5);
  LoadReport report;
  for (auto part : deployment_config::split(text, ',')) {
    part = trim(part);
    const auto equals = part.find('=');
    if (equals == std::string_view::npos) return std::nullopt;
    const auto digits = trim(part.substr(equals + 1));
    double value = 0;
    const auto [end, bad] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (bad != std::errc() || end != digits.data() + digits.size() || !std::isfinite(value) || value < 0)
      return std::nullopt;
    deployment_config::addReportValue(report, meanings, trim(part.substr(0, equals)), value);
  }
  if (!report.memoryShare && !report.queuedKiloTokens && !report.queuedRequests) return std::nullopt;
  return report;
}

Verdict judge(const http1::Head& head, routing::Phase phase) {
  if (head.status == 202 && phase == routing::Phase::prefill) return Verdict::readDone;
  if (head.status == 200 && phase != routing::Phase::prefill) return Verdict::stream;
  const auto never = http1::find(head.fields, "x-never-ran");
  if (never && trim(*never) == "1") return head.status == 410 ? Verdict::noState : Verdict::rejected;
  return Verdict::failed;
}

double cachedTokens(std::string_view json) {
  constexpr std::string_view kName = "\"cached_tokens\"";
  auto at = json.find(kName);
  if (at == std::string_view::npos) return 0;
  at = json.find_first_not_of(" \t:", at + kName.size());
  if (at == std::string_view::npos) return 0;
  double value = 0;
  const auto [end, bad] = std::from_chars(json.data() + at, json.data() + json.size(), value);
  return bad == std::errc() && std::isfinite(value) && value >= 0 ? value : 0;
}

}  // namespace garnethook::platform
