/// Builds the completions that the router itself generates, with the texts that clients receive.
#pragma once

#include <string>

#include "routing/active_request.h"
#include "routing/completion.h"

namespace garnethook::routing {

/// Rejection because the router has too many pending requests.
Completion tooManyRequestsCompletion(Micros retryAfter);
/// Completion because the router is shutting down; `retryAfter` applies to rejected requests only.
Completion shutdownCompletion(Disposition disposition, Micros retryAfter);
/// Rejection because the deadline had passed when the request arrived.
Completion expiredOnArrivalCompletion();
/// Rejection by the policy. `hasRunningEndpoints`: whether any endpoint is listed as running.
Completion policyRejection(const ActiveRequest& active, const Reject& reject, bool isPastDeadline,
                           bool hasRunningEndpoints);
/// Failure by decision of the policy.
Completion policyFailure(const ActiveRequest& active, bool isPastDeadline);
/// Failure because the engine reported that the request is invalid; `text`: the engine's message.
Completion badRequestCompletion(const std::string& text);
/// Failure because a response that had started ended early; `text`: the error message of the engine or the
/// connection, or empty.
Completion streamBrokenCompletion(const std::string& text);
/// Failure because a response that had started received no more tokens.
Completion streamStalledCompletion();
/// Failure because a response that had started was not complete at the deadline.
Completion streamDeadlineCompletion();

}  // namespace garnethook::routing
