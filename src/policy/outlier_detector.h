/// @file
/// Passive and active health checking of endpoints: ejection, half-open trials, unresponsive endpoints and
/// zone outages.
#pragma once

#include <cstddef>
#include <map>
#include <set>

#include "policy/attempt_timeouts.h"
#include "policy/decision_context.h"
#include "policy/endpoint_registry.h"

namespace garnethook::policy {

/// Reasons for which the failure score of an endpoint is increased.
enum class FailureReason {
  connectionFailed,  ///< No connection could be established.
  connectionReset,   ///< A new connection was reset.
  error,             ///< The endpoint responded with an error.
  noResponse,        ///< An attempt timed out without any activity of the endpoint since its send.
  healthCheckFailed  ///< A probe failed.
};

/// Decides which endpoints may receive requests.
///
/// Failures add to a score that decays over time; an endpoint whose score reaches 1 is ejected. After a delay
/// that grows with each failed trial, the endpoint is half-open: it is probed, if probes are allowed, and
/// then receives one idempotent request at a time. Any response reinstates it.
class OutlierDetector {
 public:
  /// Dependencies of the detector.
  struct Collaborators {
    DecisionContext& context;         ///< Provides the time and random numbers, and receives actions.
    EndpointRegistry& registry;       ///< Provides the endpoints.
    const TrackedRequests& requests;  ///< Open requests, each with at most one attempt in flight.
    const AttemptTimeouts& timeouts;  ///< Provides the usual timeouts.
    const Settings& settings;         ///< Zones, and whether probes are allowed.
  };
  /// Treats all endpoints as healthy until a failure is recorded.
  explicit OutlierDetector(const Collaborators& collaborators) : collaborators_(collaborators) {}

  /// Whether the request may be sent to the endpoint: the endpoint is healthy, or ejected and due for a trial
  /// with this request.
  bool isTrusted(const Endpoint& endpoint, const TrackedRequest& request) const {
    if (endpoint.health.ejected_) return isTrialAllowed(endpoint, request);
    return !isUnresponsive(endpoint) && !(endpoint.entry.zone && hasOutage(*endpoint.entry.zone));
  }
  /// Whether the endpoint showed any activity after time `at`.
  static bool wasActiveAfter(const Endpoint& endpoint, Micros at) {
    return endpoint.health.lastActivityAt_ > at;
  }

  /// Records a failure and ejects the endpoint if its score reaches the limit.
  void recordFailure(EndpointId id, FailureReason reason);
  /// Records a response to an attempt and reinstates the endpoint.
  void recordResponse(Endpoint& endpoint, RequestId request);
  /// Records activity that does not reinstate the endpoint.
  void recordActivity(Endpoint& endpoint) const {
    endpoint.health.lastActivityAt_ = collaborators_.context.now();
  }
  /// Records the send of an attempt; at an ejected endpoint the attempt is a trial.
  void recordSend(Endpoint& endpoint, RequestId request);
  /// Records the end of an attempt.
  void recordEnd(Endpoint& endpoint, RequestId request);
  /// Records the result of a probe.
  void recordProbe(EndpointId id, Endpoint& endpoint, bool ok);
  /// Clears an endpoint's failures and ends its ejection.
  void reinstate(Endpoint& endpoint);

  /// Probes ejected endpoints whose trial delay has passed, if probes are allowed.
  void sendProbes();
  /// Erases endpoints that the registry has removed.
  void eraseRemoved();
  /// Clears the cached outage results. Must be called after any change that affects outage detection.
  void invalidateOutages() const { outages_.clear(); }

 private:
  static constexpr double kScoreToEject = 1;
  static constexpr EstimatedTime kScoreLifetime = std::chrono::seconds(5);
  static constexpr Micros kMinTrialDelay = kSecond / 2;
  static constexpr Micros kMaxTrialDelay = 4 * kSecond;
  static constexpr double kTrialDelayJitter = 0.2;
  // A zone has an outage if at least this share of its endpoints and at least this number of them are
  // failing.
  static constexpr double kMinOutageShare = 0.6;
  static constexpr int kMinOutageEndpoints = 2;

  bool isTrialAllowed(const Endpoint& endpoint, const TrackedRequest& request) const;
  // Whether the endpoint has shown no activity since an attempt was sent, for kSilenceShare of its usual
  // timeout. Detects endpoints that accept requests without responding before the first attempt times out.
  bool isUnresponsive(const Endpoint& endpoint) const;
  // Whether a zone is unreachable. Many failing endpoints in one zone indicate a network outage, not
  // individual failures; the zone then receives only single trials. The router's own zone is never treated as
  // having an outage.
  bool hasOutage(std::size_t zone) const;
  bool detectOutage(std::size_t zone) const;
  bool needsProbe(const Endpoint& endpoint) const;
  void log(EndpointId id, const char* change, const char* reason);

  Collaborators collaborators_;
  std::set<EndpointId> ejected_;                 // may include endpoints that are no longer listed
  mutable std::map<std::size_t, bool> outages_;  // cached result by zone, until the next invalidation
};

}  // namespace garnethook::policy
