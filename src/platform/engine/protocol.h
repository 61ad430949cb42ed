/// @file
/// The platform's protocol towards engines: what is written, and what a response says about an attempt. Free
/// of I/O.
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

/// The request of an attempt, as it is kept until it is written.
struct AttemptRequest {
  std::string host;                         ///< Host of the endpoint.
  std::uint16_t port = 0;                   ///< Port of the endpoint.
  std::string target;                       ///< Path and query, as the client sent them.
  std::string traceId;                      ///< Id of the request.
  std::string fields;                       ///< The client's own header fields, each a line with its CRLF.
  std::shared_ptr<const std::string> body;  ///< The client's body; may be null.
  Micros answerBy = 0;                      ///< When the router stops waiting.
  Micros sendBy = 0;                        ///< When it is too late to send; 0: never.
};

/// The request of an attempt that starts now.
/// @param endpoint where it is sent
/// @param attempt the client's request, and the time for an answer
/// @param now the current time
AttemptRequest makeAttemptRequest(const membership::EndpointSpec& endpoint,
                                  const routing::AttemptSpec& attempt, Micros now);

/// The bytes of an attempt's request: the client's as it came, with its id and the time that is left for an
/// answer at the time of writing.
std::string formatAttemptRequest(const AttemptRequest& request, Micros now);

/// The bytes of a request without a body.
/// @param endpoint where it is sent
/// @param method HTTP method
/// @param target path and query
std::string formatControlRequest(const membership::EndpointSpec& endpoint, std::string_view method,
                                 std::string_view target);

/// The path at which an endpoint is asked to release the KV cache of a request.
std::string releasePath(std::string_view traceId);

/// Parses a load report: `TEXT name=value, ...`.
/// @return nothing where it can't be read completely, or names no known value
std::optional<LoadReport> parseLoadReport(std::string_view text,
                                          const deployment_config::ReportMeanings& meanings);

/// What the head of a response means for the attempt.
enum class ResponseKind {
  prefillDone,     ///< The prefill is done; the body names the tokens that were cached.
  stream,          ///< Events follow.
  rejected,        ///< The request was not executed.
  kvStateMissing,  ///< The request was not executed: there was no KV cache to fetch.
  failed           ///< The request failed and may have been executed.
};
/// Classifies a response by its status and fields.
ResponseKind classifyResponse(const http1::Head& head, routing::Phase phase);

/// Tokens found in the prefix cache, by the response to a prefill or an event's usage; 0 where none are
/// named.
double parseCachedTokens(std::string_view json);

}  // namespace garnethook::platform
