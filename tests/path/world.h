// The whole request path in one process on loopback: fake engines, a router on real sockets, and a client.
#pragma once

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>

#include "client/channel.h"
#include "fake_engine/fleet.h"
#include "fault_scenario/audit.h"
#include "server/router_server.h"
#include "support/loop_runner.h"

namespace garnethook::test {

struct Reply final : client::CallEvents {
  void onMessage(std::string_view message) override {
    v1::GenerateEvent event;
    ASSERT_TRUE(event.ParseFromArray(message.data(), static_cast<int>(message.size())));
    EXPECT_FALSE(status) << "a message after the status";
    if (event.has_tokens()) {
      EXPECT_EQ(event.tokens().index(), tokens);
      tokens += event.tokens().count();
      text += event.tokens().text();
    }
    if (event.has_finish()) finish = event.finish();
    if (onToken) onToken();
  }
  void onStatus(const grpc::Status& newStatus, const http2::Headers& newTrailers, bool fromServer) override {
    ++finalCount;
    status = newStatus;
    trailers = newTrailers;
    statusFromServer = fromServer;
  }
  std::uint32_t tokens = 0;
  std::string text;
  v1::Finish finish;
  int finalCount = 0;
  std::optional<grpc::Status> status;
  http2::Headers trailers;
  bool statusFromServer = false;
  std::function<void()> onToken;
};

inline constexpr std::string_view kSplitFleet = R"({ "engines": [
  { "name": "read", "count": 2, "kind": "prefill", "role": "reader", "cell": "r" },
  { "name": "write", "count": 2, "kind": "decode", "role": "writer", "cell": "r", "token_ms": 2 } ] })";

class World : public LoopRunner {
 public:
  // `extra`: additional members of the router's settings, each preceded by a comma. `enginesExtra`: the same
  // for the settings below "engines". `objectiveMs`: TTFT objective of the first class.
  explicit World(std::string_view fleetText = kSplitFleet, const std::string& extra = "",
                 const std::string& enginesExtra = "", int objectiveMs = 1000)
      : folder_(makeFolder()),
        recorder([this] { return loop.now(); }),
        fleet(loop,
              fake_engine::readFleet(config::Node(config::JsonFile::parse("fleet", fleetText)), "engines"),
              recorder) {
    settingsText = R"({ "classes": [ { "name": "chat", "aim_ms": )" + std::to_string(objectiveMs) +
                   R"(, "deadline_ms": 5000 },
                       { "name": "order", "aim_ms": 1000, "deadline_ms": 5000, "effect": "unsafe" } ],
      "kinds": [ { "name": "prefill", "role": "reader", "memory_tokens": 200000 }, { "name": "decode", "role": "writer", "memory_tokens": 200000 },
                 { "name": "mixed", "role": "both", "memory_tokens": 200000 } ],
      "engines": { "release_path": "/v1/kv/release", "poll_ms": 20)" +
                   enginesExtra + "}" + extra + "}";
    fleet.writeList(endpointListPath(), 0);
    startRouter();
  }
  ~World() {
    stopLoop();
    std::filesystem::remove_all(folder_);
  }

  std::string endpointListPath() const { return folder_ + "/engines.json"; }
  void startRouter(std::uint16_t port = 0) {
    auto settings = server::readSettings(config::Node(config::JsonFile::parse("router", settingsText)),
                                         endpointListPath());
    settings.listen = "127.0.0.1:" + std::to_string(port);
    settings.stateFolder = folder_ + "/state";
    router = std::make_unique<server::RouterServer>(
        loop, settings, 1, "test" + std::to_string(++routerStarts_), log::Log::none());
    channel = std::make_unique<client::Channel>(loop, router->address(), client::Channel::Options{});
  }
  http2::StreamId sendRequest(Reply& reply, const std::string& prompt = "is the flag on? #m1",
                              Micros timeout = 5'000'000, const std::string& requestClass = "",
                              const std::string& path = "/garnethook.v1.Generation/Generate") {
    v1::GenerateRequest request;
    request.set_prompt(prompt);
    request.set_request_class(requestClass);
    request.set_max_output_tokens(40);
    return channel->call(path, request.SerializeAsString(), timeout, reply);
  }
  std::size_t count(const std::string& kind, const std::string& engine = "") const {
    std::size_t matches = 0;
    for (const auto& event : recorder.events())
      matches += event["what"] == kind && (engine.empty() || event["engine"] == engine) ? 1 : 0;
    return matches;
  }
  // Returns the time of the latest event of a kind; -1: none.
  Micros latestEventTime(const std::string& kind) const {
    Micros time = -1;
    for (const auto& event : recorder.events())
      if (event["what"] == kind) time = event["t"];
    return time;
  }
  void forEachEngine(const std::string& kind, const std::function<void(fake_engine::Engine&)>& function) {
    for (const auto& engine : fleet.engines())
      if (engine->options().kind == kind) function(*engine);
  }
  // Expects that no request, KV state, KV reservation, release or attempt is left.
  void expectClean() {
    EXPECT_TRUE(until(
        [&] {
          return fleet.held() == 0 && router->router().activeRequests() == 0 &&
                 router->router().kvReservations().reservationCount() == 0 &&
                 router->router().kvReservations().unconfirmedReleaseCount() == 0 &&
                 router->engines().attempts() == 0;
        },
        3'000'000));
    // Confirmed releases are repeated while an abandoned attempt may still run at its engine.
    EXPECT_TRUE(until([&] { return router->router().kvReservations().pendingReleaseCount() == 0; },
                      routing::KvReservationTracker::kMaxAbandonedWork));
    EXPECT_EQ(fleet.held(), 0u);
    EXPECT_EQ(router->router().activeRequests(), 0u);
  }

  std::string settingsText;

 private:
  static std::string makeFolder() {
    std::string pattern = testing::TempDir() + "garnethook-path-XXXXXX";
    EXPECT_NE(::mkdtemp(pattern.data()), nullptr);
    return pattern;
  }
  std::string folder_;
  int routerStarts_ = 0;

 public:
  fake_engine::Recorder recorder;
  fake_engine::Fleet fleet;
  std::unique_ptr<server::RouterServer> router;
  std::unique_ptr<client::Channel> channel;
};

}  // namespace garnethook::test
