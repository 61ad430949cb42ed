/// @file
/// Usual timeouts of attempts and detection of stalled attempts.
#pragma once

#include "policy/decision_context.h"
#include "policy/request_state.h"

namespace garnethook::policy {

/// Derives timeouts from the predicted time of an attempt.
class AttemptTimeouts {
 public:
  /// Timeout of a prefill as a multiple of its predicted time.
  static constexpr double kPrefillMultiple = 3;
  /// Timeout of a decode or combined attempt as a multiple of its predicted time.
  static constexpr double kDecodeMultiple = 5;
  /// Share of an attempt's usual timeout after which a silent endpoint counts as unresponsive.
  static constexpr double kSilenceShare = 0.4;

  /// `smallestObjective`: the smallest TTFT objective of all classes.
  AttemptTimeouts(const DecisionContext& context, EstimatedTime smallestObjective)
      : context_(context), smallestObjective_(smallestObjective) {}

  /// Constant part of every timeout, independent of the predicted time.
  EstimatedTime baseTimeout() const { return kBaseTimeoutShare * smallestObjective_; }
  /// The usual timeout of an attempt.
  EstimatedTime usualTimeout(const InFlightAttempt& attempt) const {
    return timeoutMultiple(attempt.phase) * attempt.predictedTime + baseTimeout();
  }
  /// Whether an attempt has exceeded `share` of its usual timeout while later attempts at the same endpoint,
  /// with a total size well above its own, got a response. In that case its connection is lost but the
  /// endpoint works. A stalled attempt is no evidence about the endpoint's queue and speed, and it is
  /// abandoned at its full timeout.
  bool isStalled(const InFlightAttempt& attempt, double share) const {
    return attempt.overtakenRatio >= kMinOvertakenRatioToStall &&
           context_.elapsedSince(attempt.sentAt) > share * usualTimeout(attempt);
  }

 private:
  static constexpr double kBaseTimeoutShare = 0.5;  // of the smallest TTFT objective
  static constexpr double kMinOvertakenRatioToStall = 2;

  static double timeoutMultiple(Phase phase) {
    return phase == Phase::prefill ? kPrefillMultiple : kDecodeMultiple;
  }

  const DecisionContext& context_;
  EstimatedTime smallestObjective_;
};

}  // namespace garnethook::policy
