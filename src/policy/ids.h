/// @file
/// Identifiers and the unit of time that the routing policy's interface uses.
#pragma once

#include <compare>
#include <cstdint>

namespace garnethook {

/// A time or a span in integer microseconds, on a clock that the caller passes in with each event.
using Micros = std::int64_t;

/// An opaque number; the tag keeps identifiers of different things apart.
template <class Tag>
struct Id {
  std::uint64_t value = 0;  ///< The number itself.
  /// Identifiers are ordered by their numbers.
  // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the 0 inside a defaulted <=> for a pointer.
  friend auto operator<=>(const Id&, const Id&) = default;
};
using RequestId = Id<struct RequestTag>;    ///< Identifies a request.
using EndpointId = Id<struct EndpointTag>;  ///< Identifies an endpoint of the endpoint list.
using PrefixKey = Id<struct PrefixTag>;     ///< Identifies a session or a shared prefix; 0: there is none.
using TimerId = Id<struct TimerTag>;        ///< Identifies a timer of the policy.

}  // namespace garnethook
