// End-to-end tests of the platform router on loopback: raw clients, scripted engines and scripted discovery.
// Each test injects the fault that it is named after.
#include <algorithm>
#include <array>
#include <iostream>

#include "platform_world.h"

namespace garnethook::test {
namespace {

using Request = ScriptedEngine::Request;

struct PlatformPath : testing::Test {
  PlatformWorld world;
};

TEST_F(PlatformPath, ServesAPrefillThenPassesTheStreamOnUnchanged) {
  auto client = world.connectClient();
  client->ask("a1");
  ASSERT_TRUE(world.until([&] { return client->has(kFinalChunk); }, 2'000'000)) << client->got;
  EXPECT_TRUE(client->has("HTTP/1.1 200"));
  EXPECT_TRUE(client->has(kTokenEvent));
  EXPECT_TRUE(client->has(kDoneEvent));
  ASSERT_EQ(world.prefillEngine.count("POST"), 1u);
  ASSERT_EQ(world.decodeEngine.count("POST"), 1u);
  EXPECT_EQ(world.decodeEngine.seen[0].body, R"({"model":"m"})");
  EXPECT_EQ(http1::find(world.decodeEngine.seen[0].head.fields, "x-trace-id"), "a1");
  EXPECT_TRUE(http1::find(world.decodeEngine.seen[0].head.fields, "x-expires-in-ms"));
  EXPECT_TRUE(world.becomesIdle());
  client->got.clear();  // the connection is reused
  client->ask("a2");
  EXPECT_TRUE(world.until([&] { return client->has(kFinalChunk); }, 2'000'000));
}

TEST_F(PlatformPath, ReportsReadiness) {
  auto client = world.connectClient();
  client->stream.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(world.until([&] { return client->has("HTTP/1.1 200 OK"); }, 1'000'000));
}

TEST_F(PlatformPath, AMalformedResponseStartIsRetriedWhereARetryIsSafe) {
  for (const std::string& malformed :
       {std::string("\x01\x02noise\r\n\r\n"), std::string("HTTP/9.9 what\r\n\r\n"),
        "HTTP/1.1 200 OK\r\nX: " + std::string(40'000, 'h'), std::string(kStreamHead) + "zz\r\n",
        std::string(kStreamHead) + "c0000000\r\nxxxx"}) {
    const auto before = world.decodeEngine.count("POST");
    bool first = true;
    world.decodeEngine.script = [&](Request& request) {
      if (!PlatformWorld::answerControlRequest(request))
        request.stream->send(std::exchange(first, false) ? malformed : kCompleteStream);
    };
    auto client = world.connectClient();
    client->ask("s" + std::to_string(before));
    ASSERT_TRUE(world.until([&] { return client->has(kFinalChunk); }, 3'000'000))
        << malformed.substr(0, 20) << client->got;
    EXPECT_EQ(client->count(kTokenEvent), 1u);
    EXPECT_GE(world.decodeEngine.count("POST"), before + 2);
    EXPECT_TRUE(world.becomesIdle());
  }
}

TEST_F(PlatformPath, ANonIdempotentRequestThatPossiblyExecutedIsNeitherRetriedNorRejected) {
  world.decodeEngine.script = [&](Request& request) {
    if (!PlatformWorld::answerControlRequest(request)) request.stream->send("noise\r\n\r\n");
  };
  auto client = world.connectClient();
  client->ask("u1", "order");
  ASSERT_TRUE(world.until([&] { return client->has("\r\n\r\n"); }, 3'000'000));
  EXPECT_TRUE(client->has("HTTP/1.1 502")) << client->got;
  EXPECT_EQ(world.decodeEngine.count("POST"), 1u);
  EXPECT_TRUE(world.becomesIdle());
}

TEST_F(PlatformPath, AStreamMalformedAfterItsFirstEventClosesTheClientConnectionWithoutTheLastChunk) {
  world.decodeEngine.script = [&](Request& request) {
    if (!PlatformWorld::answerControlRequest(request))
      request.stream->send(std::string(kStreamHead) + chunk(kTokenEvent) + "nosize\r\n");
  };
  auto client = world.connectClient();
  client->ask("b1");
  ASSERT_TRUE(world.until([&] { return client->closed; }, 2'000'000));
  EXPECT_EQ(client->count(kTokenEvent), 1u);
  EXPECT_FALSE(client->has(kFinalChunk));
  EXPECT_EQ(world.decodeEngine.count("POST"), 1u);
  EXPECT_TRUE(world.becomesIdle());
}

TEST_F(PlatformPath, AnUnsolicitedResponseIsNotMatchedToTheNextRequest) {
  for (const bool late : {false, true}) {
    world.decodeEngine.script = [&](Request& request) {
      if (PlatformWorld::answerControlRequest(request)) return;
      const std::string unsolicited = std::string(kStreamHead) + chunk("data: foreign\n\n") + kFinalChunk;
      request.stream->send("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + kCompleteStream +
                           (late ? "" : unsolicited));
      if (late)
        world.loop.after(5000, [&world = world, engineStream = request.stream, unsolicited] {
          engineStream->send(unsolicited);
        });
    };
    for (int i = 0; i < 3; ++i) {
      auto client = world.connectClient();
      client->ask((late ? "l" : "e") + std::to_string(i));
      ASSERT_TRUE(world.until([&] { return client->has(kFinalChunk); }, 2'000'000)) << client->got;
      EXPECT_FALSE(client->has("foreign"));
      world.pass(10'000);
    }
  }
  EXPECT_TRUE(world.becomesIdle());
}

TEST_F(PlatformPath, AClientDisconnectReleasesAllResources) {
  // No response to decode requests.
  world.decodeEngine.script = [](Request& request) { PlatformWorld::answerControlRequest(request); };
  auto client = world.connectClient();
  client->ask("g1");
  ASSERT_TRUE(world.until([&] { return world.decodeEngine.count("POST") == 1; }, 2'000'000));
  client->stream.close();
  EXPECT_TRUE(world.until(
      [&] { return world.prefillEngine.count("DELETE") + world.decodeEngine.count("DELETE") == 1; },
      1'000'000));
  EXPECT_TRUE(world.until([&] { return world.decodeEngine.gone() == 1; }, 1'000'000));
  EXPECT_TRUE(world.becomesIdle());
}

std::string requestText(const std::string& id, const std::string& extraFields = "",
                        std::size_t bodySize = 13) {
  const std::string body = R"({"model":"m"})" + std::string(bodySize - 13, ' ');
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Trace-Id: " + id +
         "\r\nX-Qos: chat\r\nX-Expires-In-Ms: 3000\r\n" + extraFields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Reads until the connection is closed; throws if it is reset instead.
std::string readToEnd(Poco::Net::StreamSocket& socket) {
  std::string received;
  std::array<char, 4096> buffer{};
  socket.setReceiveTimeout(Poco::Timespan(2, 0));
  while (const int bytesRead = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size())))
    received.append(buffer.data(), static_cast<std::size_t>(bytesRead));
  return received;
}

// Prevents an attempt on behalf of a closed client: the request and the close are read in one loop iteration,
// so the attempt could begin before the close is detected.
TEST_F(PlatformPath, ARequestFollowedAtOnceByAClientCloseStartsNoAttempt) {
  // Leaves a pooled connection to the prefill engine, on which an attempt would be sent at once.
  auto client = world.connectClient();
  client->ask("first");
  ASSERT_TRUE(world.until([&] { return client->has(kFinalChunk); }, 2'000'000));
  for (int i = 0; i < 5; ++i) {
    Poco::Net::StreamSocket clientSocket(world.routerProcess->address());
    const auto text = requestText("gone" + std::to_string(i));
    clientSocket.sendBytes(text.data(), static_cast<int>(text.size()));
    clientSocket.close();
  }
  world.pass(300'000);
  EXPECT_EQ(world.routerProcess->frontend().connections(), 1u);
  EXPECT_EQ(world.prefillEngine.count("POST"), 1u);
  EXPECT_EQ(world.routerProcess->router().counters().attempts, 2u);  // both belong to the first request
}

// Prevents an undetected client close: if reading were paused while a request is open, the close of a client
// that has pipelined a lot of data would go unnoticed.
TEST_F(PlatformPath, PipelinedDataBehindAnOpenRequestDoesNotHideTheClose) {
  // No response to decode requests.
  world.decodeEngine.script = [](Request& request) { PlatformWorld::answerControlRequest(request); };
  auto client = world.connectClient();
  client->ask("much");
  for (int i = 0; i < 20; ++i) client->stream.send(requestText("behind" + std::to_string(i), "", 20'000));
  ASSERT_TRUE(world.until(
      [&] { return world.decodeEngine.count("POST") == 1 && client->stream.pending() == 0; }, 2'000'000));
  client->stream.close();
  EXPECT_TRUE(world.until([&] { return world.decodeEngine.gone() == 1; }, 100'000));
  EXPECT_TRUE(world.becomesIdle());
  EXPECT_EQ(world.prefillEngine.count("POST"), 1u);
}

// Guards against pipelined requests beyond the limit that are read and never answered: those that were
// buffered are served, all others are rejected, and the connection serves further requests.
TEST_F(PlatformPath, PipelinedFloodBehindAnOpenRequestIsBoundedAndOtherClientsAreServed) {
  constexpr std::size_t kRequests = 200;
  auto client = world.connectClient();
  std::vector<net::Stream*> heldStreams;
  world.decodeEngine.script = [&](Request& request) {
    if (PlatformWorld::answerControlRequest(request)) return;
    heldStreams.size() < 2 ? heldStreams.push_back(request.stream) : request.stream->send(kCompleteStream);
  };
  client->ask("flood");
  for (std::size_t i = 0; i < kRequests; ++i)
    client->stream.send(requestText("more" + std::to_string(i), "", 20'000));
  auto other = world.connectClient();
  other->ask("other");
  ASSERT_TRUE(
      world.until([&] { return heldStreams.size() == 2 && client->stream.pending() == 0; }, 2'000'000))
      << heldStreams.size() << " " << client->stream.pending() << " " << other->got
      << world.routerProcess->statusSummary();
  world.pass(50'000);
  for (auto* engineStream : heldStreams) engineStream->send(kCompleteStream);
  EXPECT_TRUE(world.until(
      [&] { return other->has(kFinalChunk) && client->count("HTTP/1.1 ") == kRequests + 1; }, 5'000'000))
      << other->got;
  EXPECT_EQ(client->count("HTTP/1.1 503") + client->count(kDoneEvent), kRequests + 1);
  EXPECT_EQ(client->count("Retry-After:"), client->count("HTTP/1.1 503"));
  EXPECT_EQ(client->count(kDoneEvent) + 1, world.decodeEngine.count("POST")) << client->got;
  EXPECT_GT(client->count(kDoneEvent), 40u);  // 1 MiB of requests of 20 kB each
  EXPECT_LT(client->count(kDoneEvent), 60u);
  const std::size_t servedBefore = client->count(kDoneEvent);
  client->ask("afterwards");
  EXPECT_TRUE(world.until([&] { return client->count(kDoneEvent) == servedBefore + 1; }, 2'000'000));
  EXPECT_FALSE(client->closed);
  EXPECT_TRUE(world.becomesIdle());
}

// Guards against a client that floods without end, which is not disconnected: what is stored of it stays
// bounded, and other clients are served.
TEST_F(PlatformPath, AnEndlessPipelinedFloodIsBoundedAndOtherClientsAreServed) {
  constexpr std::size_t kRequestBytes = 20'000;
  constexpr std::size_t kMaxStored = (std::size_t{1} << 20) + 2 * kRequestBytes;  // and the open requests
  world.decodeEngine.script = [&](Request& request) {
    const bool isFlood = http1::find(request.head.fields, "x-trace-id")->starts_with("flood");
    PlatformWorld::answerControlRequest(request) || isFlood || (request.stream->send(kCompleteStream), true);
  };
  auto client = world.connectClient();
  std::size_t sent = 0;
  const auto flood = [&] {
    while (client->stream.pending() < 10 * kRequestBytes)
      client->stream.send(requestText("flood" + std::to_string(sent++), "", kRequestBytes));
  };
  for (int i = 0; i < 20; ++i) {
    auto other = world.connectClient();
    other->ask("other" + std::to_string(i));
    EXPECT_TRUE(world.until([&] { return (flood(), other->has(kFinalChunk)); }, 1'000'000)) << i;
    EXPECT_LE(world.routerProcess->frontend().bufferedBytes(), kMaxStored);
  }
  world.until([&] { return (flood(), sent > 500); }, 3'000'000);
  EXPECT_GT(sent, 500u);  // ten times what is stored
  EXPECT_LE(world.routerProcess->frontend().bufferedBytes(), kMaxStored);
  client->stream.close();
  EXPECT_TRUE(world.becomesIdle());
}

// Guards against a client that stops within a request that is not stored: it gets an error in time.
TEST_F(PlatformPath, APartialRequestBehindAPipelinedFloodTimesOut) {
  auto client = world.connectClient();
  client->ask("first");
  for (int i = 0; i < 80; ++i) client->stream.send(requestText("more" + std::to_string(i), "", 20'000));
  client->stream.send(requestText("last", "", 20'000).substr(0, 10'000));
  EXPECT_TRUE(world.until([&] { return client->closed; }, 5'000'000));
  EXPECT_EQ(client->count("HTTP/1.1 408"), 1u);
  EXPECT_EQ(client->count("HTTP/1.1 "), 82u);
}

TEST_F(PlatformPath, AResponseArrivesWholeThoughMoreDataFollowedItsRequest) {
  Poco::Net::StreamSocket clientSocket(world.routerProcess->address());
  const auto text = requestText("last", "Connection: close\r\n") + requestText("extra", "", 100'000);
  clientSocket.sendBytes(text.data(), static_cast<int>(text.size()));
  world.pass(300'000);
  const auto got = readToEnd(clientSocket);
  EXPECT_TRUE(got.ends_with(kFinalChunk)) << got;
  EXPECT_EQ(world.prefillEngine.count("POST"), 1u);
}

// The request crosses the close of its connection: it is not read, and no reset discards the previous
// response.
TEST_F(PlatformPath, ARequestAfterTheCloseOfAnIdleConnectionIsNotForwarded) {
  Poco::Net::StreamSocket clientSocket(world.routerProcess->address());
  const auto first = requestText("first");
  clientSocket.sendBytes(first.data(), static_cast<int>(first.size()));
  world.pass(200'000);
  world.routerProcess->shutDown([] {});
  world.pass(50'000);
  const auto late = requestText("late");
  clientSocket.sendBytes(late.data(), static_cast<int>(late.size()));
  world.pass(50'000);
  const auto got = readToEnd(clientSocket);
  EXPECT_TRUE(got.ends_with(kFinalChunk)) << got;
  EXPECT_EQ(world.prefillEngine.count("POST"), 1u);
  clientSocket.close();
  EXPECT_TRUE(world.until([&] { return world.routerProcess->frontend().connections() == 0; }, 500'000));
}

TEST_F(PlatformPath, AReleaseIsSentToTheDecodeEngineWhenThePrefillEngineDoesNotRespond) {
  world.prefillEngine.script = [](Request& request) {
    if (request.head.method == "POST")
      request.stream->send(kPrefillResponse);  // and no response to a release
  };
  world.decodeEngine.script = [](Request& request) { PlatformWorld::answerControlRequest(request); };
  auto client = world.connectClient();
  client->ask("h1");
  ASSERT_TRUE(world.until([&] { return world.decodeEngine.count("POST") == 1; }, 2'000'000));
  client->stream.close();
  // The release limit is 500 ms.
  EXPECT_TRUE(world.until([&] { return world.decodeEngine.count("DELETE") == 1; }, 150'000));
  EXPECT_TRUE(world.becomesIdle());
}

TEST_F(PlatformPath, InvalidRequestsGetAnErrorAndTheirConnectionIsClosed) {
  const std::string validFields = "X-Trace-Id: x1\r\nX-Qos: chat\r\nX-Expires-In-Ms: 3000\r\n";
  for (const std::string& invalidRequest :
       {std::string("\x01\x02\x03\r\n\r\n"),
        std::string("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"),
        "POST /v1/chat/completions HTTP/1.1\r\n" + validFields +
            "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}",
        "POST /v1/chat/completions HTTP/1.1\r\n" + validFields + "Content-Length: -4\r\n\r\n",
        "POST /v1/chat/completions HTTP/1.1\r\n" + validFields + "Content-Length: 63000000\r\n\r\n" +
            std::string(5000, 'b'),
        "POST /v1/chat/completions HTTP/1.1\r\n" + validFields + "Content-Length: 5\r\n\r\n{\"a\":1}",
        "POST /v1/chat/completions HTTP/1.1\r\nX: " + std::string(40'000, 'y')}) {
    auto client = world.connectClient();
    client->stream.send(invalidRequest);
    EXPECT_TRUE(world.until([&] { return client->closed; }, 1'000'000)) << invalidRequest.substr(0, 40);
    EXPECT_TRUE(client->has("HTTP/1.1 4")) << client->got;
    EXPECT_EQ(client->count("HTTP/1.1 "), 1u);
  }
  EXPECT_EQ(world.prefillEngine.count("POST"), 0u);
}

TEST_F(PlatformPath, ADuplicateTraceIdIsRejectedAndTheOpenRequestContinues) {
  Request* heldRequest = nullptr;
  world.decodeEngine.script = [&](Request& request) {
    if (!PlatformWorld::answerControlRequest(request)) heldRequest = &request;
  };
  auto client = world.connectClient();
  client->ask("d1");
  ASSERT_TRUE(world.until([&] { return heldRequest != nullptr; }, 2'000'000));
  auto other = world.connectClient();
  other->ask("d1");
  EXPECT_TRUE(world.until([&] { return other->has("HTTP/1.1 409"); }, 1'000'000));
  heldRequest->stream->send(kCompleteStream);
  EXPECT_TRUE(world.until([&] { return client->has(kFinalChunk); }, 1'000'000));
  EXPECT_EQ(world.decodeEngine.count("POST"), 1u);
}

TEST_F(PlatformPath, PartialRequestsAndSilentConnectionsTimeOut) {
  auto silent = world.connectClient();
  auto half = world.connectClient();
  auto slow = world.connectClient();
  half->stream.send("POST /v1/chat/completions HTTP/1.1\r\nHost");
  slow->ask("t1", "chat", "", "");
  EXPECT_TRUE(world.until([&] { return silent->closed && half->closed; }, 3'000'000));
  EXPECT_TRUE(half->has("HTTP/1.1 408"));
  EXPECT_TRUE(slow->has("HTTP/1.1 400")) << slow->got;  // its body is empty
}

// Prevents clients that stop within their requests from taking the process over its memory: a head of
// thousands of short fields is rejected before its end, and not kept until the request times out.
TEST_F(PlatformPath, ARequestOfTooManyFieldsIsRejectedBeforeItIsComplete) {
  auto client = world.connectClient();
  std::string head = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n";
  for (int i = 0; i < 3000; ++i) head += "a:\r\n";
  client->stream.send(head);
  EXPECT_TRUE(world.until([&] { return client->has("HTTP/1.1 431"); }, 500'000)) << client->got;
}

TEST_F(PlatformPath, AFloodOfSilentConnectionsDoesNotBlockNewClients) {
  std::vector<std::unique_ptr<RawClient>> flood;
  for (int i = 0; i < 300; ++i) flood.push_back(world.connectClient());
  world.pass(100'000);
  auto client = world.connectClient();
  client->ask("f1");
  EXPECT_TRUE(world.until([&] { return client->has(kFinalChunk); }, 2'000'000)) << client->got;
  EXPECT_LE(world.routerProcess->frontend().connections(), 128u);
}

// Idle connections that have already had a response do not use up the capacity for new ones.
TEST_F(PlatformPath, ManyIdleConnectionsDoNotBlockNewClients) {
  std::vector<std::unique_ptr<RawClient>> idleClients;
  for (int i = 0; i < 400; ++i) {
    idleClients.push_back(world.connectClient());
    idleClients.back()->stream.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
  }
  EXPECT_TRUE(world.until(
      [&] {
        return std::all_of(idleClients.begin(), idleClients.end(),
                           [](auto& client) { return client->has("200 OK"); });
      },
      1'500'000));
  auto client = world.connectClient();
  client->ask("f2");
  EXPECT_TRUE(world.until([&] { return client->has(kFinalChunk); }, 1'000'000)) << client->got;
}

TEST_F(PlatformPath, ARequestSentByteByByteIsServed) {
  auto client = world.connectClient();
  const std::string body = R"({"model":"m"})";
  const std::string text =
      "POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: k1\r\nX-Qos: chat\r\nX-Expires-In-Ms: 3000\r\n"
      "Content-Length: 13\r\n\r\n" +
      body;
  std::size_t offset = 0;
  std::function<void()> sendNextByte = [&] {
    client->stream.send(text.substr(offset++, 1));
    if (offset < text.size()) world.loop.after(1000, sendNextByte);
  };
  sendNextByte();
  EXPECT_TRUE(world.until([&] { return client->has(kFinalChunk); }, 3'000'000)) << client->got;
}

TEST_F(PlatformPath, PipelinedRequestsAreAnsweredInOrder) {
  auto client = world.connectClient();
  client->ask("p1");
  client->ask("p2");
  client->ask("p3");
  EXPECT_TRUE(world.until([&] { return client->count(kFinalChunk) == 3; }, 3'000'000)) << client->got;
  EXPECT_EQ(world.decodeEngine.count("POST"), 3u);
}

// Engines reset a pooled connection at its next request: prefills are retried, and non-idempotent requests
// use new connections once this has been observed.
TEST_F(PlatformPath, ResetPooledConnectionsFailNoNonIdempotentRequest) {
  std::vector<std::size_t> usedStreams;
  const auto resetting = [&](std::string_view response) {
    return [&usedStreams, response](Request& request) {
      if (PlatformWorld::answerControlRequest(request)) return;
      const bool isReused = std::count(usedStreams.begin(), usedStreams.end(),
                                       reinterpret_cast<std::size_t>(request.stream)) > 0;
      usedStreams.push_back(reinterpret_cast<std::size_t>(request.stream));
      isReused ? request.stream->close(true) : request.stream->send(response);
    };
  };
  world.prefillEngine.script = resetting(kPrefillResponse);
  world.decodeEngine.script = resetting(kCompleteStream);
  for (int i = 0; i < 4; ++i) {
    auto client = world.connectClient();
    client->ask("k" + std::to_string(i));
    ASSERT_TRUE(world.until([&] { return client->has(kFinalChunk); }, 2'000'000)) << client->got;
    world.pass(30'000);  // until the connections may be reused
  }
  for (int i = 0; i < 8; ++i) {
    auto client = world.connectClient();
    client->ask("m" + std::to_string(i), "order");
    ASSERT_TRUE(
        world.until([&] { return client->has(kFinalChunk) || client->has("HTTP/1.1 5"); }, 2'000'000));
    EXPECT_TRUE(client->has(kFinalChunk)) << i << client->got;
  }
  EXPECT_TRUE(world.becomesIdle());
}

TEST_F(PlatformPath, ADrainingEngineIsNotUsedAndTheClientGetsRetryAfter) {
  world.watchRequests.at(0).second->piece(R"({"revision":2,"complete":false,"members":[)" +
                                          world.memberJson("w", world.decodeEngine, "m2", "draining") +
                                          "]}\n");
  ASSERT_TRUE(world.until([&] { return world.routerProcess->endpointList().version() == 2; }, 1'000'000));
  world.pass(300'000);
  auto client = world.connectClient();
  client->ask("n1");
  ASSERT_TRUE(world.until([&] { return client->has("\r\n\r\n"); }, 3'500'000));
  EXPECT_TRUE(client->has("HTTP/1.1 429") || client->has("HTTP/1.1 503")) << client->got;
  EXPECT_TRUE(client->has("Retry-After: 0.")) << client->got;
  EXPECT_EQ(world.decodeEngine.count("POST"), 0u);
}

TEST_F(PlatformPath, TheWatchIsRestartedFromTheCurrentVersion) {
  ASSERT_EQ(world.watchRequests.size(), 1u);
  EXPECT_NE(world.watchRequests[0].first.find("index=0"), std::string::npos);
  world.watchRequests[0].second->cut();
  ASSERT_TRUE(world.until([&] { return world.watchRequests.size() == 2; }, 2'000'000));
  EXPECT_NE(world.watchRequests[1].first.find("stream=1&index=1"), std::string::npos);
}

// Prevents a lost update: the changes in an invalid list would be skipped by the next delta, so they are
// requested again from the current version.
TEST_F(PlatformPath, AnInvalidListIsRequestedAgain) {
  ASSERT_EQ(world.watchRequests.size(), 1u);
  world.initialEndpointList = R"({"revision":3,"complete":false,"members":[)" +
                              world.memberJson("w2", world.otherDecodeEngine, "m2") + "]}";
  world.watchRequests[0].second->piece("{\"revision\":2,\"members\":7}\n" + world.initialEndpointList + "\n");
  ASSERT_TRUE(world.until([&] { return world.watchRequests.size() == 2; }, 2'000'000));
  EXPECT_NE(world.watchRequests[1].first.find("index=1"), std::string::npos) << world.watchRequests[1].first;
  EXPECT_TRUE(world.until([&] { return world.routerProcess->endpointList().version() == 3; }, 1'000'000));
}

// A list that is truncated by the end of its watch is requested again.
TEST_F(PlatformPath, ATruncatedListIsRequestedAgain) {
  ASSERT_EQ(world.watchRequests.size(), 1u);
  world.initialEndpointList = R"({"revision":2,"complete":false,"members":[)" +
                              world.memberJson("w2", world.otherDecodeEngine, "m2") + "]}";
  world.watchRequests[0].second->piece(
      world.initialEndpointList.substr(0, world.initialEndpointList.size() / 2));
  world.pass(20'000);
  world.watchRequests[0].second->cut();
  ASSERT_TRUE(world.until([&] { return world.watchRequests.size() == 2; }, 2'000'000));
  EXPECT_NE(world.watchRequests[1].first.find("index=1"), std::string::npos);
  EXPECT_TRUE(world.until([&] { return world.routerProcess->endpointList().version() == 2; }, 1'000'000));
}

// The size of a response is bounded like that of any message, so that its client does not wait for an end
// that never comes.
TEST_F(PlatformPath, AnEndlessStreamIsClosedAtTheResponseSizeLimit) {
  constexpr std::size_t kMaxResponseBytes = 256 * 1024;
  std::size_t sentBytes = 0;
  std::function<void(net::Stream*)> sendNextEvent = [&](net::Stream* stream) {
    const std::string event = chunk("data: " + std::string(20'000, 'x') + "\n\n");
    sentBytes += event.size();
    if (!stream->open() || sentBytes > 4 * kMaxResponseBytes) return;
    stream->send(event);
    world.loop.after(1'000, [&sendNextEvent, stream] { sendNextEvent(stream); });
  };
  world.decodeEngine.script = [&](Request& request) {
    if (PlatformWorld::answerControlRequest(request)) return;
    request.stream->send(kStreamHead);
    sendNextEvent(request.stream);
  };
  auto client = world.connectClient();
  client->ask("endless");
  EXPECT_TRUE(world.until([&] { return client->closed; }, 5'000'000));
  EXPECT_LE(client->got.size(), kMaxResponseBytes + 4096);
  EXPECT_GT(client->got.size(), kMaxResponseBytes / 2);
  EXPECT_FALSE(client->has("\r\n" + std::string(kFinalChunk)));
  EXPECT_TRUE(world.becomesIdle());
}

// Records the delay of each event of its stream from the engine's write, whose time the event contains.
class TimingClient final : public net::StreamEvents {
 public:
  TimingClient(net::Loop& loop, const Poco::Net::SocketAddress& to, const std::string& id)
      : loop_(loop), stream_(loop, to, "", 1'000'000, *this) {
    stream_.send(requestText(id));
  }
  void onBytes(std::string_view bytes) override {
    text_ += bytes;
    constexpr std::string_view kTimestampPrefix = "data: {\"at\":";
    for (auto offset = text_.find(kTimestampPrefix, parsedBytes_); offset != std::string::npos;
         offset = text_.find(kTimestampPrefix, parsedBytes_)) {
      const auto end = text_.find('}', offset);
      if (end == std::string::npos) return;
      delays.push_back(loop_.now() - std::stoll(text_.substr(offset + kTimestampPrefix.size(),
                                                             end - offset - kTimestampPrefix.size())));
      parsedBytes_ = end;
    }
  }
  void onClosed(net::CloseCause) override {}
  std::vector<Micros> delays;

 private:
  net::Loop& loop_;
  std::string text_;
  std::size_t parsedBytes_ = 0;
  net::Stream stream_;
};

// Events are forwarded as they arrive, in spite of lists of 100 engines, a flood of requests and another
// client that does not read.
TEST_F(PlatformPath, EventsAreNotDelayedByListsFloodsOrSlowClients) {
  constexpr std::size_t kStreamCount = 20;
  constexpr int kEventsPerStream = 100;
  constexpr Micros kEventInterval = 5'000;
  constexpr Micros kMaxEventDelay = 300'000;
  std::vector<net::Stream*> streams;
  world.decodeEngine.script = [&](Request& request) {
    if (PlatformWorld::answerControlRequest(request)) return;
    request.stream->send(kStreamHead);
    streams.push_back(request.stream);
  };
  auto slow = world.connectClient();
  slow->ask("slow");
  ASSERT_TRUE(world.until([&] { return streams.size() == 1; }, 2'000'000));
  slow->stream.pauseReading(true);
  streams[0]->send(chunk("data: " + std::string(60'000, 'x') + "\n\n"));
  std::vector<std::unique_ptr<TimingClient>> clients;
  for (std::size_t i = 0; i < kStreamCount; ++i)
    clients.push_back(
        std::make_unique<TimingClient>(world.loop, world.routerProcess->address(), "e" + std::to_string(i)));
  ASSERT_TRUE(world.until([&] { return streams.size() == kStreamCount + 1; }, 3'000'000));
  int sentRounds = 0;
  std::function<void()> sendNextRound = [&] {
    for (std::size_t i = 1; i < streams.size(); ++i)
      streams[i]->send(chunk("data: {\"at\":" + std::to_string(world.loop.now()) + "}\n\n"));
    if (sentRounds % 10 == 0) {
      std::string listJson = R"({"revision":)" + std::to_string(sentRounds + 2) +
                             R"(,"complete":true,"members":[)" +
                             world.memberJson("r", world.prefillEngine, "m1") + "," +
                             world.memberJson("w", world.decodeEngine, "m2");
      for (int engineNumber = 0; engineNumber < 100; ++engineNumber)
        listJson += "," + world.memberJson("x" + std::to_string(engineNumber), world.otherDecodeEngine, "m2");
      world.watchRequests[0].second->piece(listJson + "]}\n");
    }
    if (++sentRounds < kEventsPerStream) world.loop.after(kEventInterval, sendNextRound);
  };
  auto flood = world.connectClient();
  for (int i = 0; i < 500; ++i) flood->stream.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
  sendNextRound();
  ASSERT_TRUE(world.until([&] { return clients.back()->delays.size() == kEventsPerStream; }, 10'000'000));
  std::vector<Micros> delays;
  for (const auto& client : clients)
    delays.insert(delays.end(), client->delays.begin(), client->delays.end());
  ASSERT_EQ(delays.size(), kStreamCount * kEventsPerStream);
  std::sort(delays.begin(), delays.end());
  std::cout << "delay of an event, ms: p50 " << delays[delays.size() / 2] / 1000 << ", p99 "
            << delays[delays.size() * 99 / 100] / 1000 << ", most " << delays.back() / 1000 << "\n";
  EXPECT_LE(delays.back(), kMaxEventDelay);
  for (auto* engineStream : streams) engineStream->send(chunk(kDoneEvent) + kFinalChunk);
  slow->stream.pauseReading(false);
  EXPECT_TRUE(world.becomesIdle());
}

// The part of a response that an engine sends before it closes the connection.
struct PartialResponse {
  const char* name;
  std::string bytes;
  bool hasEvent;  // the client has received an event
};
class InterruptedResponse : public testing::TestWithParam<std::tuple<PartialResponse, std::string, bool>> {};
INSTANTIATE_TEST_SUITE_P(
    Everywhere, InterruptedResponse,
    testing::Combine(
        testing::Values(
            PartialResponse{"nothing", "", false}, PartialResponse{"half a line", "HTTP/1.1 20", false},
            PartialResponse{"half a head", std::string(kStreamHead).substr(0, 40), false},
            PartialResponse{"a head", std::string(kStreamHead), false},
            PartialResponse{"half an event", std::string(kStreamHead) + "21\r\ndata: {", false},
            PartialResponse{"an event", std::string(kStreamHead) + chunk(kTokenEvent), true},
            PartialResponse{"all events", std::string(kStreamHead) + chunk(kTokenEvent) + chunk(kDoneEvent),
                            true},
            PartialResponse{"half a last chunk",
                            std::string(kStreamHead) + chunk(kTokenEvent) + chunk(kDoneEvent) + "0\r\n",
                            true}),
        testing::Values("chat", "order"), testing::Bool()),
    [](const auto& testInfo) {
      std::string name = std::string(std::get<0>(testInfo.param).name) + " " + std::get<1>(testInfo.param) +
                         (std::get<2>(testInfo.param) ? " reset" : " closed");
      std::replace(name.begin(), name.end(), ' ', '_');
      return name;
    });

TEST_P(InterruptedResponse, TheClientGetsOneFinalResponseAndNonIdempotentRequestsOneAttempt) {
  const auto& [partialResponse, requestClass, reset] = GetParam();
  PlatformWorld world;
  bool first = true;
  world.decodeEngine.script = [&, reset = reset, partialResponse = partialResponse](Request& request) {
    if (PlatformWorld::answerControlRequest(request)) return;
    if (!std::exchange(first, false)) return request.stream->send(kCompleteStream);
    request.stream->send(partialResponse.bytes);
    // In a later loop iteration, so that a reset does not discard the bytes before it.
    world.loop.after(20'000, [engineStream = request.stream, reset] { engineStream->close(reset); });
  };
  auto client = world.connectClient();
  client->ask("b", requestClass);
  const bool isRetried =
      !partialResponse.hasEvent && requestClass == "chat";  // idempotent, and nothing forwarded yet
  ASSERT_TRUE(world.until(
      [&] {
        return client->closed || client->has("\r\n" + std::string(kFinalChunk)) || client->has("HTTP/1.1 5");
      },
      3'000'000));
  EXPECT_EQ(world.decodeEngine.count("POST"), isRetried ? 2u : 1u);
  EXPECT_EQ(client->count("\r\n" + std::string(kFinalChunk)), isRetried ? 1u : 0u) << client->got;
  EXPECT_EQ(client->count("HTTP/1.1 "), 1u) << client->got;
  EXPECT_TRUE(!partialResponse.hasEvent || client->closed);
  EXPECT_EQ(client->has("HTTP/1.1 502"), !isRetried && !partialResponse.hasEvent) << client->got;
  EXPECT_TRUE(world.becomesIdle());
}

// The test's discovery sends no heartbeat, like one whose connection was lost without a close.
TEST_F(PlatformPath, AWatchWithoutHeartbeatIsRestarted) {
  ASSERT_EQ(world.watchRequests.size(), 1u);
  EXPECT_TRUE(world.until([&] { return world.watchRequests.size() >= 2; }, 3'000'000));
  EXPECT_EQ(world.routerProcess->endpointList().endpoints().size(), 2u);
}

TEST_F(PlatformPath, AReloadMovesTheWatchAndKeepsTheEndpoints) {
  std::vector<std::pair<std::string, std::shared_ptr<fake_engine::HttpReply>>> others;
  auto other = world.makeDiscovery(others);
  world.initialEndpointList = R"({"revision":9,"complete":false,"members":[)" +
                              world.memberJson("w2", world.otherDecodeEngine, "m2") + "]}";
  world.routerProcess->reload(world.readConfig(other->address().toString()));
  ASSERT_TRUE(world.until([&] { return world.routerProcess->endpointList().version() == 9; }, 1'000'000));
  EXPECT_EQ(world.routerProcess->endpointList().endpoints().size(), 3u);
  EXPECT_FALSE(world.watchRequests[0].second->open());
  auto client = world.connectClient();
  client->ask("r1");
  EXPECT_TRUE(world.until([&] { return client->has(kFinalChunk); }, 2'000'000));
  world.watchRequests.clear();
  others.clear();
}

TEST_F(PlatformPath, DrainingAcceptsRequestsForAWhileAndCompletesAll) {
  Request* heldRequest = nullptr;
  world.decodeEngine.script = [&](Request& request) {
    if (PlatformWorld::answerControlRequest(request)) return;
    if (heldRequest == nullptr) {
      heldRequest = &request;
      request.stream->send(std::string(kStreamHead) + chunk(kTokenEvent));
    } else {
      request.stream->send(kCompleteStream);
    }
  };
  auto runningClient = world.connectClient();
  runningClient->ask("x1");
  ASSERT_TRUE(world.until([&] { return runningClient->has(kTokenEvent); }, 2'000'000));
  auto idleClient = world.connectClient();
  idleClient->ask("x2");
  ASSERT_TRUE(world.until([&] { return idleClient->has(kFinalChunk); }, 2'000'000));
  const auto address = world.routerProcess->address();
  bool drained = false;
  world.routerProcess->shutDown([&] { drained = true; });
  EXPECT_TRUE(world.until([&] { return idleClient->closed; }, 500'000));
  auto lateClient = world.connectClient();  // the platform's load balancer has not been updated yet
  lateClient->ask("x3");
  EXPECT_TRUE(world.until([&] { return lateClient->has(kFinalChunk) && lateClient->closed; }, 500'000))
      << lateClient->got;
  EXPECT_TRUE(lateClient->has("Connection: close"));
  world.pass(700'000);
  EXPECT_FALSE(drained);
  heldRequest->stream->send(chunk(kDoneEvent) + kFinalChunk);
  EXPECT_TRUE(world.until([&] { return drained; }, 1'000'000));
  EXPECT_TRUE(runningClient->has(kFinalChunk));
  RawClient afterShutdown(world.loop, address);
  EXPECT_TRUE(world.until([&] { return afterShutdown.closed; }, 1'000'000));
}

}  // namespace
}  // namespace garnethook::test
