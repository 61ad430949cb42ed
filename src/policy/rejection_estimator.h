/// @file
/// Estimates the time lost to rejections at an endpoint until it accepts a request.
#pragma once

#include <algorithm>

#include "policy/decision_context.h"
#include "policy/endpoint.h"

namespace garnethook::policy {

/// Adds the cost of rejections to the expected time at an endpoint. Prevents routing to endpoints that reject
/// slowly without reporting load; fast rejections have almost no cost.
class RejectionEstimator {
 public:
  /// `context` provides the current time.
  explicit RejectionEstimator(const DecisionContext& context) : context_(context) {}

  /// Expected time until the endpoint accepts a request, based on its recent rejections.
  EstimatedTime expectedTime(const Endpoint& endpoint) const {
    const double share = recentShare(endpoint);
    return endpoint.rejections.rejectionTime_ * share / std::max(kMinAcceptanceShare, 1 - share);
  }
  /// Whether the endpoint is in its back-off period after a rejection.
  bool isBackingOff(const Endpoint& endpoint) const {
    return context_.now() < endpoint.rejections.backOffUntil_;
  }

  /// Records a rejection and starts a back-off period of length `backOff`.
  void recordRejection(Endpoint& endpoint, const InFlightAttempt& attempt, EstimatedTime backOff) const {
    learn(endpoint, 1);
    RejectionRecord& record = endpoint.rejections;
    const EstimatedTime elapsed = context_.elapsedSince(attempt.sentAt);
    record.rejectionTime_ += record.rejectionTime_ == EstimatedTime::zero()
                                 ? elapsed
                                 : kSampleWeight * (elapsed - record.rejectionTime_);
    record.backOffUntil_ = context_.now() + toMicros(backOff);
  }
  /// Records an accepted attempt.
  void recordAcceptance(Endpoint& endpoint) const {
    if (endpoint.rejections.rejectedShare_ != 0) learn(endpoint, 0);
  }

 private:
  static constexpr double kSampleWeight = 0.2;
  static constexpr EstimatedTime kLifetime = std::chrono::seconds(4);
  // Lower bound of the estimated share of accepted attempts.
  static constexpr double kMinAcceptanceShare = 0.1;

  double recentShare(const Endpoint& endpoint) const {
    return endpoint.rejections.rejectedShare_ *
           context_.freshness(endpoint.rejections.observedAt_, kLifetime);
  }
  void learn(Endpoint& endpoint, double rejected) const {
    const double share = recentShare(endpoint);
    endpoint.rejections.rejectedShare_ = share + kSampleWeight * (rejected - share);
    endpoint.rejections.observedAt_ = context_.now();
  }

  const DecisionContext& context_;
};

}  // namespace garnethook::policy
