/// @file
/// Selection and order of the endpoints to which a release is sent, and the delay between them. Performs no
/// I/O.
///
/// Any endpoint accepts a release and frees the KV state that any endpoint holds for the request, so the
/// router does not depend on an unreachable endpoint. After the endpoint that holds the KV state, it tries
/// one endpoint of each zone in turn, starting with its own zone. This covers a zone outage or partition, in
/// which all endpoints of a zone stop responding although they were responsive a moment before. Within a
/// zone, responsive endpoints come first, then those never tried, then unresponsive ones, so that each
/// further round of the same release reaches other endpoints. Among otherwise equal endpoints, those in the
/// holder's cell come first. Ties are broken differently for each request, so that the releases for a lost
/// endpoint do not all go to the same endpoint.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "engine/responsiveness.h"
#include "policy/routing_policy.h"

namespace garnethook::platform {

/// An endpoint to which a release may be sent.
struct ReleaseCandidate {
  EndpointId endpoint;    ///< Id of the endpoint.
  std::string_view cell;  ///< Cell of the endpoint.
  std::string_view zone;  ///< Zone of the endpoint.
  bool running = true;    ///< Whether the endpoint list reports it as running.
  /// Latest observed responsiveness.
  engine::Responsiveness responsiveness = engine::Responsiveness::responsive;
};

/// Maximum number of endpoints to which one release is sent.
inline constexpr std::size_t kMaxReleaseTargets = 8;

/// Number of endpoints of a large fleet that are considered for a release: consecutive ones by id, starting
/// at a position that differs between requests.
inline constexpr std::size_t kMaxReleaseCandidates = 128;

/// Returns the delay after which the next endpoint is tried while a response is outstanding, in microseconds.
/// A response takes a few milliseconds, and all endpoints must have been tried within the time limit of a
/// release.
/// @param kvReleaseTimeout time limit for a release, in microseconds
Micros releaseHedgeDelay(Micros kvReleaseTimeout);

/// Returns the endpoints that are considered for a release: all endpoints of a small fleet, otherwise
/// kMaxReleaseCandidates of them and the holder if it is listed.
/// @param listed all listed endpoints, sorted by id
/// @param holder endpoint that holds the KV state
/// @param request number of the request
std::vector<EndpointId> selectReleaseCandidates(const std::vector<EndpointId>& listed, EndpointId holder,
                                                std::uint64_t request);

/// Returns the endpoints to which a release is sent, in order, without duplicates and at most
/// kMaxReleaseTargets.
/// @param holder endpoint that holds the KV state
/// @param ownZone zone of this router
/// @param candidates endpoints to choose from
/// @param request number of the request
std::vector<EndpointId> releaseRoute(EndpointId holder, std::string_view ownZone,
                                     std::vector<ReleaseCandidate> candidates, std::uint64_t request);

}  // namespace garnethook::platform
