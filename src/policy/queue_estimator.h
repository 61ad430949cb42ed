/// @file
/// Estimates the queueing delay at endpoints from this router's own backlog and from the load of other
/// routers, as reported by endpoints and as observed.
#pragma once

#include <algorithm>
#include <array>

#include "policy/attempt_timeouts.h"
#include "policy/decision_context.h"
#include "policy/endpoint_registry.h"
#include "policy/prefill_cost_model.h"
#include "policy/slow_start.h"
#include "policy/traffic_sample.h"

namespace garnethook::policy {

/// Estimates how long a new prefill waits at an endpoint.
class QueueEstimator {
 public:
  /// Components that the estimator uses.
  struct Collaborators {
    const DecisionContext& context;     ///< Current time.
    const EndpointRegistry& registry;   ///< All known endpoints.
    const PrefillCostModel& costModel;  ///< Prefill times by tokens.
    const AttemptTimeouts& timeouts;    ///< Which attempts are stalled.
    const TrafficSample& sample;        ///< Weight of this router's own observations.
    const SlowStart& slowStart;         ///< Which endpoints are warming up.
  };
  /// `smallestObjective`: the smallest TTFT objective of all classes.
  QueueEstimator(const Collaborators& collaborators, EstimatedTime smallestObjective)
      : collaborators_(collaborators), smallestObjective_(smallestObjective) {}

  /// Returns the remaining time of this router's own unfinished prefills at the endpoint.
  EstimatedTime ownBacklog(const Endpoint& endpoint) const;
  /// Returns how long this router's oldest attempt at the endpoint has waited for a response, without stalled
  /// attempts.
  EstimatedTime longestWait(const Endpoint& endpoint) const;

  /// Returns the delay of a new prefill by the load of other routers. It is the last delay observed at the
  /// endpoint, by its report or by waits beyond this router's own backlog, and decays to the recent mean of
  /// the endpoint's role, or to zero while the endpoint is warming up, since its budget then admits next to
  /// nothing. The mean prevents endpoints that were not used recently from being taken for idle under
  /// overload. The drawback: an idle endpoint is passed over while all recently used ones are overloaded.
  EstimatedTime delay(const Endpoint& endpoint) const;
  /// Returns that delay as reported, without the weighting by reportReliability().
  EstimatedTime reportedDelay(const Endpoint& endpoint) const {
    return delay(endpoint) / reportReliability();
  }
  /// Returns the mean time of a prefill, 0 before the first.
  EstimatedTime meanPrefillTime() const { return meanPrefillTime_; }

  /// Records an observed delay.
  void observeDelay(Endpoint& endpoint, EstimatedTime time) const;
  /// Records an endpoint's load report.
  void observeReport(Endpoint& endpoint, const LoadReport& report) const;
  /// Returns the time of a prefill that completes now, without the wait for this router's earlier prefills.
  EstimatedTime ownPrefillTime(const Endpoint& endpoint, const InFlightAttempt& attempt) const {
    return collaborators_.context.elapsedSince(std::max(attempt.sentAt, endpoint.queue.prefillDoneAt_));
  }
  /// Records how long a prefill actually waited, to be compared with the delay that the endpoint had
  /// reported.
  void observeReportedWait(const Endpoint& endpoint, const InFlightAttempt& attempt, EstimatedTime waited);
  /// Records a wait for prefills of other routers, unless the endpoint reports its queue.
  void observeUnreportedWait(Endpoint& endpoint, EstimatedTime waited) const;
  /// Records the completion of a prefill, and the time it took without the wait for this router's earlier
  /// ones.
  void recordPrefillDone(Endpoint& endpoint, EstimatedTime ownTime);
  /// Discards the observations of an endpoint that restarted.
  static void reset(Endpoint& endpoint);
  /// Recomputes the mean delay of each role.
  void update();

 private:
  static constexpr EstimatedTime kObservationLifetime = std::chrono::seconds(1);
  // Lifetime, in smallest TTFT objectives, of an observation in the mean of a role.
  static constexpr double kMeanLifetimeObjectives = 2;
  // Weight, in smallest TTFT objectives, of the initial assumption that reported tokens take the full prefill
  // time.
  static constexpr double kReportPriorObjectives = 1;
  static constexpr double kMeanPrefillSampleWeight = 0.05;

  // Returns the share of the reported delays that prefills actually waited. This prevents rejections because
  // of queues of cached prompts, which take little time. The drawback: a long queue that builds up after
  // quick ones is recognised late.
  double reportReliability() const {
    return (kReportPriorObjectives * smallestObjective_ + waitedDelaySum_) /
           (kReportPriorObjectives * smallestObjective_ + reportedDelaySum_);
  }

  Collaborators collaborators_;
  EstimatedTime smallestObjective_;
  std::array<EstimatedTime, kRoleCount> meanDelay_{};
  EstimatedTime meanPrefillTime_ = EstimatedTime::zero();
  EstimatedTime reportedDelaySum_ = EstimatedTime::zero();  // recent delays reported where prefills were sent
  EstimatedTime waitedDelaySum_ = EstimatedTime::zero();    // part of them that the prefills waited
};

}  // namespace garnethook::policy
