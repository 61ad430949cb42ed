// Encoding of gRPC over HTTP/2, following the public specification ("gRPC over HTTP2"): length-prefixed
// messages, timeouts, statuses and metadata. Performs no I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "http2/hpack.h"

namespace garnethook::grpc {

enum class Code {
  ok = 0,
  cancelled,
  unknown,
  invalidArgument,
  deadlineExceeded,
  notFound,
  alreadyExists,
  permissionDenied,
  resourceExhausted,
  failedPrecondition,
  aborted,
  outOfRange,
  unimplemented,
  internal,
  unavailable,
  dataLoss,
  unauthenticated
};
// Returns the status name as the specification spells it, such as "UNAVAILABLE".
std::string_view name(Code code);

struct Status {
  Code code = Code::ok;
  std::string message;
  // Delay after which a rejected client should retry, in milliseconds; sent as google.rpc.RetryInfo and as
  // grpc-retry-pushback-ms. A pushback of -1 means that the client must not retry.
  std::optional<std::int64_t> retryAfterMs;
};

// Appends one uncompressed message, preceded by its length prefix, to `output`.
void frame(std::string_view message, std::string& output);

// Splits a byte stream into length-prefixed messages.
class MessageReader {
 public:
  using Handler = std::function<void(std::string_view message)>;
  // `maxMessageBytes` bounds the size of one message, excluding its prefix.
  explicit MessageReader(std::size_t maxMessageBytes) : maxMessageBytes_(maxMessageBytes) {}
  // Calls `handler` for each complete message. Returns ok, or the status that ends the call:
  // resourceExhausted for a message that exceeds the limit, unimplemented for a compressed message (only
  // identity encoding is advertised), internal for a flag that the specification does not define.
  Status receive(std::string_view bytes, const Handler& handler);
  // Whether part of an incomplete message is buffered.
  bool hasPartialInput() const { return !buffer_.empty(); }
  // Returns the number of bytes allocated for the buffer.
  std::size_t bufferedCapacity() const { return buffer_.capacity(); }

 private:
  std::size_t maxMessageBytes_;
  std::string buffer_;
};

// Parses a grpc-timeout value (at most 8 digits and one of the units H M S m u n) into microseconds. Returns
// nullopt if it is malformed.
std::optional<std::int64_t> parseTimeout(std::string_view text);
// Formats a grpc-timeout value in the finest of the units u, m, S and H that fits into 8 digits; the rounding
// error is below 0.1%.
std::string formatTimeout(std::int64_t micros);

// Encodes a grpc-message value: every byte except printable ASCII, and '%' itself, is written as %XX.
std::string percentEncode(std::string_view text);
// Decodes a grpc-message value. Malformed escapes are left unchanged, as the specification requires.
std::string percentDecode(std::string_view text);

// Base64 coding of -bin metadata. Encoding emits no padding; decoding accepts input with or without it.
std::string base64Encode(std::string_view bytes);
std::optional<std::string> base64Decode(std::string_view text);

// Returns the trailers for a status; `details` is the serialised google.rpc.Status, or empty.
http2::Headers trailers(const Status& status, std::string_view details);
// Returns the status carried by trailers or a trailers-only response. Without grpc-status, the code is
// derived from the HTTP status.
Status fromTrailers(const http2::Headers& headers);
// Maps an HTTP status to a gRPC code for responses without grpc-status ("HTTP to gRPC Status Code Mapping").
Code fromHttpStatus(int status);

}  // namespace garnethook::grpc
