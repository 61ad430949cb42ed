// A router of the platform on loopback, with peers that say exactly what the test tells them to.
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
  PlatformWorld() : reader(loop), writer(loop), otherWriter(loop) {
    reader.script = [](ScriptedEngine::Request& r) {
      answerControlRequest(r) || (r.stream->send(kPrefillResponse), true);
    };
    writer.script = otherWriter.script = [](ScriptedEngine::Request& r) {
      answerControlRequest(r) || (r.stream->send(kCompleteStream), true);
    };
    discovery = makeDiscovery(watches);
    start();
  }
  ~PlatformWorld() { stopLoop(); }

  static bool answerControlRequest(ScriptedEngine::Request& r) { return test::answerControlRequest(r); }
  std::unique_ptr<fake_engine::HttpServer> makeDiscovery(
      std::vector<std::pair<std::string, std::shared_ptr<fake_engine::HttpReply>>>& to) {
    return std::make_unique<fake_engine::HttpServer>(
        loop, Poco::Net::SocketAddress("127.0.0.1", 0),
        [&to, this](fake_engine::HttpRequest request, std::shared_ptr<fake_engine::HttpReply> reply) {
          reply->begin(200, {});
          reply->piece(firstList + "\n");
          to.emplace_back(request.head.target, reply);
        });
  }
  std::string member(const std::string& id, const ScriptedEngine& e, const std::string& flavor,
                     const std::string& phase = "ready") const {
    return memberText(id, e, flavor, phase);
  }
  std::string config(const std::string& discoveryAddress) const {
    return platformConfigText(discoveryAddress);
  }
  platform::PlatformConfig read(const std::string& discoveryAddress) const {
    return platform::readPlatformConfig(config::JsonFile::parse("config.json", config(discoveryAddress)),
                                        [](const char*) { return std::nullopt; });
  }
  void start() {
    firstList = R"({"revision":1,"complete":true,"members":[)" + member("r", reader, "m1") + "," +
                member("w", writer, "m2") + "]}";
    node = std::make_unique<platform::RouterProcess>(loop, read(discovery->address().toString()),
                                                     log::Log::none());
    EXPECT_TRUE(until([&] { return node->endpointList().endpoints().size() == 2; }));
  }
  std::unique_ptr<RawClient> client() { return std::make_unique<RawClient>(loop, node->address()); }
  // No request, no attempt, nothing held.
  bool clean() {
    const auto& reservations = node->router().kvReservations();
    const bool isIdle = until(
        [&] {
          const auto& r = node->router();
          return r.pendingRequests() == 0 && r.activeRequests() == 0 &&
                 reservations.reservationCount() + reservations.unconfirmedReleaseCount() == 0 &&
                 node->frontend().openRequests() == 0;
        },
        2'000'000);
    // Confirmed releases are repeated while an attempt that was given up may go on at its engine.
    return isIdle && until([&] { return reservations.pendingReleaseCount() == 0; },
                           routing::KvReservationTracker::kMaxAbandonedWork);
  }

  std::string firstList;
  ScriptedEngine reader;
  ScriptedEngine writer;
  ScriptedEngine otherWriter;
  std::vector<std::pair<std::string, std::shared_ptr<fake_engine::HttpReply>>> watches;
  std::unique_ptr<fake_engine::HttpServer> discovery;
  std::unique_ptr<platform::RouterProcess> node;
};

}  // namespace garnethook::test
