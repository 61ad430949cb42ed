/// @file
/// Health of endpoints by what their attempts and probes show: ejection, half-open trials, unresponsive
/// endpoints and zone outages.
#pragma once

#include <cstddef>
#include <map>
#include <set>

#include "policy/attempt_timeouts.h"
#include "policy/decision_context.h"
#include "policy/endpoint_registry.h"

namespace garnethook::policy {

/// Why an endpoint's failure score rises.
enum class FailureReason {
  connectionFailed,  ///< No connection could be made.
  connectionReset,   ///< A fresh connection broke.
  error,             ///< It answered with an error.
  noResponse,        ///< An attempt timed out and the endpoint gave no sign since its send.
  healthCheckFailed  ///< A probe failed.
};

/// Decides which endpoints are trusted with requests.
///
/// Failures add to a score that fades; an endpoint whose score reaches 1 is ejected. After a delay, that
/// grows with each failed trial, it is half-open: a probe where allowed, then one idempotent request at a
/// time. Any response reinstates it.
class OutlierDetector {
 public:
  /// What the detector works with.
  struct Collaborators {
    DecisionContext& context;         ///< The time, actions and random numbers.
    EndpointRegistry& registry;       ///< Endpoints.
    const TrackedRequests& requests;  ///< Requests, of which each may have an attempt in flight.
    const AttemptTimeouts& timeouts;  ///< Usual timeouts.
    const Settings& settings;         ///< Zones, and whether probes are allowed.
  };
  /// All endpoints are trusted at first.
  explicit OutlierDetector(const Collaborators& collaborators) : collaborators_(collaborators) {}

  /// Whether the request may be sent there.
  bool isTrusted(const Endpoint& endpoint, const TrackedRequest& request) const {
    if (endpoint.health.ejected_) return isTrialAllowed(endpoint, request);
    return !isUnresponsive(endpoint) && !(endpoint.entry.zone && hasOutage(*endpoint.entry.zone));
  }
  /// Whether the endpoint gave any sign after that time.
  static bool wasActiveAfter(const Endpoint& endpoint, Micros at) {
    return endpoint.health.lastActivityAt_ > at;
  }

  /// Takes in a failure.
  void recordFailure(EndpointId id, FailureReason reason);
  /// Takes in a response to an attempt: the endpoint is well.
  void recordResponse(Endpoint& endpoint, RequestId request);
  /// Takes in a sign of activity that does not reinstate the endpoint.
  void recordActivity(Endpoint& endpoint) const {
    endpoint.health.lastActivityAt_ = collaborators_.context.now();
  }
  /// Takes in an attempt that is sent; to an ejected endpoint it is a trial.
  void recordSend(Endpoint& endpoint, RequestId request);
  /// Takes in the end of an attempt.
  void recordEnd(Endpoint& endpoint, RequestId request);
  /// Takes in the result of a probe.
  void recordProbe(EndpointId id, Endpoint& endpoint, bool ok);
  /// Forgets an endpoint's failures.
  void reinstate(Endpoint& endpoint);

  /// Probes ejected endpoints whose delay is over, where that is allowed.
  void sendProbes();
  /// Forgets endpoints that the registry has removed.
  void eraseRemoved();
  /// To be called when something has changed that outages are judged by.
  void invalidateOutages() const { outages_.clear(); }

 private:
  static constexpr double kScoreToEject = 1;
  static constexpr EstimatedTime kScoreLifetime = std::chrono::seconds(5);
  static constexpr Micros kMinTrialDelay = kSecond / 2;
  static constexpr Micros kMaxTrialDelay = 4 * kSecond;
  static constexpr double kTrialDelayJitter = 0.2;
  // A zone has an outage when this share of its endpoints, and at least so many, fail.
  static constexpr double kMinOutageShare = 0.6;
  static constexpr int kMinOutageEndpoints = 2;

  bool isTrialAllowed(const Endpoint& endpoint, const TrackedRequest& request) const;
  // Nothing came since an attempt was sent, for a good part of its usual timeout. This guards against
  // endpoints that take requests and answer nothing, before the first timeout shows it.
  bool isUnresponsive(const Endpoint& endpoint) const;
  // Many failing endpoints in one zone are a network outage, not many failures: the zone is left alone but
  // for single trials. The own zone never counts.
  bool hasOutage(std::size_t zone) const;
  bool detectOutage(std::size_t zone) const;
  bool needsProbe(const Endpoint& endpoint) const;
  void log(EndpointId id, const char* change, const char* reason);

  Collaborators collaborators_;
  std::set<EndpointId> ejected_;                 // some may have left the list
  mutable std::map<std::size_t, bool> outages_;  // zones judged since anything that counts has changed
};

}  // namespace garnethook::policy
