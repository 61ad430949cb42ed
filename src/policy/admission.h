/// @file
/// Admission control: decides whether a request is attempted now, kept until an endpoint has room, or
/// rejected, and when the client of a rejected request should retry.
#pragma once

#include "policy/candidate_finder.h"
#include "policy/decision_context.h"
#include "policy/first_token_estimator.h"
#include "policy/prefill_estimator.h"

namespace garnethook::policy {

/// Rejects requests whose first token is expected to be late.
///
/// Executing such a request also delays the requests queued behind it, whereas a rejection is cheap and the
/// client can retry. The queueing delay is less certain than the time of the request's own prefill, so the
/// safety margin applies to all of the delay but only to part of the prefill time. This prevents rejections
/// of long prompts that would be in time. The drawback: under overload, expensive requests are admitted whose
/// capacity could serve several cheap ones.
class AdmissionController {
 public:
  /// Components that the controller uses.
  struct Collaborators {
    DecisionContext& context;                ///< Current time and random numbers.
    const Settings& settings;                ///< Whether clients get a Retry-After, and its limit.
    const EndpointRegistry& registry;        ///< All known endpoints.
    const CandidateFinder& candidates;       ///< Which endpoints are usable now.
    const PrefillEstimator& prefills;        ///< Prefill times.
    const FirstTokenEstimator& firstTokens;  ///< Times to first token.
  };
  /// `smallestObjective`: the smallest TTFT objective of all classes.
  AdmissionController(const Collaborators& collaborators, EstimatedTime smallestObjective)
      : collaborators_(collaborators), smallestObjective_(smallestObjective) {}

  /// Returns when the first token of the next attempt is due: at the TTFT objective for the first attempt, at
  /// the deadline for retries.
  static Micros firstTokenDueAt(const TrackedRequest& request) {
    return request.attempts == 0 ? request.objectiveAt : request.deadline;
  }
  /// Returns whether a first token that takes `time`, including `prefillTime` for the request's own prefill,
  /// is expected by `dueAt`. Stores the time beyond what admission allows in the request's `excessTime`.
  bool isExpectedInTime(TrackedRequest& request, EstimatedTime time, EstimatedTime prefillTime,
                        Micros dueAt) const {
    const EstimatedTime prefillWithoutMargin = kPrefillShareWithoutMargin * prefillTime;
    const EstimatedTime remaining = toEstimate(dueAt - collaborators_.context.now());
    request.excessTime = time - prefillWithoutMargin - kUsableTimeShare * (remaining - prefillWithoutMargin);
    return request.excessTime <= EstimatedTime::zero();
  }

  /// Returns whether a request without a usable endpoint is kept for a while. The wait is justified only if
  /// an endpoint is full or warming up now and could still prefill the prompt in time later. Otherwise the
  /// request is rejected at once, since its client could not retry elsewhere in time after a wait.
  bool mayPrefillLater(const TrackedRequest& request) const;
  /// Returns whether a KV state is kept for a while until an endpoint has room to decode it.
  bool mayDecodeLater(const TrackedRequest& request) const;
  /// Interval at which a request that is kept without a KV state is evaluated again.
  Micros reevaluationInterval() const { return toMicros(smallestObjective_ / kReevaluationsPerObjective); }

  /// Returns the delay after which the client of a rejected request should retry, or 0 if clients get no
  /// Retry-After. The delay is the time by which the request was expected to be late. It is shortened at
  /// random by up to half, so that clients that are rejected together do not retry together.
  Micros retryAfter(const TrackedRequest& request) const;

 private:
  static constexpr double kUsableTimeShare = 0.7;  // of the remaining time; the rest is the safety margin
  static constexpr double kPrefillShareWithoutMargin = 0.5;  // of the request's own prefill time
  static constexpr int kReevaluationsPerObjective = 10;
  static constexpr double kMinRetryAfterShare = 0.1;  // of the smallest TTFT objective
  static constexpr double kRetryAfterJitter = 0.5;

  template <class Predicate>
  bool anyListed(Predicate predicate) const;

  Collaborators collaborators_;
  EstimatedTime smallestObjective_;
};

}  // namespace garnethook::policy
