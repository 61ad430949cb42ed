/// @file
/// How long an attempt usually takes at most, and when it counts as stalled.
#pragma once

#include "policy/decision_context.h"
#include "policy/request_state.h"

namespace garnethook::policy {

/// Timeouts that follow from an attempt's predicted time.
class AttemptTimeouts {
 public:
  /// Timeout of a prefill as a multiple of its predicted time.
  static constexpr double kPrefillMultiple = 3;
  /// Timeout of a decode or combined attempt as a multiple of its predicted time.
  static constexpr double kDecodeMultiple = 5;
  /// Share of its usual timeout after which silence of an endpoint counts.
  static constexpr double kSilenceShare = 0.4;

  /// `smallestObjective`: the smallest TTFT objective of all classes.
  AttemptTimeouts(const DecisionContext& context, EstimatedTime smallestObjective)
      : context_(context), smallestObjective_(smallestObjective) {}

  /// Part of every timeout that does not depend on the prediction.
  EstimatedTime baseTimeout() const { return kBaseTimeoutShare * smallestObjective_; }
  /// The usual timeout of an attempt.
  EstimatedTime usualTimeout(const InFlightAttempt& attempt) const {
    return timeoutMultiple(attempt.phase) * attempt.predictedTime + baseTimeout();
  }
  /// Whether an attempt is over that share of its usual timeout while later ones to the same endpoint, that
  /// sum up to clearly more than its size, had their response: its connection is lost, not its endpoint. Such
  /// an attempt says nothing of the endpoint's queue and speed, and is given up at the whole timeout.
  bool isStalled(const InFlightAttempt& attempt, double share) const {
    return attempt.overtakenRatio >= kMinOvertakenRatioToStall &&
           context_.elapsedSince(attempt.sentAt) > share * usualTimeout(attempt);
  }

 private:
  static constexpr double kBaseTimeoutShare = 0.5;  // of the smallest objective
  static constexpr double kMinOvertakenRatioToStall = 2;

  static double timeoutMultiple(Phase phase) {
    return phase == Phase::prefill ? kPrefillMultiple : kDecodeMultiple;
  }

  const DecisionContext& context_;
  EstimatedTime smallestObjective_;
};

}  // namespace garnethook::policy
