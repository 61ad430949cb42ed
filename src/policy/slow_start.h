/// @file
/// Send budgets of endpoints that are warming up after a start.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <utility>

#include "policy/decision_context.h"
#include "policy/endpoint_registry.h"

namespace garnethook::policy {

/// Limits the load sent to an endpoint that was started recently.
///
/// The budget of such an endpoint in any overload window is the overload multiple of its minimum capacity.
/// Half of each window's budget is granted as tokens. A send uses one token, and a token is valid for one
/// window. Since an unused token may still be used in the following window, only half is granted: no window
/// then exceeds the budget. Each router grants itself tokens at an even rate, starting at a phase that
/// differs between routers, so that the sends of all routers together are evenly spaced. This prevents a
/// hundred routers from sending to an empty endpoint at the same time. Tokens of idle routers expire.
class SlowStart {
 public:
  /// `routerKey`: hash key of this router; determines the grant phase if the router's index is unknown.
  SlowStart(const DecisionContext& context, EndpointRegistry& registry, const Settings& settings,
            PrefixKey routerKey)
      : context_(context), registry_(registry), settings_(settings), routerKey_(routerKey) {}

  /// Whether an endpoint started within the warm-up duration.
  bool isWarmingUp(const Endpoint& endpoint) const {
    return endpoint.entry.startedAt > 0 &&
           context_.now() - endpoint.entry.startedAt < settings_.warmUpDuration;
  }
  /// Whether a request may be sent to the endpoint now; always true for an endpoint that is not warming up.
  bool hasBudget(const Endpoint& endpoint) const {
    return !isWarmingUp(endpoint) || settings_.overloadMultiple <= 0 || settings_.overloadWindow <= 0 ||
           hasUnusedToken(endpoint);
  }

  /// Records the arrival of a request.
  void recordArrival(const TrackedRequest& request);
  /// Records the send of an attempt.
  void recordSend(Endpoint& endpoint) const { endpoint.slowStart.sends_.push_back(context_.now()); }
  /// Records the completion of an attempt.
  void recordCompletion(Endpoint& endpoint, const TrackedRequest& request) const {
    endpoint.slowStart.completed_.emplace_back(context_.now(), requestLoad(request));
  }
  /// Discards the tokens of an endpoint that restarted.
  static void reset(Endpoint& endpoint) { endpoint.slowStart.tokens_.clear(); }
  /// Updates the baseline load and grants tokens.
  void update();

 private:
  using LoadHistory = std::deque<std::pair<Micros, double>>;  // time and load

  static constexpr Micros kLoadHistoryDuration = 6 * kSecond;  // averaging period of the baseline load
  static constexpr double kGrantedBudgetShare = 0.5;           // granted per window
  static constexpr double kPromptSampleWeight = 0.05;  // of one request in the mean prompt of its class

  static double loadSince(const LoadHistory& history, Micros since);
  // Load of a request, defined as the mean prompt of its class in tokens.
  double requestLoad(const TrackedRequest& request) const;
  bool hasUnusedToken(const Endpoint& endpoint) const;
  void updateBaselineLoad();
  void grantTokens(Endpoint& endpoint, double elapsedWindows, double meanLoad) const;
  double grantPhase(EndpointId id) const;
  void eraseOldRecords() const;

  const DecisionContext& context_;
  EndpointRegistry& registry_;
  const Settings& settings_;
  PrefixKey routerKey_;
  std::map<std::size_t, double> meanPromptTokens_;  // tokens, by class
  LoadHistory arrivals_;                            // within kLoadHistoryDuration
  // Load of a warmed-up endpoint per window, by role; negative: unknown.
  std::array<double, kRoleCount> baselineLoad_{-1, -1, -1};
  Micros lastUpdateAt_ = 0;
};

}  // namespace garnethook::policy
