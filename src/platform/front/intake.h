// A client's request, from HTTP to what the router takes, or the status that says why not. Free of I/O.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "http1/message.h"
#include "provision/provision.h"
#include "routing/types.h"

namespace garnethook::platform {

struct Refusal {
  int status = 400;
  std::string text;
};

// Octets and tokens that a request may have at most.
struct IntakeLimits {
  std::size_t bodyBytes = 256 * 1024;
  double tokens = 1e6;
  Micros longestDeadline = 3'600'000'000;
};

std::variant<routing::Ask, Refusal> readRequest(const http1::Head& head, std::string body,
                                                const provision::Provision& provision,
                                                const IntakeLimits& limits = {});

}  // namespace garnethook::platform
