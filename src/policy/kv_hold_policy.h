/// @file
/// How long a KV state is kept at its prefill endpoint for a decode endpoint with room.
#pragma once

#include "policy/decision_context.h"
#include "policy/request_state.h"

namespace garnethook::policy {

/// Keeps the rule that a KV state is not held beyond the release timeout.
class KvHoldPolicy {
 public:
  /// `smallestObjective`: the smallest TTFT objective of all classes; it stands for a
  /// release timeout that is not set.
  KvHoldPolicy(const DecisionContext& context, const Settings& settings, EstimatedTime smallestObjective)
      : context_(context),
        limit_(settings.kvReleaseTimeout > 0 ? settings.kvReleaseTimeout : toMicros(smallestObjective)) {}

  /// Whether the state's time is over, used up by attempts that never arrived. It is then released and the
  /// prompt prefilled anew: connections to decode endpoints may fail one after another.
  bool isExpired(const TrackedRequest& request) const {
    return context_.now() - request.kvStateSince >= limit_;
  }
  /// Whether the next attempt is the last that the state's time allows.
  bool isLastAttempt(const TrackedRequest& request) const {
    return context_.elapsedSince(request.kvStateSince) >= kWaitShare * toEstimate(limit_);
  }
  /// Time between two looks for an endpoint with room.
  Micros reevaluationInterval() const { return limit_ / kReevaluations; }

 private:
  static constexpr double kWaitShare = 0.7;  // of the limit, that may be waited before the last attempt
  static constexpr int kReevaluations = 10;

  const DecisionContext& context_;
  Micros limit_;
};

}  // namespace garnethook::policy
