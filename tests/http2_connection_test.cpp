// The HTTP/2 connection: two of ours against each other, and hand-made frames from hostile peers.
#include <gtest/gtest.h>

#include <map>

#include "http2/connection.h"

namespace garnethook::http2 {
namespace {

struct Log final : ConnectionEvents {
  void onHeaders(StreamId id, Headers h, bool trailers, bool end) override {
    (trailers ? trailersOf : headersOf)[id] = std::move(h);
    if (end) ended.push_back(id);
  }
  void onData(StreamId id, std::span<const std::uint8_t> data, bool end) override {
    dataOf[id].append(data.begin(), data.end());
    if (end) ended.push_back(id);
    if (consume) connection->consumed(id, data.size());
  }
  void onReset(StreamId id, ErrorCode code) override { resets.emplace_back(id, code); }
  void onSent(StreamId, std::size_t) override {}
  void onGoAway(StreamId last, ErrorCode code) override { goAways.emplace_back(last, code); }
  Connection* connection = nullptr;
  bool consume = true;
  std::map<StreamId, Headers> headersOf, trailersOf;
  std::map<StreamId, std::string> dataOf;
  std::vector<StreamId> ended;
  std::vector<std::pair<StreamId, ErrorCode>> resets, goAways;
};

std::span<const std::uint8_t> bytes(std::string_view s) {
  return {reinterpret_cast<const std::uint8_t*>(s.data()), s.size()};
}

struct Pair {
  explicit Pair(Limits limits = {})
      : server(Side::server, limits, serverLog), client(Side::client, {}, clientLog) {
    serverLog.connection = &server;
    clientLog.connection = &client;
    pump();
  }
  // Bytes both ways until nothing is left, in pieces of `piece`.
  void pump(std::size_t piece = 7) {
    for (bool moved = true; moved;) {
      moved = false;
      for (auto [from, to] : {std::pair{&client, &server}, std::pair{&server, &client}}) {
        const std::string out(from->output().substr(0, piece));
        if (out.empty()) continue;
        from->sent(out.size());
        to->receive(0, bytes(out));
        moved = true;
      }
    }
  }
  Log serverLog, clientLog;
  Connection server, client;
};

const Headers kRequest{{":method", "POST"}, {":scheme", "http"}, {":path", "/x"}, {":authority", "a"}};

TEST(Http2, CarriesARequestAndAnAnswerWithTrailersInSmallPieces) {
  Pair p;
  const auto id = p.client.open(kRequest, false);
  p.client.sendData(id, std::string(200'000, 'q'), true);
  p.pump(1000);
  EXPECT_EQ(p.serverLog.dataOf[id].size(), 200'000u);
  p.server.sendHeaders(id, {{":status", "200"}}, false);
  p.server.sendData(id, std::string(300'000, 'r'), false);
  p.server.sendHeaders(id, {{"grpc-status", "0"}}, true);
  p.pump(1000);
  EXPECT_EQ(p.clientLog.dataOf[id].size(), 300'000u);
  EXPECT_EQ(p.clientLog.trailersOf[id].front().value, "0");
  EXPECT_EQ(p.server.openStreams() + p.client.openStreams(), 0u);
}

TEST(Http2, AClosedWindowHoldsDataBackAndTrailersNowOvertakeIt) {
  Pair p;
  p.clientLog.consume = false;
  const auto id = p.client.open(kRequest, true);
  p.pump();
  p.server.sendHeaders(id, {{":status", "200"}}, false);
  p.server.sendData(id, std::string(1'000'000, 'r'), false);
  p.pump(5000);
  EXPECT_EQ(p.clientLog.dataOf[id].size(), 65'535u);
  EXPECT_EQ(p.server.queued(id), 1'000'000u - 65'535u);
  p.server.sendTrailersNow(id, {{"grpc-status", "4"}});
  p.pump();
  EXPECT_EQ(p.clientLog.trailersOf[id].front().value, "4");
  EXPECT_EQ(p.server.queuedTotal(), 0u);
}

TEST(Http2, OneStreamsClosedWindowDoesNotHoldOthers) {
  Pair p;
  p.clientLog.consume = false;
  const auto stuck = p.client.open(kRequest, true);
  const auto other = p.client.open(kRequest, true);
  p.pump();
  for (const auto id : {stuck, other}) p.server.sendHeaders(id, {{":status", "200"}}, false);
  p.server.sendData(stuck, std::string(500'000, 's'), false);
  p.server.sendData(other, "hello", true);
  p.pump(5000);
  EXPECT_EQ(p.clientLog.dataOf[other], "hello");
}

TEST(Http2, AnEarlyAnswerAsksForNoMoreOfTheRequest) {
  Pair p;
  const auto id = p.client.open(kRequest, false);
  p.pump();
  p.server.sendHeaders(id, {{":status", "200"}}, true);
  p.pump();
  ASSERT_EQ(p.clientLog.resets.size(), 1u);
  EXPECT_EQ(p.clientLog.resets[0].second, ErrorCode::noError);
  EXPECT_FALSE(p.server.hasFailed());
}

TEST(Http2, StreamsBeyondTheBoundAreRefusedAlone) {
  Limits limits;
  limits.streams = 2;
  Log log;
  Connection server(Side::server, limits, log);
  Log clientLog;
  Connection client(Side::client, {}, clientLog);  // does not know the bound yet
  for (int i = 0; i < 3; ++i) client.open(kRequest, false);
  EXPECT_TRUE(server.receive(0, bytes(client.output())));
  EXPECT_EQ(log.headersOf.size(), 2u);
  client.receive(0, bytes(server.output()));
  ASSERT_EQ(clientLog.resets.size(), 1u);
  EXPECT_EQ(clientLog.resets[0], (std::pair<StreamId, ErrorCode>{5, ErrorCode::refusedStream}));
}

// ---- hostile peers ----

std::string frame(int type, int flags, StreamId id, const std::string& payload) {
  std::string f;
  f.push_back(static_cast<char>(payload.size() >> 16));
  f.push_back(static_cast<char>(payload.size() >> 8));
  f.push_back(static_cast<char>(payload.size()));
  f.push_back(static_cast<char>(type));
  f.push_back(static_cast<char>(flags));
  for (int s = 24; s >= 0; s -= 8) f.push_back(static_cast<char>(id >> s));
  return f + payload;
}
const std::string kHello = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(4, 0, 0, "");
const std::string kGet(
    "\x82\x86\x84\x41\x01"
    "a",
    6);  // GET / of authority a

struct Hostile {
  explicit Hostile(Limits limits = {}) : server(Side::server, limits, log) { log.connection = &server; }
  // Whether the connection stands after these bytes.
  bool take(const std::string& s, std::int64_t now = 0) { return server.receive(now, bytes(s)); }
  ErrorCode after(const std::string& s) {
    take(kHello + s);
    return server.error();
  }
  Log log;
  Connection server;
};

TEST(Http2Hostile, ConnectionErrorsHaveTheCodesOfTheRfc) {
  EXPECT_EQ(Hostile().after(frame(0, 0, 0, "x")), ErrorCode::protocolError);
  EXPECT_EQ(Hostile().after(frame(0, 0, 1, "x")), ErrorCode::protocolError);   // idle stream
  EXPECT_EQ(Hostile().after(frame(1, 4, 2, kGet)), ErrorCode::protocolError);  // even id
  EXPECT_EQ(Hostile().after(frame(1, 4, 3, kGet) + frame(1, 4, 1, kGet)),
            ErrorCode::streamClosed);  // going back
  EXPECT_EQ(Hostile().after(frame(1, 4, 1, "\x80")), ErrorCode::compressionError);
  EXPECT_EQ(Hostile().after(frame(1, 0, 1, kGet) + frame(6, 0, 0, "12345678")), ErrorCode::protocolError);
  EXPECT_EQ(Hostile().after(frame(9, 4, 1, kGet)), ErrorCode::protocolError);
  EXPECT_EQ(Hostile().after(frame(5, 4, 1, kGet)), ErrorCode::protocolError);
  EXPECT_EQ(Hostile().after(frame(6, 0, 0, "1234567")), ErrorCode::frameSizeError);
  EXPECT_EQ(Hostile().after(frame(4, 0, 0, "12345")), ErrorCode::frameSizeError);
  EXPECT_EQ(Hostile().after(frame(4, 0, 0, std::string("\0\4\xff\xff\xff\xff", 6))),
            ErrorCode::flowControlError);
  EXPECT_EQ(Hostile().after(frame(8, 0, 0, std::string(4, '\0'))), ErrorCode::protocolError);
  EXPECT_EQ(Hostile().after(frame(8, 0, 0, "\x7f\xff\xff\xff")), ErrorCode::flowControlError);
  EXPECT_EQ(Hostile().after(frame(3, 0, 1, "1234")), ErrorCode::protocolError);
  EXPECT_EQ(Hostile().after(frame(0, 8, 1,
                                  "\x05"
                                  "abc")),
            ErrorCode::protocolError);
  EXPECT_EQ(Hostile().after(std::string("\x00\x40\x01\x00\x00\x00\x00\x00\x01", 9)),
            ErrorCode::frameSizeError);
  Hostile noPreface;
  EXPECT_FALSE(noPreface.take("GET / HTTP/1.1\r\n\r\n"));
  Hostile noSettings;
  EXPECT_FALSE(noSettings.take("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(6, 0, 0, "12345678")));
}

TEST(Http2Hostile, MalformedRequestsResetTheirStreamAlone) {
  for (const std::string& block :
       {std::string("\x82\x86"), std::string("\x82\x82\x86\x84"), std::string("\x82\x86\x84\x40\x01X\x01y"),
        std::string("\x82\x86\x84\x40\x0a"
                    "connection\x01y"),
        std::string("\x82\x86\x84\x40\x01x\x01\n"),
        std::string("\x82\x86\x84\x40\x01x\x01y\x41\x01"
                    "a")}) {
    Hostile h;
    EXPECT_TRUE(h.take(kHello + frame(1, 5, 1, block)));
    EXPECT_TRUE(h.log.headersOf.empty());
    ASSERT_EQ(h.log.resets.size(), 1u);
    EXPECT_EQ(h.log.resets[0].second, ErrorCode::protocolError);
  }
}

TEST(Http2Hostile, FloodsEndTheConnection) {
  const auto flood = [](const std::string& f, int n, Limits limits = {}) {
    Hostile h(limits);
    h.take(kHello + frame(1, 4, 1, kGet));
    for (int i = 0; i < n && !h.server.hasFailed(); ++i) h.take(f);
    return h.server.error();
  };
  EXPECT_EQ(flood(frame(6, 0, 0, "12345678"), 150), ErrorCode::enhanceYourCalm);
  EXPECT_EQ(flood(frame(4, 0, 0, ""), 50), ErrorCode::enhanceYourCalm);
  EXPECT_EQ(flood(frame(0, 0, 1, ""), 300), ErrorCode::enhanceYourCalm);
  EXPECT_EQ(flood(frame(2, 0, 1, "12345"), 300), ErrorCode::enhanceYourCalm);
  EXPECT_EQ(flood(frame(8, 0, 1, std::string("\0\0\0\1", 4)), 30'000), ErrorCode::enhanceYourCalm);
  Hostile rapid;
  rapid.take(kHello);
  for (StreamId id = 1; id < 2000 && !rapid.server.hasFailed(); id += 2)
    rapid.take(frame(1, 4, id, kGet) + frame(3, 0, id, std::string("\0\0\0\x08", 4)));
  EXPECT_EQ(rapid.server.error(), ErrorCode::enhanceYourCalm);
  Hostile paced;  // as many resets, but over many seconds
  paced.take(kHello);
  for (StreamId id = 1; id < 2000; id += 2)
    EXPECT_TRUE(
        paced.take(frame(1, 4, id, kGet) + frame(3, 0, id, std::string("\0\0\0\x08", 4)), id * 10'000));
  Hostile continuations;
  continuations.take(kHello + frame(1, 0, 1, kGet));
  for (int i = 0; i < 100 && !continuations.server.hasFailed(); ++i) continuations.take(frame(9, 0, 1, ""));
  EXPECT_EQ(continuations.server.error(), ErrorCode::enhanceYourCalm);
}

TEST(Http2Hostile, AWindowOverrunIsAnError) {
  Limits limits;
  limits.streamWindow = 65'535;
  Hostile h(limits);
  h.log.consume = false;
  h.take(kHello + frame(1, 4, 1, kGet));
  for (int i = 0; i < 5 && h.log.resets.empty(); ++i) h.take(frame(0, 0, 1, std::string(16'000, 'x')));
  ASSERT_EQ(h.log.resets.size(), 1u);
  EXPECT_EQ(h.log.resets[0].second, ErrorCode::flowControlError);
}

TEST(Http2Hostile, ContentLengthMustMatch) {
  Hostile h;
  const std::string block = kGet + std::string(
                                       "\x0f\x0d\x01"
                                       "3",
                                       4);
  h.take(kHello + frame(1, 4, 1, block) + frame(0, 1, 1, "four"));
  ASSERT_EQ(h.log.resets.size(), 1u);
  EXPECT_TRUE(h.log.dataOf.empty());
}

TEST(Http2Hostile, WindowsOfDroppedStreamsAreGivenBack) {
  Hostile h;
  h.log.consume = false;
  std::int64_t now = 0;
  h.take(kHello);
  // Far more than the connection's window, over streams that are reset with nothing consumed.
  for (StreamId id = 1; id < 400; id += 2)
    ASSERT_TRUE(h.take(frame(1, 4, id, kGet) + frame(0, 0, id, std::string(16'000, 'x')) +
                           frame(3, 0, id, std::string("\0\0\0\x08", 4)),
                       now += 50'000))
        << h.server.errorText();
}

}  // namespace
}  // namespace garnethook::http2
