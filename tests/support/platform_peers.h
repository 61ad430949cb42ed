// Peers of a platform router, on the test's own loop: scripted engines and clients, and builders for the
// discovery list and the configuration that refer to them.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "http1/message.h"
#include "net/listener.h"
#include "net/stream.h"

namespace garnethook::test {

// An engine that answers each request with bytes chosen by the test.
class ScriptedEngine {
 public:
  struct Request {
    http1::Head head;
    std::string body;
    std::size_t connection = 0;  // index among all accepted connections
    net::Stream* stream = nullptr;
  };
  using Script = std::function<void(Request&)>;

  explicit ScriptedEngine(net::Loop& loop)
      : loop_(loop), listener_(loop, Poco::Net::SocketAddress("127.0.0.1", 0), [this](auto socket) {
          connections_.push_back(std::make_unique<Connection>(*this, std::move(socket), connections_.size()));
        }) {}
  std::string address() const { return listener_.address().toString(); }
  void stopListening() { listener_.abort(); }
  std::size_t gone() const { return gone_; }
  std::size_t count(std::string_view method) const {
    return static_cast<std::size_t>(std::count_if(
        seen.begin(), seen.end(), [&](const auto& received) { return received.head.method == method; }));
  }

  Script script;
  std::vector<Request> seen;

 private:
  struct Connection final : net::StreamEvents, http1::MessageEvents {
    Connection(ScriptedEngine& owner, Poco::Net::StreamSocket socket, std::size_t index)
        : engine(owner),
          number(index),
          parser(http1::MessageParser::Kind::request, {}, *this),
          stream(owner.loop_, std::move(socket), *this) {}
    void onBytes(std::string_view bytes) override { EXPECT_TRUE(parser.receive(bytes)); }
    void onClosed(net::CloseCause) override { ++engine.gone_; }
    void onHead(const http1::Head& requestHead) override { current = {requestHead, {}, number, &stream}; }
    void onBody(std::string_view bytes) override { current.body += bytes; }
    void onEnd() override {
      engine.seen.push_back(current);
      if (engine.script) engine.script(current);
    }
    ScriptedEngine& engine;
    std::size_t number;
    http1::MessageParser parser;
    Request current;
    net::Stream stream;
  };
  net::Loop& loop_;
  std::size_t gone_ = 0;
  std::vector<std::unique_ptr<Connection>> connections_;
  net::Listener listener_;
};

// A client connection that exposes the received bytes.
class RawClient final : public net::StreamEvents {
 public:
  RawClient(net::Loop& loop, const Poco::Net::SocketAddress& routerAddress)
      : stream(loop, routerAddress, "", 1'000'000, *this) {}
  void onBytes(std::string_view bytes) override { got += bytes; }
  void onClosed(net::CloseCause) override { closed = true; }
  void ask(const std::string& id, const std::string& className = "chat", const std::string& extraHeaders = "",
           const std::string& body = R"({"model":"m"})") {
    stream.send("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Trace-Id: " + id +
                "\r\nX-Qos: " + className + "\r\nX-Expires-In-Ms: " + std::to_string(expiresInMs) +
                "\r\nX-Props: prompt_len=100,max_out=10\r\n" + extraHeaders +
                "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  bool has(std::string_view part) const { return got.find(part) != std::string::npos; }
  std::size_t count(std::string_view part) const {
    std::size_t occurrences = 0;
    for (auto at = got.find(part); at != std::string::npos; at = got.find(part, at + part.size()))
      ++occurrences;
    return occurrences;
  }
  std::string got;
  bool closed = false;
  int expiresInMs = 3000;  // sent with each request
  net::Stream stream;
};

inline constexpr std::string_view kPrefillResponse =
    "HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nContent-Length: "
    "22\r\n\r\n{\"cached_tokens\":4096}";
inline constexpr std::string_view kStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
inline std::string chunk(std::string_view text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + std::string(text) + "\r\n";
}
inline const std::string kTokenEvent = "data: {\"choices\":[{\"index\":0}]}\n\n";
inline const std::string kDoneEvent = "data: [DONE]\n\n";
inline const std::string kFinalChunk = "0\r\n\r\n";
inline const std::string kCompleteStream =
    std::string(kStreamHead) + chunk(kTokenEvent) + chunk(kDoneEvent) + kFinalChunk;

// Answers control requests such as releases with 204. Returns false for prefill and decode requests.
inline bool answerControlRequest(ScriptedEngine::Request& received) {
  if (received.head.method == "POST") return false;
  received.stream->send("HTTP/1.1 204 No Content\r\n\r\n");
  return true;
}

// An engine's entry in a discovery list.
inline std::string memberText(const std::string& id, const ScriptedEngine& engine, const std::string& flavor,
                              const std::string& phase = "ready") {
  return R"({"id":")" + id + R"(","host_port":")" + engine.address() + R"(","locality":"a","flavor":")" +
         flavor + R"(","cell":1,"phase":")" + phase + R"(","size":1.0,"up_since_ms":0})";
}

// A discovery list: a complete one or a delta.
inline std::string listText(int revision, bool complete, const std::string& members) {
  return R"({"revision":)" + std::to_string(revision) + R"(,"complete":)" + (complete ? "true" : "false") +
         R"(,"members":[)" + members + "]}";
}

// The configuration of a router on loopback. `extraKeys`: additional keys of the top-level object, each
// followed by a comma.
inline std::string platformConfigText(const std::string& discoveryAddress, int sockets = 256,
                                      const std::string& extraKeys = "") {
  return "{" + extraKeys + R"("name":"n0","listen":"127.0.0.1:0","discovery":")" + discoveryAddress +
         R"(","seed":"1",
      "limits":{"cores":1,"memory_mb":64,"sockets":)" +
         std::to_string(sockets) + R"(},
      "settings":{"az":"a","zones":["a"],"skus":["m1","m2"],"balancers":1,
        "allowed":{"attemptsCap":6,"mayCancel":true,"probes":true,"connIdleMs":15000.0,"dialTimeoutMs":250.0,
                   "retryAfter":true,"maxRetryAfterMs":500.0},
        "familyInfo":{"kindRole":["read","write"],"memoryTokens":[200000,100000],"releaseWithinMs":500.0,
                      "tokenAimMs":[50.0,70.0],"reportX0":"share of memory"},
        "profiles":[{"name":"chat","aimMs":800.0,"deadlineMs":3000.0,"effect":"read_like"},
                    {"name":"order","aimMs":1500.0,"deadlineMs":6000.0,"effect":"non_idempotent"}],
        "rules":{"coldFrom":0.3,"warmWithinMs":9000.0,"fallMultiple":2.5,"tipAfterMs":1500.0}}})";
}

}  // namespace garnethook::test
