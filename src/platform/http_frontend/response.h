// Answers that this router words itself: errors, refusals, readiness. Free of I/O.
#pragma once

#include <string>
#include <string_view>

#include "policy/routing_policy.h"

namespace garnethook::platform {

struct Response {
  int status = 200;
  std::string_view text;
  Micros retryAfter = 0;  // 0: not told
  bool keepAlive = true;  // false: announces that the connection ends behind this answer
};

// The whole message: status line, fields, and the text as a body of one line.
std::string responseText(const Response& response);

}  // namespace garnethook::platform
