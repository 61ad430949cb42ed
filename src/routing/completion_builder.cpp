#include "routing/completion_builder.h"

#include <utility>

namespace garnethook::routing {
namespace {

void appendLastError(const ActiveRequest& active, std::string& text) {
  if (!active.lastError.empty()) text += "; last: " + active.lastError;
}

Completion streamFailure(FailureReason reason, std::string text) {
  return {.disposition = Disposition::failed, .failureReason = reason, .text = std::move(text)};
}

}  // namespace

Completion tooManyRequestsCompletion(Micros retryAfter) {
  return {.disposition = Disposition::rejected,
          .failureReason = FailureReason::tooManyRequests,
          .text = "too many requests are open here",
          .retryAfter = retryAfter};
}

Completion shutdownCompletion(Disposition disposition, Micros retryAfter) {
  return {.disposition = disposition,
          .failureReason = FailureReason::shuttingDown,
          .text = "the router is going down",
          .retryAfter = disposition == Disposition::rejected ? retryAfter : 0};
}

Completion expiredOnArrivalCompletion() {
  return {.disposition = Disposition::rejected,
          .failureReason = FailureReason::deadline,
          .text = "the deadline has passed"};
}

Completion policyRejection(const ActiveRequest& active, const Reject& reject, bool isPastDeadline,
                           bool hasRunningEndpoints) {
  Completion completion{.disposition = Disposition::rejected, .retryAfter = reject.retryAfter};
  if (isPastDeadline) {
    completion.failureReason = FailureReason::deadline;
    completion.text = "no answer before the deadline; a repeat does no harm";
  } else if (!hasRunningEndpoints) {
    completion.failureReason = FailureReason::noEndpoint;
    completion.text = "no engine is listed";
  } else if (reject.reason == RejectionReason::noAttemptsLeft) {
    completion.failureReason = FailureReason::attemptsFailed;
    completion.text = "all attempts were refused or failed; a repeat does no harm";
  } else {
    completion.failureReason = FailureReason::overloaded;
    completion.text = "no engine would answer in time";
  }
  appendLastError(active, completion.text);
  return completion;
}

Completion policyFailure(const ActiveRequest& active, bool isPastDeadline) {
  Completion completion{
      .disposition = Disposition::failed,
      .failureReason = isPastDeadline ? FailureReason::deadline : FailureReason::attemptsFailed,
      .text = isPastDeadline ? "no answer before the deadline" : "attempts failed"};
  appendLastError(active, completion.text);
  return completion;
}

Completion badRequestCompletion(const std::string& text) {
  return {.disposition = Disposition::failed, .failureReason = FailureReason::badRequest, .text = text};
}

Completion streamBrokenCompletion(const std::string& text) {
  return streamFailure(FailureReason::streamBroken,
                       "the answer broke off" + (text.empty() ? "" : ": " + text));
}

Completion streamStalledCompletion() {
  return streamFailure(FailureReason::streamStalled, "the answer went quiet");
}

Completion streamDeadlineCompletion() {
  return streamFailure(FailureReason::deadline, "the answer was not finished before the deadline");
}

}  // namespace garnethook::routing
