/// @file
/// Decides which requests are executed whole, prefill and decode, at a combined endpoint.
#pragma once

#include "policy/decision_context.h"
#include "policy/endpoint_registry.h"
#include "policy/first_token_estimator.h"
#include "policy/prefill_estimator.h"
#include "policy/prefill_selector.h"
#include "policy/queue_estimator.h"

namespace garnethook::policy {

/// Assigns combined endpoints their share of the requests. The share is their part of the fleet's KV cache
/// capacity, where the capacity of each role is divided by the recent stream time of its answers. This
/// prevents too many prefills from slowing the streams at combined endpoints. The drawback: a role that
/// receives longer answers is taken for slow.
class CombinedShare {
 public:
  /// Components that the decision uses.
  struct Collaborators {
    DecisionContext& context;                ///< Random numbers.
    const EndpointRegistry& registry;        ///< All known endpoints.
    const FirstTokenEstimator& firstTokens;  ///< Stream times of answers.
    const PrefillSelector& selector;         ///< Which endpoint would execute the request.
    const PrefillEstimator& prefills;        ///< The time of its prefill there.
    const QueueEstimator& queues;            ///< The time of a mean prefill.
  };
  /// The collaborators must outlive the share.
  explicit CombinedShare(const Collaborators& collaborators) : collaborators_(collaborators) {}

  /// Returns whether a request that has not been sent yet should go to a combined endpoint. Only prompts
  /// whose prefill is at most slightly longer than the mean do. Draws a random number if there are combined
  /// endpoints.
  bool shouldExecute(const TrackedRequest& request) const;

 private:
  static constexpr double kMaxPrefillRatio = 1.25;  // relative to the mean prefill time

  // KV cache tokens of the role's endpoints over the stream time of its answers.
  double decodeCapacity(Role role) const;

  Collaborators collaborators_;
};

}  // namespace garnethook::policy
