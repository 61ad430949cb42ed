// Rendezvous hashing over ids.
#pragma once

#include <cstdint>

#include "policy/routing_policy.h"

namespace garnethook {

// Rendezvous weight: equal at every router, so that unknown keys meet at one reader.
inline std::uint64_t mix(std::uint64_t value) {
  value ^= value >> 30;
  value *= 0xbf58476d1ce4e5b9ULL;
  value ^= value >> 27;
  value *= 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}
inline std::uint64_t rendezvous(PrefixKey key, EndpointId endpoint) {
  return mix(mix(key.value + 0x9e3779b97f4a7c15ULL) ^ mix(endpoint.value));
}

}  // namespace garnethook
