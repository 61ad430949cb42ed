/// @file
/// Identifiers and the time unit of the routing policy's interface.
#pragma once

#include <compare>
#include <cstdint>

namespace garnethook {

/// A point in time or a duration in microseconds, on the clock that the caller passes in with each event.
using Micros = std::int64_t;

/// A strongly typed opaque identifier; `Tag` makes identifiers of different kinds distinct types.
template <class Tag>
struct Id {
  std::uint64_t value = 0;  ///< The underlying number.
  /// Orders identifiers by their underlying numbers.
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the 0 inside a defaulted <=>.
  friend auto operator<=>(const Id&, const Id&) = default;
};
using RequestId = Id<struct RequestTag>;    ///< Identifies a request.
using EndpointId = Id<struct EndpointTag>;  ///< Identifies an endpoint of the endpoint list.
using PrefixKey = Id<struct PrefixTag>;     ///< Identifies a session or a shared prefix; 0: none.
using TimerId = Id<struct TimerTag>;        ///< Identifies a timer of the policy.

}  // namespace garnethook
