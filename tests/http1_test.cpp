// HTTP/1.1 messages and server-sent events, whole and byte by byte.
#include <gtest/gtest.h>

#include "http1/event_stream.h"
#include "http1/message.h"

namespace garnethook::http1 {
namespace {

struct Log final : MessageEvents {
  void onHead(const Head& h) override { heads.push_back(h); }
  void onBody(std::string_view bytes) override { body.append(bytes); }
  void onEnd() override { ++ends; }
  std::vector<Head> heads;
  std::string body;
  int ends = 0;
};

struct Parsed {
  Parsed(MessageParser::Kind kind, std::string_view text, bool piecemeal, MessageLimits limits = {})
      : parser(kind, limits, log) {
    good = true;
    if (!piecemeal)
      good = parser.receive(text);
    else
      for (std::size_t i = 0; i < text.size() && good; ++i) good = parser.receive(text.substr(i, 1));
  }
  Log log;
  MessageParser parser;
  bool good;
};

TEST(Http1, TakesResponsesWholeAndInPieces) {
  const std::string text =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A:  b \r\n\r\nhello"
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: "
      "close\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nt: v\r\n\r\n";
  for (const bool piecemeal : {false, true}) {
    Parsed p(MessageParser::Kind::response, text, piecemeal);
    ASSERT_TRUE(p.good) << p.parser.error();
    EXPECT_EQ(p.log.ends, 2);
    EXPECT_EQ(p.log.body, "helloabcde");
    EXPECT_EQ(find(p.log.heads[0].fields, "x-a"), "b");
    EXPECT_TRUE(p.log.heads[0].keepAlive);
    EXPECT_FALSE(p.log.heads[1].keepAlive);
    EXPECT_FALSE(p.parser.hasPartialInput());
  }
}

TEST(Http1, ABodyWithoutLengthLastsUntilTheClose) {
  Parsed p(MessageParser::Kind::response, "HTTP/1.0 200 OK\r\n\r\nabc", false);
  EXPECT_EQ(p.log.ends, 0);
  EXPECT_TRUE(p.parser.close());
  EXPECT_EQ(p.log.ends, 1);
}

TEST(Http1, ACloseInsideAMessageIsTold) {
  for (const char* text : {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel",
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab", "HTTP/1.1 2"}) {
    Parsed p(MessageParser::Kind::response, text, false);
    EXPECT_TRUE(p.good);
    EXPECT_FALSE(p.parser.close());
  }
}

TEST(Http1, RefusesWhatIsMalformedOrAmbiguous) {
  for (const char* text :
       {"HTTP/2 200 OK\r\n", "HTTP/1.1 99999 X\r\n", "HTTP/1.1 20 OK\r\n", "ICY 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 200 OK\r\n folded: x\r\n\r\n",
        "HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "HTTP/1.1 200 OK\r\na b: c\r\n\r\n",
        "HTTP/1.1 200 OK\r\na: \x01\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n"})
    for (const bool piecemeal : {false, true}) {
      Parsed p(MessageParser::Kind::response, text, piecemeal);
      EXPECT_FALSE(p.good) << text;
      EXPECT_FALSE(p.parser.error().empty());
    }
  EXPECT_FALSE(Parsed(MessageParser::Kind::request, "GET  / HTTP/1.1\r\n", false).good);
  EXPECT_FALSE(Parsed(MessageParser::Kind::request, "GET / HTTP/3.0\r\n", false).good);
}

TEST(Http1, KeepsItsBounds) {
  const std::string head = "HTTP/1.1 200 OK\r\n" + std::string(100'000, 'a');
  EXPECT_FALSE(Parsed(MessageParser::Kind::response, head, false).good);
  std::string many = "HTTP/1.1 200 OK\r\n";
  for (int i = 0; i < 5000; ++i) many += "a: b\r\n";
  EXPECT_FALSE(Parsed(MessageParser::Kind::response, many, false).good);
  EXPECT_FALSE(
      Parsed(MessageParser::Kind::response, "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", false)
          .good);
  EXPECT_FALSE(Parsed(MessageParser::Kind::response,
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3" + std::string(1000, ';'),
                      false)
                   .good);
  EXPECT_FALSE(Parsed(MessageParser::Kind::response, "HTTP/1.1 200 OK\r\n\r\n" + std::string(2000, 'x'),
                      false, {.bodyBytes = 1000})
                   .good);
}

TEST(EventStream, TakesEveryLineEndingAndComment) {
  const std::string text =
      "\xef\xbb\xbf: hi\r\ndata: a\r\ndata:b\r\n\r\nevent: e\rdata: c\r\r\ndata\n\nid: 3\n\ndata: left";
  for (const std::size_t piece : {std::size_t{1}, text.size()}) {
    std::vector<EventStreamParser::Event> events;
    EventStreamParser parser(1000, [&](const auto& e) { events.push_back(e); });
    for (std::size_t at = 0; at < text.size(); at += piece)
      ASSERT_TRUE(parser.receive(std::string_view(text).substr(at, piece)));
    ASSERT_EQ(events.size(), 3u);
    EXPECT_EQ(events[0].data, "a\nb");
    EXPECT_EQ(events[1].type, "e");
    EXPECT_EQ(events[2].data, "");
    EXPECT_TRUE(parser.hasPartialInput());
  }
}

TEST(EventStream, AnEventWithoutEndIsRefused) {
  EventStreamParser parser(1000, [](const auto&) {});
  EXPECT_TRUE(parser.receive("data: "));
  bool good = true;
  for (int i = 0; i < 100 && good; ++i) good = parser.receive(std::string(100, 'x'));
  EXPECT_FALSE(good);
}

}  // namespace
}  // namespace garnethook::http1
