/// Where an endpoint stands, as far as the deduplication of repeats is concerned.
#pragma once

#include <cstdint>
#include <optional>

namespace garnethook::routing {

/// Zone and cell of an endpoint.
struct EndpointLocation {
  std::optional<std::size_t> zone;  ///< Index of the zone; none: not in the settings.
  std::uint64_t cell = 0;           ///< Hash of the cell's name.
  /// Whether both are equal.
  friend bool operator==(const EndpointLocation&, const EndpointLocation&) = default;
};

}  // namespace garnethook::routing
