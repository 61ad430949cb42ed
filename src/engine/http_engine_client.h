// Engines over HTTP/1.1: OpenAI-compatible completions on pooled connections.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "engine/options.h"
#include "engine/pool.h"
#include "routing/engine_client.h"

namespace garnethook::engine {

class HttpEngineClient final : public routing::EngineClient {
 public:
  HttpEngineClient(net::Loop& loop, const Options& options) : options_(options), pool_(loop, options) {}
  // Before the first call of any other.
  void setEvents(routing::EngineClientEvents& events) { events_ = &events; }

  // The engines as listed now. Exchanges with one that left go on; its idle connections are closed.
  void update(const membership::EndpointMap& engines) { pool_.update(engines); }

  void begin(const routing::AttemptSpec& order) override;
  void cancel(routing::AttemptId attempt) override { pool_.abandon(attempt); }
  routing::DeliveryState deliveryState(routing::AttemptId attempt) const override {
    return pool_.deliveryState(attempt);
  }
  void release(EndpointId endpoint, RequestId request, const std::string& traceId) override;
  void probe(EndpointId endpoint) override;
  // GET of a document at most 256 KiB long; `done` comes later, with status 0 where there is no answer.
  void fetch(EndpointId endpoint, const std::string& path, std::function<void(int, const std::string&)> done);
  // Reads no more of the attempt's answer, so that the engine's socket fills; and goes on.
  void pause(routing::AttemptId attempt, bool paused) { pool_.pause(attempt, paused); }

  const std::string& tokeniserPath() const { return options_.tokeniserPath; }
  std::size_t busyConnections() const { return pool_.busyConnections(); }
  std::size_t attempts() const { return pool_.attempts(); }

 private:
  void control(EndpointId endpoint, std::string_view method, const std::string& path,
               const std::string& traceId, std::string_view body,
               std::function<void(int, const std::optional<LoadReport>&)> done);

  Options options_;
  Pool pool_;
  routing::EngineClientEvents* events_ = nullptr;
};

}  // namespace garnethook::engine
