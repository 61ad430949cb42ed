/// @file
/// Settings of the routing policy.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "policy/ids.h"

namespace garnethook {

/// Which phases of a request an endpoint executes.
enum class Role {
  prefill,  ///< Computes the KV cache of a prompt.
  decode,   ///< Generates the answer from a KV cache.
  combined  ///< Executes both phases on one engine.
};

/// Whether a request may be executed more than once.
enum class Idempotency {
  idempotent,         ///< May be executed any number of times.
  idempotentWithKey,  ///< May be repeated where endpoints deduplicate it, see DeduplicationScope.
  nonIdempotent       ///< Must not be sent again once it was possibly executed.
};

/// Which endpoints recognise repeats of a request with an idempotency key.
enum class DeduplicationScope {
  fleet,  ///< All endpoints.
  zone,   ///< Endpoints of the zone of the first attempt.
  cell    ///< Endpoints of the cell of the first attempt.
};

/// How the endpoint list reaches the router.
enum class Discovery {
  push,  ///< Updates arrive by themselves.
  poll   ///< The policy subscribes by an action.
};

/// Objectives and rules of one class of requests.
struct RequestClass {
  Micros ttftObjective = 0;                ///< Objective of the time to first token, from arrival ...
  Micros ttftObjectivePerKiloToken = 0;    ///< ... plus this much for each 1,000 prompt tokens.
  Micros deadline = 0;                     ///< Time from arrival until the client gives up.
  Micros timePerOutputTokenObjective = 0;  ///< Objective of the mean time between output tokens.
  double priorityWeight = 1;               ///< Value of an answer in time.
  double lateValueShare = 0;               ///< Share of that value that a late answer still has.
  Idempotency idempotency = Idempotency::idempotent;  ///< Whether requests may be repeated.
  /// Where repeats are recognised; for idempotentWithKey only.
  DeduplicationScope deduplicationScope = DeduplicationScope::fleet;
  /// How long a first attempt is remembered there; for idempotentWithKey only.
  Micros deduplicationWindow = 0;
};

/// One kind of endpoint.
struct EndpointKind {
  Role role = Role::combined;  ///< Its phases.
  double memoryTokens = 0;     ///< KV cache capacity in tokens; 0: unknown.
};

/// Everything that the policy is configured with; validated by the constructor of RoutingPolicy.
struct Settings {
  std::vector<RequestClass> classes;      ///< Classes, by the index that requests carry.
  std::vector<EndpointKind> kinds;        ///< Kinds, by the index that endpoints carry; at least one.
  std::size_t zones = 1;                  ///< Number of zones.
  std::size_t ownZone = 0;                ///< Zone of this router.
  std::size_t routers = 1;                ///< Number of routers over the same endpoints.
  std::optional<std::size_t> self;        ///< This router's number among them, from 0; none: unknown.
  Discovery discovery = Discovery::push;  ///< How the endpoint list arrives.
  int maxAttempts = 1;                    ///< Attempts that one request may use.
  bool canCancel = false;                 ///< Attempts may be cancelled.
  bool canProbe = false;                  ///< Endpoints may be probed.
  bool decodeEndpointsPrefill = false;    ///< A decode endpoint without KV state computes it itself.
  bool canMigrateStreams = false;         ///< A started answer may move to another endpoint.
  bool passesRetryAfter = false;          ///< Reject::retryAfter reaches the clients ...
  Micros maxRetryAfter = 0;               ///< ... which obey no more than this; 0: no known bound.
  Micros kvReleaseTimeout = 0;            ///< How long an endpoint keeps KV state unused; 0: no limit.
  Micros answerSlack = 0;                 ///< An answer this long after the deadline still counts.
  Micros pollInterval = 0;                ///< Longest allowed silence with Discovery::poll.
  Micros connectTimeout = 0;              ///< Timeout of connecting to an endpoint.
  double warmUpMinCapacity = 1;           ///< Share of its capacity that a fresh endpoint has at least ...
  Micros warmUpDuration = 0;              ///< ... until it has all of it after this time.
  double overloadMultiple = 0;            ///< Load over capacity that breaks an endpoint; 0: no such limit.
  Micros overloadWindow = 0;              ///< Window in which that load is counted.
};

}  // namespace garnethook
