/// Location of an endpoint, as used for the deduplication scope of retries.
#pragma once

#include <cstdint>
#include <optional>

namespace garnethook::routing {

/// Zone and cell of an endpoint.
struct EndpointLocation {
  std::optional<std::size_t> zone;  ///< Index of the zone; none if the settings do not list it.
  std::uint64_t cell = 0;           ///< Hash of the cell's name.
  /// Compares zone and cell.
  friend bool operator==(const EndpointLocation&, const EndpointLocation&) = default;
};

}  // namespace garnethook::routing
