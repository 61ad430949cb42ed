/// @file
/// Which requests endpoints of the combined role execute whole.
#pragma once

#include "policy/decision_context.h"
#include "policy/endpoint_registry.h"
#include "policy/first_token_estimator.h"
#include "policy/prefill_estimator.h"
#include "policy/prefill_selector.h"
#include "policy/queue_estimator.h"

namespace garnethook::policy {

/// Gives combined endpoints their share of the requests: the part of all KV cache capacity that is theirs,
/// over how long answers stream lately at either role. This guards against streams that are slowed by
/// prefills between them; answers that are longer at one role look slow.
class CombinedShare {
 public:
  /// What the share is drawn by.
  struct Collaborators {
    DecisionContext& context;                ///< Random numbers.
    const EndpointRegistry& registry;        ///< Endpoints.
    const FirstTokenEstimator& firstTokens;  ///< How long answers stream.
    const PrefillSelector& selector;         ///< Which endpoint would take the request.
    const PrefillEstimator& prefills;        ///< What its prefill costs there.
    const QueueEstimator& queues;            ///< What a mean prefill costs.
  };
  /// The collaborators must outlive the share.
  explicit CombinedShare(const Collaborators& collaborators) : collaborators_(collaborators) {}

  /// Whether a request that was not sent yet should go to a combined endpoint. Only prompts up to about the
  /// mean prefill do. Draws a random number where there are such endpoints.
  bool shouldExecute(const TrackedRequest& request) const;

 private:
  static constexpr double kMaxPrefill = 1.25;  // of the mean prefill

  double capacityOf(Role role) const;

  Collaborators collaborators_;
};

}  // namespace garnethook::policy
