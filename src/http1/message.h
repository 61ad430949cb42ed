// HTTP/1.1 messages (RFC 9112), requests or responses, parsed piece by piece. Free of I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace garnethook::http1 {

struct Field {
  std::string name;  // in lower case
  std::string value;
};
using Fields = std::vector<Field>;
std::optional<std::string_view> find(const Fields& fields, std::string_view name);
// Whether a comma list names `member`, which is in lower case.
bool listContains(std::string_view list, std::string_view member);

struct Head {
  std::string method;  // requests
  std::string target;
  int status = 0;  // responses
  Fields fields;
  bool keepAlive = true;  // by version and Connection (RFC 9112 section 9.3)
};

struct MessageLimits {
  std::size_t headBytes = std::size_t{16} * 1024;  // start line and fields
  std::size_t bodyBytes = std::size_t{16} << 20;   // body without chunk framing
  std::size_t chunkLineBytes = 256;                // chunk size with extensions
};

class MessageEvents {
 public:
  virtual ~MessageEvents() = default;
  virtual void onHead(const Head& head) = 0;
  virtual void onBody(std::string_view bytes) = 0;
  // The message is whole. The parser is ready for the next one.
  virtual void onEnd() = 0;
};

class MessageParser {
 public:
  enum class Kind { request, response };
  MessageParser(Kind kind, const MessageLimits& limits, MessageEvents& events)
      : kind_(kind), limits_(limits), events_(events) {}

  // Takes bytes. False: the peer broke the protocol or a limit, error() says how; nothing more is taken.
  // An event handler may call stop(); what follows is then left alone.
  bool receive(std::string_view bytes);
  // The peer closed its side. False where a message was cut short; true ends a body that lasts until then.
  bool close();
  void stop() { stopped_ = true; }
  // Bytes at the end of the last piece that were not taken, as stop() came before them. Within onEnd():
  // those behind the message.
  std::size_t unconsumed() const { return untaken_; }
  void resume() { stopped_ = false; }
  // Whether bytes of an unfinished message were taken.
  bool hasPartialInput() const { return state_ != State::start || !line_.empty(); }
  // A response to HEAD has no body (RFC 9112 section 6.3).
  void expectNoBody() { noBody_ = true; }
  std::string_view error() const { return error_; }

 private:
  enum class State { start, fields, body, untilClose, chunkSize, chunkData, chunkEnd, trailers, failed };
  bool fail(std::string_view text);
  bool takeLine(std::string_view& in, std::size_t most, bool& whole);
  bool startLine();
  bool fieldLine();
  bool headEnd();
  bool chunkSizeLine();
  bool deliver(std::string_view bytes);
  void finish();

  Kind kind_;
  MessageLimits limits_;
  MessageEvents& events_;
  State state_ = State::start;
  Head head_;
  std::string line_;
  std::size_t headSeen_ = 0;
  std::size_t bodySeen_ = 0;
  std::uint64_t left_ = 0;
  bool http10_ = false;
  bool noBody_ = false;
  bool stopped_ = false;
  std::size_t untaken_ = 0;
  std::string error_;
};

}  // namespace garnethook::http1
