/// @file
/// The record of one endpoint. Each concern of the policy keeps its part of it in a type of its own, whose
/// fields only that concern can reach.
#pragma once

#include <deque>
#include <optional>
#include <utility>

#include "policy/estimated_time.h"
#include "policy/events.h"
#include "policy/request_state.h"
#include "policy/settings.h"

namespace garnethook::policy {

/// Failures and activity of an endpoint; written by OutlierDetector.
class HealthRecord {
  friend class OutlierDetector;
  double failureScore_ = 0;
  Micros failureScoreAt_ = 0;
  bool ejected_ = false;
  bool probeInFlight_ = false;
  bool probeSucceeded_ = false;
  std::optional<RequestId> trialRequest_;
  Micros nextTrialAt_ = 0;
  Micros trialDelay_ = 0;  // 0: the shortest
  Micros lastActivityAt_ = 0;
};

/// Speed of an endpoint relative to the prediction; written by SpeedEstimator.
class SpeedRecord {
  friend class SpeedEstimator;
  double factor_ = 1;
  Micros observedAt_ = 0;
};

/// Queueing delay of an endpoint; written by QueueEstimator.
class QueueRecord {
  friend class QueueEstimator;
  EstimatedTime delay_ = EstimatedTime::zero();
  Micros observedAt_ = 0;  // 0: never
  Micros prefillDoneAt_ = 0;
  bool reportsQueue_ = false;
};

/// Latest times to first token of a decode endpoint; written by FirstTokenEstimator.
class FirstTokenRecord {
  friend class FirstTokenEstimator;
  EstimatedTime time_ = EstimatedTime::zero();
  Micros observedAt_ = 0;
};

/// KV cache occupancy of an endpoint; written by KvMemoryEstimator.
class KvMemoryRecord {
 public:
  /// Tokens of attempts that this router has in flight there.
  double inFlightTokens() const { return inFlightTokens_; }

 private:
  friend class KvMemoryEstimator;
  std::optional<double> reportedShare_;
  Micros reportedAt_ = 0;
  double inFlightTokensAtReport_ = 0;
  double inFlightTokens_ = 0;
};

/// Rejections by an endpoint; written by RejectionEstimator.
class RejectionRecord {
  friend class RejectionEstimator;
  double rejectedShare_ = 0;  // as of observedAt_
  EstimatedTime time_ = EstimatedTime::zero();
  Micros observedAt_ = 0;
  Micros backOffUntil_ = 0;
};

/// How far the prefix cache index is believed of an endpoint; written by PrefixCacheIndex.
class PrefixCacheRecord {
  friend class PrefixCacheIndex;
  Micros validFrom_ = 0;
  int consecutiveMisses_ = 0;
};

/// Load and slow-start budget of an endpoint; written by SlowStart.
class SlowStartRecord {
  friend class SlowStart;
  std::deque<Micros> sends_;
  std::deque<std::pair<Micros, double>> completed_;  // when, and how much load it was
  std::deque<Micros> tokens_;                        // when each was granted
  double partialToken_ = 0;
  Micros tokensGrantedForStartAt_ = 0;  // the start that the tokens were granted for
};

/// Everything known of one endpoint.
struct Endpoint {
  EndpointEntry entry;                ///< Its latest entry of the endpoint list.
  Role role = Role::combined;         ///< Role of its kind.
  double memoryTokens = 0;            ///< KV cache capacity of its kind in tokens; 0: unknown.
  bool isListed = false;              ///< The list says that it takes requests.
  double hashWeight = 1;              ///< Weight in rendezvous hashing; written by AffinityHashing.
  AwaitingAttempts awaitingResponse;  ///< Own attempts there without a response; written by AttemptTracker.
  HealthRecord health;                ///< Of OutlierDetector.
  SpeedRecord speed;                  ///< Of SpeedEstimator.
  QueueRecord queue;                  ///< Of QueueEstimator.
  FirstTokenRecord firstToken;        ///< Of FirstTokenEstimator.
  KvMemoryRecord kvMemory;            ///< Of KvMemoryEstimator.
  RejectionRecord rejections;         ///< Of RejectionEstimator.
  PrefixCacheRecord prefixes;         ///< Of PrefixCacheIndex.
  SlowStartRecord slowStart;          ///< Of SlowStart.

  /// Whether this router still has something in flight there.
  bool isInUse() const { return !awaitingResponse.empty() || kvMemory.inFlightTokens() > 0; }
};

}  // namespace garnethook::policy
