// Test environment: a platform router on loopback, with engines, clients and discovery scripted by the test.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "fake_engine/http_server.h"
#include "platform/process/router_process.h"
#include "support/loop_runner.h"
#include "support/platform_peers.h"

namespace garnethook::test {

class PlatformWorld : public LoopRunner {
 public:
  PlatformWorld() : prefillEngine(loop), decodeEngine(loop), otherDecodeEngine(loop) {
    prefillEngine.script = [](ScriptedEngine::Request& engineRequest) {
      answerControlRequest(engineRequest) || (engineRequest.stream->send(kPrefillResponse), true);
    };
    decodeEngine.script = otherDecodeEngine.script = [](ScriptedEngine::Request& engineRequest) {
      answerControlRequest(engineRequest) || (engineRequest.stream->send(kCompleteStream), true);
    };
    discovery = makeDiscovery(watchRequests);
    startRouter();
  }
  ~PlatformWorld() { stopLoop(); }

  static bool answerControlRequest(ScriptedEngine::Request& engineRequest) {
    return test::answerControlRequest(engineRequest);
  }
  std::unique_ptr<fake_engine::HttpServer> makeDiscovery(
      std::vector<std::pair<std::string, std::shared_ptr<fake_engine::HttpReply>>>& receivedRequests) {
    return std::make_unique<fake_engine::HttpServer>(
        loop, Poco::Net::SocketAddress("127.0.0.1", 0),
        [&receivedRequests, this](fake_engine::HttpRequest request,
                                  std::shared_ptr<fake_engine::HttpReply> reply) {
          reply->begin(200, {});
          reply->piece(initialEndpointList + "\n");
          receivedRequests.emplace_back(request.head.target, reply);
        });
  }
  std::string memberJson(const std::string& id, const ScriptedEngine& engine, const std::string& flavor,
                         const std::string& phase = "ready") const {
    return memberText(id, engine, flavor, phase);
  }
  std::string configText(const std::string& discoveryAddress) const {
    return platformConfigText(discoveryAddress);
  }
  platform::PlatformConfig readConfig(const std::string& discoveryAddress) const {
    return platform::readPlatformConfig(config::JsonFile::parse("config.json", configText(discoveryAddress)),
                                        [](const char*) { return std::nullopt; });
  }
  void startRouter() {
    initialEndpointList = R"({"revision":1,"complete":true,"members":[)" +
                          memberJson("r", prefillEngine, "m1") + "," + memberJson("w", decodeEngine, "m2") +
                          "]}";
    routerProcess = std::make_unique<platform::RouterProcess>(
        loop, readConfig(discovery->address().toString()), log::Log::none());
    EXPECT_TRUE(until([&] { return routerProcess->endpointList().endpoints().size() == 2; }));
  }
  std::unique_ptr<RawClient> connectClient() {
    return std::make_unique<RawClient>(loop, routerProcess->address());
  }
  // Waits until the router has no request, attempt, KV reservation or unconfirmed release left.
  bool becomesIdle() {
    const auto& reservations = routerProcess->router().kvReservations();
    const bool isIdle = until(
        [&] {
          const auto& currentRouter = routerProcess->router();
          return currentRouter.pendingRequests() == 0 && currentRouter.activeRequests() == 0 &&
                 reservations.reservationCount() + reservations.unconfirmedReleaseCount() == 0 &&
                 routerProcess->frontend().openRequests() == 0;
        },
        2'000'000);
    // Confirmed releases are repeated while an abandoned attempt may still be running on its engine.
    return isIdle && until([&] { return reservations.pendingReleaseCount() == 0; },
                           routing::KvReservationTracker::kMaxAbandonedWork);
  }

  std::string initialEndpointList;
  ScriptedEngine prefillEngine;
  ScriptedEngine decodeEngine;
  ScriptedEngine otherDecodeEngine;
  std::vector<std::pair<std::string, std::shared_ptr<fake_engine::HttpReply>>> watchRequests;
  std::unique_ptr<fake_engine::HttpServer> discovery;
  std::unique_ptr<platform::RouterProcess> routerProcess;
};

}  // namespace garnethook::test
