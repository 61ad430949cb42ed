/// @file
/// Time from a send to the first token, and how long answers stream after it.
#pragma once

#include <algorithm>
#include <array>

#include "policy/decision_context.h"
#include "policy/endpoint_registry.h"
#include "policy/prefill_cost_model.h"
#include "policy/queue_estimator.h"
#include "policy/traffic_sample.h"

namespace garnethook::policy {

/// Estimates of decode endpoints.
class FirstTokenEstimator {
 public:
  /// What the estimator works with.
  struct Collaborators {
    const DecisionContext& context;  ///< The time.
    const QueueEstimator& queues;    ///< How long attempts wait now.
    const TrafficSample& sample;     ///< Weight of own observations.
  };
  /// `smallestObjective`: the smallest TTFT objective of all classes.
  FirstTokenEstimator(const Collaborators& collaborators, EstimatedTime smallestObjective)
      : collaborators_(collaborators),
        smallestObjective_(smallestObjective),
        baselineTime_(kInitialShare * smallestObjective),
        streamTimes_{smallestObjective, smallestObjective, smallestObjective} {}

  /// Time without a jam.
  EstimatedTime baselineTime() const { return baselineTime_; }
  /// Time at one endpoint: the latest there, fading to the fleet's without news so that no rejection rests on
  /// old grounds, and no less than the longest wait there now, the freshest news.
  EstimatedTime expectedTime(const Endpoint& endpoint) const {
    return std::max(collaborators_.queues.longestWait(endpoint), recentTime(endpoint));
  }
  /// Latest time at all endpoints. It counts as far as own streams are too few to judge single endpoints, as
  /// a jam seldom concerns one endpoint alone.
  EstimatedTime fleetTime() const {
    return baselineTime_ + (1 - collaborators_.sample.evidence()) * (recentFleetTime() - baselineTime_);
  }
  /// Takes in the time to a first token that came.
  void observe(Endpoint& endpoint, EstimatedTime time) {
    const EstimatedTime before = recentTime(endpoint);
    endpoint.firstToken.time_ = before + kSampleWeight * (time - before);
    endpoint.firstToken.observedAt_ = collaborators_.context.now();
    observeFleet(time);
    const EstimatedTime sample = std::min(time, PrefillCostModel::kMaxDeviation * baselineTime_);
    baselineTime_ += (time < baselineTime_ ? kFallWeight : kRiseWeight) * (sample - baselineTime_);
  }
  /// Takes in a time of the fleet, or a bound of it from below.
  void observeFleet(EstimatedTime time) {
    const EstimatedTime before = recentFleetTime();
    fleetTime_ = before + kSampleWeight * (time - before);
    fleetObservedAt_ = collaborators_.context.now();
  }

  /// Usual time from the first to the last token at endpoints of a role.
  EstimatedTime streamTime(Role role) const { return streamTimes_[roleIndex(role)]; }
  /// Takes in the time from the first to the last token of an answer.
  void observeStream(Role role, EstimatedTime time) {
    EstimatedTime& usual = streamTimes_[roleIndex(role)];
    usual += kStreamWeight * (time - usual);
  }

 private:
  static constexpr double kInitialShare = 0.1;  // of the smallest objective
  // The baseline rises slowly and falls fast, to leave jams out.
  static constexpr double kRiseWeight = 0.01;
  static constexpr double kFallWeight = 0.1;
  static constexpr double kSampleWeight = 0.4;
  static constexpr double kLifetime = 2;  // of an observation: smallest objectives
  static constexpr double kStreamWeight = 0.1;

  EstimatedTime recentTime(const Endpoint& endpoint) const {
    return fade(endpoint.firstToken.time_, endpoint.firstToken.observedAt_, fleetTime());
  }
  EstimatedTime recentFleetTime() const { return fade(fleetTime_, fleetObservedAt_, baselineTime_); }
  EstimatedTime fade(EstimatedTime value, Micros observedAt, EstimatedTime rest) const {
    return rest +
           (value - rest) * collaborators_.context.freshness(observedAt, kLifetime * smallestObjective_);
  }

  Collaborators collaborators_;
  EstimatedTime smallestObjective_;
  EstimatedTime baselineTime_;
  EstimatedTime fleetTime_ = EstimatedTime::zero();
  Micros fleetObservedAt_ = 0;
  std::array<EstimatedTime, kRoleCount> streamTimes_;
};

}  // namespace garnethook::policy
