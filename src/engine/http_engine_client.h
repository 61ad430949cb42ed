/// @file
/// Client for engines that serve the OpenAI-compatible completions protocol over HTTP/1.1.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "engine/pooled_engine_client.h"
#include "routing/engine_client.h"

namespace garnethook::engine {

/// Sends attempts, releases and probes to engines, and fetches documents from them.
class HttpEngineClient final : public PooledEngineClient {
 public:
  /// @param loop event loop that runs the client; must outlive the client
  /// @param options paths, limits and timeouts
  HttpEngineClient(net::Loop& loop, const Options& options) : PooledEngineClient(loop, options) {}

  /// Sends an attempt; its result is reported later.
  void begin(const routing::AttemptSpec& attempt) override;
  /// Releases the KV state of a request; the result is reported later.
  void release(const routing::ReleaseCall& call, const std::string& traceId) override;
  /// Returns whether a path for releases is configured.
  bool canRelease() const override { return !connections().options().releasePath.empty(); }
  /// Probes an endpoint; the result is reported later.
  void probe(EndpointId endpoint) override;
  /// Fetches a document of at most 256 KiB with a GET request.
  /// @param endpoint endpoint to fetch the document from
  /// @param path path of the document
  /// @param done called later; the status is 0 if the response is not complete
  void fetch(EndpointId endpoint, const std::string& path, std::function<void(int, const std::string&)> done);

  /// Path of an engine's tokeniser description; empty: it is not fetched.
  const std::string& tokeniserPath() const { return pool().options().tokeniserPath; }
  /// Connections that carry an exchange.
  std::size_t busyConnections() const { return pool().busyConnections(); }
  /// Attempts in progress.
  std::size_t attempts() const { return pool().attempts(); }

 private:
  void sendControl(EndpointId endpoint, std::string_view method, const std::string& path,
                   const std::string& traceId, std::string_view body,
                   std::function<void(int, const std::optional<LoadReport>&)> done);
};

}  // namespace garnethook::engine
