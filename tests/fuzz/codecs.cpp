// Fuzz targets of all codecs in one program; the first byte chooses. libFuzzer: scripts/fuzz.sh. Without it
// (GARNETHOOK_FUZZ_STANDALONE) it runs seeded random inputs for a given number, as CI does.
#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>

#include "config/json_file.h"
#include "engine/completions.h"
#include "grpc/message.h"
#include "http1/event_stream.h"
#include "http1/message.h"
#include "http2/connection.h"
#include "membership/endpoint_list_merge.h"
#include "platform/discovery/endpoint_list.h"
#include "platform/engine/relay_exchange.h"
#include "platform/http_frontend/request_decoder.h"

namespace {

using namespace garnethook;

void require(bool holds) {
  if (!holds) std::abort();
}

struct Http2Events final : http2::ConnectionEvents {
  void onHeaders(http2::StreamId id, http2::Headers, bool, bool end) override {
    if (end && connection) {
      connection->sendHeaders(id, {{":status", "200"}}, false);
      connection->sendData(id, std::string(3000, 'x'), false);
      connection->sendHeaders(id, {{"grpc-status", "0"}}, true);
    }
  }
  void onData(http2::StreamId id, std::span<const std::uint8_t> data, bool) override {
    seen += data.size();
    connection->consumed(id, data.size());
  }
  void onReset(http2::StreamId, http2::ErrorCode) override {}
  void onSent(http2::StreamId, std::size_t) override {}
  void onGoAway(http2::StreamId, http2::ErrorCode) override {}
  http2::Connection* connection = nullptr;
  std::size_t seen = 0;
};

void http2Target(std::string_view in, bool preface) {
  Http2Events events;
  http2::Limits limits;
  limits.streams = 8;
  http2::Connection c(http2::Side::server, limits, events);
  events.connection = &c;
  std::string bytes = preface ? std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0", 33) : "";
  bytes.append(in);
  std::int64_t now = 0;
  for (std::size_t at = 0; at < bytes.size() && !c.hasFailed(); at += 37) {
    const auto piece = std::string_view(bytes).substr(at, 37);
    c.receive(now += 100, {reinterpret_cast<const std::uint8_t*>(piece.data()), piece.size()});
    if (at % 3 == 0) c.sent(c.output().size());
    require(c.openStreams() <= limits.streams);
  }
  require(events.seen <= bytes.size());
}

void hpackTarget(std::string_view in) {
  http2::HpackDecoder decoder({});
  http2::Headers headers;
  const auto error = decoder.decode({reinterpret_cast<const std::uint8_t*>(in.data()), in.size()}, headers);
  require(decoder.table().size() <= 4096 && headers.size() <= 128);
  if (error != http2::HpackError::none) return;
  http2::HpackEncoder encoder;
  http2::HpackDecoder again({.listBytes = 1 << 20});
  std::string block;
  encoder.encode(headers, block);
  http2::Headers back;
  require(again.decode({reinterpret_cast<const std::uint8_t*>(block.data()), block.size()}, back) ==
          http2::HpackError::none);
  require(back == headers);
}

struct Http1Events final : http1::MessageEvents {
  void onHead(const http1::Head& h) override {
    trace += std::to_string(h.status) + h.method + std::to_string(h.fields.size());
  }
  void onBody(std::string_view o) override { trace += o; }
  void onEnd() override { trace += "|"; }
  std::string trace;
};

// Whole or byte by byte, a parser must say the same.
void http1Target(std::string_view in, http1::MessageParser::Kind kind) {
  Http1Events whole, pieces;
  http1::MessageParser a(kind, {}, whole), b(kind, {}, pieces);
  const bool good = a.receive(in);
  bool goodPieces = true;
  for (std::size_t i = 0; i < in.size() && goodPieces; ++i) goodPieces = b.receive(in.substr(i, 1));
  require(good == goodPieces && whole.trace == pieces.trace);
}

void eventTarget(std::string_view in) {
  std::string whole, pieces;
  http1::EventStreamParser a(4096, [&](const auto& e) { whole += e.type + ":" + e.data + "|"; });
  http1::EventStreamParser b(4096, [&](const auto& e) { pieces += e.type + ":" + e.data + "|"; });
  if (!a.receive(in)) return;
  for (std::size_t i = 0; i < in.size(); ++i) b.receive(in.substr(i, 1));
  require(whole == pieces);
}

void grpcTarget(std::string_view in) {
  grpc::MessageReader reader(1000);
  std::size_t sum = 0;
  for (std::size_t at = 0; at < in.size(); at += 11)
    if (reader.receive(in.substr(at, 11), [&](std::string_view m) { sum += m.size(); }).code !=
        grpc::Code::ok)
      break;
  require(sum <= in.size());
  require(grpc::percentDecode(grpc::percentEncode(in)) == in);
  require(grpc::base64Decode(grpc::base64Encode(in)) == in);
  grpc::parseTimeout(in);
}

void jsonTarget(std::string_view in) {
  try {
    std::vector<membership::EndpointListError> errors;
    const auto list = membership::readEndpointList(config::JsonFile::parse("f", in), {}, errors);
    require(membership::readEndpointList(
                config::JsonFile::parse("g", membership::serializeEndpointList(list)), {}, errors) == list);
  } catch (const config::Error& e) { require(std::string_view(e.what()).substr(0, 2) == "f:"); }
  (void)engine::parsePrefillResponse(in);
  (void)engine::parseChunk(in);
  engine::parseLoadMetrics(in);
  engine::parseErrorResponse(500, in);
}

struct Relayed final : routing::EngineClientEvents {
  void onTokens(routing::AttemptId, std::string_view text, std::uint32_t,
                std::span<const std::uint32_t>) override {
    require(ends == 0);
    trace += text;
  }
  void onAttemptEnded(routing::AttemptId, const routing::AttemptResult& r) override {
    ++ends;
    trace += "|" + std::to_string(static_cast<int>(r.outcome));
  }
  void onProbeEnded(EndpointId, bool, const std::optional<LoadReport>&) override {}
  void onReleaseEnded(const routing::ReleaseCall&, bool) override {}
  std::string trace;
  int ends = 0;
};

struct ToExchange final : http1::MessageEvents {
  explicit ToExchange(engine::Exchange& e) : exchange(e) {}
  void onHead(const http1::Head& h) override { exchange.onHead(h); }
  void onBody(std::string_view o) override { exchange.onBody(o); }
  void onEnd() override { exchange.onEnd(); }
  engine::Exchange& exchange;
};

// An engine's answer, whole or byte by byte: the same events reach the client, and one end at most.
void relayTarget(std::string_view in, routing::Phase job) {
  const deployment_config::ReportMeanings meanings{"share_of_memory", "thousands_of_prompt_tokens"};
  std::string traces[2];
  for (const bool pieces : {false, true}) {
    Relayed heard;
    platform::RelayExchange relay(heard, {}, job, meanings);
    ToExchange events(relay);
    http1::MessageParser parser(http1::MessageParser::Kind::response, {}, events);
    bool good = true;
    if (pieces)
      for (std::size_t i = 0; i < in.size() && good; ++i) good = parser.receive(in.substr(i, 1));
    else
      good = parser.receive(in);
    relay.onFailed(Outcome::connectionReset, "", false);
    require(heard.ends == 1);
    traces[pieces ? 1 : 0] = heard.trace;
  }
  require(traces[0] == traces[1]);
}

// A client's request, and discovery's lists.
void platformTarget(std::string_view in) {
  try {
    platform::EndpointList list;
    list.apply(platform::parseEndpointList(in));
    for (const auto& [name, e] : list.endpoints())
      require(name == e.name && e.state != EndpointState::removed);
  } catch (const std::runtime_error&) {}
  platform::parseLoadReport(in, {"share_of_memory", ""});
  require(platform::parseCachedTokens(in) >= 0);
  struct Events final : http1::MessageEvents {
    void onHead(const http1::Head& h) override { head = h; }
    void onBody(std::string_view o) override { body += o; }
    void onEnd() override {
      deployment_config::DeploymentConfig p;
      p.classNames = {"chat"};
      const auto out = platform::decodeRequest(head, std::exchange(body, {}), p);
      if (const auto* request = out.hasValue() ? &out.value() : nullptr)
        require(!request->traceId.empty() && request->remaining > 0 && request->promptTokens >= 0 &&
                request->sharedPrefixTokens <= request->promptTokens && request->body &&
                request->requestClass == 0);
    }
    http1::Head head;
    std::string body;
  } events;
  http1::MessageParser parser(http1::MessageParser::Kind::request, {}, events);
  parser.receive(in);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::string_view in(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % 11) {
    case 0: http2Target(in, true); break;
    case 1: http2Target(in, false); break;
    case 2: hpackTarget(in); break;
    case 3: http1Target(in, http1::MessageParser::Kind::response); break;
    case 4: http1Target(in, http1::MessageParser::Kind::request); break;
    case 5: eventTarget(in); break;
    case 6: grpcTarget(in); break;
    case 7: relayTarget(in, routing::Phase::decode); break;
    case 8: relayTarget(in, routing::Phase::prefill); break;
    case 9: platformTarget(in); break;
    default: jsonTarget(in); break;
  }
  return 0;
}

#ifdef GARNETHOOK_FUZZ_STANDALONE
// Pieces that valid inputs are made of, put together at random and damaged.
int main(int argc, char** argv) {
  const int runs = argc > 1 ? std::atoi(argv[1]) : 20'000;
  std::mt19937_64 random(1);
  const std::string pieces[] = {std::string("\0\0\4\1\5\0\0\0\1\x82\x86\x84\x41", 13),
                                std::string("\0\0\4\x08\0\0\0\0\0\0\0\0\1", 13),
                                std::string("\0\0\4\3\0\0\0\0\1\0\0\0\x08", 13),
                                std::string("\0\0\x06\4\0\0\0\0\0\0\4\0\0\0\1", 15),
                                "HTTP/1.1 200 OK\r\n",
                                "Content-Length: 3\r\n",
                                "Transfer-Encoding: chunked\r\n",
                                "\r\n",
                                "3\r\nabc\r\n0\r\n\r\n",
                                "POST /x HTTP/1.1\r\n",
                                "data: a\n",
                                "event: b\r\n\r\n",
                                std::string("\0\0\0\0\3abc", 8),
                                "{\"engines\":[",
                                "{\"name\":\"a\",\"address\":\"127.0.0.1:80\",\"kind\":\"k\"}",
                                "]}",
                                "// c\n",
                                "HTTP/1.1 202 Accepted\r\n",
                                "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\n",
                                "Endpoint-Load-Metrics: TEXT x0=0.5, x1=2\r\n",
                                "f\r\ndata: {\"a\":1}\n\n\r\n",
                                "data: {\"usage\":{\"cached_tokens\":7}}\n\n",
                                ": Endpoint-Load-Metrics: TEXT x0=1\n\n",
                                "POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: a\r\nX-Qos: chat\r\n",
                                "X-Expires-In-Ms: 30\r\nX-Props: prompt_len=4,prefix_len=9\r\n",
                                "Content-Length: 2\r\n\r\n{}",
                                "{\"revision\":1,\"complete\":true,\"members\":[",
                                "{\"id\":\"a\",\"host_port\":\"h:1\",\"phase\":\"ready\"}",
                                "1e999"};
  for (int i = 0; i < runs; ++i) {
    std::string in(1, static_cast<char>(random() % 11));
    for (auto n = random() % 12; n > 0; --n) in += pieces[random() % std::size(pieces)];
    for (auto n = random() % 4; n > 0 && in.size() > 1; --n)
      in[1 + random() % (in.size() - 1)] = static_cast<char>(random());
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(in.data()), in.size());
  }
  return 0;
}
#endif
