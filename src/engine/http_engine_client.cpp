#include "engine/http_engine_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "engine/completion_exchange.h"
#include "engine/control_exchange.h"

namespace garnethook::engine {
namespace {

std::string formatRequest(const membership::EndpointSpec& spec, std::string_view method,
                          const std::string& path, std::string_view traceId, std::string_view body) {
  std::string request;
  request.reserve(body.size() + 256);
  request.append(method).append(" ").append(path).append(" HTTP/1.1\r\nHost: ");
  request.append(spec.host).append(":").append(std::to_string(spec.port)).append("\r\n");
  if (!traceId.empty()) request.append("X-Request-Id: ").append(traceId).append("\r\n");
  if (!body.empty()) request.append("Content-Type: application/json\r\n");
  request.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
  return request;
}

}  // namespace

void HttpEngineClient::begin(const routing::AttemptSpec& attempt) {
  const auto* const spec = findForAttempt(attempt, "all connections to the engine are in use");
  if (spec == nullptr) return;
  const Options& options = connections().options();
  const std::string body = requestBody(attempt, options.model);
  connections().start(
      attempt.attempt, attempt.endpoint,
      std::make_unique<CompletionExchange>(events(), attempt.attempt, attempt.phase, options),
      fixedRequest(formatRequest(*spec, "POST", options.completionsPath, attempt.traceId, body)),
      reuseFor(attempt));
}

void HttpEngineClient::sendControl(EndpointId endpoint, std::string_view method, const std::string& path,
                                   const std::string& traceId, std::string_view body,
                                   std::function<void(int, const std::optional<LoadReport>&)> done) {
  const auto* const spec = connections().find(endpoint);
  if (spec == nullptr) return connections().post([done = std::move(done)] { done(0, std::nullopt); });
  connections().start(endpoint, std::make_unique<ControlExchange>(std::move(done)),
                      formatRequest(*spec, method, path, traceId, body),
                      connections().options().controlTimeout);
}

void HttpEngineClient::fetch(EndpointId endpoint, const std::string& path,
                             std::function<void(int, const std::string&)> done) {
  const auto* const spec = connections().find(endpoint);
  if (spec == nullptr) return connections().post([done = std::move(done)] { done(0, {}); });
  connections().start(endpoint, std::make_unique<DocumentExchange>(std::move(done)),
                      formatRequest(*spec, "GET", path, {}, {}), connections().options().controlTimeout);
}

void HttpEngineClient::release(const routing::ReleaseCall& call, const std::string& traceId) {
  const std::string& path = connections().options().releasePath;
  if (path.empty()) return connections().post([this, call] { events().onReleaseEnded(call, true); });
  const auto done = [this, call](int status, const std::optional<LoadReport>&) {
    // 404 counts as success: the endpoint holds no KV state for the request.
    events().onReleaseEnded(call, (status >= 200 && status < 300) || status == 404);
  };
  sendControl(call.endpoint, "POST", path, traceId, nlohmann::json{{"request_id", traceId}}.dump(), done);
}

void HttpEngineClient::probe(EndpointId endpoint) {
  const auto done = [this, endpoint](int status, const std::optional<LoadReport>& report) {
    events().onProbeEnded(endpoint, status >= 200 && status < 300, report);
  };
  sendControl(endpoint, "GET", connections().options().probePath, {}, {}, done);
}

}  // namespace garnethook::engine
