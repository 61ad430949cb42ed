/// @file
/// State of a request and of its attempts. The types here hold data and make no decisions.
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

/// The work that an endpoint does in an attempt.
enum class Phase {
  prefill,  ///< Computes the KV state of the prompt.
  decode,   ///< Generates the answer from a KV state that a prefill endpoint holds.
  combined  ///< Does both.
};

/// An attempt that was sent and has not ended yet.
struct InFlightAttempt {
  int number = 0;                                     ///< Index among the request's attempts, from 0.
  EndpointId endpoint;                                ///< Endpoint that it was sent to.
  Phase phase = Phase::prefill;                       ///< Phase to execute.
  Micros sentAt = 0;                                  ///< Time of the send.
  EstimatedTime prefillTime = EstimatedTime::zero();  ///< Predicted prefill duration without queueing.
  /// Predicted time to the first response, including queueing.
  EstimatedTime predictedTime = EstimatedTime::zero();
  /// Queueing delay at the send, derived from load reports only.
  EstimatedTime reportedDelay = EstimatedTime::zero();
  double expectedCachedTokens = 0;  ///< Prompt tokens that the prefix cache index listed as cached.
  double kvTokens = 0;              ///< KV cache tokens that it occupies at a decode endpoint.
  Micros timeout = 0;               ///< Longest time without a response; 0: until the deadline.
  bool started = false;             ///< Whether the first token has arrived.
  Micros startedAt = 0;             ///< Time of the first token.
  double size = 0;                  ///< Tokens to prefill, or KV cache tokens to occupy.
  /// Sum, over the attempts of the same phase that were sent to the same endpoint later and got a response
  /// earlier, of their size relative to this attempt's size, each at most 1.
  double overtakenRatio = 0;
};

/// Attempts at one endpoint that are awaiting a response, sorted by request identifier. Stored contiguously,
/// because iteration is far more frequent than modification.
class AwaitingAttempts {
 public:
  /// A request identifier and the request's attempt.
  using Item = std::pair<RequestId, InFlightAttempt>;
  /// Iterator to the first attempt.
  auto begin() const { return items_.begin(); }
  /// Iterator past the last attempt.
  auto end() const { return items_.end(); }
  /// Whether no attempt awaits a response.
  bool empty() const { return items_.empty(); }
  /// Returns the attempt of a request, or nullptr.
  const InFlightAttempt* find(RequestId id) const {
    const auto position = std::lower_bound(items_.begin(), items_.end(), id, isBefore);
    return position != items_.end() && position->first == id ? &position->second : nullptr;
  }
  /// Adds or replaces the attempt of a request.
  void set(RequestId id, const InFlightAttempt& attempt) {
    const auto position = std::lower_bound(items_.begin(), items_.end(), id, isBefore);
    if (position != items_.end() && position->first == id)
      position->second = attempt;
    else
      items_.insert(position, {id, attempt});
  }
  /// Records that `answered` got its response before the attempts that were sent earlier.
  void recordOvertaking(const InFlightAttempt& answered) {
    for (auto& [id, attempt] : items_)
      if (attempt.phase == answered.phase && attempt.sentAt < answered.sentAt)
        attempt.overtakenRatio += std::min(1.0, std::max(1.0, answered.size) / std::max(1.0, attempt.size));
  }
  /// Removes the attempt of a request, if any.
  void erase(RequestId id) {
    const auto position = std::lower_bound(items_.begin(), items_.end(), id, isBefore);
    if (position != items_.end() && position->first == id) items_.erase(position);
  }

 private:
  static bool isBefore(const Item& item, RequestId wanted) { return item.first < wanted; }
  std::vector<Item> items_;
};

/// A request from its arrival to the end of its last attempt.
struct TrackedRequest {
  RequestArrived arrival;                           ///< The arrival event, with the latest token counts.
  RequestClass requestClass;                        ///< Objectives and retry rules of its class.
  Micros objectiveAt = 0;                           ///< When the first token is due by the TTFT objective.
  Micros deadline = 0;                              ///< When the client gives up.
  int attempts = 0;                                 ///< Attempts sent so far ...
  int uncountedRejections = 0;                      ///< ... and those of them that do not count as such.
  std::optional<InFlightAttempt> attempt;           ///< The attempt in flight, if any.
  std::vector<EndpointId> affinityEndpoints;        ///< Endpoints that its prefix hashes to.
  std::optional<EndpointEntry> kvStateAt;           ///< Endpoint that holds its KV state, after a prefill.
  Micros kvStateSince = 0;                          ///< Start of the release timeout of that state.
  std::vector<EndpointId> failedEndpoints;          ///< Endpoints at which an attempt failed.
  std::vector<std::uint64_t> slowCells;             ///< Cells in which a decode attempt timed out.
  std::optional<EndpointEntry> possiblyExecutedAt;  ///< Endpoint where it was possibly executed ...
  Micros possiblyExecutedSince = 0;                 ///< ... and the time of that send.
  /// Predicted time minus the time that admission allows; negative: in time.
  EstimatedTime excessTime = EstimatedTime::zero();
  bool ended = false;      ///< The final response was given.
  bool cancelled = false;  ///< The client cancelled it.

  /// Whether an attempt failed at the endpoint.
  bool hasFailedAt(EndpointId id) const {
    return std::find(failedEndpoints.begin(), failedEndpoints.end(), id) != failedEndpoints.end();
  }
  /// Whether the endpoint is one of its affinity endpoints.
  bool hasAffinityTo(EndpointId id) const {
    return std::find(affinityEndpoints.begin(), affinityEndpoints.end(), id) != affinityEndpoints.end();
  }
  /// Token count of the prompt by the endpoint's tokeniser, estimated if that tokeniser's count is missing.
  double promptTokensAt(const EndpointEntry& endpoint) const {
    const PromptCount* ownCount = countFor(endpoint);
    return ownCount != nullptr ? ownCount->promptTokens : arrival.promptTokens * endpoint.promptFactor;
  }
  /// Token count of the shared prefix by the endpoint's tokeniser, estimated if that tokeniser's count is
  /// missing.
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
