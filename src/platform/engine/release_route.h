/// @file
/// At which endpoints a release is tried, and when the next one is. Free of I/O.
///
/// Any endpoint accepts a release and frees what all of them hold for the request, so one that can't be
/// reached need not be waited for: after the endpoint that holds the KV cache, others are tried, one of each
/// zone in turn, this router's own zone first. That covers a zone that is lost or partitioned, whose
/// endpoints are all silent although they were responsive a moment ago. Within a zone responsive endpoints
/// come first, then those that were never tried, then unresponsive ones, so that each further round of the
/// same release reaches other endpoints; among equal ones those of the holder's cell come first. Which of
/// equal ones is first differs between requests, so that the releases for a lost endpoint don't all go to the
/// same one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "engine/responsiveness.h"
#include "policy/routing_policy.h"

namespace garnethook::platform {

/// An endpoint at which a release may be tried.
struct ReleaseCandidate {
  EndpointId endpoint;    ///< Which endpoint.
  std::string_view cell;  ///< Its cell.
  std::string_view zone;  ///< Its zone.
  bool running = true;    ///< The endpoint list calls it running.
  engine::Responsiveness responsiveness = engine::Responsiveness::responsive;  ///< The latest news of it.
};

/// Most endpoints at which one release is tried.
inline constexpr std::size_t kMaxReleaseTargets = 8;

/// Of a large fleet so many endpoints are considered for a release, those next to each other by id, starting
/// at a place that differs between requests.
inline constexpr std::size_t kMaxReleaseCandidates = 128;

/// How long one endpoint is waited for before the next is tried as well, in microseconds. A response takes a
/// few milliseconds, and all endpoints must have been tried within the time for a release.
/// @param kvReleaseTimeout time for a release, in microseconds
Micros releaseHedgeDelay(Micros kvReleaseTimeout);

/// The endpoints that are considered for a release: all of a small fleet, otherwise kMaxReleaseCandidates and
/// the holder where it is listed.
/// @param listed all listed endpoints, in order of ids
/// @param holder endpoint that holds the KV cache
/// @param request number of the request
std::vector<EndpointId> selectReleaseCandidates(const std::vector<EndpointId>& listed, EndpointId holder,
                                                std::uint64_t request);

/// The endpoints at which a release is tried, in this order, each once and at most kMaxReleaseTargets.
/// @param holder endpoint that holds the KV cache
/// @param ownZone zone of this router
/// @param candidates endpoints to choose from
/// @param request number of the request
std::vector<EndpointId> releaseRoute(EndpointId holder, std::string_view ownZone,
                                     std::vector<ReleaseCandidate> candidates, std::uint64_t request);

}  // namespace garnethook::platform
