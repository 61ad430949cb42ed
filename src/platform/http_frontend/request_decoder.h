/// @file
/// Decodes a client's HTTP request into a routing::Request. Performs no I/O.
#pragma once

#include <string>
#include <string_view>

#include "common/result.h"
#include "deployment_config/deployment_config.h"
#include "http1/message.h"
#include "routing/request.h"

namespace garnethook::platform {

/// Why a request cannot be served, as reported to its client.
struct DecodeError {
  int status = 400;  ///< HTTP status code of the response.
  std::string text;  ///< Body of the response; names the invalid field.
};

/// Limits on one request.
struct RequestLimits {
  std::size_t maxBodyBytes = std::size_t{256} * 1024;  ///< Maximum bytes of the body.
  double maxTokens = 1e6;                              ///< Maximum value of each token count.
  Micros maxDeadline = 3'600'000'000;                  ///< Maximum time until the deadline, in microseconds.
};

/// Decodes a request, or returns the reason why it cannot be served.
/// @param head method, target and header fields
/// @param body the complete body
/// @param deployment provides the names of the request classes
/// @param limits limits that the request must not exceed
Result<routing::Request, DecodeError> decodeRequest(const http1::Head& head, std::string body,
                                                    const deployment_config::DeploymentConfig& deployment,
                                                    const RequestLimits& limits = {});

}  // namespace garnethook::platform
