// Incremental parser for HTTP/1.1 requests and responses (RFC 9112). Performs no I/O.
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
  std::string name;  // lower case
  std::string value;
};
using Fields = std::vector<Field>;
// Returns the value of the first field called `name` (lower case), or nullopt.
std::optional<std::string_view> find(const Fields& fields, std::string_view name);
// Splits a comma-separated list and returns its non-empty members in lower case.
std::vector<std::string> splitList(std::string_view list);

struct Head {
  std::string method;  // requests only, as is `target`
  std::string target;
  int status = 0;  // responses only
  Fields fields;
  bool keepAlive = true;  // from the HTTP version and Connection (RFC 9112 section 9.3)
};

struct MessageLimits {
  std::size_t headBytes = std::size_t{16} * 1024;  // start line and fields together
  std::size_t fields = 256;                        // a field takes more memory than its few bytes
  std::size_t bodyBytes = std::size_t{16} << 20;   // body, excluding chunk framing
  std::size_t chunkLineBytes = 256;                // chunk-size line including extensions
};

class MessageEvents {
 public:
  virtual ~MessageEvents() = default;
  virtual void onHead(const Head& head) = 0;
  virtual void onBody(std::string_view bytes) = 0;
  // The message is complete and the parser is ready for the next one.
  virtual void onEnd() = 0;
};

class MessageParser {
 public:
  enum class Kind { request, response };
  MessageParser(Kind kind, const MessageLimits& limits, MessageEvents& events)
      : kind_(kind), limits_(limits), events_(events) {}

  // Parses the next bytes. Returns false if the peer violated the protocol or exceeded a limit: error() gives
  // the reason and all further input is ignored. An event handler may call stop(); the bytes after that point
  // are then left unconsumed.
  bool receive(std::string_view bytes);
  // Reports that the peer closed its side. Returns false if this truncates a message. A body delimited by the
  // close ends here.
  bool close();
  void stop() { isStopped_ = true; }
  // Hands over the head, so that it is in memory only once. May be called within onHead().
  Head takeHead() { return std::move(head_); }
  // Number of bytes at the end of the last receive() input that were not consumed because of stop(). Within
  // onEnd(): the number of bytes after the message.
  std::size_t unconsumed() const { return unconsumed_; }
  void resume() { isStopped_ = false; }
  // Whether part of an incomplete message has been consumed.
  bool hasPartialInput() const { return state_ != State::start || !line_.empty(); }
  // The next response has no body, as for HEAD requests (RFC 9112 section 6.3).
  void expectNoBody() { expectsNoBody_ = true; }
  std::string_view error() const { return error_; }

 private:
  enum class State { start, fields, body, untilClose, chunkSize, chunkData, chunkEnd, trailers, failed };
  bool fail(std::string_view text);
  bool readLine(std::string_view& input, std::size_t maxBytes, bool& isComplete);
  bool parseStartLine();
  bool parseFieldLine();
  bool finishHead();
  bool parseChunkSizeLine();
  bool deliver(std::string_view bytes);
  void finishMessage();

  Kind kind_;
  MessageLimits limits_;
  MessageEvents& events_;
  State state_ = State::start;
  Head head_;
  std::string line_;
  std::size_t headBytesRead_ = 0;
  std::size_t bodyBytesRead_ = 0;
  std::uint64_t bytesRemaining_ = 0;
  bool isHttp10_ = false;
  bool expectsNoBody_ = false;
  bool isStopped_ = false;
  std::size_t unconsumed_ = 0;
  std::string error_;
};

}  // namespace garnethook::http1
