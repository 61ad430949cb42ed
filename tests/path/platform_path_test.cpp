// Whole paths on the platform: raw clients, scripted engines and discovery on loopback. Each test causes the
// trouble that it names.
#include <algorithm>
#include <array>
#include <iostream>

#include "platform_world.h"

namespace garnethook::test {
namespace {

using Request = ScriptedEngine::Request;

struct PlatformPath : testing::Test {
  PlatformWorld w;
};

TEST_F(PlatformPath, AReadThenAStreamUnchanged) {
  auto c = w.client();
  c->ask("a1");
  ASSERT_TRUE(w.until([&] { return c->has(kFinalChunk); }, 2'000'000)) << c->got;
  EXPECT_TRUE(c->has("HTTP/1.1 200"));
  EXPECT_TRUE(c->has(kTokenEvent));
  EXPECT_TRUE(c->has(kDoneEvent));
  ASSERT_EQ(w.reader.count("POST"), 1u);
  ASSERT_EQ(w.writer.count("POST"), 1u);
  EXPECT_EQ(w.writer.seen[0].body, R"({"model":"m"})");
  EXPECT_EQ(http1::find(w.writer.seen[0].head.fields, "x-trace-id"), "a1");
  EXPECT_TRUE(http1::find(w.writer.seen[0].head.fields, "x-expires-in-ms"));
  EXPECT_TRUE(w.clean());
  c->got.clear();  // the connection serves another one
  c->ask("a2");
  EXPECT_TRUE(w.until([&] { return c->has(kFinalChunk); }, 2'000'000));
}

TEST_F(PlatformPath, ReadinessIsTold) {
  auto c = w.client();
  c->stream.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(w.until([&] { return c->has("HTTP/1.1 200 OK"); }, 1'000'000));
}

TEST_F(PlatformPath, ASpoiltOpeningIsTriedAgainWhereThatDoesNoHarm) {
  for (const std::string& spoilt :
       {std::string("\x01\x02noise\r\n\r\n"), std::string("HTTP/9.9 what\r\n\r\n"),
        "HTTP/1.1 200 OK\r\nX: " + std::string(40'000, 'h'), std::string(kStreamHead) + "zz\r\n",
        std::string(kStreamHead) + "c0000000\r\nxxxx"}) {
    const auto before = w.writer.count("POST");
    bool first = true;
    w.writer.script = [&](Request& r) {
      if (!PlatformWorld::answerControlRequest(r))
        r.stream->send(std::exchange(first, false) ? spoilt : kCompleteStream);
    };
    auto c = w.client();
    c->ask("s" + std::to_string(before));
    ASSERT_TRUE(w.until([&] { return c->has(kFinalChunk); }, 3'000'000)) << spoilt.substr(0, 20) << c->got;
    EXPECT_EQ(c->count(kTokenEvent), 1u);
    EXPECT_GE(w.writer.count("POST"), before + 2);
    EXPECT_TRUE(w.clean());
  }
}

TEST_F(PlatformPath, AnUnsafeRequestThatMayHaveRunIsNeitherRepeatedNorRefused) {
  w.writer.script = [&](Request& r) {
    if (!PlatformWorld::answerControlRequest(r)) r.stream->send("noise\r\n\r\n");
  };
  auto c = w.client();
  c->ask("u1", "order");
  ASSERT_TRUE(w.until([&] { return c->has("\r\n\r\n"); }, 3'000'000));
  EXPECT_TRUE(c->has("HTTP/1.1 502")) << c->got;
  EXPECT_EQ(w.writer.count("POST"), 1u);
  EXPECT_TRUE(w.clean());
}

TEST_F(PlatformPath, AStreamSpoiltLaterEndsTheClientsConnectionWithoutTheLastChunk) {
  w.writer.script = [&](Request& r) {
    if (!PlatformWorld::answerControlRequest(r))
      r.stream->send(std::string(kStreamHead) + chunk(kTokenEvent) + "nosize\r\n");
  };
  auto c = w.client();
  c->ask("b1");
  ASSERT_TRUE(w.until([&] { return c->closed; }, 2'000'000));
  EXPECT_EQ(c->count(kTokenEvent), 1u);
  EXPECT_FALSE(c->has(kFinalChunk));
  EXPECT_EQ(w.writer.count("POST"), 1u);
  EXPECT_TRUE(w.clean());
}

TEST_F(PlatformPath, AnAnswerThatNobodyAskedForIsNotTakenForTheNext) {
  for (const bool late : {false, true}) {
    w.writer.script = [&](Request& r) {
      if (PlatformWorld::answerControlRequest(r)) return;
      const std::string foreign = std::string(kStreamHead) + chunk("data: foreign\n\n") + kFinalChunk;
      r.stream->send("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + kCompleteStream + (late ? "" : foreign));
      if (late) w.loop.after(5000, [&w = w, s = r.stream, foreign] { s->send(foreign); });
    };
    for (int i = 0; i < 3; ++i) {
      auto c = w.client();
      c->ask((late ? "l" : "e") + std::to_string(i));
      ASSERT_TRUE(w.until([&] { return c->has(kFinalChunk); }, 2'000'000)) << c->got;
      EXPECT_FALSE(c->has("foreign"));
      w.pass(10'000);
    }
  }
  EXPECT_TRUE(w.clean());
}

TEST_F(PlatformPath, AClientThatGoesAwayLeavesNothingBehind) {
  w.writer.script = [](Request& r) { PlatformWorld::answerControlRequest(r); };  // no answer to writes
  auto c = w.client();
  c->ask("g1");
  ASSERT_TRUE(w.until([&] { return w.writer.count("POST") == 1; }, 2'000'000));
  c->stream.close();
  EXPECT_TRUE(w.until([&] { return w.reader.count("DELETE") + w.writer.count("DELETE") == 1; }, 1'000'000));
  EXPECT_TRUE(w.until([&] { return w.writer.gone() == 1; }, 1'000'000));
  EXPECT_TRUE(w.clean());
}

std::string requestText(const std::string& id, const std::string& more = "", std::size_t size = 13) {
  const std::string body = R"({"model":"m"})" + std::string(size - 13, ' ');
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Trace-Id: " + id +
         "\r\nX-Qos: chat\r\nX-Expires-In-Ms: 3000\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Reads to the connection's end; a reset in place of an orderly one throws.
std::string readToEnd(Poco::Net::StreamSocket& socket) {
  std::string out;
  std::array<char, 4096> piece{};
  socket.setReceiveTimeout(Poco::Timespan(2, 0));
  while (const int n = socket.receiveBytes(piece.data(), static_cast<int>(piece.size())))
    out.append(piece.data(), static_cast<std::size_t>(n));
  return out;
}

// The request and the close are read in one turn: the attempt began before the close was seen.
TEST_F(PlatformPath, ARequestWhoseClientClosedRightBehindItBeginsNothing) {
  auto c = w.client();  // leaves a connection to the reader, on which an attempt would be out at once
  c->ask("first");
  ASSERT_TRUE(w.until([&] { return c->has(kFinalChunk); }, 2'000'000));
  for (int i = 0; i < 5; ++i) {
    Poco::Net::StreamSocket client(w.node->address());
    const auto text = requestText("gone" + std::to_string(i));
    client.sendBytes(text.data(), static_cast<int>(text.size()));
    client.close();
  }
  w.pass(300'000);
  EXPECT_EQ(w.node->frontend().connections(), 1u);
  EXPECT_EQ(w.reader.count("POST"), 1u);
  EXPECT_EQ(w.node->router().counters().attempts, 2u);  // those of the first request
}

// Reading was paused behind an open request, and the close of a client that had sent much went unseen.
TEST_F(PlatformPath, MuchSentBehindAnOpenRequestDoesNotHideTheClose) {
  w.writer.script = [](Request& r) { PlatformWorld::answerControlRequest(r); };  // no answer to writes
  auto c = w.client();
  c->ask("much");
  for (int i = 0; i < 20; ++i) c->stream.send(requestText("behind" + std::to_string(i), "", 20'000));
  ASSERT_TRUE(w.until([&] { return w.writer.count("POST") == 1 && c->stream.pending() == 0; }, 2'000'000));
  c->stream.close();
  EXPECT_TRUE(w.until([&] { return w.writer.gone() == 1; }, 100'000));
  EXPECT_TRUE(w.clean());
  EXPECT_EQ(w.reader.count("POST"), 1u);
}

// What was kept of it was read, and is answered; the rest is thrown away, and the connection ends.
TEST_F(PlatformPath, AFloodBehindAnOpenRequestIsKeptToABoundAndOthersAreServed) {
  auto c = w.client();
  std::vector<net::Stream*> held;
  w.writer.script = [&](Request& r) {
    if (PlatformWorld::answerControlRequest(r)) return;
    held.size() < 2 ? held.push_back(r.stream) : r.stream->send(kCompleteStream);
  };
  c->ask("flood");
  for (int i = 0; i < 200; ++i) c->stream.send(requestText("more" + std::to_string(i), "", 20'000));
  auto other = w.client();
  other->ask("other");
  ASSERT_TRUE(w.until([&] { return held.size() == 2 && c->stream.pending() == 0; }, 2'000'000))
      << held.size() << " " << c->stream.pending() << " " << other->got << w.node->statusSummary();
  w.pass(50'000);
  for (auto* s : held) s->send(kCompleteStream);
  EXPECT_TRUE(w.until([&] { return other->has(kFinalChunk) && c->closed; }, 5'000'000)) << other->got;
  EXPECT_EQ(c->count(kFinalChunk) + 1, w.writer.count("POST")) << c->got;
  EXPECT_GT(c->count(kFinalChunk), 40u);  // a mebibyte of 20 kB each
  EXPECT_LT(c->count(kFinalChunk), 60u);
  EXPECT_TRUE(w.clean());
}

TEST_F(PlatformPath, AnAnswerIsReadWholeThoughMoreWasSentBehindItsRequest) {
  Poco::Net::StreamSocket client(w.node->address());
  const auto text = requestText("last", "Connection: close\r\n") + requestText("extra", "", 100'000);
  client.sendBytes(text.data(), static_cast<int>(text.size()));
  w.pass(300'000);
  const auto got = readToEnd(client);
  EXPECT_TRUE(got.ends_with(kFinalChunk)) << got;
  EXPECT_EQ(w.reader.count("POST"), 1u);
}

// The request crosses the end of its connection: it is not read, and no reset takes the answer before it.
TEST_F(PlatformPath, ARequestBehindTheEndOfARestingConnectionIsNotSentOn) {
  Poco::Net::StreamSocket client(w.node->address());
  const auto first = requestText("first");
  client.sendBytes(first.data(), static_cast<int>(first.size()));
  w.pass(200'000);
  w.node->shutDown([] {});
  w.pass(50'000);
  const auto late = requestText("late");
  client.sendBytes(late.data(), static_cast<int>(late.size()));
  w.pass(50'000);
  const auto got = readToEnd(client);
  EXPECT_TRUE(got.ends_with(kFinalChunk)) << got;
  EXPECT_EQ(w.reader.count("POST"), 1u);
  client.close();
  EXPECT_TRUE(w.until([&] { return w.node->frontend().connections() == 0; }, 500'000));
}

TEST_F(PlatformPath, AReleaseGoesElsewhereWhereTheReaderIsSilent) {
  w.reader.script = [](Request& r) {
    if (r.head.method == "POST") r.stream->send(kPrefillResponse);  // and no word to a release
  };
  w.writer.script = [](Request& r) { PlatformWorld::answerControlRequest(r); };
  auto c = w.client();
  c->ask("h1");
  ASSERT_TRUE(w.until([&] { return w.writer.count("POST") == 1; }, 2'000'000));
  c->stream.close();
  EXPECT_TRUE(w.until([&] { return w.writer.count("DELETE") == 1; }, 150'000));  // of 500 ms
  EXPECT_TRUE(w.clean());
}

TEST_F(PlatformPath, BadRequestsGetAnErrorAndTheirConnectionEnds) {
  const std::string good = "X-Trace-Id: x1\r\nX-Qos: chat\r\nX-Expires-In-Ms: 3000\r\n";
  for (const std::string& bad :
       {std::string("\x01\x02\x03\r\n\r\n"),
        std::string("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"),
        "POST /v1/chat/completions HTTP/1.1\r\n" + good +
            "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}",
        "POST /v1/chat/completions HTTP/1.1\r\n" + good + "Content-Length: -4\r\n\r\n",
        "POST /v1/chat/completions HTTP/1.1\r\n" + good + "Content-Length: 63000000\r\n\r\n" +
            std::string(5000, 'b'),
        "POST /v1/chat/completions HTTP/1.1\r\n" + good + "Content-Length: 5\r\n\r\n{\"a\":1}",
        "POST /v1/chat/completions HTTP/1.1\r\nX: " + std::string(40'000, 'y')}) {
    auto c = w.client();
    c->stream.send(bad);
    EXPECT_TRUE(w.until([&] { return c->closed; }, 1'000'000)) << bad.substr(0, 40);
    EXPECT_TRUE(c->has("HTTP/1.1 4")) << c->got;
    EXPECT_EQ(c->count("HTTP/1.1 "), 1u);
  }
  EXPECT_EQ(w.reader.count("POST"), 0u);
}

TEST_F(PlatformPath, TheIdOfAnOpenRequestIsTurnedAwayAndTheFirstGoesOn) {
  Request* held = nullptr;
  w.writer.script = [&](Request& r) {
    if (!PlatformWorld::answerControlRequest(r)) held = &r;
  };
  auto c = w.client();
  c->ask("d1");
  ASSERT_TRUE(w.until([&] { return held != nullptr; }, 2'000'000));
  auto other = w.client();
  other->ask("d1");
  EXPECT_TRUE(w.until([&] { return other->has("HTTP/1.1 409"); }, 1'000'000));
  held->stream->send(kCompleteStream);
  EXPECT_TRUE(w.until([&] { return c->has(kFinalChunk); }, 1'000'000));
  EXPECT_EQ(w.writer.count("POST"), 1u);
}

TEST_F(PlatformPath, HalfRequestsAndSilenceEndInTime) {
  auto silent = w.client();
  auto half = w.client();
  auto slow = w.client();
  half->stream.send("POST /v1/chat/completions HTTP/1.1\r\nHost");
  slow->ask("t1", "chat", "", "");
  EXPECT_TRUE(w.until([&] { return silent->closed && half->closed; }, 3'000'000));
  EXPECT_TRUE(half->has("HTTP/1.1 408"));
  EXPECT_TRUE(slow->has("HTTP/1.1 400")) << slow->got;  // its body is empty
}

TEST_F(PlatformPath, AFloodOfSilentConnectionsKeepsNobodyOut) {
  std::vector<std::unique_ptr<RawClient>> flood;
  for (int i = 0; i < 300; ++i) flood.push_back(w.client());
  w.pass(100'000);
  auto c = w.client();
  c->ask("f1");
  EXPECT_TRUE(w.until([&] { return c->has(kFinalChunk); }, 2'000'000)) << c->got;
  EXPECT_LE(w.node->frontend().connections(), 128u);
}

// Connections that asked once and stay take no room from those that come.
TEST_F(PlatformPath, ACrowdOfRestingConnectionsKeepsNobodyOut) {
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (int i = 0; i < 400; ++i) {
    crowd.push_back(w.client());
    crowd.back()->stream.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
  }
  EXPECT_TRUE(w.until(
      [&] { return std::all_of(crowd.begin(), crowd.end(), [](auto& c) { return c->has("200 OK"); }); },
      1'500'000));
  auto c = w.client();
  c->ask("f2");
  EXPECT_TRUE(w.until([&] { return c->has(kFinalChunk); }, 1'000'000)) << c->got;
}

TEST_F(PlatformPath, ATrickledRequestIsServed) {
  auto c = w.client();
  const std::string body = R"({"model":"m"})";
  const std::string text =
      "POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: k1\r\nX-Qos: chat\r\nX-Expires-In-Ms: 3000\r\n"
      "Content-Length: 13\r\n\r\n" +
      body;
  std::size_t at = 0;
  std::function<void()> next = [&] {
    c->stream.send(text.substr(at++, 1));
    if (at < text.size()) w.loop.after(1000, next);
  };
  next();
  EXPECT_TRUE(w.until([&] { return c->has(kFinalChunk); }, 3'000'000)) << c->got;
}

TEST_F(PlatformPath, PipelinedRequestsAreAnsweredInOrder) {
  auto c = w.client();
  c->ask("p1");
  c->ask("p2");
  c->ask("p3");
  EXPECT_TRUE(w.until([&] { return c->count(kFinalChunk) == 3; }, 3'000'000)) << c->got;
  EXPECT_EQ(w.writer.count("POST"), 3u);
}

// Engines that reset a kept connection at its next request: reads are sent again, unsafe requests go on new
// connections once that is known.
TEST_F(PlatformPath, KeptConnectionsThatDieCostNoUnsafeRequest) {
  std::vector<std::size_t> used;
  const auto resetting = [&](std::string_view answer) {
    return [&used, answer](Request& r) {
      if (PlatformWorld::answerControlRequest(r)) return;
      const bool again = std::count(used.begin(), used.end(), reinterpret_cast<std::size_t>(r.stream)) > 0;
      used.push_back(reinterpret_cast<std::size_t>(r.stream));
      again ? r.stream->close(true) : r.stream->send(answer);
    };
  };
  w.reader.script = resetting(kPrefillResponse);
  w.writer.script = resetting(kCompleteStream);
  for (int i = 0; i < 4; ++i) {
    auto c = w.client();
    c->ask("k" + std::to_string(i));
    ASSERT_TRUE(w.until([&] { return c->has(kFinalChunk); }, 2'000'000)) << c->got;
    w.pass(30'000);  // until the connections may be used again
  }
  for (int i = 0; i < 8; ++i) {
    auto c = w.client();
    c->ask("m" + std::to_string(i), "order");
    ASSERT_TRUE(w.until([&] { return c->has(kFinalChunk) || c->has("HTTP/1.1 5"); }, 2'000'000));
    EXPECT_TRUE(c->has(kFinalChunk)) << i << c->got;
  }
  EXPECT_TRUE(w.clean());
}

TEST_F(PlatformPath, ARefusedEngineIsGivenUpAndTheClientToldWhenToComeBack) {
  w.watches.at(0).second->piece(R"({"revision":2,"complete":false,"members":[)" +
                                w.member("w", w.writer, "m2", "draining") + "]}\n");
  ASSERT_TRUE(w.until([&] { return w.node->endpointList().version() == 2; }, 1'000'000));
  w.pass(300'000);
  auto c = w.client();
  c->ask("n1");
  ASSERT_TRUE(w.until([&] { return c->has("\r\n\r\n"); }, 3'500'000));
  EXPECT_TRUE(c->has("HTTP/1.1 429") || c->has("HTTP/1.1 503")) << c->got;
  EXPECT_TRUE(c->has("Retry-After: 0.")) << c->got;
  EXPECT_EQ(w.writer.count("POST"), 0u);
}

TEST_F(PlatformPath, TheWatchIsBegunAnewFromTheVersionThatIsHeld) {
  ASSERT_EQ(w.watches.size(), 1u);
  EXPECT_NE(w.watches[0].first.find("index=0"), std::string::npos);
  w.watches[0].second->cut();
  ASSERT_TRUE(w.until([&] { return w.watches.size() == 2; }, 2'000'000));
  EXPECT_NE(w.watches[1].first.find("stream=1&index=1"), std::string::npos);
}

// What a spoilt list told would be passed over with the next change: it is asked for from the version held.
TEST_F(PlatformPath, AListThatCantBeUsedIsAskedForAgain) {
  ASSERT_EQ(w.watches.size(), 1u);
  w.firstList = R"({"revision":3,"complete":false,"members":[)" + w.member("w2", w.otherWriter, "m2") + "]}";
  w.watches[0].second->piece("{\"revision\":2,\"members\":7}\n" + w.firstList + "\n");
  ASSERT_TRUE(w.until([&] { return w.watches.size() == 2; }, 2'000'000));
  EXPECT_NE(w.watches[1].first.find("index=1"), std::string::npos) << w.watches[1].first;
  EXPECT_TRUE(w.until([&] { return w.node->endpointList().version() == 3; }, 1'000'000));
}

// A list that is cut short by the end of its watch is asked for again.
TEST_F(PlatformPath, AListThatIsCutShortIsAskedForAgain) {
  ASSERT_EQ(w.watches.size(), 1u);
  w.firstList = R"({"revision":2,"complete":false,"members":[)" + w.member("w2", w.otherWriter, "m2") + "]}";
  w.watches[0].second->piece(w.firstList.substr(0, w.firstList.size() / 2));
  w.pass(20'000);
  w.watches[0].second->cut();
  ASSERT_TRUE(w.until([&] { return w.watches.size() == 2; }, 2'000'000));
  EXPECT_NE(w.watches[1].first.find("index=1"), std::string::npos);
  EXPECT_TRUE(w.until([&] { return w.node->endpointList().version() == 2; }, 1'000'000));
}

// An answer is bounded like any message; its client must not wait for an end that never comes.
TEST_F(PlatformPath, AStreamThatNeverEndsIsEndedAtTheBoundOfAnAnswer) {
  constexpr std::size_t kMost = 256 * 1024;
  std::size_t sent = 0;
  std::function<void(net::Stream*)> goOn = [&](net::Stream* stream) {
    const std::string event = chunk("data: " + std::string(20'000, 'x') + "\n\n");
    sent += event.size();
    if (!stream->open() || sent > 4 * kMost) return;
    stream->send(event);
    w.loop.after(1'000, [&goOn, stream] { goOn(stream); });
  };
  w.writer.script = [&](Request& r) {
    if (PlatformWorld::answerControlRequest(r)) return;
    r.stream->send(kStreamHead);
    goOn(r.stream);
  };
  auto c = w.client();
  c->ask("endless");
  EXPECT_TRUE(w.until([&] { return c->closed; }, 5'000'000));
  EXPECT_LE(c->got.size(), kMost + 4096);
  EXPECT_GT(c->got.size(), kMost / 2);
  EXPECT_FALSE(c->has("\r\n" + std::string(kFinalChunk)));
  EXPECT_TRUE(w.clean());
}

// A client that notes how long each event of its stream took from the engine's write, whose time it tells.
class TimingClient final : public net::StreamEvents {
 public:
  TimingClient(net::Loop& loop, const Poco::Net::SocketAddress& to, const std::string& id)
      : loop_(loop), stream_(loop, to, "", 1'000'000, *this) {
    stream_.send(requestText(id));
  }
  void onBytes(std::string_view bytes) override {
    text_ += bytes;
    constexpr std::string_view kTime = "data: {\"at\":";
    for (auto at = text_.find(kTime, read_); at != std::string::npos; at = text_.find(kTime, read_)) {
      const auto end = text_.find('}', at);
      if (end == std::string::npos) return;
      delays.push_back(loop_.now() - std::stoll(text_.substr(at + kTime.size(), end - at - kTime.size())));
      read_ = end;
    }
  }
  void onClosed(net::CloseCause) override {}
  std::vector<Micros> delays;

 private:
  net::Loop& loop_;
  std::string text_;
  std::size_t read_ = 0;
  net::Stream stream_;
};

// Events go on as they come, beside lists of a hundred engines, a flood and a neighbour that reads nothing.
TEST_F(PlatformPath, EventsAreNotHeldBackByListsFloodsOrSlowNeighbours) {
  constexpr std::size_t kStreams = 20;
  constexpr int kEvents = 100;
  constexpr Micros kApart = 5'000;
  constexpr Micros kWithin = 300'000;
  std::vector<net::Stream*> streams;
  w.writer.script = [&](Request& r) {
    if (PlatformWorld::answerControlRequest(r)) return;
    r.stream->send(kStreamHead);
    streams.push_back(r.stream);
  };
  auto slow = w.client();
  slow->ask("slow");
  ASSERT_TRUE(w.until([&] { return streams.size() == 1; }, 2'000'000));
  slow->stream.pauseReading(true);
  streams[0]->send(chunk("data: " + std::string(60'000, 'x') + "\n\n"));
  std::vector<std::unique_ptr<TimingClient>> clients;
  for (std::size_t i = 0; i < kStreams; ++i)
    clients.push_back(std::make_unique<TimingClient>(w.loop, w.node->address(), "e" + std::to_string(i)));
  ASSERT_TRUE(w.until([&] { return streams.size() == kStreams + 1; }, 3'000'000));
  int sent = 0;
  std::function<void()> goOn = [&] {
    for (std::size_t i = 1; i < streams.size(); ++i)
      streams[i]->send(chunk("data: {\"at\":" + std::to_string(w.loop.now()) + "}\n\n"));
    if (sent % 10 == 0) {
      std::string list = R"({"revision":)" + std::to_string(sent + 2) + R"(,"complete":true,"members":[)" +
                         w.member("r", w.reader, "m1") + "," + w.member("w", w.writer, "m2");
      for (int e = 0; e < 100; ++e) list += "," + w.member("x" + std::to_string(e), w.otherWriter, "m2");
      w.watches[0].second->piece(list + "]}\n");
    }
    if (++sent < kEvents) w.loop.after(kApart, goOn);
  };
  auto flood = w.client();
  for (int i = 0; i < 500; ++i) flood->stream.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
  goOn();
  ASSERT_TRUE(w.until([&] { return clients.back()->delays.size() == kEvents; }, 10'000'000));
  std::vector<Micros> delays;
  for (const auto& c : clients) delays.insert(delays.end(), c->delays.begin(), c->delays.end());
  ASSERT_EQ(delays.size(), kStreams * kEvents);
  std::sort(delays.begin(), delays.end());
  std::cout << "delay of an event, ms: p50 " << delays[delays.size() / 2] / 1000 << ", p99 "
            << delays[delays.size() * 99 / 100] / 1000 << ", most " << delays.back() / 1000 << "\n";
  EXPECT_LE(delays.back(), kWithin);
  for (auto* s : streams) s->send(chunk(kDoneEvent) + kFinalChunk);
  slow->stream.pauseReading(false);
  EXPECT_TRUE(w.clean());
}

// What an engine does in the midst of its answer, and what is owed then.
struct BrokenAnswer {
  const char* name;
  std::string bytes;
  bool begun;  // the client has had an event
};
class AnswerThatBreaksOff : public testing::TestWithParam<std::tuple<BrokenAnswer, std::string, bool>> {};
INSTANTIATE_TEST_SUITE_P(
    Everywhere, AnswerThatBreaksOff,
    testing::Combine(
        testing::Values(
            BrokenAnswer{"nothing", "", false}, BrokenAnswer{"half a line", "HTTP/1.1 20", false},
            BrokenAnswer{"half a head", std::string(kStreamHead).substr(0, 40), false},
            BrokenAnswer{"a head", std::string(kStreamHead), false},
            BrokenAnswer{"half an event", std::string(kStreamHead) + "21\r\ndata: {", false},
            BrokenAnswer{"an event", std::string(kStreamHead) + chunk(kTokenEvent), true},
            BrokenAnswer{"all events", std::string(kStreamHead) + chunk(kTokenEvent) + chunk(kDoneEvent),
                         true},
            BrokenAnswer{"half a last chunk",
                         std::string(kStreamHead) + chunk(kTokenEvent) + chunk(kDoneEvent) + "0\r\n", true}),
        testing::Values("chat", "order"), testing::Bool()),
    [](const auto& about) {
      std::string name = std::string(std::get<0>(about.param).name) + " " + std::get<1>(about.param) +
                         (std::get<2>(about.param) ? " reset" : " closed");
      std::replace(name.begin(), name.end(), ' ', '_');
      return name;
    });

TEST_P(AnswerThatBreaksOff, TheClientGetsOneEndAndUnsafeWorkNoSecondAttempt) {
  const auto& [answer, kind, reset] = GetParam();
  PlatformWorld w;
  bool first = true;
  w.writer.script = [&, reset = reset, answer = answer](Request& r) {
    if (PlatformWorld::answerControlRequest(r)) return;
    if (!std::exchange(first, false)) return r.stream->send(kCompleteStream);
    r.stream->send(answer.bytes);
    // In turns of their own, so that a reset does not take the bytes before it.
    w.loop.after(20'000, [s = r.stream, reset] { s->close(reset); });
  };
  auto c = w.client();
  c->ask("b", kind);
  const bool again = !answer.begun && kind == "chat";  // no effect, and nothing passed on yet
  ASSERT_TRUE(
      w.until([&] { return c->closed || c->has("\r\n" + std::string(kFinalChunk)) || c->has("HTTP/1.1 5"); },
              3'000'000));
  EXPECT_EQ(w.writer.count("POST"), again ? 2u : 1u);
  EXPECT_EQ(c->count("\r\n" + std::string(kFinalChunk)), again ? 1u : 0u) << c->got;
  EXPECT_EQ(c->count("HTTP/1.1 "), 1u) << c->got;
  EXPECT_TRUE(!answer.begun || c->closed);
  EXPECT_EQ(c->has("HTTP/1.1 502"), !again && !answer.begun) << c->got;
  EXPECT_TRUE(w.clean());
}

// The test's discovery has no beat, as one whose connection died in silence.
TEST_F(PlatformPath, AWatchThatMissesItsBeatIsBegunAnew) {
  ASSERT_EQ(w.watches.size(), 1u);
  EXPECT_TRUE(w.until([&] { return w.watches.size() >= 2; }, 3'000'000));
  EXPECT_EQ(w.node->endpointList().endpoints().size(), 2u);
}

TEST_F(PlatformPath, AReloadMovesTheWatchAndKeepsWhatIsServed) {
  std::vector<std::pair<std::string, std::shared_ptr<fake_engine::HttpReply>>> others;
  auto other = w.makeDiscovery(others);
  w.firstList = R"({"revision":9,"complete":false,"members":[)" + w.member("w2", w.otherWriter, "m2") + "]}";
  w.node->reload(w.read(other->address().toString()));
  ASSERT_TRUE(w.until([&] { return w.node->endpointList().version() == 9; }, 1'000'000));
  EXPECT_EQ(w.node->endpointList().endpoints().size(), 3u);
  EXPECT_FALSE(w.watches[0].second->open());
  auto c = w.client();
  c->ask("r1");
  EXPECT_TRUE(w.until([&] { return c->has(kFinalChunk); }, 2'000'000));
  w.watches.clear();
  others.clear();
}

TEST_F(PlatformPath, DrainingTakesRequestsForAWhileAndFinishesAll) {
  Request* held = nullptr;
  w.writer.script = [&](Request& r) {
    if (PlatformWorld::answerControlRequest(r)) return;
    if (held == nullptr) {
      held = &r;
      r.stream->send(std::string(kStreamHead) + chunk(kTokenEvent));
    } else {
      r.stream->send(kCompleteStream);
    }
  };
  auto running = w.client();
  running->ask("x1");
  ASSERT_TRUE(w.until([&] { return running->has(kTokenEvent); }, 2'000'000));
  auto idle = w.client();
  idle->ask("x2");
  ASSERT_TRUE(w.until([&] { return idle->has(kFinalChunk); }, 2'000'000));
  const auto address = w.node->address();
  bool done = false;
  w.node->shutDown([&] { done = true; });
  EXPECT_TRUE(w.until([&] { return idle->closed; }, 500'000));
  auto late = w.client();  // the platform's front does not know yet
  late->ask("x3");
  EXPECT_TRUE(w.until([&] { return late->has(kFinalChunk) && late->closed; }, 500'000)) << late->got;
  EXPECT_TRUE(late->has("Connection: close"));
  w.pass(700'000);
  EXPECT_FALSE(done);
  held->stream->send(chunk(kDoneEvent) + kFinalChunk);
  EXPECT_TRUE(w.until([&] { return done; }, 1'000'000));
  EXPECT_TRUE(running->has(kFinalChunk));
  RawClient after(w.loop, address);
  EXPECT_TRUE(w.until([&] { return after.closed; }, 1'000'000));
}

}  // namespace
}  // namespace garnethook::test
