/// @file
/// Rendezvous hashing over identifiers.
#pragma once

#include <cstdint>

#include "policy/ids.h"

namespace garnethook::policy {

/// Mixes the bits of a number (the finalizer of SplitMix64).
inline std::uint64_t mixBits(std::uint64_t value) {
  value ^= value >> 30;
  value *= 0xbf58476d1ce4e5b9ULL;
  value ^= value >> 27;
  value *= 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

/// Mixes the bits of a key, with an offset so that small keys and small identifiers do not collide.
inline std::uint64_t mixKey(PrefixKey key) { return mixBits(key.value + 0x9e3779b97f4a7c15ULL); }

/// Returns the rendezvous hash of a key and an endpoint. It is the same at every router, so that all routers
/// send a key that is cached nowhere to the same endpoint.
inline std::uint64_t rendezvousHash(PrefixKey key, EndpointId endpoint) {
  return mixBits(mixKey(key) ^ mixBits(endpoint.value));
}

/// Maps 64 random bits to [0, 1).
inline double toUnitInterval(std::uint64_t bits) {
  constexpr double kRange = 9007199254740992.0;  // 2^53
  return static_cast<double>(static_cast<std::int64_t>(bits >> 11)) / kRange;
}

}  // namespace garnethook::policy
