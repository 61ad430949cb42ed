/// @file
/// Serialization of HTTP/1.1 responses to clients. Performs no I/O.
#pragma once

#include <string>
#include <string_view>

#include "policy/routing_policy.h"

namespace garnethook::platform {

/// A response that the router itself generates: an error, a rejection, or readiness.
struct Response {
  int status = 200;       ///< HTTP status code.
  std::string_view text;  ///< The body without its trailing newline.
  Micros retryAfter = 0;  ///< Retry-After in microseconds; 0 omits the field.
  bool keepAlive = true;  ///< False announces that the connection closes after this response.
};

/// Serializes the complete message: status line, header fields, and the text as a one-line body.
std::string serializeResponse(const Response& response);

/// Appends the head of a chunked response that streams server-sent events.
/// @param buffer destination
/// @param keepAlive false announces that the connection closes after this response
void appendStreamHead(std::string& buffer, bool keepAlive);

/// Appends `text` as one chunk (RFC 9112 section 7.1).
void appendChunk(std::string& buffer, std::string_view text);

/// The last chunk, which ends a chunked response.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// Interim response to a client that sent `Expect: 100-continue`.
inline constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace garnethook::platform
