/// @file
/// Limits how long a KV state is held at its prefill endpoint until a decode endpoint has room.
#pragma once

#include "policy/decision_context.h"
#include "policy/request_state.h"

namespace garnethook::policy {

/// Enforces that a KV state is not held beyond the release timeout.
class KvHoldPolicy {
 public:
  /// `smallestObjective`: the smallest TTFT objective of all classes, used if no release timeout is set.
  KvHoldPolicy(const DecisionContext& context, const Settings& settings, EstimatedTime smallestObjective)
      : context_(context),
        maxHoldTime_(settings.kvReleaseTimeout > 0 ? settings.kvReleaseTimeout
                                                   : toMicros(smallestObjective)) {}

  /// Returns whether the hold time of the request's KV state is over. This happens when attempts never reach
  /// a decode endpoint, as connections to several endpoints may fail in turn. The state is then released and
  /// the prompt prefilled again.
  bool isExpired(const TrackedRequest& request) const {
    return context_.now() - request.kvStateSince >= maxHoldTime_;
  }
  /// Returns whether the next attempt is the last one within the hold time.
  bool isLastAttempt(const TrackedRequest& request) const {
    return context_.elapsedSince(request.kvStateSince) >= kMaxWaitShare * toEstimate(maxHoldTime_);
  }
  /// Interval at which a request that waits for an endpoint with room is evaluated again.
  Micros reevaluationInterval() const { return maxHoldTime_ / kReevaluationsPerHold; }

 private:
  static constexpr double kMaxWaitShare = 0.7;  // of the hold time, before the last attempt
  static constexpr int kReevaluationsPerHold = 10;

  const DecisionContext& context_;
  Micros maxHoldTime_;
};

}  // namespace garnethook::policy
