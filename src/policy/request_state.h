/// @file
/// What the policy knows of a request and of its attempts: plain values without decisions.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "policy/estimated_time.h"
#include "policy/events.h"
#include "policy/settings.h"

namespace garnethook::policy {

/// What an endpoint does for an attempt.
enum class Phase {
  prefill,  ///< Compute the KV state of the prompt.
  decode,   ///< Answer from a KV state that a prefill endpoint holds.
  combined  ///< Do both.
};

/// An attempt that was sent and has not ended.
struct InFlightAttempt {
  int number = 0;                                     ///< Number among the request's attempts, from 0.
  EndpointId endpoint;                                ///< Where it was sent.
  Phase phase = Phase::prefill;                       ///< What it was sent for.
  Micros sentAt = 0;                                  ///< When it was sent.
  EstimatedTime prefillTime = EstimatedTime::zero();  ///< Predicted time of the prefill alone.
  EstimatedTime predictedTime =
      EstimatedTime::zero();  ///< Predicted time to its first response, queueing included.
  EstimatedTime reportedDelay =
      EstimatedTime::zero();        ///< Queueing delay there by reports alone when it was sent.
  double expectedCachedTokens = 0;  ///< Tokens that the prefix cache index listed as cached there.
  double kvTokens = 0;              ///< KV cache tokens that it takes at a decode endpoint.
  Micros timeout = 0;               ///< How long silence is accepted; 0: until the deadline.
  bool started = false;             ///< The first token has come.
  Micros startedAt = 0;             ///< When it came.
  double size = 0;                  ///< Tokens to be prefilled, or KV cache tokens to be taken.
  /// Summed size, relative to its own, of attempts of its phase that were sent there later and answered
  /// first.
  double overtakenRatio = 0;
};

/// Attempts at one endpoint that have had no response yet, in order of request identifiers. They are walked
/// far more often than they change, so they lie in one array.
class AwaitingAttempts {
 public:
  /// A request and its attempt.
  using Item = std::pair<RequestId, InFlightAttempt>;
  /// The first attempt.
  auto begin() const { return items_.begin(); }
  /// Behind the last attempt.
  auto end() const { return items_.end(); }
  /// Whether there is none.
  bool empty() const { return items_.empty(); }
  /// The attempt of a request, or nullptr.
  const InFlightAttempt* find(RequestId id) const {
    const auto at = std::lower_bound(items_.begin(), items_.end(), id, isBefore);
    return at != items_.end() && at->first == id ? &at->second : nullptr;
  }
  /// Adds the attempt of a request, or replaces it.
  void set(RequestId id, const InFlightAttempt& attempt) {
    const auto at = std::lower_bound(items_.begin(), items_.end(), id, isBefore);
    if (at != items_.end() && at->first == id)
      at->second = attempt;
    else
      items_.insert(at, {id, attempt});
  }
  /// Notes that `answered` had its response before attempts that were sent earlier.
  void recordOvertaking(const InFlightAttempt& answered) {
    for (auto& [id, attempt] : items_)
      if (attempt.phase == answered.phase && attempt.sentAt < answered.sentAt)
        attempt.overtakenRatio += std::min(1.0, std::max(1.0, answered.size) / std::max(1.0, attempt.size));
  }
  /// Removes the attempt of a request, if there is one.
  void erase(RequestId id) {
    const auto at = std::lower_bound(items_.begin(), items_.end(), id, isBefore);
    if (at != items_.end() && at->first == id) items_.erase(at);
  }

 private:
  static bool isBefore(const Item& item, RequestId wanted) { return item.first < wanted; }
  std::vector<Item> items_;
};

/// A request from its arrival to the end of its last attempt.
struct TrackedRequest {
  RequestArrived arrival;                     ///< As it arrived, with the latest counts.
  RequestClass requestClass;                  ///< Objectives and rules of its class.
  Micros objectiveAt = 0;                     ///< When its first token is due by the objective.
  Micros deadline = 0;                        ///< When its client gives up.
  int attempts = 0;                           ///< Attempts sent so far.
  std::optional<InFlightAttempt> attempt;     ///< The attempt in flight, if any.
  std::vector<EndpointId> affinityEndpoints;  ///< Where its prefix is hashed to.
  std::optional<EndpointEntry> kvStateAt;     ///< Where its KV state is, after a prefill.
  Micros kvStateSince = 0;                    ///< Since when the release timeout of that state runs.
  std::vector<EndpointId> failedEndpoints;    ///< Endpoints at which an attempt failed.
  std::vector<std::uint64_t> slowCells;       ///< Cells where a decode endpoint gave no first token in time.
  std::optional<EndpointEntry> possiblyExecutedAt;  ///< Where it was possibly executed ...
  Micros possiblyExecutedSince = 0;                 ///< ... and when it was first sent there.
  EstimatedTime excessTime =
      EstimatedTime::zero();  ///< Predicted time over what admission allows; below 0: in time.
  bool ended = false;         ///< It has its final answer.
  bool cancelled = false;     ///< Its client cancelled it.

  /// Whether an attempt failed at that endpoint.
  bool hasFailedAt(EndpointId id) const {
    return std::find(failedEndpoints.begin(), failedEndpoints.end(), id) != failedEndpoints.end();
  }
  /// Whether its prefix is hashed to that endpoint.
  bool hasAffinityTo(EndpointId id) const {
    return std::find(affinityEndpoints.begin(), affinityEndpoints.end(), id) != affinityEndpoints.end();
  }
  /// Tokens of the prompt as that endpoint counts them.
  double promptTokensAt(const EndpointEntry& endpoint) const {
    const PromptCount* ownCount = countFor(endpoint);
    return ownCount != nullptr ? ownCount->promptTokens : arrival.promptTokens * endpoint.promptFactor;
  }
  /// Tokens of the shared prefix as that endpoint counts them.
  double sharedPrefixTokensAt(const EndpointEntry& endpoint) const {
    const PromptCount* ownCount = countFor(endpoint);
    return ownCount != nullptr ? ownCount->sharedPrefixTokens
                               : arrival.sharedPrefixTokens * endpoint.promptFactor;
  }

 private:
  const PromptCount* countFor(const EndpointEntry& endpoint) const {
    for (const PromptCount& count : arrival.counts)
      if (count.tokeniser == endpoint.tokeniser) return &count;
    return nullptr;
  }
};

/// All requests that have not ended, by identifier.
using TrackedRequests = std::map<RequestId, TrackedRequest>;

}  // namespace garnethook::policy
