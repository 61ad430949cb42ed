/// @file
/// Budgets of endpoints that warm up after a start.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <utility>

#include "policy/decision_context.h"
#include "policy/endpoint_registry.h"

namespace garnethook::policy {

/// Limits what is sent to an endpoint that started lately.
///
/// The budget of such an endpoint in any overload window is the allowed multiple of its least capacity. Half
/// of the budget of each window is granted as tokens, one send a token, a token good for one window: one that
/// is not used lasts into the next window, so no window sees more than the budget. Routers take turns: each
/// grants itself tokens evenly from a phase that differs by router, so that all of them together send evenly.
/// This guards against a hundred routers that each find an empty endpoint at once. Tokens of idle routers
/// lapse.
class SlowStart {
 public:
  /// `routerHashKey`: this router's own order of the endpoints.
  SlowStart(const DecisionContext& context, EndpointRegistry& registry, const Settings& settings,
            PrefixKey routerHashKey)
      : context_(context), registry_(registry), settings_(settings), routerHashKey_(routerHashKey) {}

  /// Whether an endpoint started within the warm-up duration.
  bool isWarmingUp(const Endpoint& endpoint) const {
    return endpoint.entry.startedAt > 0 &&
           context_.now() - endpoint.entry.startedAt < settings_.warmUpDuration;
  }
  /// Whether a request may be sent there now; true for every endpoint that does not warm up.
  bool hasBudget(const Endpoint& endpoint) const {
    return !isWarmingUp(endpoint) || settings_.overloadMultiple <= 0 || settings_.overloadWindow <= 0 ||
           hasUnusedToken(endpoint);
  }

  /// Takes in a request that arrived.
  void recordArrival(const TrackedRequest& request);
  /// Takes in an attempt that is sent.
  void recordSend(Endpoint& endpoint) const { endpoint.slowStart.sends_.push_back(context_.now()); }
  /// Takes in an attempt that completed.
  void recordCompletion(Endpoint& endpoint, const TrackedRequest& request) const {
    endpoint.slowStart.completed_.emplace_back(context_.now(), loadOf(request));
  }
  /// Forgets the tokens of an endpoint that restarted.
  static void reset(Endpoint& endpoint) { endpoint.slowStart.tokens_.clear(); }
  /// Measures the baseline load and grants tokens.
  void update();

 private:
  using Ledger = std::deque<std::pair<Micros, double>>;  // when, and how much load

  static constexpr Micros kLoadHorizon = 6 * kSecond;  // of the baseline load
  static constexpr double kBudgetGranted = 0.5;        // in each window
  static constexpr double kPromptWeight = 0.05;        // of one request in the mean of its class

  static double loadSince(const Ledger& ledger, Micros since);
  // Load of a request: the mean prompt of its class, in tokens.
  double loadOf(const TrackedRequest& request) const;
  bool hasUnusedToken(const Endpoint& endpoint) const;
  void measureBaseline();
  void grantTokens(Endpoint& endpoint, double windows, double meanLoad) const;
  double phaseOf(EndpointId id) const;
  void dropOldRecords() const;

  const DecisionContext& context_;
  EndpointRegistry& registry_;
  const Settings& settings_;
  PrefixKey routerHashKey_;
  std::map<std::size_t, double> meanPrompt_;             // by class
  Ledger arrivals_;                                      // within the horizon
  std::array<double, kRoles> baselineLoad_{-1, -1, -1};  // of a warm endpoint in a window; negative: unknown
  Micros updatedAt_ = 0;
};

}  // namespace garnethook::policy
