// Fault cases end to end: a gRPC client, a router on sockets and fake engines.
#include <signal.h>

#include <array>

#include "engine/completions.h"
#include "world.h"

namespace garnethook::test {
namespace {

using grpc::Code;

TEST(Path, TheStreamedResponseEqualsTheEnginesOutput) {
  World world;
  Reply reply;
  world.sendRequest(reply, "tell me of the north hall #m1");
  ASSERT_TRUE(world.until([&] { return reply.finalCount > 0; }));
  EXPECT_EQ(reply.status->code, Code::ok);
  const fake_engine::Answer answer("tell me of the north hall #m1", 40);
  EXPECT_EQ(reply.text, answer.text());
  EXPECT_EQ(reply.finish.usage().output_tokens(), answer.tokens());
  EXPECT_EQ(reply.finish.usage().attempts(), 2u);
  EXPECT_EQ(world.count("state.fetched"), 1u);
  world.expectClean();
}

TEST(Path, TheUnaryCallReturnsTheSameResponseInOneMessage) {
  struct UnaryCall final : client::CallEvents {
    void onMessage(std::string_view messageBytes) override {
      EXPECT_TRUE(response.ParseFromArray(messageBytes.data(), static_cast<int>(messageBytes.size())));
    }
    void onStatus(const grpc::Status& newStatus, const http2::Headers&, bool) override { status = newStatus; }
    v1::GenerateResponse response;
    std::optional<grpc::Status> status;
  } unaryCall;
  World world;
  v1::GenerateRequest generateRequest;
  generateRequest.set_prompt("x #m1");
  generateRequest.set_max_output_tokens(5);
  world.channel->call("/garnethook.v1.Generation/GenerateOnce", generateRequest.SerializeAsString(),
                      3'000'000, unaryCall);
  ASSERT_TRUE(world.until([&] { return unaryCall.status.has_value(); }));
  EXPECT_EQ(unaryCall.response.text(), fake_engine::Answer("x #m1", 5).text());
  EXPECT_EQ(unaryCall.response.finish().reason(), v1::Finish::LENGTH);
}

TEST(Path, ACancelDuringTheKvTransferReleasesTheKvStateWithin500Ms) {
  World world;
  // The transfer takes minutes.
  world.forEachEngine("prefill", [](auto& fakeEngine) { fakeEngine.faults.link = 1e7; });
  Reply reply;
  const auto id = world.sendRequest(reply);
  ASSERT_TRUE(world.until([&] { return world.count("engine.request") == 2; }));
  world.pass(50'000);
  EXPECT_EQ(world.fleet.held(), 1u);
  const Micros cancelTime = world.loop.now();
  world.channel->cancel(id);
  ASSERT_TRUE(world.until([&] { return world.fleet.held() == 0; }, 1'000'000));
  EXPECT_LT(world.latestEventTime("state.released") - cancelTime, 500'000);
  EXPECT_EQ(reply.finalCount, 0);
  world.expectClean();
}

// Prevents KV state that an engine has created between its start and the report of that start in the endpoint
// list from staying reserved after its call has been cancelled.
TEST(Path, ACancelReleasesAStateThatWasCreatedBeforeTheStartOfItsEngineWasListed) {
  World world;
  const auto restartPrefillEngines = [&] {
    world.forEachEngine("prefill", [](auto& fakeEngine) {
      fakeEngine.start();
      fakeEngine.faults.link = 1e7;  // the transfer takes minutes
    });
  };
  restartPrefillEngines();
  world.fleet.writeList(world.endpointListPath(), 0);
  world.pass(100'000);
  restartPrefillEngines();
  Reply reply;
  const auto id = world.sendRequest(reply);
  ASSERT_TRUE(world.until([&] { return world.fleet.held() == 1; }));
  world.pass(50'000);
  world.fleet.writeList(world.endpointListPath(), 0);
  world.pass(100'000);
  world.channel->cancel(id);
  EXPECT_TRUE(world.until([&] { return world.fleet.held() == 0; }, 500'000));
  world.expectClean();
}

TEST(Path, ACancelDuringThePrefillReleasesItsKvState) {
  World world(
      R"({ "engines": [ { "name": "read", "kind": "prefill", "role": "reader", "read_base_ms": 300, "cancel_stops": false },
                            { "name": "write", "kind": "decode", "role": "writer" } ] })");
  Reply reply;
  const auto id = world.sendRequest(reply);
  ASSERT_TRUE(world.until([&] { return world.count("engine.request") == 1; }));
  world.pass(30'000);
  world.channel->cancel(id);
  world.pass(600'000);  // the prefill continues after the cancel and has completed by now
  EXPECT_EQ(world.count("engine.request"), 1u);
  world.expectClean();
}

TEST(Path, ASilentDecodeEngineStillYieldsOneFinalStatusInTime) {
  World world;
  world.forEachEngine("decode", [](auto& fakeEngine) { fakeEngine.faults.silent = true; });
  Reply reply;
  const Micros sendTime = world.loop.now();
  world.sendRequest(reply, "p #m1", 2'000'000);
  ASSERT_TRUE(world.until([&] { return reply.finalCount > 0; }));
  EXPECT_TRUE(reply.statusFromServer);
  EXPECT_LT(world.loop.now() - sendTime, 2'000'000);
  EXPECT_NE(reply.status->code, Code::ok);
  world.pass(200'000);
  EXPECT_EQ(reply.finalCount, 1);
  world.expectClean();
}

TEST(Path, ADecodeEngineThatStallsAfterSixTokensYieldsOneStatusBeforeTheDeadline) {
  for (const bool longDeadline : {false, true}) {
    World world(kSplitFleet, R"(, "streams": { "silence_ms": 700 })");
    world.forEachEngine("decode", [](auto& fakeEngine) { fakeEngine.faults.stallAfter = 6; });
    Reply reply;
    const Micros sendTime = world.loop.now();
    const Micros timeout = longDeadline ? 4'000'000 : 500'000;
    world.sendRequest(reply, "p #m1", timeout);
    ASSERT_TRUE(world.until([&] { return reply.finalCount > 0; }));
    EXPECT_EQ(reply.status->code, longDeadline ? Code::aborted : Code::deadlineExceeded);
    EXPECT_EQ(reply.tokens, 6u);
    EXPECT_LT(world.loop.now() - sendTime, longDeadline ? 1'500'000 : 500'000);
    world.pass(100'000);
    EXPECT_EQ(reply.finalCount, 1);
    world.expectClean();
  }
}

// Guards against counting a call's timeout from the moment of its read, which may be long after its arrival
// if the process was stopped, had no core or was busy: the status came after the client's deadline.
TEST(Path, ACallThatARouterReadsLateGetsItsStatusBeforeTheDeadline) {
  constexpr Micros kTimeout = 800'000;
  constexpr Micros kHoldUp = 400'000;
  for (const bool isNewConnection : {true, false}) {
    World world(kSplitFleet, R"(, "streams": { "deadline_margin_ms": 250 })");
    if (!isNewConnection) {
      Reply first;
      world.sendRequest(first);
      ASSERT_TRUE(world.until([&] { return first.finalCount > 0; }));
    }
    world.forEachEngine("decode", [](auto& fakeEngine) { fakeEngine.faults.silent = true; });
    Reply reply;
    const Micros sendTime = world.loop.now();
    world.sendRequest(reply, "p #m1", kTimeout);
    world.stall(kHoldUp);
    ASSERT_TRUE(world.until([&] { return reply.finalCount > 0; }));
    EXPECT_TRUE(reply.statusFromServer);
    EXPECT_LT(world.loop.now() - sendTime, kTimeout) << isNewConnection;
  }
}

TEST(Path, AClientWithAZeroFlowControlWindowGetsItsStatusBeforeTheDeadline) {
  World world(R"({ "engines": [ { "name": "read", "kind": "prefill", "role": "reader" },
                            { "name": "write", "kind": "decode", "role": "writer", "token_ms": 1 } ] })");
  client::Channel zeroWindowChannel(world.loop, world.router->address(), {.streamWindow = 0});
  Reply reply;
  v1::GenerateRequest request;
  request.set_prompt("p #m1");
  const Micros sendTime = world.loop.now();
  zeroWindowChannel.call("/garnethook.v1.Generation/Generate", request.SerializeAsString(), 800'000, reply);
  ASSERT_TRUE(world.until([&] { return reply.finalCount > 0; }, 1'000'000));
  EXPECT_TRUE(reply.statusFromServer);
  EXPECT_EQ(reply.status->code, Code::deadlineExceeded);
  EXPECT_LT(world.loop.now() - sendTime, 800'000);
  EXPECT_EQ(reply.tokens, 0u);
  world.expectClean();
}

TEST(Path, HundredsOfStalledStreamsEachGetOneFinalStatusWhenTheRouterDrains) {
  World world(kSplitFleet, R"(, "stop_within_ms": 200, "open_requests": 1000)");
  world.forEachEngine("decode", [](auto& fakeEngine) { fakeEngine.faults.stallAfter = 1; });
  std::array<Reply, 300> replies;
  std::size_t requestCount = 0;
  // Starts with 16 requests: engines have few slots, and stalled responses keep theirs.
  while (requestCount < 16)
    world.sendRequest(replies[requestCount], "p #m" + std::to_string(requestCount), 60'000'000),
        ++requestCount;
  ASSERT_TRUE(world.until([&] {
    return std::all_of(replies.begin(), replies.begin() + 16,
                       [](auto& reply) { return reply.tokens == 1 || reply.finalCount == 1; });
  }));
  while (requestCount < replies.size())
    world.sendRequest(replies[requestCount], "p #m" + std::to_string(requestCount), 60'000'000),
        ++requestCount;
  // Waits until the router has accepted all requests, also on a busy machine: it answers only those that it
  // accepted.
  ASSERT_TRUE(world.until([&] { return world.router->router().counters().accepted == replies.size(); }));
  bool drained = false;
  world.router->drain([&] { drained = true; });
  ASSERT_TRUE(world.until([&] { return drained; }, 5'000'000));
  for (const auto& reply : replies) {
    EXPECT_EQ(reply.finalCount, 1);
    EXPECT_TRUE(reply.statusFromServer);
  }
  EXPECT_EQ(world.router->router().pendingRequests(), 0u);
}

TEST(Path, DrainingEnginesWithAHeldKvStateStillServeItAndGetNoNewRequests) {
  World world;
  // The KV state stays at its prefill engine.
  world.forEachEngine("decode", [](auto& fakeEngine) { fakeEngine.faults.full = true; });
  Reply reply;
  world.sendRequest(reply);
  ASSERT_TRUE(world.until([&] { return world.fleet.held() == 1; }));
  world.fleet.setListed("read-1", fake_engine::Fleet::Listed::draining);
  world.fleet.setListed("write-1", fake_engine::Fleet::Listed::draining);
  world.fleet.writeList(world.endpointListPath(), 0);
  world.pass(100'000);
  const auto requestsBefore =
      world.count("engine.request", "write-1") + world.count("engine.request", "read-1");
  world.forEachEngine("decode", [](auto& fakeEngine) { fakeEngine.faults.full = false; });
  world.until([&] { return reply.finalCount > 0; });
  EXPECT_EQ(reply.finalCount, 1);
  for (int i = 0; i < 10; ++i) {
    Reply nextReply;
    world.sendRequest(nextReply, "q " + std::to_string(i) + " #m" + std::to_string(i + 2));
    ASSERT_TRUE(world.until([&] { return nextReply.finalCount > 0; }));
  }
  EXPECT_EQ(world.count("engine.request", "write-1") + world.count("engine.request", "read-1"),
            requestsBefore);
  world.expectClean();
}

TEST(Path, AClientConnectionLostInAnyStageReleasesAllResources) {
  for (const bool isReset : {false, true})
    for (const std::string stage : {"read", "transfer", "answer"}) {
      World world(
          R"({ "engines": [ { "name": "read", "kind": "prefill", "role": "reader", "read_base_ms": 60, "cancel_stops": false },
                                { "name": "write", "kind": "decode", "role": "writer", "token_ms": 20 } ] })");
      if (stage == "transfer")
        world.forEachEngine("prefill", [](auto& fakeEngine) { fakeEngine.faults.link = 1e7; });
      Reply reply;
      world.sendRequest(reply);
      ASSERT_TRUE(world.until([&] {
        return stage == "read"       ? world.count("engine.request") == 1
               : stage == "transfer" ? world.count("engine.request") == 2
                                     : reply.tokens > 2;
      })) << stage;
      world.channel->close(isReset);
      const Micros closeTime = world.loop.now();
      world.pass(200'000);
      world.expectClean();
      EXPECT_LT(world.latestEventTime("state.released") - closeTime, 500'000) << stage;
      EXPECT_EQ(world.router->router().counters().cancelled, 1u) << stage;
      EXPECT_LE(world.count("engine.request"), 2u);
    }
}

TEST(Engine, TooDeeplyNestedResponsesAreRejected) {
  const std::string deeplyNested =
      "{\"kv_transfer_params\":" + std::string(500'000, '[') + std::string(500'000, ']') + "}";
  EXPECT_FALSE(engine::parsePrefillResponse(deeplyNested));
  EXPECT_FALSE(engine::parseChunk(deeplyNested));
  EXPECT_EQ(engine::parseErrorResponse(500, deeplyNested).outcome, Outcome::error);
  EXPECT_FALSE(engine::parseLoadMetrics("JSON " + deeplyNested));
  EXPECT_TRUE(engine::parsePrefillResponse(R"({"kv_transfer_params":{"a":"[[[[{{{{\"["}})"));
}

TEST(Path, AnEmptyListRejectsAtOnceWithRetryAfter) {
  World world;
  std::ofstream(world.endpointListPath()) << R"({ "engines": [] })";
  world.pass(100'000);
  Reply reply;
  const Micros sendTime = world.loop.now();
  world.sendRequest(reply);
  ASSERT_TRUE(world.until([&] { return reply.finalCount > 0; }));
  EXPECT_EQ(reply.status->code, Code::unavailable);
  EXPECT_GT(reply.status->retryAfterMs.value_or(0), 0);
  EXPECT_TRUE(http2::find(reply.trailers, "grpc-status-details-bin"));
  EXPECT_LT(world.loop.now() - sendTime, 300'000);
}

TEST(Path, TheLossOfAllPrefillEnginesEndsEachRequestOnceAndServiceRecovers) {
  World world;
  world.forEachEngine("prefill", [](auto& fakeEngine) { fakeEngine.stop(); });
  std::array<Reply, 20> replies;
  for (std::size_t i = 0; i < replies.size(); ++i)
    world.sendRequest(replies[i], "p #m" + std::to_string(i), 1'500'000);
  ASSERT_TRUE(world.until(
      [&] {
        return std::all_of(replies.begin(), replies.end(), [](auto& reply) { return reply.finalCount == 1; });
      },
      1'500'000));
  for (const auto& reply : replies) EXPECT_TRUE(reply.statusFromServer);
  world.forEachEngine("prefill", [](auto& fakeEngine) { fakeEngine.start(); });
  world.fleet.writeList(world.endpointListPath(), 0);
  bool isRecovered = false;
  for (int i = 0; i < 8 && !isRecovered; ++i) {
    Reply reply;
    world.sendRequest(reply, "p #back", 1'000'000);
    ASSERT_TRUE(world.until([&] { return reply.finalCount > 0; }, 2'000'000));
    isRecovered = reply.status->code == Code::ok;
    world.pass(300'000);
  }
  EXPECT_TRUE(isRecovered);
}

TEST(Path, AnEngineFailureInAnyStageYieldsOneFinalStatus) {
  for (const int stage : {0, 1, 2, 3}) {
    World world;
    Reply reply;
    if (stage == 0) world.forEachEngine("prefill", [](auto& fakeEngine) { fakeEngine.faults.reset = true; });
    if (stage == 1) world.forEachEngine("decode", [](auto& fakeEngine) { fakeEngine.faults.reset = true; });
    if (stage == 2) world.forEachEngine("decode", [](auto& fakeEngine) { fakeEngine.faults.dieAfter = 0; });
    if (stage == 3) world.forEachEngine("decode", [](auto& fakeEngine) { fakeEngine.faults.dieAfter = 5; });
    world.sendRequest(reply, "p #m1", 2'000'000, "order");
    ASSERT_TRUE(world.until([&] { return reply.finalCount > 0; })) << stage;
    EXPECT_TRUE(reply.statusFromServer);
    EXPECT_NE(reply.status->code, Code::ok);
    // A possibly executed non-idempotent request is neither retried nor reported as rejected.
    if (stage >= 1) {
      EXPECT_EQ(world.count("engine.request", "write-1") + world.count("engine.request", "write-2"),
                stage == 1 ? 0u : 1u);
      EXPECT_LT(reply.status->retryAfterMs.value_or(-1), 0);
    }
    world.pass(100'000);
    EXPECT_EQ(reply.finalCount, 1);
    // Releases can be sent again.
    world.forEachEngine("prefill", [](auto& fakeEngine) { fakeEngine.faults.reset = false; });
    world.expectClean();
  }
}

TEST(Path, ALostKvStateIsPrefilledAgainAndTheDecodeEngineIsNotBlamed) {
  World world;
  world.forEachEngine("decode", [](auto& fakeEngine) { fakeEngine.faults.full = true; });
  Reply reply;
  world.sendRequest(reply);
  ASSERT_TRUE(world.until([&] { return world.fleet.held() == 1; }));
  // The prefill engine restarts while it holds the KV state.
  world.forEachEngine("prefill", [](auto& fakeEngine) {
    fakeEngine.stop();
    fakeEngine.start();
  });
  world.forEachEngine("decode", [](auto& fakeEngine) { fakeEngine.faults.full = false; });
  ASSERT_TRUE(world.until([&] { return reply.finalCount > 0; }));
  EXPECT_EQ(reply.status->code, Code::ok);
  EXPECT_EQ(world.count("engine.refused") >= 1, true);
  world.expectClean();
}

TEST(Path, InvalidEngineResponsesYieldOneFinalStatus) {
  const auto expectOneFailure = [](auto injectFault, const std::string& kind) {
    World world;
    world.forEachEngine(kind, injectFault);
    Reply reply;
    world.sendRequest(reply, "p #m1", 2'000'000);
    ASSERT_TRUE(world.until([&] { return reply.finalCount > 0; }));
    EXPECT_TRUE(reply.statusFromServer);
    EXPECT_NE(reply.status->code, Code::ok);
    world.expectClean();
  };
  for (const std::string kind : {"prefill", "decode"}) {
    expectOneFailure([](auto& fakeEngine) { fakeEngine.faults.badHttp = true; }, kind);
    expectOneFailure([](auto& fakeEngine) { fakeEngine.faults.error = true; }, kind);
  }
  expectOneFailure([](auto& fakeEngine) { fakeEngine.faults.hugeEvent = true; }, "decode");
  expectOneFailure([](auto& fakeEngine) { fakeEngine.setTrickle(100'000); }, "decode");
}

TEST(Path, ARestartedRouterUsesItsStoredListAndServesRetries) {
  World world;
  Reply lostReply;
  world.forEachEngine("decode", [](auto& fakeEngine) { fakeEngine.faults.silent = true; });
  world.sendRequest(lostReply);
  ASSERT_TRUE(world.until([&] { return world.count("engine.request") == 2; }));
  const auto port = world.router->address().port();
  world.router.reset();
  ASSERT_TRUE(world.until([&] { return lostReply.finalCount == 1; }));
  EXPECT_FALSE(lostReply.statusFromServer);
  world.forEachEngine("decode", [](auto& fakeEngine) { fakeEngine.faults.silent = false; });
  std::filesystem::remove(world.endpointListPath());
  world.startRouter(port);
  Reply reply;
  world.sendRequest(reply);
  ASSERT_TRUE(world.until([&] { return reply.finalCount > 0; }));
  EXPECT_EQ(reply.status->code, Code::ok);
}

// Guards against dropping connections that the system has taken when the drain begins.
TEST(Path, ACallOnAConnectionThatWaitsToBeAcceptedIsServedWhenTheRouterDrains) {
  World world;
  client::Channel channel(world.loop, world.router->address(), {});
  Reply reply;
  v1::GenerateRequest request;
  request.set_prompt("p #m1");
  channel.call("/garnethook.v1.Generation/Generate", request.SerializeAsString(), 2'000'000, reply);
  bool drained = false;
  world.router->drain([&] { drained = true; });
  ASSERT_TRUE(world.until([&] { return reply.finalCount > 0; }, 2'000'000));
  EXPECT_EQ(reply.status->code, Code::ok) << reply.status->message;
  EXPECT_TRUE(world.until([&] { return drained; }, 2'000'000));
}

TEST(Path, TheSigtermDrainGivesEveryRequestItsFinalStatus) {
  World world(kSplitFleet, R"(, "stop_within_ms": 300)");
  world.forEachEngine("decode", [](auto& fakeEngine) { fakeEngine.faults.stallAfter = 3; });
  std::array<Reply, 10> replies;
  for (std::size_t i = 0; i < replies.size(); ++i)
    world.sendRequest(replies[i], "p #m" + std::to_string(i), 5'000'000, i % 2 ? "order" : "chat");
  ASSERT_TRUE(world.until([&] {
    return std::all_of(replies.begin(), replies.end(), [](auto& reply) { return reply.tokens == 3; });
  }));
  bool drained = false;
  world.router->drain([&] { drained = true; });
  ASSERT_TRUE(world.until([&] { return drained; }, 3'000'000));
  for (const auto& reply : replies) {
    EXPECT_EQ(reply.finalCount, 1);
    EXPECT_TRUE(reply.statusFromServer);
    EXPECT_EQ(reply.status->code, Code::aborted);
  }
}

TEST(Path, InvalidRequestsAreRejectedWithTheFieldName) {
  World world;
  const auto statusText = [&](const std::function<void(v1::GenerateRequest&)>& fillRequest) {
    v1::GenerateRequest request;
    fillRequest(request);
    Reply reply;
    world.channel->call("/garnethook.v1.Generation/Generate", request.SerializeAsString(), 2'000'000, reply);
    EXPECT_TRUE(world.until([&] { return reply.finalCount > 0; }));
    return std::string(grpc::name(reply.status->code)) + " " + reply.status->message;
  };
  EXPECT_EQ(statusText([](auto&) {}), "INVALID_ARGUMENT prompt: is empty");
  EXPECT_TRUE(statusText([](auto& generateRequest) {
                generateRequest.set_prompt("x");
                generateRequest.set_request_class("no");
              }).starts_with("INVALID_ARGUMENT request_class"));
  EXPECT_TRUE(statusText([](auto& generateRequest) {
                generateRequest.set_prompt("x");
                generateRequest.mutable_prompt_tokens()->add_ids(1);
              }).starts_with("INVALID_ARGUMENT prompt and prompt_tokens"));
  EXPECT_TRUE(statusText([](auto& generateRequest) {
                generateRequest.set_prompt("x");
                generateRequest.set_max_output_tokens(1 << 30);
              }).starts_with("INVALID_ARGUMENT max_output_tokens"));
  Reply garbage;
  world.channel->call("/garnethook.v1.Generation/Generate", "\xff\xff\xff", 2'000'000, garbage);
  Reply unknown;
  world.channel->call("/garnethook.v1.Generation/No", "", 2'000'000, unknown);
  ASSERT_TRUE(world.until([&] { return garbage.finalCount + unknown.finalCount == 2; }));
  EXPECT_EQ(garbage.status->code, Code::invalidArgument);
  EXPECT_EQ(unknown.status->code, Code::unimplemented);
  EXPECT_EQ(world.count("engine.request"), 0u);
}

TEST(Path, InvalidFramesCloseOnlyTheirOwnConnection) {
  World world;
  Reply validReply;
  world.sendRequest(validReply);
  struct RawConnection final : net::StreamEvents {
    void onBytes(std::string_view received) override { bytes.append(received); }
    void onClosed(net::CloseCause) override { closed = true; }
    std::string bytes;
    bool closed = false;
  };
  const std::string connectionPreface =
      "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + std::string("\0\0\0\4\0\0\0\0\0", 9);
  for (const std::string& invalidBytes :
       {std::string("GET / HTTP/1.1\r\n\r\n"), connectionPreface + std::string("\0\0\1\0\0\0\0\0\0x", 10),
        connectionPreface + std::string("\xff\xff\xff\0\0\0\0\0\1", 9), std::string(1000, '\0')}) {
    RawConnection rawConnection;
    net::Stream stream(world.loop, world.router->address(), "", 1'000'000, rawConnection);
    stream.send(invalidBytes);
    EXPECT_TRUE(world.until([&] { return rawConnection.closed; }, 2'000'000));
    EXPECT_NE(rawConnection.bytes.find('\x07'), std::string::npos);  // a GOAWAY
  }
  ASSERT_TRUE(world.until([&] { return validReply.finalCount > 0; }));
  EXPECT_EQ(validReply.status->code, Code::ok);
}

}  // namespace
}  // namespace garnethook::test
