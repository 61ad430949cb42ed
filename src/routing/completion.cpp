#include "routing/completion.h"

namespace garnethook::routing {

std::string_view name(FailureReason reason) {
  switch (reason) {
    case FailureReason::none: return "none";
    case FailureReason::overloaded: return "overloaded";
    case FailureReason::noEndpoint: return "no-endpoint";
    case FailureReason::tooManyRequests: return "too-many-requests";
    case FailureReason::shuttingDown: return "shutting-down";
    case FailureReason::deadline: return "deadline";
    case FailureReason::attemptsFailed: return "attempts-failed";
    case FailureReason::streamBroken: return "stream-broken";
    case FailureReason::streamStalled: return "stream-stalled";
    case FailureReason::badRequest: return "bad-request";
    case FailureReason::slowClient: return "slow-client";
  }
  return "unknown";
}

}  // namespace garnethook::routing
