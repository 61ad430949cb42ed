// The hard cases, each caused on the whole path: gRPC client, router on sockets, stand-in engines.
#include <signal.h>

#include <array>

#include "engine/completions.h"
#include "world.h"

namespace garnethook::test {
namespace {

using grpc::Code;

TEST(Path, AnAnswerIsStreamedAndIsWhatTheEngineWrote) {
  World w;
  Reply r;
  w.sendRequest(r, "tell me of the north hall #m1");
  ASSERT_TRUE(w.until([&] { return r.finalCount > 0; }));
  EXPECT_EQ(r.status->code, Code::ok);
  const fake_engine::Answer answer("tell me of the north hall #m1", 40);
  EXPECT_EQ(r.text, answer.text());
  EXPECT_EQ(r.finish.usage().output_tokens(), answer.tokens());
  EXPECT_EQ(r.finish.usage().attempts(), 2u);
  EXPECT_EQ(w.count("state.fetched"), 1u);
  w.expectClean();
}

TEST(Path, TheUnaryFormGivesTheSameAnswerInOneMessage) {
  struct Whole final : client::CallEvents {
    void onMessage(std::string_view m) override {
      EXPECT_TRUE(response.ParseFromArray(m.data(), static_cast<int>(m.size())));
    }
    void onStatus(const grpc::Status& s, const http2::Headers&, bool) override { status = s; }
    v1::GenerateResponse response;
    std::optional<grpc::Status> status;
  } whole;
  World w;
  v1::GenerateRequest r;
  r.set_prompt("x #m1");
  r.set_max_output_tokens(5);
  w.channel->call("/garnethook.v1.Generation/GenerateOnce", r.SerializeAsString(), 3'000'000, whole);
  ASSERT_TRUE(w.until([&] { return whole.status.has_value(); }));
  EXPECT_EQ(whole.response.text(), fake_engine::Answer("x #m1", 5).text());
  EXPECT_EQ(whole.response.finish().reason(), v1::Finish::LENGTH);
}

TEST(Path, ACancelWhileTheStateIsInTransferReleasesItWithin500Ms) {
  World w;
  w.forEachEngine("prefill", [](auto& e) { e.faults.link = 1e7; });  // the transfer takes minutes
  Reply r;
  const auto id = w.sendRequest(r);
  ASSERT_TRUE(w.until([&] { return w.count("engine.request") == 2; }));
  w.pass(50'000);
  EXPECT_EQ(w.fleet.held(), 1u);
  const Micros cancelled = w.loop.now();
  w.channel->cancel(id);
  ASSERT_TRUE(w.until([&] { return w.fleet.held() == 0; }, 1'000'000));
  EXPECT_LT(w.latestEventTime("state.released") - cancelled, 500'000);
  EXPECT_EQ(r.finalCount, 0);
  w.expectClean();
}

TEST(Path, ACancelDuringTheReadReleasesTheStateThatItLeaves) {
  World w(
      R"({ "engines": [ { "name": "read", "kind": "prefill", "role": "reader", "read_base_ms": 300, "cancel_stops": false },
                            { "name": "write", "kind": "decode", "role": "writer" } ] })");
  Reply r;
  const auto id = w.sendRequest(r);
  ASSERT_TRUE(w.until([&] { return w.count("engine.request") == 1; }));
  w.pass(30'000);
  w.channel->cancel(id);
  w.pass(600'000);  // the read goes on, and is over by now
  EXPECT_EQ(w.count("engine.request"), 1u);
  w.expectClean();
}

TEST(Path, AWriterThatAcceptsAndNeverAnswersCostsNobodyTheFinalAnswer) {
  World w;
  w.forEachEngine("decode", [](auto& e) { e.faults.silent = true; });
  Reply r;
  const Micros sent = w.loop.now();
  w.sendRequest(r, "p #m1", 2'000'000);
  ASSERT_TRUE(w.until([&] { return r.finalCount > 0; }));
  EXPECT_TRUE(r.statusFromServer);
  EXPECT_LT(w.loop.now() - sent, 2'000'000);
  EXPECT_NE(r.status->code, Code::ok);
  w.pass(200'000);
  EXPECT_EQ(r.finalCount, 1);
  w.expectClean();
}

TEST(Path, AWriterThatGoesQuietAfterSixTokensEndsInOneStatusBeforeTheDeadline) {
  for (const bool longDeadline : {false, true}) {
    World w(kSplitFleet, R"(, "streams": { "silence_ms": 700 })");
    w.forEachEngine("decode", [](auto& e) { e.faults.stallAfter = 6; });
    Reply r;
    const Micros sent = w.loop.now();
    const Micros timeout = longDeadline ? 4'000'000 : 500'000;
    w.sendRequest(r, "p #m1", timeout);
    ASSERT_TRUE(w.until([&] { return r.finalCount > 0; }));
    EXPECT_EQ(r.status->code, longDeadline ? Code::aborted : Code::deadlineExceeded);
    EXPECT_EQ(r.tokens, 6u);
    EXPECT_LT(w.loop.now() - sent, longDeadline ? 1'500'000 : 500'000);
    w.pass(100'000);
    EXPECT_EQ(r.finalCount, 1);
    w.expectClean();
  }
}

TEST(Path, AClientWhoseWindowStaysShutGetsItsStatusBeforeTheDeadline) {
  World w(R"({ "engines": [ { "name": "read", "kind": "prefill", "role": "reader" },
                            { "name": "write", "kind": "decode", "role": "writer", "token_ms": 1 } ] })");
  client::Channel narrow(w.loop, w.router->address(), {.streamWindow = 0});
  Reply r;
  v1::GenerateRequest request;
  request.set_prompt("p #m1");
  const Micros sent = w.loop.now();
  narrow.call("/garnethook.v1.Generation/Generate", request.SerializeAsString(), 800'000, r);
  ASSERT_TRUE(w.until([&] { return r.finalCount > 0; }, 1'000'000));
  EXPECT_TRUE(r.statusFromServer);
  EXPECT_EQ(r.status->code, Code::deadlineExceeded);
  EXPECT_LT(w.loop.now() - sent, 800'000);
  EXPECT_EQ(r.tokens, 0u);
  w.expectClean();
}

TEST(Path, HundredsOfIdleStreamsEachGetOneFinalAnswerWhenTheRouterGoes) {
  World w(kSplitFleet, R"(, "stop_within_ms": 200, "open_requests": 1000)");
  w.forEachEngine("decode", [](auto& e) { e.faults.stallAfter = 1; });
  std::array<Reply, 300> replies;
  std::size_t asked = 0;
  // A few at a time: engines have few slots, and stalled answers keep theirs.
  while (asked < 16) w.sendRequest(replies[asked], "p #m" + std::to_string(asked), 60'000'000), ++asked;
  ASSERT_TRUE(w.until([&] {
    return std::all_of(replies.begin(), replies.begin() + 16,
                       [](auto& r) { return r.tokens == 1 || r.finalCount == 1; });
  }));
  while (asked < replies.size())
    w.sendRequest(replies[asked], "p #m" + std::to_string(asked), 60'000'000), ++asked;
  // All have reached the router, however busy the machine: what it never took is not its to answer.
  ASSERT_TRUE(w.until([&] { return w.router->router().counters().accepted == replies.size(); }));
  bool drained = false;
  w.router->drain([&] { drained = true; });
  ASSERT_TRUE(w.until([&] { return drained; }, 5'000'000));
  for (const auto& r : replies) {
    EXPECT_EQ(r.finalCount, 1);
    EXPECT_TRUE(r.statusFromServer);
  }
  EXPECT_EQ(w.router->router().pendingRequests(), 0u);
}

TEST(Path, ADrainWhileAStateIsHeldStillServesAndSendsNothingNew) {
  World w;
  w.forEachEngine("decode", [](auto& e) { e.faults.full = true; });  // the state waits at its reader
  Reply r;
  w.sendRequest(r);
  ASSERT_TRUE(w.until([&] { return w.fleet.held() == 1; }));
  w.fleet.setListed("read-1", fake_engine::Fleet::Listed::draining);
  w.fleet.setListed("write-1", fake_engine::Fleet::Listed::draining);
  w.fleet.writeList(w.endpointListPath(), 0);
  w.pass(100'000);
  const auto before = w.count("engine.request", "write-1") + w.count("engine.request", "read-1");
  w.forEachEngine("decode", [](auto& e) { e.faults.full = false; });
  w.until([&] { return r.finalCount > 0; });
  EXPECT_EQ(r.finalCount, 1);
  for (int i = 0; i < 10; ++i) {
    Reply more;
    w.sendRequest(more, "q " + std::to_string(i) + " #m" + std::to_string(i + 2));
    ASSERT_TRUE(w.until([&] { return more.finalCount > 0; }));
  }
  EXPECT_EQ(w.count("engine.request", "write-1") + w.count("engine.request", "read-1"), before);
  w.expectClean();
}

TEST(Path, AClientsLostConnectionInEveryStageLeavesNothing) {
  for (const bool abort : {false, true})
    for (const std::string stage : {"read", "transfer", "answer"}) {
      World w(
          R"({ "engines": [ { "name": "read", "kind": "prefill", "role": "reader", "read_base_ms": 60, "cancel_stops": false },
                                { "name": "write", "kind": "decode", "role": "writer", "token_ms": 20 } ] })");
      if (stage == "transfer") w.forEachEngine("prefill", [](auto& e) { e.faults.link = 1e7; });
      Reply r;
      w.sendRequest(r);
      ASSERT_TRUE(w.until([&] {
        return stage == "read"       ? w.count("engine.request") == 1
               : stage == "transfer" ? w.count("engine.request") == 2
                                     : r.tokens > 2;
      })) << stage;
      w.channel->close(abort);
      const Micros closed = w.loop.now();
      w.pass(200'000);
      w.expectClean();
      EXPECT_LT(w.latestEventTime("state.released") - closed, 500'000) << stage;
      EXPECT_EQ(w.router->router().counters().cancelled, 1u) << stage;
      EXPECT_LE(w.count("engine.request"), 2u);
    }
}

TEST(Engine, AnswersNestedTooDeepAreNoAnswers) {
  const std::string deep =
      "{\"kv_transfer_params\":" + std::string(500'000, '[') + std::string(500'000, ']') + "}";
  EXPECT_FALSE(engine::parsePrefillResponse(deep));
  EXPECT_FALSE(engine::parseChunk(deep));
  EXPECT_EQ(engine::parseErrorResponse(500, deep).outcome, Outcome::error);
  EXPECT_FALSE(engine::parseLoadMetrics("JSON " + deep));
  EXPECT_TRUE(engine::parsePrefillResponse(R"({"kv_transfer_params":{"a":"[[[[{{{{\"["}})"));
}

TEST(Path, AnEmptyListRefusesAtOnceWithAHint) {
  World w;
  std::ofstream(w.endpointListPath()) << R"({ "engines": [] })";
  w.pass(100'000);
  Reply r;
  const Micros sent = w.loop.now();
  w.sendRequest(r);
  ASSERT_TRUE(w.until([&] { return r.finalCount > 0; }));
  EXPECT_EQ(r.status->code, Code::unavailable);
  EXPECT_GT(r.status->retryAfterMs.value_or(0), 0);
  EXPECT_TRUE(http2::find(r.trailers, "grpc-status-details-bin"));
  EXPECT_LT(w.loop.now() - sent, 300'000);
}

TEST(Path, EveryReaderGoneEndsEachRequestOnceAndServiceComesBack) {
  World w;
  w.forEachEngine("prefill", [](auto& e) { e.stop(); });
  std::array<Reply, 20> replies;
  for (std::size_t i = 0; i < replies.size(); ++i)
    w.sendRequest(replies[i], "p #m" + std::to_string(i), 1'500'000);
  ASSERT_TRUE(w.until(
      [&] { return std::all_of(replies.begin(), replies.end(), [](auto& r) { return r.finalCount == 1; }); },
      1'500'000));
  for (const auto& r : replies) EXPECT_TRUE(r.statusFromServer);
  w.forEachEngine("prefill", [](auto& e) { e.start(); });
  w.fleet.writeList(w.endpointListPath(), 0);
  bool back = false;
  for (int i = 0; i < 8 && !back; ++i) {
    Reply r;
    w.sendRequest(r, "p #back", 1'000'000);
    ASSERT_TRUE(w.until([&] { return r.finalCount > 0; }, 2'000'000));
    back = r.status->code == Code::ok;
    w.pass(300'000);
  }
  EXPECT_TRUE(back);
}

TEST(Path, AnEngineThatDiesInEveryStageCostsNoFinalAnswer) {
  for (const int stage : {0, 1, 2, 3}) {
    World w;
    Reply r;
    if (stage == 0) w.forEachEngine("prefill", [](auto& e) { e.faults.reset = true; });
    if (stage == 1) w.forEachEngine("decode", [](auto& e) { e.faults.reset = true; });
    if (stage == 2) w.forEachEngine("decode", [](auto& e) { e.faults.dieAfter = 0; });
    if (stage == 3) w.forEachEngine("decode", [](auto& e) { e.faults.dieAfter = 5; });
    w.sendRequest(r, "p #m1", 2'000'000, "order");
    ASSERT_TRUE(w.until([&] { return r.finalCount > 0; })) << stage;
    EXPECT_TRUE(r.statusFromServer);
    EXPECT_NE(r.status->code, Code::ok);
    // An unsafe request that may have run is neither tried again nor called refused.
    if (stage >= 1) {
      EXPECT_EQ(w.count("engine.request", "write-1") + w.count("engine.request", "write-2"),
                stage == 1 ? 0u : 1u);
      EXPECT_LT(r.status->retryAfterMs.value_or(-1), 0);
    }
    w.pass(100'000);
    EXPECT_EQ(r.finalCount, 1);
    w.forEachEngine("prefill", [](auto& e) { e.faults.reset = false; });  // a release can be told again
    w.expectClean();
  }
}

TEST(Path, AStateThatIsGoneIsReadAnewAndTheWriterIsNotBlamed) {
  World w;
  w.forEachEngine("decode", [](auto& e) { e.faults.full = true; });
  Reply r;
  w.sendRequest(r);
  ASSERT_TRUE(w.until([&] { return w.fleet.held() == 1; }));
  // The reader restarts while the state waits there.
  w.forEachEngine("prefill", [](auto& e) {
    e.stop();
    e.start();
  });
  w.forEachEngine("decode", [](auto& e) { e.faults.full = false; });
  ASSERT_TRUE(w.until([&] { return r.finalCount > 0; }));
  EXPECT_EQ(r.status->code, Code::ok);
  EXPECT_EQ(w.count("engine.refused") >= 1, true);
  w.expectClean();
}

TEST(Path, LyingEnginesEndInOneFinalAnswer) {
  const auto lie = [](auto how, const std::string& kind) {
    World w;
    w.forEachEngine(kind, how);
    Reply r;
    w.sendRequest(r, "p #m1", 2'000'000);
    ASSERT_TRUE(w.until([&] { return r.finalCount > 0; }));
    EXPECT_TRUE(r.statusFromServer);
    EXPECT_NE(r.status->code, Code::ok);
    w.expectClean();
  };
  for (const std::string kind : {"prefill", "decode"}) {
    lie([](auto& e) { e.faults.badHttp = true; }, kind);
    lie([](auto& e) { e.faults.error = true; }, kind);
  }
  lie([](auto& e) { e.faults.hugeEvent = true; }, "decode");
  lie([](auto& e) { e.setTrickle(100'000); }, "decode");
}

TEST(Path, AKilledRouterComesBackWithItsLastListAndServesRetries) {
  World w;
  Reply lost;
  w.forEachEngine("decode", [](auto& e) { e.faults.silent = true; });
  w.sendRequest(lost);
  ASSERT_TRUE(w.until([&] { return w.count("engine.request") == 2; }));
  const auto port = w.router->address().port();
  w.router.reset();
  ASSERT_TRUE(w.until([&] { return lost.finalCount == 1; }));
  EXPECT_FALSE(lost.statusFromServer);
  w.forEachEngine("decode", [](auto& e) { e.faults.silent = false; });
  std::filesystem::remove(w.endpointListPath());
  w.startRouter(port);
  Reply r;
  w.sendRequest(r);
  ASSERT_TRUE(w.until([&] { return r.finalCount > 0; }));
  EXPECT_EQ(r.status->code, Code::ok);
}

TEST(Path, SigtermsDrainGivesEveryRequestItsFinalAnswer) {
  World w(kSplitFleet, R"(, "stop_within_ms": 300)");
  w.forEachEngine("decode", [](auto& e) { e.faults.stallAfter = 3; });
  std::array<Reply, 10> replies;
  for (std::size_t i = 0; i < replies.size(); ++i)
    w.sendRequest(replies[i], "p #m" + std::to_string(i), 5'000'000, i % 2 ? "order" : "chat");
  ASSERT_TRUE(w.until(
      [&] { return std::all_of(replies.begin(), replies.end(), [](auto& r) { return r.tokens == 3; }); }));
  bool drained = false;
  w.router->drain([&] { drained = true; });
  ASSERT_TRUE(w.until([&] { return drained; }, 3'000'000));
  for (const auto& r : replies) {
    EXPECT_EQ(r.finalCount, 1);
    EXPECT_TRUE(r.statusFromServer);
    EXPECT_EQ(r.status->code, Code::aborted);
  }
}

TEST(Path, MalformedRequestsAreRefusedByField) {
  World w;
  const auto code = [&](const std::function<void(v1::GenerateRequest&)>& set) {
    v1::GenerateRequest request;
    set(request);
    Reply r;
    w.channel->call("/garnethook.v1.Generation/Generate", request.SerializeAsString(), 2'000'000, r);
    EXPECT_TRUE(w.until([&] { return r.finalCount > 0; }));
    return std::string(grpc::name(r.status->code)) + " " + r.status->message;
  };
  EXPECT_EQ(code([](auto&) {}), "INVALID_ARGUMENT prompt: is empty");
  EXPECT_TRUE(code([](auto& r) {
                r.set_prompt("x");
                r.set_request_class("no");
              }).starts_with("INVALID_ARGUMENT request_class"));
  EXPECT_TRUE(code([](auto& r) {
                r.set_prompt("x");
                r.mutable_prompt_tokens()->add_ids(1);
              }).starts_with("INVALID_ARGUMENT prompt and prompt_tokens"));
  EXPECT_TRUE(code([](auto& r) {
                r.set_prompt("x");
                r.set_max_output_tokens(1 << 30);
              }).starts_with("INVALID_ARGUMENT max_output_tokens"));
  Reply garbage;
  w.channel->call("/garnethook.v1.Generation/Generate", "\xff\xff\xff", 2'000'000, garbage);
  Reply unknown;
  w.channel->call("/garnethook.v1.Generation/No", "", 2'000'000, unknown);
  ASSERT_TRUE(w.until([&] { return garbage.finalCount + unknown.finalCount == 2; }));
  EXPECT_EQ(garbage.status->code, Code::invalidArgument);
  EXPECT_EQ(unknown.status->code, Code::unimplemented);
  EXPECT_EQ(w.count("engine.request"), 0u);
}

TEST(Path, MalformedFramesEndTheirConnectionAndNoOther) {
  World w;
  Reply good;
  w.sendRequest(good);
  struct Raw final : net::StreamEvents {
    void onBytes(std::string_view o) override { bytes.append(o); }
    void onClosed(net::CloseCause) override { closed = true; }
    std::string bytes;
    bool closed = false;
  };
  const std::string hello = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + std::string("\0\0\0\4\0\0\0\0\0", 9);
  for (const std::string& bad :
       {std::string("GET / HTTP/1.1\r\n\r\n"), hello + std::string("\0\0\1\0\0\0\0\0\0x", 10),
        hello + std::string("\xff\xff\xff\0\0\0\0\0\1", 9), std::string(1000, '\0')}) {
    Raw raw;
    net::Stream stream(w.loop, w.router->address(), "", 1'000'000, raw);
    stream.send(bad);
    EXPECT_TRUE(w.until([&] { return raw.closed; }, 2'000'000));
    EXPECT_NE(raw.bytes.find('\x07'), std::string::npos);  // a GOAWAY
  }
  ASSERT_TRUE(w.until([&] { return good.finalCount > 0; }));
  EXPECT_EQ(good.status->code, Code::ok);
}

}  // namespace
}  // namespace garnethook::test
