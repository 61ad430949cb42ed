/// @file
/// Estimates the time from a send to the first token, and the stream time of answers after it.
#pragma once

#include <algorithm>
#include <array>

#include "policy/decision_context.h"
#include "policy/endpoint_registry.h"
#include "policy/prefill_cost_model.h"
#include "policy/queue_estimator.h"
#include "policy/traffic_sample.h"

namespace garnethook::policy {

/// Estimates first-token and stream times of endpoints that decode.
class FirstTokenEstimator {
 public:
  /// Components that the estimator uses.
  struct Collaborators {
    const DecisionContext& context;  ///< Current time.
    const QueueEstimator& queues;    ///< Current waits of attempts.
    const TrafficSample& sample;     ///< Weight of this router's own observations.
  };
  /// `smallestObjective`: the smallest TTFT objective of all classes.
  FirstTokenEstimator(const Collaborators& collaborators, EstimatedTime smallestObjective)
      : collaborators_(collaborators),
        smallestObjective_(smallestObjective),
        baselineTime_(kInitialBaselineShare * smallestObjective),
        streamTimes_{smallestObjective, smallestObjective, smallestObjective} {}

  /// Returns the time to first token without overload.
  EstimatedTime baselineTime() const { return baselineTime_; }
  /// Returns the expected time at one endpoint. It is the recent time there, which decays to the fleet's
  /// without new observations, so that no request is rejected because of outdated ones. It is at least the
  /// longest current wait there, which is the most recent observation.
  EstimatedTime expectedTime(const Endpoint& endpoint) const {
    return std::max(collaborators_.queues.longestWait(endpoint), recentTime(endpoint));
  }
  /// Returns the recent time of all endpoints. It replaces the baseline as far as this router's own streams
  /// are too few to estimate single endpoints, since overload seldom affects one endpoint alone.
  EstimatedTime fleetTime() const {
    return baselineTime_ + (1 - collaborators_.sample.evidence()) * (recentFleetTime() - baselineTime_);
  }
  /// Records the time to a first token that arrived.
  void observe(Endpoint& endpoint, EstimatedTime time) {
    const EstimatedTime previousTime = recentTime(endpoint);
    endpoint.firstToken.time_ = previousTime + kSampleWeight * (time - previousTime);
    endpoint.firstToken.observedAt_ = collaborators_.context.now();
    observeFleet(time);
    const EstimatedTime clampedTime = std::min(time, PrefillCostModel::kMaxDeviationFactor * baselineTime_);
    baselineTime_ += (time < baselineTime_ ? kFallWeight : kRiseWeight) * (clampedTime - baselineTime_);
  }
  /// Records a time of the fleet, or a lower bound of it.
  void observeFleet(EstimatedTime time) {
    const EstimatedTime previousTime = recentFleetTime();
    fleetTime_ = previousTime + kSampleWeight * (time - previousTime);
    fleetObservedAt_ = collaborators_.context.now();
  }

  /// Returns the mean time from the first to the last token at endpoints of a role.
  EstimatedTime streamTime(Role role) const { return streamTimes_[roleIndex(role)]; }
  /// Records the time from the first to the last token of an answer.
  void observeStream(Role role, EstimatedTime time) {
    EstimatedTime& meanTime = streamTimes_[roleIndex(role)];
    meanTime += kStreamWeight * (time - meanTime);
  }

 private:
  static constexpr double kInitialBaselineShare = 0.1;  // of the smallest TTFT objective
  // The baseline rises slowly and falls fast, so that it excludes overload.
  static constexpr double kRiseWeight = 0.01;
  static constexpr double kFallWeight = 0.1;
  static constexpr double kSampleWeight = 0.4;
  static constexpr double kObservationLifetimeObjectives = 2;  // in smallest TTFT objectives
  static constexpr double kStreamWeight = 0.1;

  EstimatedTime recentTime(const Endpoint& endpoint) const {
    return decayTo(endpoint.firstToken.time_, endpoint.firstToken.observedAt_, fleetTime());
  }
  EstimatedTime recentFleetTime() const { return decayTo(fleetTime_, fleetObservedAt_, baselineTime_); }
  EstimatedTime decayTo(EstimatedTime recentValue, Micros observedAt, EstimatedTime longTermTime) const {
    return longTermTime + (recentValue - longTermTime) *
                              collaborators_.context.freshness(
                                  observedAt, kObservationLifetimeObjectives * smallestObjective_);
  }

  Collaborators collaborators_;
  EstimatedTime smallestObjective_;
  EstimatedTime baselineTime_;
  EstimatedTime fleetTime_ = EstimatedTime::zero();
  Micros fleetObservedAt_ = 0;
  std::array<EstimatedTime, kRoleCount> streamTimes_;
};

}  // namespace garnethook::policy
