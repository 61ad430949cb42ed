/// @file
/// Estimates the occupancy of the endpoints' KV caches.
#pragma once

#include <algorithm>

#include "policy/decision_context.h"
#include "policy/endpoint_registry.h"
#include "policy/traffic_sample.h"

namespace garnethook::policy {

/// Estimates the share of its KV cache that an endpoint has in use.
class KvMemoryEstimator {
 public:
  /// `context` provides the current time, `sample` the extrapolation to the other routers.
  KvMemoryEstimator(const DecisionContext& context, const EndpointRegistry& registry,
                    const TrafficSample& sample)
      : context_(context), registry_(registry), sample_(sample) {}

  /// KV cache tokens that a request occupies at an endpoint when its answer is complete.
  static double tokensNeeded(const TrackedRequest& request, const Endpoint& endpoint) {
    const RequestArrived& arrival = request.arrival;
    const EstimatedTime perToken =
        std::max(EstimatedTime(1), toEstimate(request.requestClass.timePerOutputTokenObjective));
    const double output = arrival.expectedOutput > 0 ? toEstimate(arrival.expectedOutput) / perToken
                                                     : kDefaultOutputShare * arrival.maxOutput;
    return request.promptTokensAt(endpoint.entry) + output;
  }

  /// Returns the share in use after `additionalTokens` are added. The estimate starts from the endpoint's
  /// last report, is updated by this router's attempts sent and ended since, and decays to the fleet's mean
  /// as the report ages. Without a report, this router's streams are extrapolated to the other routers as far
  /// as TrafficSample supports it.
  double occupancy(const Endpoint& endpoint, double additionalTokens) const {
    const KvMemoryRecord& record = endpoint.kvMemory;
    const double capacity = endpoint.memoryTokens > 0 ? endpoint.memoryTokens : kDefaultCapacityTokens;
    if (record.reportedAt_ == 0 || !record.reportedShare_)
      return meanShare_ +
             (record.inFlightTokens_ * sample_.routersRepresented() + additionalTokens) / capacity;
    const double othersAtReport = *record.reportedShare_ - record.inFlightTokensAtReport_ / capacity;
    return meanShare_ +
           (othersAtReport - meanShare_) * context_.freshness(record.reportedAt_, kReportLifetime) +
           (record.inFlightTokens_ + additionalTokens) / capacity;
  }

  /// Records a load report of an endpoint.
  void observeReport(Endpoint& endpoint, const LoadReport& report) const {
    endpoint.kvMemory.reportedShare_ = report.memoryShare;
    endpoint.kvMemory.reportedAt_ = context_.now();
    endpoint.kvMemory.inFlightTokensAtReport_ = endpoint.kvMemory.inFlightTokens_;
  }
  /// Adds the tokens of an attempt that was sent.
  static void add(Endpoint& endpoint, double tokens) { endpoint.kvMemory.inFlightTokens_ += tokens; }
  /// Subtracts the tokens of an attempt that ended.
  static void remove(Endpoint& endpoint, double tokens) {
    endpoint.kvMemory.inFlightTokens_ = std::max(0.0, endpoint.kvMemory.inFlightTokens_ - tokens);
  }
  /// Discards the report of an endpoint that restarted.
  static void reset(Endpoint& endpoint) {
    endpoint.kvMemory.reportedShare_.reset();
    endpoint.kvMemory.reportedAt_ = 0;
  }

  /// Recomputes the fleet's mean. The weight of a report decays with its age even if there is no other
  /// report: otherwise a single report of a full endpoint would represent the fleet indefinitely, and the
  /// router would reject all requests.
  void update() {
    double weightedShare = 0;
    double totalWeight = 0;
    for (const auto& [id, endpoint] : registry_.contacted()) {
      if (!endpoint->isListed || endpoint->role == Role::prefill) continue;
      const KvMemoryRecord& record = endpoint->kvMemory;
      const double reportWeight =
          record.reportedShare_ ? context_.freshness(record.reportedAt_, kReportLifetime) : 0;
      weightedShare += reportWeight * record.reportedShare_.value_or(0);
      totalWeight += reportWeight;
    }
    meanShare_ = weightedShare / std::max(kMinReportWeight, totalWeight);
  }

 private:
  static constexpr EstimatedTime kReportLifetime = std::chrono::seconds(4);
  static constexpr double kMinReportWeight = 1;          // least total report weight to represent the fleet
  static constexpr double kDefaultOutputShare = 0.5;     // of the maximum output, if no length is expected
  static constexpr double kDefaultCapacityTokens = 1e5;  // for kinds of unknown capacity

  const DecisionContext& context_;
  const EndpointRegistry& registry_;
  const TrafficSample& sample_;
  double meanShare_ = 0;
};

}  // namespace garnethook::policy
