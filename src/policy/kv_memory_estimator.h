/// @file
/// Occupancy of the endpoints' KV caches.
#pragma once

#include <algorithm>

#include "policy/decision_context.h"
#include "policy/endpoint_registry.h"
#include "policy/traffic_sample.h"

namespace garnethook::policy {

/// Estimates which share of its KV cache an endpoint has in use.
class KvMemoryEstimator {
 public:
  /// Takes the time from `context`, and the weight of own streams from `sample`.
  KvMemoryEstimator(const DecisionContext& context, const EndpointRegistry& registry,
                    const TrafficSample& sample)
      : context_(context), registry_(registry), sample_(sample) {}

  /// KV cache tokens that a request takes at an endpoint until its answer is complete.
  static double tokensNeeded(const TrackedRequest& request, const Endpoint& endpoint) {
    const RequestArrived& arrival = request.arrival;
    const EstimatedTime perToken =
        std::max(EstimatedTime(1), toEstimate(request.requestClass.timePerOutputTokenObjective));
    const double output = arrival.expectedOutput > 0 ? toEstimate(arrival.expectedOutput) / perToken
                                                     : kDefaultOutputShare * arrival.maxOutput;
    return request.promptTokensAt(endpoint.entry) + output;
  }

  /// Share in use once `additionalTokens` are added: by the endpoint's report, moved on by what was sent and
  /// ended since, and fading to the fleet's mean; without a report, own streams stand for other routers' as
  /// far as TrafficSample allows.
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

  /// Takes in an endpoint's report.
  void observeReport(Endpoint& endpoint, const LoadReport& report) const {
    endpoint.kvMemory.reportedShare_ = report.memoryShare;
    endpoint.kvMemory.reportedAt_ = context_.now();
    endpoint.kvMemory.inFlightTokensAtReport_ = endpoint.kvMemory.inFlightTokens_;
  }
  /// Counts the tokens of an attempt that was sent.
  static void add(Endpoint& endpoint, double tokens) { endpoint.kvMemory.inFlightTokens_ += tokens; }
  /// Takes off the tokens of an attempt that has ended.
  static void remove(Endpoint& endpoint, double tokens) {
    endpoint.kvMemory.inFlightTokens_ = std::max(0.0, endpoint.kvMemory.inFlightTokens_ - tokens);
  }
  /// Forgets the report of an endpoint that restarted.
  static void reset(Endpoint& endpoint) {
    endpoint.kvMemory.reportedShare_.reset();
    endpoint.kvMemory.reportedAt_ = 0;
  }

  /// Measures the fleet's mean anew. Old reports count less and less, also where there is no other: otherwise
  /// one of a full endpoint would stand for the fleet for good, and the router reject all that it gets.
  void update() {
    double share = 0;
    double weight = 0;
    for (const auto& [id, endpoint] : registry_.contacted()) {
      if (!endpoint->isListed || endpoint->role == Role::prefill) continue;
      const KvMemoryRecord& record = endpoint->kvMemory;
      const double fresh =
          record.reportedShare_ ? context_.freshness(record.reportedAt_, kReportLifetime) : 0;
      share += fresh * record.reportedShare_.value_or(0);
      weight += fresh;
    }
    meanShare_ = share / std::max(kMinReportWeight, weight);
  }

 private:
  static constexpr EstimatedTime kReportLifetime = std::chrono::seconds(4);
  static constexpr double kMinReportWeight = 1;          // fresh reports that may stand for the whole fleet
  static constexpr double kDefaultOutputShare = 0.5;     // of the maximum output, where no length is expected
  static constexpr double kDefaultCapacityTokens = 1e5;  // tokens

  const DecisionContext& context_;
  const EndpointRegistry& registry_;
  const TrafficSample& sample_;
  double meanShare_ = 0;
};

}  // namespace garnethook::policy
