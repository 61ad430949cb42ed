// A client's request, from HTTP to what the router takes, or the status that says why not. Free of I/O.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "deployment_config/deployment_config.h"
#include "http1/message.h"
#include "routing/types.h"

namespace garnethook::platform {

struct Rejection {
  int status = 400;
  std::string text;
};

// Bytes and tokens that a request may have at most.
struct RequestLimits {
  std::size_t bodyBytes = 256 * 1024;
  double tokens = 1e6;
  Micros longestDeadline = 3'600'000'000;
};

std::variant<routing::Request, Rejection> readRequest(const http1::Head& head, std::string body,
                                                      const deployment_config::DeploymentConfig& deployment,
                                                      const RequestLimits& limits = {});

}  // namespace garnethook::platform
