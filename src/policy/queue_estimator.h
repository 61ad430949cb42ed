/// @file
/// Queueing delay at endpoints: this router's own backlog, and others' load as reported and as observed.
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
  /// What the estimator works with.
  struct Collaborators {
    const DecisionContext& context;     ///< The time.
    const EndpointRegistry& registry;   ///< Endpoints.
    const PrefillCostModel& costModel;  ///< Cost of a prefill.
    const AttemptTimeouts& timeouts;    ///< Which attempts are stalled.
    const TrafficSample& sample;        ///< Weight of own observations.
    const SlowStart& slowStart;         ///< Which endpoints warm up.
  };
  /// `smallestObjective`: the smallest TTFT objective of all classes.
  QueueEstimator(const Collaborators& collaborators, EstimatedTime smallestObjective)
      : collaborators_(collaborators), smallestObjective_(smallestObjective) {}

  /// Time that this router's own unfinished prefills take there.
  EstimatedTime ownBacklog(const Endpoint& endpoint) const;
  /// How long the oldest own attempt there has waited for a response; stalled ones don't count.
  EstimatedTime longestWait(const Endpoint& endpoint) const;

  /// Others' load before a new prefill, as time: as last seen there (by report, or by waits beyond the own
  /// backlog), fading to the mean seen lately at its role. An endpoint that warms up and was not used has
  /// what its budget lets in, next to nothing. This guards against taking endpoints not used lately for idle
  /// in any jam; an idle one is passed over while all that were used are jammed.
  EstimatedTime delay(const Endpoint& endpoint) const;
  /// The part of that delay that reports alone claim, before it is weighed by believability().
  EstimatedTime reportedDelay(const Endpoint& endpoint) const { return delay(endpoint) / believability(); }
  /// Mean time of a prefill, 0 before the first.
  EstimatedTime meanPrefillTime() const { return meanPrefillTime_; }

  /// Takes in an observed delay.
  void observeDelay(Endpoint& endpoint, EstimatedTime time) const;
  /// Takes in an endpoint's report.
  void observeReport(Endpoint& endpoint, const LoadReport& report) const;
  /// Time of a prefill that completes now, less the wait for earlier prefills of this router.
  EstimatedTime ownPrefillTime(const Endpoint& endpoint, const InFlightAttempt& attempt) const {
    return collaborators_.context.elapsedSince(std::max(attempt.sentAt, endpoint.queue.prefillDoneAt_));
  }
  /// Takes in how much of the delay that the endpoint had reported a prefill did wait.
  void observeReportedWait(const Endpoint& endpoint, const InFlightAttempt& attempt, EstimatedTime waited);
  /// Takes in a wait for others' prefills, unless the endpoint reports its queue.
  void observeUnreportedWait(Endpoint& endpoint, EstimatedTime waited) const;
  /// Notes that a prefill has completed, and how long it took without the wait for own earlier ones.
  void recordPrefillDone(Endpoint& endpoint, EstimatedTime ownTime);
  /// Forgets what was known of an endpoint that restarted.
  static void reset(Endpoint& endpoint);
  /// Measures the mean delay of each role anew.
  void update();

 private:
  static constexpr EstimatedTime kObservationLifetime = std::chrono::seconds(1);
  static constexpr double kMeanLifetime = 2;  // in the mean of a role: smallest objectives
  // Weight, in smallest objectives, of the initial belief that reported tokens cost a prefill's full price.
  static constexpr double kReportPrior = 1;
  static constexpr double kMeanPrefillWeight = 0.05;

  // Of the delays that were reported, the part that prefills waited. This guards against rejecting for queues
  // of cached prompts; a queue that builds up beside quick ones is believed late.
  double believability() const {
    return (kReportPrior * smallestObjective_ + waited_) / (kReportPrior * smallestObjective_ + reported_);
  }

  Collaborators collaborators_;
  EstimatedTime smallestObjective_;
  std::array<EstimatedTime, kRoleCount> meanDelay_{};
  EstimatedTime meanPrefillTime_ = EstimatedTime::zero();
  EstimatedTime reported_ = EstimatedTime::zero();  // delays reported where prefills were sent, lately ...
  EstimatedTime waited_ = EstimatedTime::zero();    // ... and what of them was waited
};

}  // namespace garnethook::policy
