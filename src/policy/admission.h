/// @file
/// Admission: whether a request is worth an attempt now, may be served later, or is rejected, and when its
/// client should come back.
#pragma once

#include "policy/candidate_finder.h"
#include "policy/decision_context.h"
#include "policy/first_token_estimator.h"
#include "policy/prefill_estimator.h"

namespace garnethook::policy {

/// Rejects what would be late.
///
/// A request that can't have a timely first token makes those behind it late as well; rejecting it is cheap,
/// and its client may come again. What is uncertain is the wait more than the own prefill, of which only a
/// part needs a margin; this guards against rejecting long prompts that would be in time. In a jam dear
/// requests are admitted that cheap ones could use.
class AdmissionController {
 public:
  /// What the controller works with.
  struct Collaborators {
    DecisionContext& context;                ///< The time and random numbers.
    const Settings& settings;                ///< Whether and how far clients obey Retry-After.
    const EndpointRegistry& registry;        ///< Endpoints.
    const CandidateFinder& candidates;       ///< Which are usable now.
    const PrefillEstimator& prefills;        ///< What a prefill costs.
    const FirstTokenEstimator& firstTokens;  ///< Time to a first token.
  };
  /// `smallestObjective`: the smallest TTFT objective of all classes.
  AdmissionController(const Collaborators& collaborators, EstimatedTime smallestObjective)
      : collaborators_(collaborators), smallestObjective_(smallestObjective) {}

  /// When a first token is due for the next attempt: at the objective at first, then at the deadline.
  static Micros firstTokenDueAt(const TrackedRequest& request) {
    return request.attempts == 0 ? request.objectiveAt : request.deadline;
  }
  /// Whether a first token after `time`, of which the own prefill takes `prefillTime`, is expected by
  /// `dueAt`; notes the excess in the request.
  bool isExpectedInTime(TrackedRequest& request, EstimatedTime time, EstimatedTime prefillTime,
                        Micros dueAt) const {
    const EstimatedTime certain = kCertainShare * prefillTime;
    const EstimatedTime left = toEstimate(dueAt - collaborators_.context.now());
    request.excessTime = time - certain - kTimeShare * (left - certain);
    return request.excessTime <= EstimatedTime::zero();
  }

  /// Whether a request without a usable endpoint is kept for a while: only an endpoint that is full or
  /// warming up by now, and quick enough later, is worth it. Otherwise the answer comes at once, as a client
  /// that is held back can't try elsewhere or come back in time.
  bool mayPrefillLater(const TrackedRequest& request) const;
  /// Whether a KV state is kept for a while until an endpoint has room to decode it.
  bool mayDecodeLater(const TrackedRequest& request) const;
  /// Time between two tries of a request that is kept without KV state.
  Micros reevaluationInterval() const { return toMicros(smallestObjective_ / kReevaluations); }

  /// When the client of a rejected request should come back; 0: it can't be told. That is when what was in
  /// the way, as far as it was seen, is over. Up to half of it is taken off at random, so that clients
  /// rejected together don't return together.
  Micros retryAfter(const TrackedRequest& request) const;

 private:
  static constexpr double kTimeShare = 0.7;     // of the time left, that may be predicted
  static constexpr double kCertainShare = 0.5;  // of the own prefill's time, that needs no margin
  static constexpr int kReevaluations = 10;
  static constexpr double kMinRetryAfter = 0.1;  // of the smallest objective
  static constexpr double kRetryAfterSpread = 0.5;

  template <class Test>
  bool anyListed(Test test) const;

  Collaborators collaborators_;
  EstimatedTime smallestObjective_;
};

}  // namespace garnethook::policy
