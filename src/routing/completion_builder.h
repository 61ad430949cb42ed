/// The completions that the router itself gives, with the texts that clients receive.
#pragma once

#include <string>

#include "routing/active_request.h"
#include "routing/completion.h"

namespace garnethook::routing {

/// The router has too many pending requests.
Completion tooManyRequestsCompletion(Micros retryAfter);
/// The router is shutting down; `retryAfter` is for rejected requests only.
Completion shutdownCompletion(Disposition disposition, Micros retryAfter);
/// The deadline had passed when the request came.
Completion expiredOnArrivalCompletion();
/// The policy rejects the request. `hasRunningEndpoints`: any endpoint is listed as running.
Completion policyRejection(const ActiveRequest& active, bool isPastDeadline, bool hasRunningEndpoints,
                           Micros retryAfter);
/// The policy gives the request up.
Completion policyFailure(const ActiveRequest& active, bool isPastDeadline);
/// The engine reports that the request is invalid; `text`: what it said.
Completion badRequestCompletion(const std::string& text);
/// An answer that had begun broke off; `text`: what the engine or the connection said, or empty.
Completion streamBrokenCompletion(const std::string& text);
/// No tokens came any more.
Completion streamStalledCompletion();
/// An answer that had begun was not complete at the deadline.
Completion streamDeadlineCompletion();

}  // namespace garnethook::routing
