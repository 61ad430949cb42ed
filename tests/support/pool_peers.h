// What tests of the pool of connections to engines share: exchanges that remember what they heard, and a pool
// with one kept connection.
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

struct Heard {
  std::string body;
  int ends = 0;
  std::optional<Outcome> failed;
};
struct Listening final : engine::Exchange {
  explicit Listening(Heard& to) : heard(to) {}
  bool onHead(const http1::Head&) override { return true; }
  bool onBody(std::string_view bytes) override {
    heard.body += bytes;
    return true;
  }
  void onEnd() override { ++heard.ends; }
  void onFailed(Outcome outcome, const std::string&, bool) override { heard.failed = outcome; }
  void onNotSent(const std::string&) override { heard.failed = Outcome::rejected; }
  void detach() override {}
  Heard& heard;
};

inline membership::EndpointMap only(const Poco::Net::SocketAddress& address) {
  membership::EndpointSpec e;
  e.name = "e";
  e.id = {7};
  e.host = address.host().toString();
  e.port = address.port();
  return {{"e", e}};
}
inline const std::string kGet = "GET / HTTP/1.1\r\nHost: e\r\n\r\n";
inline std::string answer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// One exchange with an engine that answers "mine", after which its connection is kept.
inline void keepOne(LoopRunner& w, ScriptedEngine& e, engine::ConnectionPool& pool) {
  e.script = [](ScriptedEngine::Request& r) { r.stream->send(answer("mine")); };
  pool.update(only(Poco::Net::SocketAddress(e.address())));
  Heard first;
  pool.start({7}, std::make_unique<Listening>(first), kGet, 0);
  ASSERT_TRUE(w.until([&] { return pool.idleConnections() == 1; }, 1'000'000));
  EXPECT_EQ(first.ends, 1);
}
// Until a kept connection may be used again.
inline void rest(LoopRunner& w) { w.pass(30'000); }

// Told of by the router; remembers how attempts ended.
struct AttemptEnds final : routing::EngineClientEvents {
  void onTokens(routing::AttemptId, std::string_view, std::uint32_t,
                std::span<const std::uint32_t>) override {}
  void onAttemptEnded(routing::AttemptId, const routing::AttemptResult& r) override { ends.push_back(r); }
  void onProbeEnded(EndpointId, bool, const std::optional<LoadReport>&) override {}
  void onReleaseEnded(const routing::ReleaseCall&, bool) override {}
  std::vector<routing::AttemptResult> ends;
};

}  // namespace garnethook::test
