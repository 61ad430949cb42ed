/// @file
/// HTTP/1.1 responses as they are written to clients. Free of I/O.
#pragma once

#include <string>
#include <string_view>

#include "policy/routing_policy.h"

namespace garnethook::platform {

/// A response that this router words itself: an error, a rejection, or readiness.
struct Response {
  int status = 200;       ///< HTTP status code.
  std::string_view text;  ///< The body, without its line end.
  Micros retryAfter = 0;  ///< Retry-After in microseconds; 0: none is sent.
  bool keepAlive = true;  ///< False: announces that the connection ends after this response.
};

/// The whole message: status line, header fields, and the text as a body of one line.
std::string responseText(const Response& response);

/// Appends the head of a response that streams server-sent events in chunks.
/// @param out what is written
/// @param keepAlive false: announces that the connection ends after this response
void appendStreamHead(std::string& out, bool keepAlive);

/// Appends `text` as one chunk (RFC 9112 section 7.1).
void appendChunk(std::string& out, std::string_view text);

/// Ends a response that was sent in chunks.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// Tells a client that waits with its body to go on.
inline constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace garnethook::platform
