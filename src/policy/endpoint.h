/// @file
/// State of one endpoint. Each module of the policy keeps its part in a separate type whose fields are
/// accessible to that module only.
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
  Micros trialDelay_ = 0;  // 0: kMinTrialDelay
  Micros lastActivityAt_ = 0;
};

/// Response time of an endpoint relative to the prediction; written by SpeedEstimator.
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

/// Estimated time to first token of a decode endpoint; written by FirstTokenEstimator.
class FirstTokenRecord {
  friend class FirstTokenEstimator;
  EstimatedTime time_ = EstimatedTime::zero();
  Micros observedAt_ = 0;
};

/// KV cache occupancy of an endpoint; written by KvMemoryEstimator.
class KvMemoryRecord {
 public:
  /// KV cache tokens of this router's attempts in flight at the endpoint.
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
  EstimatedTime rejectionTime_ = EstimatedTime::zero();
  Micros observedAt_ = 0;
  Micros backOffUntil_ = 0;
};

/// Validity of the prefix cache index entries of an endpoint; written by PrefixCacheIndex.
class PrefixCacheRecord {
  friend class PrefixCacheIndex;
  Micros validFrom_ = 0;
  int consecutiveMisses_ = 0;
};

/// Load and slow-start budget of an endpoint; written by SlowStart.
class SlowStartRecord {
  friend class SlowStart;
  std::deque<Micros> sends_;
  std::deque<std::pair<Micros, double>> completed_;  // time and load
  std::deque<Micros> tokens_;                        // grant times
  double partialToken_ = 0;
  Micros tokensGrantedForStartAt_ = 0;  // start time of the endpoint that the tokens belong to
};

/// An endpoint as seen by this router.
struct Endpoint {
  EndpointEntry entry;         ///< Latest entry in the endpoint list.
  Role role = Role::combined;  ///< Role of the endpoint's kind.
  double memoryTokens = 0;     ///< KV cache capacity of the endpoint's kind in tokens; 0: unknown.
  bool isListed = false;       ///< Whether the endpoint list has it as running.
  double hashWeight = 1;       ///< Weight in rendezvous hashing; written by AffinityHashing.
  AwaitingAttempts
      awaitingResponse;         ///< This router's attempts without a response; written by AttemptTracker.
  HealthRecord health;          ///< State of OutlierDetector.
  SpeedRecord speed;            ///< State of SpeedEstimator.
  QueueRecord queue;            ///< State of QueueEstimator.
  FirstTokenRecord firstToken;  ///< State of FirstTokenEstimator.
  KvMemoryRecord kvMemory;      ///< State of KvMemoryEstimator.
  RejectionRecord rejections;   ///< State of RejectionEstimator.
  PrefixCacheRecord prefixes;   ///< State of PrefixCacheIndex.
  SlowStartRecord slowStart;    ///< State of SlowStart.

  /// Whether this router has an attempt in flight at the endpoint.
  bool isInUse() const { return !awaitingResponse.empty() || kvMemory.inFlightTokens() > 0; }
};

}  // namespace garnethook::policy
