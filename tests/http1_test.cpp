// Parses HTTP/1.1 messages and server-sent events, both in one piece and byte by byte.
#include <gtest/gtest.h>

#include "http1/event_stream.h"
#include "http1/message.h"

namespace garnethook::http1 {
namespace {

struct EventRecorder final : MessageEvents {
  void onHead(const Head& receivedHead) override { heads.push_back(receivedHead); }
  void onBody(std::string_view bytes) override { body.append(bytes); }
  void onEnd() override { ++ends; }
  std::vector<Head> heads;
  std::string body;
  int ends = 0;
};

struct Parsed {
  Parsed(MessageParser::Kind kind, std::string_view text, bool bytewise, MessageLimits limits = {})
      : parser(kind, limits, recorder) {
    isValid = true;
    if (!bytewise)
      isValid = parser.receive(text);
    else
      for (std::size_t index = 0; index < text.size() && isValid; ++index)
        isValid = parser.receive(text.substr(index, 1));
  }
  EventRecorder recorder;
  MessageParser parser;
  bool isValid;
};

TEST(Http1, ParsesResponsesInOnePieceAndBytewise) {
  const std::string text =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A:  b \r\n\r\nhello"
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: "
      "close\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nt: v\r\n\r\n";
  for (const bool bytewise : {false, true}) {
    Parsed parsed(MessageParser::Kind::response, text, bytewise);
    ASSERT_TRUE(parsed.isValid) << parsed.parser.error();
    EXPECT_EQ(parsed.recorder.ends, 2);
    EXPECT_EQ(parsed.recorder.body, "helloabcde");
    EXPECT_EQ(find(parsed.recorder.heads[0].fields, "x-a"), "b");
    EXPECT_TRUE(parsed.recorder.heads[0].keepAlive);
    EXPECT_FALSE(parsed.recorder.heads[1].keepAlive);
    EXPECT_FALSE(parsed.parser.hasPartialInput());
  }
}

TEST(Http1, BodyWithoutLengthEndsWhenTheConnectionCloses) {
  Parsed parsed(MessageParser::Kind::response, "HTTP/1.0 200 OK\r\n\r\nabc", false);
  EXPECT_EQ(parsed.recorder.ends, 0);
  EXPECT_TRUE(parsed.parser.close());
  EXPECT_EQ(parsed.recorder.ends, 1);
}

TEST(Http1, CloseInsideAMessageIsAnError) {
  for (const char* text : {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel",
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab", "HTTP/1.1 2"}) {
    Parsed parsed(MessageParser::Kind::response, text, false);
    EXPECT_TRUE(parsed.isValid);
    EXPECT_FALSE(parsed.parser.close());
  }
}

TEST(Http1, RejectsMalformedAndAmbiguousMessages) {
  for (const char* text :
       {"HTTP/2 200 OK\r\n", "HTTP/1.1 99999 X\r\n", "HTTP/1.1 20 OK\r\n", "ICY 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 200 OK\r\n folded: x\r\n\r\n",
        "HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "HTTP/1.1 200 OK\r\na b: c\r\n\r\n",
        "HTTP/1.1 200 OK\r\na: \x01\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n"})
    for (const bool bytewise : {false, true}) {
      Parsed parsed(MessageParser::Kind::response, text, bytewise);
      EXPECT_FALSE(parsed.isValid) << text;
      EXPECT_FALSE(parsed.parser.error().empty());
    }
  EXPECT_FALSE(Parsed(MessageParser::Kind::request, "GET  / HTTP/1.1\r\n", false).isValid);
  EXPECT_FALSE(Parsed(MessageParser::Kind::request, "GET / HTTP/3.0\r\n", false).isValid);
}

// Prevents a head of many short fields from taking up many times its size in memory: each field takes 64
// bytes, and can be sent with four.
TEST(Http1, LimitsTheNumberOfFields) {
  const auto isAccepted = [](std::size_t fields, bool bytewise) {
    std::string text = "GET / HTTP/1.1\r\n";
    for (std::size_t i = 0; i < fields; ++i) text += "a:\r\n";
    return Parsed(MessageParser::Kind::request, text + "\r\n", bytewise).isValid;
  };
  for (const bool bytewise : {false, true}) {
    EXPECT_TRUE(isAccepted(MessageLimits().fields, bytewise));
    EXPECT_FALSE(isAccepted(MessageLimits().fields + 1, bytewise));
  }
}

TEST(Http1, HandsOverTheHeadOfAMessage) {
  struct HeadTaker final : MessageEvents {
    void onHead(const Head&) override { taken = parser->takeHead(); }
    void onBody(std::string_view bytes) override { body.append(bytes); }
    void onEnd() override { ++ends; }
    MessageParser* parser = nullptr;
    Head taken;
    std::string body;
    int ends = 0;
  } taker;
  MessageParser parser(MessageParser::Kind::request, {}, taker);
  taker.parser = &parser;
  EXPECT_TRUE(
      parser.receive("POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nxyGET /b HTTP/1.1\r\nA: b\r\n\r\n"));
  EXPECT_EQ(taker.ends, 2);
  EXPECT_EQ(taker.body, "xy");
  EXPECT_EQ(taker.taken.target, "/b");
  ASSERT_EQ(taker.taken.fields.size(), 1u);
  EXPECT_EQ(taker.taken.fields[0].name, "a");
}

TEST(Http1, EnforcesLimits) {
  const std::string head = "HTTP/1.1 200 OK\r\n" + std::string(100'000, 'a');
  EXPECT_FALSE(Parsed(MessageParser::Kind::response, head, false).isValid);
  std::string manyFields = "HTTP/1.1 200 OK\r\n";
  for (int index = 0; index < 5000; ++index) manyFields += "a: b\r\n";
  EXPECT_FALSE(Parsed(MessageParser::Kind::response, manyFields, false).isValid);
  EXPECT_FALSE(
      Parsed(MessageParser::Kind::response, "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", false)
          .isValid);
  EXPECT_FALSE(Parsed(MessageParser::Kind::response,
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3" + std::string(1000, ';'),
                      false)
                   .isValid);
  EXPECT_FALSE(Parsed(MessageParser::Kind::response, "HTTP/1.1 200 OK\r\n\r\n" + std::string(2000, 'x'),
                      false, {.bodyBytes = 1000})
                   .isValid);
}

TEST(EventStream, ParsesAllLineEndingsAndComments) {
  const std::string text =
      "\xef\xbb\xbf: hi\r\ndata: a\r\ndata:b\r\n\r\nevent: e\rdata: c\r\r\ndata\n\nid: 3\n\ndata: left";
  for (const std::size_t pieceSize : {std::size_t{1}, text.size()}) {
    std::vector<EventStreamParser::Event> events;
    EventStreamParser parser(1000, [&](const auto& event) { events.push_back(event); });
    for (std::size_t offset = 0; offset < text.size(); offset += pieceSize)
      ASSERT_TRUE(parser.receive(std::string_view(text).substr(offset, pieceSize)));
    ASSERT_EQ(events.size(), 3u);
    EXPECT_EQ(events[0].data, "a\nb");
    EXPECT_EQ(events[1].type, "e");
    EXPECT_EQ(events[2].data, "");
    EXPECT_TRUE(parser.hasPartialInput());
  }
}

TEST(EventStream, RejectsAnEventThatExceedsTheSizeLimit) {
  EventStreamParser parser(1000, [](const auto&) {});
  EXPECT_TRUE(parser.receive("data: "));
  bool isValid = true;
  for (int index = 0; index < 100 && isValid; ++index) isValid = parser.receive(std::string(100, 'x'));
  EXPECT_FALSE(isValid);
}

}  // namespace
}  // namespace garnethook::http1
