/// @file
/// Settings of the engine clients; docs/configuration.md lists their names in the settings file.
#pragma once

#include <cstddef>
#include <string>

#include "http1/message.h"
#include "policy/routing_policy.h"

namespace garnethook::engine {

/// Settings of an engine client; all times are in microseconds.
struct Options {
  /// Model for requests that do not specify one.
  std::string model = "default";
  /// Path of attempts.
  std::string completionsPath = "/v1/completions";
  /// Path of releases; empty: engines free the KV state after a timeout of their own.
  std::string releasePath;
  /// Path of probes.
  std::string probePath = "/health";
  /// Path of an engine's tokeniser description; empty: it is not fetched.
  std::string tokeniserPath = "/tokenizer_info";
  /// Local address of connections; empty: chosen by the operating system.
  std::string sourceAddress;
  /// Timeout for establishing a connection.
  Micros connectTimeout = 250'000;
  /// Timeout of a release or a probe.
  Micros controlTimeout = 400'000;
  /// Time after which an idle connection is closed.
  Micros idleTimeout = 30'000'000;
  /// Time for which an endpoint that has left the list stays reachable, so that its KV reservations can be
  /// released.
  Micros unlistedRetention = 10'000'000;
  /// Maximum number of connections to one endpoint, excluding those of releases and probes.
  std::size_t connections = 1024;
  /// Maximum number of idle connections to one endpoint.
  std::size_t idle = 64;
  /// Maximum number of connections to all endpoints, excluding those of releases and probes; 0: unlimited.
  std::size_t totalConnections = 0;
  /// Maximum number of connections that carry releases, probes and other control exchanges; 0: unlimited.
  std::size_t controlConnections = 0;
  /// Maximum size in bytes of a response that is not streamed.
  std::size_t responseBytes = std::size_t{4} << 20;
  /// Maximum size in bytes of one event of a streamed response.
  std::size_t eventBytes = std::size_t{256} << 10;
  /// Limits on every response. A streamed response has no size limit of its own, since its events are limited
  /// and the router ends streams that take too long.
  http1::MessageLimits message{.headBytes = std::size_t{32} * 1024, .bodyBytes = std::size_t{1} << 32};
};

}  // namespace garnethook::engine
