// Settings of the engine client; docs/configuration.md tells their names in the file.
#pragma once

#include <cstddef>
#include <string>

#include "http1/message.h"
#include "policy/routing_policy.h"

namespace garnethook::engine {

struct Options {
  std::string model = "default";
  std::string completionsPath = "/v1/completions";
  std::string releasePath;  // empty: engines let go of states by their own time-out
  std::string probePath = "/health";
  std::string tokeniserPath = "/tokenizer_info";  // empty: engines are not asked
  std::string sourceAddress;                      // local address of connections; empty: the system's choice
  Micros connectTimeout = 250'000;
  Micros controlTimeout = 400'000;      // of a release or a probe
  Micros idleTimeout = 30'000'000;      // an idle connection is closed after it
  std::size_t connections = 1024;       // to one engine, releases and probes aside
  std::size_t idle = 64;                // of them kept idle
  std::size_t allConnections = 0;       // to all engines, releases and probes aside; 0: no bound of their own
  std::size_t controlConnections = 0;   // busy with releases, probes and the like; 0: no bound of their own
  std::size_t answerBytes = 4u << 20;   // of an answer that is not streamed
  std::size_t eventBytes = 256u << 10;  // of one event of a streamed answer
  // A streamed answer has no bound of its own here: its events do, and the router ends those that go on too
  // long.
  http1::MessageLimits message{.headBytes = 32 * 1024, .bodyBytes = std::size_t{1} << 32};
};

}  // namespace garnethook::engine
