/// @file
/// Settings of the routing policy.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "policy/ids.h"

namespace garnethook {

/// Phases of a request that an endpoint executes.
enum class Role {
  prefill,  ///< Computes the KV cache of a prompt.
  decode,   ///< Generates the answer from a KV cache.
  combined  ///< Executes both phases on one engine.
};

/// Whether a request may be executed more than once.
enum class Idempotency {
  idempotent,         ///< May be executed any number of times.
  idempotentWithKey,  ///< May be repeated at endpoints that deduplicate it, see DeduplicationScope.
  nonIdempotent       ///< Must not be sent again once it was possibly executed.
};

/// Endpoints that deduplicate repeats of a request with an idempotency key.
enum class DeduplicationScope {
  fleet,  ///< All endpoints.
  zone,   ///< Endpoints in the zone of the first attempt.
  cell    ///< Endpoints in the cell of the first attempt.
};

/// How the endpoint list reaches the router.
enum class Discovery {
  push,  ///< Updates are delivered without a subscription.
  poll   ///< The policy emits Subscribe to receive updates.
};

/// Objectives and retry rules of one class of requests.
struct RequestClass {
  Micros ttftObjective = 0;                           ///< TTFT objective, measured from arrival ...
  Micros ttftObjectivePerKiloToken = 0;               ///< ... plus this time per 1,000 prompt tokens.
  Micros deadline = 0;                                ///< Time from arrival until the client gives up.
  Micros timePerOutputTokenObjective = 0;             ///< Objective of the mean time per output token.
  double priorityWeight = 1;                          ///< Relative value of an answer that is in time.
  double lateValueShare = 0;                          ///< Share of that value that a late answer retains.
  Idempotency idempotency = Idempotency::idempotent;  ///< Whether requests may be repeated.
  /// Endpoints that deduplicate repeats; for idempotentWithKey only.
  DeduplicationScope deduplicationScope = DeduplicationScope::fleet;
  /// How long endpoints deduplicate repeats after the first attempt; for idempotentWithKey only.
  Micros deduplicationWindow = 0;
};

/// One kind of endpoint.
struct EndpointKind {
  Role role = Role::combined;  ///< Phases that endpoints of this kind execute.
  double memoryTokens = 0;     ///< KV cache capacity in tokens; 0: unknown.
};

/// Settings of the policy; validated by the constructor of RoutingPolicy.
struct Settings {
  std::vector<RequestClass> classes;      ///< Classes, indexed by RequestArrived::requestClass.
  std::vector<EndpointKind> kinds;        ///< Kinds, indexed by EndpointEntry::kind; at least one.
  std::size_t zones = 1;                  ///< Number of zones.
  std::size_t ownZone = 0;                ///< Zone of this router.
  std::size_t routers = 1;                ///< Number of routers that share the endpoints.
  std::optional<std::size_t> self;        ///< Index of this router among them, from 0; none: unknown.
  Discovery discovery = Discovery::push;  ///< How the endpoint list is delivered.
  int maxAttempts = 1;                    ///< Largest number of attempts per request ...
  int maxUncountedRejections = 0;         ///< ... not counting so many that endpoints rejected.
  bool canCancel = false;                 ///< Whether attempts may be cancelled.
  bool canProbe = false;                  ///< Whether endpoints may be probed.
  bool decodeEndpointsPrefill = false;    ///< Whether decode endpoints compute missing KV state themselves.
  bool canMigrateStreams = false;         ///< Whether a started answer may continue at another endpoint.
  bool passesRetryAfter = false;          ///< Whether clients receive Reject::retryAfter ...
  Micros maxRetryAfter = 0;               ///< ... and the longest delay that they honour; 0: unknown.
  Micros kvReleaseTimeout = 0;            ///< How long an endpoint holds an unused KV state; 0: no limit.
  Micros answerSlack = 0;                 ///< Time after the deadline within which an answer still counts.
  Micros pollInterval = 0;                ///< Longest allowed time without an update with Discovery::poll.
  Micros connectTimeout = 0;              ///< Timeout for connecting to an endpoint.
  double warmUpMinCapacity = 1;  ///< Least share of its capacity that a newly started endpoint has ...
  Micros warmUpDuration = 0;     ///< ... until it reaches full capacity after this time.
  double overloadMultiple = 0;   ///< Ratio of load to capacity at which an endpoint fails; 0: no limit.
  Micros overloadWindow = 0;     ///< Window over which that load is measured.
};

}  // namespace garnethook
