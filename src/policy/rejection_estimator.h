/// @file
/// Time that is lost to rejections at an endpoint before it takes a request.
#pragma once

#include <algorithm>

#include "policy/decision_context.h"
#include "policy/endpoint.h"

namespace garnethook::policy {

/// Guards against endpoints that reject slowly and show no load; where rejections are quick they cost next to
/// nothing.
class RejectionEstimator {
 public:
  /// Takes the time from `context`.
  explicit RejectionEstimator(const DecisionContext& context) : context_(context) {}

  /// Expected time until a request is taken there, by the latest rejections.
  EstimatedTime expectedTime(const Endpoint& endpoint) const {
    const double share = recentShare(endpoint);
    return endpoint.rejections.time_ * share / std::max(kMinAcceptanceShare, 1 - share);
  }
  /// Whether the endpoint is left alone for a moment after a rejection.
  bool isBackingOff(const Endpoint& endpoint) const {
    return context_.now() < endpoint.rejections.backOffUntil_;
  }

  /// Takes in a rejection; the endpoint is then left alone for `backOff`.
  void recordRejection(Endpoint& endpoint, const InFlightAttempt& attempt, EstimatedTime backOff) const {
    learn(endpoint, 1);
    RejectionRecord& record = endpoint.rejections;
    const EstimatedTime elapsed = context_.elapsedSince(attempt.sentAt);
    record.time_ +=
        record.time_ == EstimatedTime::zero() ? elapsed : kSampleWeight * (elapsed - record.time_);
    record.backOffUntil_ = context_.now() + toMicros(backOff);
  }
  /// Takes in an attempt that was accepted.
  void recordAcceptance(Endpoint& endpoint) const {
    if (endpoint.rejections.rejectedShare_ != 0) learn(endpoint, 0);
  }

 private:
  static constexpr double kSampleWeight = 0.2;
  static constexpr EstimatedTime kLifetime = std::chrono::seconds(4);
  static constexpr double kMinAcceptanceShare =
      0.1;  // least share of attempts that are thought to be accepted

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
