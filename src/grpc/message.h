// gRPC over HTTP/2 by its public specification ("gRPC over HTTP2"): length-prefixed messages, time-outs,
// statuses and metadata. Free of I/O.
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
std::string_view name(Code code);

struct Status {
  Code code = Code::ok;
  std::string message;
  // When a refused client had better come back, in milliseconds; sent as google.rpc.RetryInfo and as
  // grpc-retry-pushback-ms. -1 as pushback: don't come back.
  std::optional<std::int64_t> retryAfterMs;
};

// Appends one message with its prefix (not compressed).
void frame(std::string_view message, std::string& out);

// Cuts a stream of bytes into messages.
class MessageReader {
 public:
  using Handler = std::function<void(std::string_view message)>;
  // `most`: bytes of one message.
  explicit MessageReader(std::size_t most) : most_(most) {}
  // Calls `handler` for each whole message; ok, or the status that ends the call: resourceExhausted for a
  // message beyond the bound, unimplemented for a compressed one (only identity is announced), internal for a
  // flag that the specification does not know.
  Status receive(std::string_view bytes, const Handler& handler);
  bool hasPartialInput() const { return !buffer_.empty(); }
  std::size_t held() const { return buffer_.capacity(); }

 private:
  std::size_t most_;
  std::string buffer_;
};

// grpc-timeout in microseconds: at most 8 digits and a unit of H M S m u n. None: malformed.
std::optional<std::int64_t> parseTimeout(std::string_view text);
// The shortest form that loses under a thousandth.
std::string formatTimeout(std::int64_t micros);

// grpc-message: all but printable ASCII, and '%', as %XX.
std::string percentEncode(std::string_view text);
// Malformed escapes are left as they are, as the specification asks.
std::string percentDecode(std::string_view text);

// -bin metadata: base64, with or without padding on the way in, without on the way out.
std::string base64Encode(std::string_view bytes);
std::optional<std::string> base64Decode(std::string_view text);

// The trailers of a status; `details` is the serialised google.rpc.Status, or empty.
http2::Headers trailers(const Status& status, std::string_view details);
// The status that trailers (or a trailers-only response) tell; `httpStatus` where there is no grpc-status.
Status fromTrailers(const http2::Headers& headers);
// The code for an HTTP status without grpc-status ("HTTP to gRPC Status Code Mapping").
Code fromHttpStatus(int status);

}  // namespace garnethook::grpc
