// The HTTP front and the router core on a real loop, with clients on raw sockets and engines that do what the
// test says. The loop stands still whenever the test's thread is at work, so what a peer does between two
// turns is ready at once when the next turn begins.
#pragma once

#include <Poco/Net/NetException.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/config/platform_config.h"
#include "platform/discovery/endpoint_list.h"
#include "platform/http_frontend/http_frontend.h"
#include "support/loop_runner.h"
#include "support/platform_peers.h"

namespace garnethook::test {

// Engines without sockets. Each attempt is recorded; `script` says what comes of it.
class StubEngines final : public routing::EngineClient {
 public:
  struct Attempt {
    routing::AttemptId id;
    routing::Phase phase = routing::Phase::combined;
    Micros timeout = 0;
    std::string traceId;
  };
  using Script = std::function<void(const Attempt&)>;

  explicit StubEngines(net::Loop& loop) : loop_(loop) {}

  void begin(const routing::AttemptSpec& order) override {
    const Attempt attempt{order.attempt, order.phase, order.timeout, std::string(order.traceId)};
    begun.push_back(attempt);
    loop_.post([this, attempt] { script ? script(attempt) : succeed(attempt); });
  }
  void cancel(routing::AttemptId) override { ++cancelled; }
  routing::DeliveryState deliveryState(routing::AttemptId) const override {
    return routing::DeliveryState::confirmed;
  }
  void release(const routing::ReleaseCall& call, const std::string&) override {
    loop_.post([this, call] { events->onReleaseEnded(call, true); });
  }
  void probe(EndpointId) override {}

  void succeed(const Attempt& attempt) {
    if (attempt.phase == routing::Phase::prefill) return end(attempt, Outcome::prefillDone);
    events->onTokens(attempt.id, kEvent, 1, {});
    end(attempt, Outcome::completed);
  }
  void end(const Attempt& attempt, Outcome outcome) {
    events->onAttemptEnded(attempt.id, {.outcome = outcome});
  }
  // The first write is held back until the test ends it, with `firstEvent` behind that one; all else
  // succeeds.
  void holdFirstWrite(bool firstEvent) {
    script = [this, firstEvent](const Attempt& attempt) {
      if (attempt.phase == routing::Phase::prefill || held) return succeed(attempt);
      held = attempt;
      if (firstEvent) events->onTokens(attempt.id, kEvent, 1, {});
    };
  }
  std::size_t count(routing::Phase phase) const {
    return static_cast<std::size_t>(
        std::count_if(begun.begin(), begun.end(), [&](const auto& a) { return a.phase == phase; }));
  }

  routing::EngineClientEvents* events = nullptr;
  Script script;
  std::vector<Attempt> begun;
  std::optional<Attempt> held;
  std::size_t cancelled = 0;

 private:
  net::Loop& loop_;
};

// A client on a blocking socket of its own, whose every step is the test's.
class BlockingClient {
 public:
  explicit BlockingClient(const Poco::Net::SocketAddress& to) : socket_(to) {
    socket_.setNoDelay(true);
    socket_.setReceiveTimeout(Poco::Timespan(0, 1000));
  }
  void send(std::string_view text) { socket_.sendBytes(text.data(), static_cast<int>(text.size())); }
  void halfClose() { socket_.shutdownSend(); }
  void close() { socket_.close(); }
  void reset() {
    socket_.setLinger(true, 0);
    socket_.close();
  }
  // Takes what has come so far.
  void receive() {
    std::array<char, 65536> piece{};
    try {
      while (const int n = socket_.receiveBytes(piece.data(), static_cast<int>(piece.size())))
        got.append(piece.data(), static_cast<std::size_t>(n));
      ended = true;
    } catch (const Poco::TimeoutException&) {
    } catch (const Poco::Net::ConnectionResetException&) { wasReset = true; }
  }
  // Asks for a small buffer, so that what is not read yet waits at the router.
  void narrow() { socket_.setReceiveBufferSize(8 * 1024); }
  // Takes at most so many bytes of what has come.
  void receiveSome(int most) {
    std::string piece(static_cast<std::size_t>(most), '\0');
    try {
      const int n = socket_.receiveBytes(piece.data(), most);
      got.append(piece.data(), static_cast<std::size_t>(std::max(0, n)));
    } catch (const Poco::TimeoutException&) {
    } catch (const Poco::Net::ConnectionResetException&) { wasReset = true; }
  }
  // Whether the router's side has ended with a reset; nothing more is read.
  bool resetSeen() {
    int error = 0;
    socket_.impl()->getOption(SOL_SOCKET, SO_ERROR, error);
    return wasReset || error == ECONNRESET || error == EPIPE;
  }
  std::size_t count(std::string_view part) const {
    std::size_t n = 0;
    for (auto at = got.find(part); at != std::string::npos; at = got.find(part, at + part.size())) ++n;
    return n;
  }
  bool has(std::string_view part) const { return count(part) > 0; }

