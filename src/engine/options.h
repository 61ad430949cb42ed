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
  /// Model of requests that name none.
  std::string model = "default";
  /// Path of attempts.
  std::string completionsPath = "/v1/completions";
  /// Path of releases; empty: engines free KV caches by their own timeout.
  std::string releasePath;
  /// Path of probes.
  std::string probePath = "/health";
  /// Path of the description of an engine's tokeniser; empty: engines are not asked for it.
  std::string tokeniserPath = "/tokenizer_info";
  /// Local address of connections; empty: the system's choice.
  std::string sourceAddress;
  /// Time to establish a connection.
  Micros connectTimeout = 250'000;
  /// Time for a release or a probe.
  Micros controlTimeout = 400'000;
  /// An idle connection is closed after this time.
  Micros idleTimeout = 30'000'000;
  /// An endpoint that has left the list can be reached for this long, to release what it holds.
  Micros keepUnlisted = 10'000'000;
  /// Connections to one endpoint, those of releases and probes not counted.
  std::size_t connections = 1024;
  /// Idle connections that are kept to one endpoint.
  std::size_t idle = 64;
  /// Connections to all endpoints, those of releases and probes not counted; 0: unlimited.
  std::size_t allConnections = 0;
  /// Connections that are busy with releases, probes and the like; 0: unlimited.
  std::size_t controlConnections = 0;
  /// Bytes of a response that is not streamed.
  std::size_t answerBytes = std::size_t{4} << 20;
  /// Bytes of one event of a streamed response.
  std::size_t eventBytes = std::size_t{256} << 10;
  /// Limits on every response. A streamed one has no limit of its own here: its events have, and the router
  /// ends those that go on for too long.
  http1::MessageLimits message{.headBytes = std::size_t{32} * 1024, .bodyBytes = std::size_t{1} << 32};
};

}  // namespace garnethook::engine
