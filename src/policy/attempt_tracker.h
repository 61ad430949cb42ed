/// @file
/// Tracks attempts from send to end and passes the observations to the estimators.
#pragma once

#include "policy/affinity_hashing.h"
#include "policy/attempt_timeouts.h"
#include "policy/decision_context.h"
#include "policy/endpoint_registry.h"
#include "policy/first_token_estimator.h"
#include "policy/kv_memory_estimator.h"
#include "policy/outlier_detector.h"
#include "policy/prefill_cost_model.h"
#include "policy/prefix_cache_index.h"
#include "policy/queue_estimator.h"
#include "policy/rejection_estimator.h"
#include "policy/slow_start.h"
#include "policy/speed_estimator.h"

namespace garnethook::policy {

/// Updates all estimators and health records from the progress and outcome of attempts.
class AttemptTracker {
 public:
  /// Dependencies of the tracker.
  struct Collaborators {
    const DecisionContext& context;    ///< Provides the current time.
    const Settings& settings;          ///< Limits the rejections that do not count as attempts.
    EndpointRegistry& registry;        ///< Provides the endpoints.
    const AttemptTimeouts& timeouts;   ///< Detects stalled attempts.
    PrefillCostModel& costModel;       ///< Receives prefill durations.
    PrefixCacheIndex& prefixes;        ///< Receives the locations of cached prefixes.
    AffinityHashing& affinity;         ///< Receives prefill load.
    SpeedEstimator& speeds;            ///< Receives response times.
    QueueEstimator& queues;            ///< Receives queueing delays and load reports.
    FirstTokenEstimator& firstTokens;  ///< Receives times to first token.
    KvMemoryEstimator& memory;         ///< Receives the KV cache tokens of attempts and load reports.
    RejectionEstimator& rejections;    ///< Receives rejections and acceptances.
    OutlierDetector& outliers;         ///< Receives failures and activity.
    SlowStart& slowStart;              ///< Receives sends and completions.
  };
  /// The collaborators must outlive the tracker.
  explicit AttemptTracker(const Collaborators& collaborators) : collaborators_(collaborators) {}

  /// Records an attempt that is being sent and stores it in `request`.
  void recordSend(TrackedRequest& request, InFlightAttempt attempt);
  /// Records the first token of the request's attempt in flight.
  void recordStart(TrackedRequest& request);
  /// Records the end of the request's attempt in flight and removes it from `request`.
  void recordEnd(TrackedRequest& request, const AttemptEnded& event);
  /// Records a load report of an endpoint.
  void recordReport(Endpoint& endpoint, const LoadReport& report);

 private:
  void recordResponse(Endpoint& endpoint, RequestId id, const InFlightAttempt& attempt);
  void handleOutcome(TrackedRequest& request, Endpoint& endpoint, const InFlightAttempt& attempt,
                     const AttemptEnded& event);
  void handlePrefillDone(TrackedRequest& request, Endpoint& endpoint, const InFlightAttempt& attempt,
                         double cachedTokens);
  void handleCompletion(const TrackedRequest& request, Endpoint& endpoint, const InFlightAttempt& attempt,
                        double cachedTokens);
  void handleRejection(TrackedRequest& request, Endpoint& endpoint, const InFlightAttempt& attempt,
                       const AttemptEnded& event);
  void handleTimeout(TrackedRequest& request, Endpoint& endpoint, const InFlightAttempt& attempt);
  void recordFailedAttempt(TrackedRequest& request, const InFlightAttempt& attempt, Outcome outcome);

  Collaborators collaborators_;
};

}  // namespace garnethook::policy
