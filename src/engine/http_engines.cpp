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

HttpEngines::HttpEngines(net::Loop& loop, const Options& options) : loop_(loop), options_(options) {}

HttpEngines::~HttpEngines() { *alive_ = false; }

void HttpEngines::later(std::function<void()> task) {
  loop_.post([task = std::move(task), alive = alive_] {
    if (*alive) task();
  });
}

HttpEngines::Engine* HttpEngines::find(ServerId server) {
  const auto at = engines_.find(server.value);
  return at == engines_.end() ? nullptr : &at->second;
}

void HttpEngines::update(const membership::EngineMap& engines) {
  for (auto& [id, e] : engines_) e.listed = false;
  for (const auto& [name, spec] : engines) {
    Engine& e = engines_[spec.id.value];
    const bool moved = e.spec.host != spec.host || e.spec.port != spec.port;
    if (moved || e.spec.startedAt != spec.startedAt) closeIdle(e);
    e.spec = spec;
    e.listed = true;
    if (!moved && e.resolved) continue;
    try {
      e.address = Poco::Net::SocketAddress(spec.host, spec.port);
      e.resolved = true;
    } catch (const Poco::Exception&) {
      e.resolved = false;  // attempts there end with no connection
    }
  }
  for (auto& [id, e] : engines_)
    if (!e.listed) closeIdle(e);
  std::erase_if(engines_, [](const auto& item) { return !item.second.listed && item.second.busy == 0; });
}

void HttpEngines::closeIdle(Engine& e) {
  for (auto& c : e.idle) discard(std::move(c));
  e.idle.clear();
}

Connection& HttpEngines::connect(Engine& e) {
  std::unique_ptr<Connection> own;
  while (!own && !e.idle.empty()) {
    own = std::move(e.idle.back());
    e.idle.pop_back();
    if (!own->usable()) discard(std::move(own));
  }
  if (!own)
    own = std::make_unique<Connection>(loop_, options_, e.address, e.spec.id,
                                       static_cast<ConnectionOwner&>(*this));
  Connection& c = *own;
  busy_[&c] = std::move(own);
  ++e.busy;
  return c;
}

void HttpEngines::onFree(Connection& connection, bool reusable) {
  std::unique_ptr<Connection> own;
  Engine* e = find(connection.server());
  if (const auto at = busy_.find(&connection); at != busy_.end()) {
    own = std::move(at->second);
    busy_.erase(at);
    if (e != nullptr) --e->busy;
  } else if (e != nullptr) {
    const auto same = [&](const auto& c) { return c.get() == &connection; };
    if (const auto idle = std::find_if(e->idle.begin(), e->idle.end(), same); idle != e->idle.end()) {
      own = std::move(*idle);
      e->idle.erase(idle);
    }
  }
  if (!own) return;
  if (own->attempt) attempts_.erase(*std::exchange(own->attempt, std::nullopt));
  if (reusable && e != nullptr && e->listed && e->idle.size() < options_.idle) {
    own->rest();
    e->idle.push_back(std::move(own));
  } else {
    discard(std::move(own));
  }
}

// A connection is often given up from within its own call, so it ends in the loop's next turn.
void HttpEngines::discard(std::unique_ptr<Connection> connection) {
  loop_.post([c = std::shared_ptr<Connection>(std::move(connection))] {});
}

void HttpEngines::begin(const routing::Order& order) {
  Engine* e = find(order.server);
  if (e == nullptr || !e->resolved || e->busy >= options_.connections) {
    const bool full = e != nullptr && e->resolved;
    return later([this, id = order.attempt, full] {
      events_->onAttemptEnded(
          id, {.outcome = full ? Outcome::full : Outcome::connectFailed,
               .text = full ? "all connections to the engine are in use" : "no address of the engine"});
    });
  }
  const std::string body = requestBody(order, options_.model);
  Connection& c = connect(*e);
  c.attempt = order.attempt;
  attempts_[order.attempt] = &c;
  c.run(std::make_unique<AttemptExchange>(*events_, order.attempt, order.job, options_),
        requestText(e->spec, "POST", options_.completionsPath, order.workId, body), 0);
}

void HttpEngines::cancel(routing::AttemptId attempt) {
  const auto at = attempts_.find(attempt);
  if (at != attempts_.end()) at->second->abandon();
}

void HttpEngines::pause(routing::AttemptId attempt, bool paused) {
  const auto at = attempts_.find(attempt);
  if (at != attempts_.end()) at->second->pause(paused);
}

void HttpEngines::control(ServerId server, std::string_view method, const std::string& path,
                          const std::string& workId, std::string_view body,
                          std::function<void(int, const std::optional<LoadReport>&)> done) {
  Engine* e = find(server);
  if (e == nullptr || !e->resolved) return later([done = std::move(done)] { done(0, std::nullopt); });
  connect(*e).run(std::make_unique<ControlExchange>(std::move(done)),
                  requestText(e->spec, method, path, workId, body), options_.controlTimeout);
}

void HttpEngines::fetch(ServerId server, const std::string& path,
                        std::function<void(int, const std::string&)> done) {
  Engine* e = find(server);
  if (e == nullptr || !e->resolved) return later([done = std::move(done)] { done(0, {}); });
  connect(*e).run(std::make_unique<DocumentExchange>(std::move(done)),
                  requestText(e->spec, "GET", path, {}, {}), options_.controlTimeout);
}

void HttpEngines::release(ServerId server, RequestId request, const std::string& workId) {
  const auto done = [this, server, request](int status, const std::optional<LoadReport>&) {
    // 404: the reader holds nothing for it, which is what is wanted.
    events_->onReleaseEnded(server, request, (status >= 200 && status < 300) || status == 404);
  };
  if (options_.releasePath.empty())
    return later([this, server, request] { events_->onReleaseEnded(server, request, true); });
  control(server, "POST", options_.releasePath, workId, nlohmann::json{{"request_id", workId}}.dump(), done);
}

void HttpEngines::probe(ServerId server) {
  control(server, "GET", options_.probePath, {}, {},
          [this, server](int status, const std::optional<LoadReport>& report) {
            events_->onProbeEnded(server, status >= 200 && status < 300, report);
          });
}

}  // namespace garnethook::engine