  // Streams that came to their last chunk.
  std::size_t streams() const { return count("\r\n" + std::string(kLast)); }

  std::string got;
  bool ended = false;
  bool wasReset = false;

 private:
  Poco::Net::StreamSocket socket_;
};

// A request for class `kind`, as a client writes it.
inline std::string clientRequest(const std::string& id, const std::string& kind = "chat",
                                 const std::string& more = "", int expiresMs = 3000) {
  const std::string body = R"({"model":"m"})";
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Trace-Id: " + id + "\r\nX-Qos: " + kind +
         "\r\nX-Expires-In-Ms: " + std::to_string(expiresMs) + "\r\nX-Props: prompt_len=100,max_out=10\r\n" +
         more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class FrontendWorld : public LoopRunner {
 public:
  // `silence`: the longest time between two events of a stream.
  explicit FrontendWorld(const platform::HttpFrontend::Options& options = {},
                         Micros silence = routing::StreamGuard::Options().stallTimeout)
      : engines(loop), config(testConfig()) {
    routing::Options core;
    core.settings = config.deployment.settings;
    core.instance = "n0";
    core.streamGuard.deadlineMargin = 0;
    core.streamGuard.stallTimeout = silence;
    core.streamGuard.enforcesDeadline = false;
    router = std::make_unique<routing::Router>(core, loop, engines, observer_);
    engines.events = router.get();
    platform::EndpointList list;
    list.apply(platform::parseEndpointList(
        R"({"revision":1,"complete":true,"members":[)"
        R"({"id":"r","host_port":"127.0.0.1:1","locality":"a","flavor":"m1","cell":1,"phase":"ready"},)"
        R"({"id":"w","host_port":"127.0.0.1:2","locality":"a","flavor":"m2","cell":1,"phase":"ready"}]})"));
    const membership::KindAndZoneNames names{config.deployment.kindNames, config.deployment.zoneNames};
    router->onEndpointUpdate(
        membership::toEndpointUpdate(list.endpoints(), {}, names, EndpointUpdate::Kind::snapshot));
    front = std::make_unique<platform::HttpFrontend>(loop, Poco::Net::SocketAddress("127.0.0.1", 0), options,
                                                     config.deployment, *router,
                                                     platform::HttpFrontend::Events{[] { return true; }});
  }
  ~FrontendWorld() { stopLoop(); }

  static platform::PlatformConfig testConfig() {
    return platform::readPlatformConfig(
        config::JsonFile::parse("config.json", platformConfigText("127.0.0.1:1")),
        [](const char*) { return std::nullopt; });
  }
  std::unique_ptr<BlockingClient> client() { return std::make_unique<BlockingClient>(front->address()); }
  // A client whose connection has been accepted; with `answered` it has had an answer and rests.
  std::unique_ptr<BlockingClient> acceptedClient(bool answered) {
    const auto before = front->counters().accepted;
    auto c = client();
    EXPECT_TRUE(until([&] { return front->counters().accepted > before; }, 1'000'000));
    if (!answered) return c;
    c->send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_TRUE(until([&] { return (c->receive(), c->has("ready\n")); }, 1'000'000));
    c->got.clear();
    return c;
  }
  // Runs the loop until the client has `n` whole answers by the engines.
  bool served(BlockingClient& c, std::size_t n, Micros limit = 2'000'000) {
    return until([&] { return (c.receive(), c.streams() >= n); }, limit);
  }
  bool ended(BlockingClient& c, Micros limit = 2'000'000) {
    return until([&] { return (c.receive(), c.ended || c.wasReset); }, limit);
  }
  // Nothing is open or held, and the front accounts for nothing.
  bool clean() {
    const bool isIdle = until(
        [&] {
          return router->pendingRequests() == 0 && router->activeRequests() == 0 &&
                 front->openRequests() == 0 &&
                 router->kvReservations().reservationCount() +
                         router->kvReservations().unconfirmedReleaseCount() ==
                     0 &&
                 front->bufferedBytes() == 0;
        },
        2'000'000);
    // Confirmed releases are repeated while an attempt that was given up may go on at its engine.
    return isIdle && until([&] { return router->kvReservations().pendingReleaseCount() == 0; },
                           routing::KvReservationTracker::kMaxAbandonedWork);
  }

  StubEngines engines;
  platform::PlatformConfig config;
  std::unique_ptr<routing::Router> router;
  std::unique_ptr<platform::HttpFrontend> front;

 private:
  struct Silent final : routing::Observer {};
  Silent observer_;
};

}  // namespace garnethook::test
