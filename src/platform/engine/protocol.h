// The platform's protocol towards engines: what is written, and what an answer says of an attempt. Free of
// I/O.
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

// An attempt's request, as it is kept until it is written.
struct EngineRequest {
  std::string host;
  std::uint16_t port = 0;
  std::string target;  // path and query, as the client sent them
  std::string traceId;
  std::string fields;  // the client's own, each a line with its CRLF
  std::shared_ptr<const std::string> body;
  Micros answerBy = 0;  // the router waits no longer
  Micros sendBy = 0;    // 0: any time
};
EngineRequest engineRequest(const membership::EndpointSpec& engine, const routing::AttemptSpec& order,
                            Micros now);
// The client's request as it came, with its id and the time that is left for an answer as it is written.
std::string requestText(const EngineRequest& request, Micros now);
// A call without body.
std::string callText(const membership::EndpointSpec& engine, std::string_view method,
                     std::string_view target);
std::string releaseTarget(std::string_view traceId);

// A load report: `TEXT name=value, ...`. Nothing where it can't be read whole, or tells nothing that is
// known.
std::optional<LoadReport> parseReport(std::string_view text,
                                      const deployment_config::ReportMeanings& meanings);

// What the head of an answer makes of the attempt.
enum class Verdict {
  readDone,  // a reader has read; the body tells what it found kept
  stream,    // events follow
  rejected,  // it never ran
  noState,   // it never ran: there was nothing to fetch
  failed     // it may have run
};
Verdict judge(const http1::Head& head, routing::Phase phase);

// Tokens found kept, from a read's answer or an event's usage; 0 where none are told.
double cachedTokens(std::string_view json);

}  // namespace garnethook::platform
