/// @file
/// Attempts from their send to their end, and what the estimators learn from each of them.
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

/// Distributes what attempts show to the concerns that learn from it.
class AttemptTracker {
 public:
  /// What the tracker works with.
  struct Collaborators {
    const DecisionContext& context;    ///< The time.
    EndpointRegistry& registry;        ///< Endpoints.
    const AttemptTimeouts& timeouts;   ///< Which attempts are stalled.
    PrefillCostModel& costModel;       ///< Learns from prefills.
    PrefixCacheIndex& prefixes;        ///< Learns where prefixes are cached.
    AffinityHashing& affinity;         ///< Counts prefill load.
    SpeedEstimator& speeds;            ///< Learns from times to a response.
    QueueEstimator& queues;            ///< Learns from waits and reports.
    FirstTokenEstimator& firstTokens;  ///< Learns from first tokens.
    KvMemoryEstimator& memory;         ///< Counts tokens in flight.
    RejectionEstimator& rejections;    ///< Learns from rejections.
    OutlierDetector& outliers;         ///< Learns from failures.
    SlowStart& slowStart;              ///< Counts sends and completions.
  };
  /// The collaborators must outlive the tracker.
  explicit AttemptTracker(const Collaborators& collaborators) : collaborators_(collaborators) {}

  /// Takes in an attempt that is sent now, and puts it in the request.
  void recordSend(TrackedRequest& request, InFlightAttempt attempt);
  /// Takes in the first token of the request's attempt.
  void recordStart(TrackedRequest& request);
  /// Takes in the end of the request's attempt, and takes it out of the request.
  void recordEnd(TrackedRequest& request, const AttemptEnded& event);
  /// Takes in a report of an endpoint's load.
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
