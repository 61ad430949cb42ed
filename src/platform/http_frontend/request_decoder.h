/// @file
/// Decodes a client's HTTP request into what the router takes, or says why it can't be served. Free of I/O.
#pragma once

#include <string>
#include <string_view>

#include "common/result.h"
#include "deployment_config/deployment_config.h"
#include "http1/message.h"
#include "routing/request.h"

namespace garnethook::platform {

/// Why a request can't be served, as its client is told.
struct DecodeError {
  int status = 400;  ///< HTTP status code of the response.
  std::string text;  ///< The response's body: names the field at fault.
};

/// Limits on one request.
struct RequestLimits {
  std::size_t bodyBytes = std::size_t{256} * 1024;  ///< Longest body.
  double tokens = 1e6;                              ///< Most tokens that any one field may name.
  Micros longestDeadline = 3'600'000'000;           ///< Longest time for an answer, in microseconds.
};

/// Decodes a request, or says why it can't be served.
/// @param head method, target and header fields
/// @param body the whole body
/// @param deployment names the request classes
/// @param limits what a request may ask for
Result<routing::Request, DecodeError> decodeRequest(const http1::Head& head, std::string body,
                                                    const deployment_config::DeploymentConfig& deployment,
                                                    const RequestLimits& limits = {});

}  // namespace garnethook::platform
