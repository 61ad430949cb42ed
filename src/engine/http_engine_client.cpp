#include "engine/http_engine_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "engine/attempt.h"

namespace garnethook::engine {
namespace {

std::string requestText(const membership::EndpointSpec& spec, std::string_view method,
                        const std::string& path, std::string_view traceId, std::string_view body) {
  std::string out;
  out.reserve(body.size() + 256);
  out.append(method).append(" ").append(path).append(" HTTP/1.1\r\nHost: ");
  out.append(spec.host).append(":").append(std::to_string(spec.port)).append("\r\n");
  if (!traceId.empty()) out.append("X-Request-Id: ").append(traceId).append("\r\n");
  if (!body.empty()) out.append("Content-Type: application/json\r\n");
  out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
  return out;
}

}  // namespace

void HttpEngineClient::begin(const routing::AttemptSpec& order) {
  const auto* spec = pool_.find(order.endpoint);
  if (spec == nullptr || pool_.full(order.endpoint)) {
    const bool full = spec != nullptr;
    return pool_.later([this, id = order.attempt, full] {
      events_->onAttemptEnded(
          id, {.outcome = full ? Outcome::rejected : Outcome::connectFailed,
               .leftRouter = false,
               .text = full ? "all connections to the engine are in use" : "no address of the engine"});
    });
  }
  const std::string body = requestBody(order, options_.model);
  pool_.run(order.attempt, order.endpoint,
            std::make_unique<AttemptExchange>(*events_, order.attempt, order.phase, options_),
            fixedRequest(requestText(*spec, "POST", options_.completionsPath, order.traceId, body)),
            reuseFor(order));
}

void HttpEngineClient::control(EndpointId endpoint, std::string_view method, const std::string& path,
                               const std::string& traceId, std::string_view body,
                               std::function<void(int, const std::optional<LoadReport>&)> done) {
  const auto* spec = pool_.find(endpoint);
  if (spec == nullptr) return pool_.later([done = std::move(done)] { done(0, std::nullopt); });
  pool_.run(endpoint, std::make_unique<ControlExchange>(std::move(done)),
            requestText(*spec, method, path, traceId, body), options_.controlTimeout);
}

void HttpEngineClient::fetch(EndpointId endpoint, const std::string& path,
                             std::function<void(int, const std::string&)> done) {
  const auto* spec = pool_.find(endpoint);
  if (spec == nullptr) return pool_.later([done = std::move(done)] { done(0, {}); });
  pool_.run(endpoint, std::make_unique<DocumentExchange>(std::move(done)),
            requestText(*spec, "GET", path, {}, {}), options_.controlTimeout);
}

void HttpEngineClient::release(EndpointId endpoint, RequestId request, const std::string& traceId) {
  const auto done = [this, endpoint, request](int status, const std::optional<LoadReport>&) {
    // 404: the reader holds nothing for it, which is what is wanted.
    events_->onReleaseEnded(endpoint, request, (status >= 200 && status < 300) || status == 404);
  };
  if (options_.releasePath.empty())
    return pool_.later([this, endpoint, request] { events_->onReleaseEnded(endpoint, request, true); });
  control(endpoint, "POST", options_.releasePath, traceId, nlohmann::json{{"request_id", traceId}}.dump(),
          done);
}

void HttpEngineClient::probe(EndpointId endpoint) {
  control(endpoint, "GET", options_.probePath, {}, {},
          [this, endpoint](int status, const std::optional<LoadReport>& report) {
            events_->onProbeEnded(endpoint, status >= 200 && status < 300, report);
          });
}

}  // namespace garnethook::engine
