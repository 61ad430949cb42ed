/// @file
/// Incremental parser for HTTP/1.1 requests and responses (RFC 9112). Performs no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace garnethook::http1 {

/// A header field.
struct Field {
  std::string name;   ///< Name in lower case.
  std::string value;  ///< Value without surrounding white space.
};
/// The header fields of a message, in the order of arrival.
using Fields = std::vector<Field>;
/// Returns the value of the first field called `name` (lower case), or nullopt.
std::optional<std::string_view> find(const Fields& fields, std::string_view name);
/// Splits a comma-separated list and returns its non-empty members in lower case.
std::vector<std::string> splitList(std::string_view list);

/// The start line and the header fields of a message.
struct Head {
  std::string method;     ///< Method; only of requests.
  std::string target;     ///< Request target; only of requests.
  int status = 0;         ///< Status code; only of responses.
  Fields fields;          ///< Header fields.
  bool keepAlive = true;  ///< From the HTTP version and Connection (RFC 9112 section 9.3).
};

/// Limits on one message.
struct MessageLimits {
  std::size_t headBytes =
      std::size_t{16} * 1024;  ///< Maximum bytes of the start line and the fields together.
  std::size_t fields = 256;    ///< Maximum fields; each takes more memory than its few bytes.
  std::size_t bodyBytes = std::size_t{16} << 20;  ///< Maximum bytes of the body, without chunk framing.
  std::size_t chunkLineBytes = 256;               ///< Maximum bytes of a chunk-size line with extensions.
};

/// Receives the parts of each message.
class MessageEvents {
 public:
  virtual ~MessageEvents() = default;
  /// The head is complete; it is valid during the call.
  virtual void onHead(const Head& head) = 0;
  /// A part of the body, without chunk framing.
  virtual void onBody(std::string_view bytes) = 0;
  /// A trailer field, after the last chunk (RFC 9112 section 7.1.2).
  virtual void onTrailer(const Field& /*field*/) {}
  /// The message is complete and the parser is ready for the next one.
  virtual void onEnd() = 0;
};

/// Parses the messages that one peer sends on a connection.
class MessageParser {
 public:
  /// What the peer sends.
  enum class Kind { request, response };
  /// Creates a parser; `events` must outlive it.
  MessageParser(Kind kind, const MessageLimits& limits, MessageEvents& events)
      : kind_(kind), limits_(limits), events_(events) {}

  /// Parses the next bytes. Returns false if the peer violated the protocol or exceeded a limit: error()
  /// gives the reason and all further input is ignored. An event handler may call stop(); the bytes after
  /// that point are then left unconsumed.
  bool receive(std::string_view input);
  /// Reports that the peer closed its side. Returns false if this truncates a message. A body delimited by
  /// the close ends here.
  bool close();
  /// Consumes no further bytes until resume().
  void stop() { isStopped_ = true; }
  /// Hands over the head, so that it is in memory only once. May be called within onHead().
  Head takeHead() { return std::move(head_); }
  /// Number of bytes at the end of the last receive() input that were not consumed because of stop(). Within
  /// onEnd(): the number of bytes after the message.
  std::size_t unconsumed() const { return unconsumed_; }
  /// Ends the effect of stop().
  void resume() { isStopped_ = false; }
  /// Whether part of an incomplete message has been consumed.
  bool hasPartialInput() const { return state_ != State::start || !line_.empty(); }
  /// Approximate memory that the head of an incomplete message occupies, in bytes, be it here or where
  /// takeHead() moved it; 0 between messages.
  std::size_t headMemory() const { return kCopiesOfHeadBytes * headBytesRead_ + headFields_ * sizeof(Field); }
  /// Frees what is buffered; nothing more may be received.
  void abandon();
  /// The next response has no body, as for HEAD requests (RFC 9112 section 6.3).
  void expectNoBody() { expectsNoBody_ = true; }
  /// Why receive() or close() failed; empty if neither did.
  std::string_view error() const { return error_; }

 private:
  static constexpr std::size_t kCopiesOfHeadBytes = 2;  // strings that grow, and the current line
  static constexpr std::size_t kMaxIdleLineBytes = 256;
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
  std::size_t headFields_ = 0;
  std::size_t bodyBytesRead_ = 0;
  std::uint64_t bytesRemaining_ = 0;
  bool isHttp10_ = false;
  bool expectsNoBody_ = false;
  bool isStopped_ = false;
  std::size_t unconsumed_ = 0;
  std::string error_;
};

}  // namespace garnethook::http1
