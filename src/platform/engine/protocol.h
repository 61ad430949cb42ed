/// @file
/// The platform's HTTP protocol between router and engines: formatting of requests and interpretation of
/// responses. Performs no I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "deployment_config/deployment_config.h"
#include "http1/message.h"
#include "membership/endpoint_spec.h"
#include "routing/engine_client.h"

namespace garnethook::platform {

/// Contents of an attempt's request, kept until the request is written.
struct AttemptRequest {
  std::string host;        ///< Host of the endpoint.
  std::uint16_t port = 0;  ///< Port of the endpoint.
  std::string target;      ///< Path and query as received from the client.
  std::string traceId;     ///< Trace id of the request.
  std::string fields;      ///< Header fields forwarded from the client, one line with CRLF each.
  std::shared_ptr<const std::string> body;  ///< The client's body; may be null.
  Micros responseDeadline = 0;              ///< Monotonic time at which the router stops waiting.
  Micros sendDeadline = 0;                  ///< Latest monotonic time for sending; 0: no limit.
};

/// Returns the request of an attempt that starts at `now`.
/// @param endpoint destination
/// @param attempt the client's request and the timeout of the response
/// @param now current monotonic time, in microseconds
AttemptRequest makeAttemptRequest(const membership::EndpointSpec& endpoint,
                                  const routing::AttemptSpec& attempt, Micros now);

/// Serializes an attempt's request: the client's request unchanged, with its trace id and the time remaining
/// for the response.
/// @param request contents of the request
/// @param now monotonic time of writing, in microseconds
std::string formatAttemptRequest(const AttemptRequest& request, Micros now);

/// Serializes a request without a body.
/// @param endpoint destination
/// @param method HTTP method
/// @param target path and query
std::string formatControlRequest(const membership::EndpointSpec& endpoint, std::string_view method,
                                 std::string_view target);

/// Returns the path of the resource that is deleted to release the KV state of a request.
std::string releasePath(std::string_view traceId);

/// Parses a load report: `TEXT name=value, ...`.
/// @return std::nullopt if any part is malformed or no known value is present
std::optional<LoadReport> parseLoadReport(std::string_view text,
                                          const deployment_config::ReportMeanings& meanings);

/// Meaning of a response's status and header fields for the attempt.
enum class ResponseKind {
  prefillDone,     ///< The prefill has completed; the body reports the number of cached tokens.
  stream,          ///< An event stream follows.
  rejected,        ///< The request was not executed.
  kvStateMissing,  ///< The request was not executed because the KV state to transfer was missing.
  failed           ///< The request failed and was possibly executed.
};
/// Classifies a response by its status and header fields.
ResponseKind classifyResponse(const http1::Head& head, routing::Phase phase);

/// Returns the number of prompt tokens found in the prefix cache, from the response to a prefill or the usage
/// of an event; 0 if none is reported.
double parseCachedTokens(std::string_view json);

}  // namespace garnethook::platform
