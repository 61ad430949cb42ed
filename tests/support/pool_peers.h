// Shared by tests of the connection pool: exchanges and clients that record responses and results, and a pool
// with one idle connection.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "engine/connection_pool.h"
#include "support/loop_runner.h"
#include "support/platform_peers.h"

namespace garnethook::test {

struct RecordedResponse {
  std::string body;
  int completions = 0;
  std::optional<Outcome> failure;
};
struct RecordingExchange final : engine::Exchange {
  explicit RecordingExchange(RecordedResponse& recorded) : response(recorded) {}
  bool onHead(const http1::Head&) override { return true; }
  bool onBody(std::string_view bytes) override {
    response.body += bytes;
    return true;
  }
  void onEnd() override { ++response.completions; }
  void onFailed(const engine::ExchangeFailure& failure) override { response.failure = failure.outcome; }
  void onNotSent(const std::string&) override { response.failure = Outcome::rejected; }
  void detach() override {}
  RecordedResponse& response;
};

inline membership::EndpointMap singleEndpoint(const Poco::Net::SocketAddress& address) {
  membership::EndpointSpec spec;
  spec.name = "e";
  spec.id = {7};
  spec.host = address.host().toString();
  spec.port = address.port();
  return {{"e", spec}};
}
inline const std::string kGetRequest = "GET / HTTP/1.1\r\nHost: e\r\n\r\n";
inline std::string okResponse(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Completes one exchange with an engine that responds with "mine", after which the connection is idle.
inline void createIdleConnection(LoopRunner& runner, ScriptedEngine& scriptedEngine,
                                 engine::ConnectionPool& pool) {
  scriptedEngine.script = [](ScriptedEngine::Request& request) { request.stream->send(okResponse("mine")); };
  pool.update(singleEndpoint(Poco::Net::SocketAddress(scriptedEngine.address())));
  RecordedResponse firstResponse;
  pool.start({7}, std::make_unique<RecordingExchange>(firstResponse), kGetRequest, 0);
  ASSERT_TRUE(runner.until([&] { return pool.idleConnections() == 1; }, 1'000'000));
  EXPECT_EQ(firstResponse.completions, 1);
}
// Waits until the idle connection is past the time in which a stray response rules out its reuse.
inline void waitUntilReusable(LoopRunner& runner) { runner.pass(30'000); }

// Records the results of attempts.
struct AttemptRecorder final : routing::EngineClientEvents {
  void onTokens(routing::AttemptId, std::string_view, std::uint32_t,
                std::span<const std::uint32_t>) override {}
  void onAttemptEnded(routing::AttemptId, const routing::AttemptResult& result) override {
    results.push_back(result);
  }
  void onProbeEnded(EndpointId, bool, const std::optional<LoadReport>&) override {}
  void onReleaseEnded(const routing::ReleaseCall&, bool) override {}
  std::vector<routing::AttemptResult> results;
};

}  // namespace garnethook::test
