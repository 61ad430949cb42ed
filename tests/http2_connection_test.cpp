// Tests the HTTP/2 connection: a client and a server connected to each other, and hand-written frames from a
// hostile peer.
#include <gtest/gtest.h>

#include <map>

#include "http2/connection.h"

namespace garnethook::http2 {
namespace {

struct EventRecorder final : ConnectionEvents {
  void onHeaders(StreamId id, Headers headers, bool trailers, bool end) override {
    (trailers ? trailersOf : headersOf)[id] = std::move(headers);
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

std::span<const std::uint8_t> bytes(std::string_view text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

struct ConnectionPair {
  explicit ConnectionPair(Limits limits = {})
      : server(Side::server, limits, serverEvents), client(Side::client, {}, clientEvents) {
    serverEvents.connection = &server;
    clientEvents.connection = &client;
    exchange();
  }
  // Transfers bytes in both directions, in pieces of at most `maxPieceBytes`, until neither side has output.
  void exchange(std::size_t maxPieceBytes = 7) {
    for (bool hasMoved = true; hasMoved;) {
      hasMoved = false;
      for (auto [from, to] : {std::pair{&client, &server}, std::pair{&server, &client}}) {
        const std::string chunk(from->output().substr(0, maxPieceBytes));
        if (chunk.empty()) continue;
        from->sent(chunk.size());
        to->receive(0, bytes(chunk));
        hasMoved = true;
      }
    }
  }
  EventRecorder serverEvents, clientEvents;
  Connection server, client;
};

const Headers kRequestHeaders{{":method", "POST"}, {":scheme", "http"}, {":path", "/x"}, {":authority", "a"}};

TEST(Http2, TransfersARequestAndAResponseWithTrailersInSmallPieces) {
  ConnectionPair peers;
  const auto id = peers.client.open(kRequestHeaders, false);
  peers.client.sendData(id, std::string(200'000, 'q'), true);
  peers.exchange(1000);
  EXPECT_EQ(peers.serverEvents.dataOf[id].size(), 200'000u);
  peers.server.sendHeaders(id, {{":status", "200"}}, false);
  peers.server.sendData(id, std::string(300'000, 'r'), false);
  peers.server.sendHeaders(id, {{"grpc-status", "0"}}, true);
  peers.exchange(1000);
  EXPECT_EQ(peers.clientEvents.dataOf[id].size(), 300'000u);
  EXPECT_EQ(peers.clientEvents.trailersOf[id].front().value, "0");
  EXPECT_EQ(peers.server.openStreams() + peers.client.openStreams(), 0u);
}

TEST(Http2, ClosedWindowBlocksDataAndSendTrailersNowOvertakesIt) {
  ConnectionPair peers;
  peers.clientEvents.consume = false;
  const auto id = peers.client.open(kRequestHeaders, true);
  peers.exchange();
  peers.server.sendHeaders(id, {{":status", "200"}}, false);
  peers.server.sendData(id, std::string(1'000'000, 'r'), false);
  peers.exchange(5000);
  EXPECT_EQ(peers.clientEvents.dataOf[id].size(), 65'535u);
  EXPECT_EQ(peers.server.queued(id), 1'000'000u - 65'535u);
  peers.server.sendTrailersNow(id, {{"grpc-status", "4"}});
  peers.exchange();
  EXPECT_EQ(peers.clientEvents.trailersOf[id].front().value, "4");
  EXPECT_EQ(peers.server.totalQueuedBytes(), 0u);
}

TEST(Http2, ClosedWindowOfOneStreamDoesNotBlockOthers) {
  ConnectionPair peers;
  peers.clientEvents.consume = false;
  const auto blocked = peers.client.open(kRequestHeaders, true);
  const auto other = peers.client.open(kRequestHeaders, true);
  peers.exchange();
  for (const auto id : {blocked, other}) peers.server.sendHeaders(id, {{":status", "200"}}, false);
  peers.server.sendData(blocked, std::string(500'000, 's'), false);
  peers.server.sendData(other, "hello", true);
  peers.exchange(5000);
  EXPECT_EQ(peers.clientEvents.dataOf[other], "hello");
}

TEST(Http2, EarlyResponseResetsTheRequestStream) {
  ConnectionPair peers;
  const auto id = peers.client.open(kRequestHeaders, false);
  peers.exchange();
  peers.server.sendHeaders(id, {{":status", "200"}}, true);
  peers.exchange();
  ASSERT_EQ(peers.clientEvents.resets.size(), 1u);
  EXPECT_EQ(peers.clientEvents.resets[0].second, ErrorCode::noError);
  EXPECT_FALSE(peers.server.hasFailed());
}

TEST(Http2, StreamsBeyondTheLimitAreRefusedIndividually) {
  Limits limits;
  limits.streams = 2;
  EventRecorder events;
  Connection server(Side::server, limits, events);
  EventRecorder clientEvents;
  Connection client(Side::client, {}, clientEvents);  // has not received the server's limit yet
  for (int index = 0; index < 3; ++index) client.open(kRequestHeaders, false);
  EXPECT_TRUE(server.receive(0, bytes(client.output())));
  EXPECT_EQ(events.headersOf.size(), 2u);
  client.receive(0, bytes(server.output()));
  ASSERT_EQ(clientEvents.resets.size(), 1u);
  EXPECT_EQ(clientEvents.resets[0], (std::pair<StreamId, ErrorCode>{5, ErrorCode::refusedStream}));
}

// Hostile peers.

std::string makeFrame(int type, int flags, StreamId id, const std::string& payload) {
  std::string encoded;
  encoded.push_back(static_cast<char>(payload.size() >> 16));
  encoded.push_back(static_cast<char>(payload.size() >> 8));
  encoded.push_back(static_cast<char>(payload.size()));
  encoded.push_back(static_cast<char>(type));
  encoded.push_back(static_cast<char>(flags));
  for (int shift = 24; shift >= 0; shift -= 8) encoded.push_back(static_cast<char>(id >> shift));
  return encoded + payload;
}
const std::string kClientPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + makeFrame(4, 0, 0, "");
const std::string kGetHeaderBlock(
    "\x82\x86\x84\x41\x01"
    "a",
    6);  // GET / with authority "a"

struct HostilePeer {
  explicit HostilePeer(Limits limits = {}) : server(Side::server, limits, events) {
    events.connection = &server;
  }
  // Returns whether the connection is still usable after these bytes.
  bool feed(const std::string& text, std::int64_t now = 0) { return server.receive(now, bytes(text)); }
  ErrorCode errorAfter(const std::string& text) {
    feed(kClientPreface + text);
    return server.error();
  }
  EventRecorder events;
  Connection server;
};

TEST(Http2Hostile, ConnectionErrorsUseTheCodesOfTheRfc) {
  EXPECT_EQ(HostilePeer().errorAfter(makeFrame(0, 0, 0, "x")), ErrorCode::protocolError);
  EXPECT_EQ(HostilePeer().errorAfter(makeFrame(0, 0, 1, "x")), ErrorCode::protocolError);  // idle stream
  EXPECT_EQ(HostilePeer().errorAfter(makeFrame(1, 4, 2, kGetHeaderBlock)),
            ErrorCode::protocolError);  // even id
  EXPECT_EQ(
      HostilePeer().errorAfter(makeFrame(1, 4, 3, kGetHeaderBlock) + makeFrame(1, 4, 1, kGetHeaderBlock)),
      ErrorCode::streamClosed);  // decreasing stream id
  EXPECT_EQ(HostilePeer().errorAfter(makeFrame(1, 4, 1, "\x80")), ErrorCode::compressionError);
  EXPECT_EQ(HostilePeer().errorAfter(makeFrame(1, 0, 1, kGetHeaderBlock) + makeFrame(6, 0, 0, "12345678")),
            ErrorCode::protocolError);
  EXPECT_EQ(HostilePeer().errorAfter(makeFrame(9, 4, 1, kGetHeaderBlock)), ErrorCode::protocolError);
  EXPECT_EQ(HostilePeer().errorAfter(makeFrame(5, 4, 1, kGetHeaderBlock)), ErrorCode::protocolError);
  EXPECT_EQ(HostilePeer().errorAfter(makeFrame(6, 0, 0, "1234567")), ErrorCode::frameSizeError);
  EXPECT_EQ(HostilePeer().errorAfter(makeFrame(4, 0, 0, "12345")), ErrorCode::frameSizeError);
  EXPECT_EQ(HostilePeer().errorAfter(makeFrame(4, 0, 0, std::string("\0\4\xff\xff\xff\xff", 6))),
            ErrorCode::flowControlError);
  EXPECT_EQ(HostilePeer().errorAfter(makeFrame(8, 0, 0, std::string(4, '\0'))), ErrorCode::protocolError);
  EXPECT_EQ(HostilePeer().errorAfter(makeFrame(8, 0, 0, "\x7f\xff\xff\xff")), ErrorCode::flowControlError);
  EXPECT_EQ(HostilePeer().errorAfter(makeFrame(3, 0, 1, "1234")), ErrorCode::protocolError);
  EXPECT_EQ(HostilePeer().errorAfter(makeFrame(0, 8, 1,
                                               "\x05"
                                               "abc")),
            ErrorCode::protocolError);
  EXPECT_EQ(HostilePeer().errorAfter(std::string("\x00\x40\x01\x00\x00\x00\x00\x00\x01", 9)),
            ErrorCode::frameSizeError);
  HostilePeer noPreface;
  EXPECT_FALSE(noPreface.feed("GET / HTTP/1.1\r\n\r\n"));
  HostilePeer noSettings;
  EXPECT_FALSE(noSettings.feed("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + makeFrame(6, 0, 0, "12345678")));
}

TEST(Http2Hostile, MalformedRequestsResetOnlyTheirStream) {
  for (const std::string& block :
       {std::string("\x82\x86"), std::string("\x82\x82\x86\x84"), std::string("\x82\x86\x84\x40\x01X\x01y"),
        std::string("\x82\x86\x84\x40\x0a"
                    "connection\x01y"),
        std::string("\x82\x86\x84\x40\x01x\x01\n"),
        std::string("\x82\x86\x84\x40\x01x\x01y\x41\x01"
                    "a")}) {
    HostilePeer hostile;
    EXPECT_TRUE(hostile.feed(kClientPreface + makeFrame(1, 5, 1, block)));
    EXPECT_TRUE(hostile.events.headersOf.empty());
    ASSERT_EQ(hostile.events.resets.size(), 1u);
    EXPECT_EQ(hostile.events.resets[0].second, ErrorCode::protocolError);
  }
}

TEST(Http2Hostile, FloodsEndTheConnection) {
  const auto flood = [](const std::string& floodFrame, int repeats, Limits limits = {}) {
    HostilePeer hostile(limits);
    hostile.feed(kClientPreface + makeFrame(1, 4, 1, kGetHeaderBlock));
    for (int index = 0; index < repeats && !hostile.server.hasFailed(); ++index) hostile.feed(floodFrame);
    return hostile.server.error();
  };
  EXPECT_EQ(flood(makeFrame(6, 0, 0, "12345678"), 150), ErrorCode::enhanceYourCalm);
  EXPECT_EQ(flood(makeFrame(4, 0, 0, ""), 50), ErrorCode::enhanceYourCalm);
  EXPECT_EQ(flood(makeFrame(0, 0, 1, ""), 300), ErrorCode::enhanceYourCalm);
  EXPECT_EQ(flood(makeFrame(2, 0, 1, "12345"), 300), ErrorCode::enhanceYourCalm);
  EXPECT_EQ(flood(makeFrame(8, 0, 1, std::string("\0\0\0\1", 4)), 30'000), ErrorCode::enhanceYourCalm);
  HostilePeer rapid;
  rapid.feed(kClientPreface);
  for (StreamId id = 1; id < 2000 && !rapid.server.hasFailed(); id += 2)
    rapid.feed(makeFrame(1, 4, id, kGetHeaderBlock) + makeFrame(3, 0, id, std::string("\0\0\0\x08", 4)));
  EXPECT_EQ(rapid.server.error(), ErrorCode::enhanceYourCalm);
  HostilePeer paced;  // the same number of resets, spread over many seconds
  paced.feed(kClientPreface);
  for (StreamId id = 1; id < 2000; id += 2)
    EXPECT_TRUE(
        paced.feed(makeFrame(1, 4, id, kGetHeaderBlock) + makeFrame(3, 0, id, std::string("\0\0\0\x08", 4)),
                   id * 10'000));
  HostilePeer continuations;
  continuations.feed(kClientPreface + makeFrame(1, 0, 1, kGetHeaderBlock));
  for (int index = 0; index < 100 && !continuations.server.hasFailed(); ++index)
    continuations.feed(makeFrame(9, 0, 1, ""));
  EXPECT_EQ(continuations.server.error(), ErrorCode::enhanceYourCalm);
}

TEST(Http2Hostile, ExceedingTheWindowIsAnError) {
  Limits limits;
  limits.streamWindow = 65'535;
  HostilePeer hostile(limits);
  hostile.events.consume = false;
  hostile.feed(kClientPreface + makeFrame(1, 4, 1, kGetHeaderBlock));
  for (int index = 0; index < 5 && hostile.events.resets.empty(); ++index)
    hostile.feed(makeFrame(0, 0, 1, std::string(16'000, 'x')));
  ASSERT_EQ(hostile.events.resets.size(), 1u);
  EXPECT_EQ(hostile.events.resets[0].second, ErrorCode::flowControlError);
}

TEST(Http2Hostile, ContentLengthMustMatch) {
  HostilePeer hostile;
  const std::string block = kGetHeaderBlock + std::string(
                                                  "\x0f\x0d\x01"
                                                  "3",
                                                  4);
  hostile.feed(kClientPreface + makeFrame(1, 4, 1, block) + makeFrame(0, 1, 1, "four"));
  ASSERT_EQ(hostile.events.resets.size(), 1u);
  EXPECT_TRUE(hostile.events.dataOf.empty());
}

TEST(Http2Hostile, WindowsOfResetStreamsAreReleased) {
  HostilePeer hostile;
  hostile.events.consume = false;
  std::int64_t now = 0;
  hostile.feed(kClientPreface);
  // Sends far more than the connection's window on streams that are reset before any byte is consumed.
  for (StreamId id = 1; id < 400; id += 2)
    ASSERT_TRUE(hostile.feed(makeFrame(1, 4, id, kGetHeaderBlock) +
                                 makeFrame(0, 0, id, std::string(16'000, 'x')) +
                                 makeFrame(3, 0, id, std::string("\0\0\0\x08", 4)),
                             now += 50'000))
        << hostile.server.errorText();
}

}  // namespace
}  // namespace garnethook::http2
