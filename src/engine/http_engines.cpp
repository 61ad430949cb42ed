#include "engine/http_engines.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "engine/attempt.h"

namespace garnethook::engine {
namespace {

std::string requestText(const membership::EngineSpec& spec, std::string_view method, const std::string& path,
                        std::string_view workId, std::string_view body) {
  std::string out;
  out.reserve(body.size() + 256);
  out.append(method).append(" ").append(path).append(" HTTP/1.1\r\nHost: ");
  out.append(spec.host).append(":").append(std::to_string(spec.port)).append("\r\n");
  if (!workId.empty()) out.append("X-Request-Id: ").append(workId).append("\r\n");
  if (!body.empty()) out.append("Content-Type: application/json\r\n");
  out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
  return out;
}

}  // namespace

void HttpEngines::begin(const routing::Order& order) {
  const auto* spec = pool_.find(order.server);
  if (spec == nullptr || pool_.full(order.server)) {
    const bool full = spec != nullptr;
    return pool_.later([this, id = order.attempt, full] {
      events_->onAttemptEnded(
          id, {.outcome = full ? Outcome::full : Outcome::connectFailed,
               .left = false,
               .text = full ? "all connections to the engine are in use" : "no address of the engine"});
    });
  }
  const std::string body = requestBody(order, options_.model);
  pool_.run(order.attempt, order.server,
            std::make_unique<AttemptExchange>(*events_, order.attempt, order.job, options_),
            fixedRequest(requestText(*spec, "POST", options_.completionsPath, order.workId, body)),
            reuseFor(order));
}

void HttpEngines::control(ServerId server, std::string_view method, const std::string& path,
                          const std::string& workId, std::string_view body,
                          std::function<void(int, const std::optional<LoadReport>&)> done) {
  const auto* spec = pool_.find(server);
  if (spec == nullptr) return pool_.later([done = std::move(done)] { done(0, std::nullopt); });
  pool_.run(server, std::make_unique<ControlExchange>(std::move(done)),
            requestText(*spec, method, path, workId, body), options_.controlTimeout);
}

void HttpEngines::fetch(ServerId server, const std::string& path,
                        std::function<void(int, const std::string&)> done) {
  const auto* spec = pool_.find(server);
  if (spec == nullptr) return pool_.later([done = std::move(done)] { done(0, {}); });
  pool_.run(server, std::make_unique<DocumentExchange>(std::move(done)),
            requestText(*spec, "GET", path, {}, {}), options_.controlTimeout);
}

void HttpEngines::release(ServerId server, RequestId request, const std::string& workId) {
  const auto done = [this, server, request](int status, const std::optional<LoadReport>&) {
    // 404: the reader holds nothing for it, which is what is wanted.
    events_->onReleaseEnded(server, request, (status >= 200 && status < 300) || status == 404);
  };
  if (options_.releasePath.empty())
    return pool_.later([this, server, request] { events_->onReleaseEnded(server, request, true); });
  control(server, "POST", options_.releasePath, workId, nlohmann::json{{"request_id", workId}}.dump(), done);
}

void HttpEngines::probe(ServerId server) {
  control(server, "GET", options_.probePath, {}, {},
          [this, server](int status, const std::optional<LoadReport>& report) {
            events_->onProbeEnded(server, status >= 200 && status < 300, report);
          });
}

}  // namespace garnethook::engine
