/// The description of an endpoint in a list, and the conversion of a whole list for the routing policy.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "policy/routing_policy.h"
#include "timing/unix_time.h"

namespace garnethook::membership {

/// One endpoint as listed.
struct EndpointSpec {
  std::string name;                              ///< Unique in the list.
  EndpointId id;                                 ///< Derived from the name; identical on all routers.
  std::string host;                              ///< Host name or address.
  std::uint16_t port = 0;                        ///< TCP port.
  std::string kind;                              ///< Name of its kind in the settings.
  std::string zone;                              ///< Name of its zone; may be empty.
  std::string cell;                              ///< Name of its cell; may be empty.
  EndpointState state = EndpointState::running;  ///< Whether it accepts new work.
  double weight = 1;             ///< Capacity relative to other endpoints; 1 if not specified.
  timing::UnixTime startedAt;    ///< Start time by the list's clock; unknown means long ago.
  std::string tokeniser;         ///< Name of its tokeniser; empty if none is listed.
  std::string tokeniserVersion;  ///< Version of its tokeniser; may be empty.
  /// Whether all fields are equal.
  friend bool operator==(const EndpointSpec&, const EndpointSpec&) = default;
};

/// Endpoints by name.
using EndpointMap = std::map<std::string, EndpointSpec>;

/// Start times by endpoint name, in microseconds on the monotonic clock; 0 means long ago.
using MonotonicStartTimes = std::map<std::string, Micros>;

/// Returns the id of the endpoint with this name.
EndpointId endpointId(std::string_view name);

/// The names of kinds and zones in the order of the settings. The policy refers to them by index.
struct KindAndZoneNames {
  std::vector<std::string> kinds;  ///< Kinds of endpoints.
  std::vector<std::string> zones;  ///< Zones.
};

/// Returns the endpoints as an update for the routing policy. A kind or zone that is not in `names` has no
/// value in the update; an endpoint without an entry in `startTimes` started long ago.
EndpointUpdate toEndpointUpdate(const EndpointMap& endpoints, const MonotonicStartTimes& startTimes,
                                const KindAndZoneNames& names, EndpointUpdate::Kind updateKind);

}  // namespace garnethook::membership
