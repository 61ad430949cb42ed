/// State of endpoints that the router itself needs.
#pragma once

#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "routing/endpoint_location.h"
#include "routing/endpoint_restart.h"
#include "routing/engine_client.h"

namespace garnethook::routing {

/// Stores role, location and start time of every endpoint ever listed, and which of them are running.
class EndpointDirectory {
 public:
  /// `kinds`: the endpoint kinds, in the order of EndpointEntry::kind.
  explicit EndpointDirectory(std::vector<EndpointKind> kinds) : kinds_(std::move(kinds)) {}

  /// Applies an update. Returns the endpoints whose start is later than the one that was known.
  std::vector<EndpointRestart> apply(const EndpointUpdate& update);
  /// Returns the phase of an attempt at the endpoint. `hasKvState`: whether the request's prefill is complete
  /// and its KV state can be fetched.
  Phase phaseAt(EndpointId endpoint, bool hasKvState) const;
  /// Returns the location of an endpoint; none if it was never listed.
  std::optional<EndpointLocation> locationOf(EndpointId endpoint) const;
  /// Whether any endpoint is listed as running.
  bool hasRunning() const { return !running_.empty(); }

 private:
  struct Endpoint {
    Role role = Role::decode;
    EndpointLocation location;
    Micros startedAt = 0;  // latest start time that was listed; 0: long ago
  };
  Role roleOf(const EndpointEntry& entry) const;

  std::vector<EndpointKind> kinds_;
  std::unordered_map<std::uint64_t, Endpoint> endpoints_;
  std::unordered_set<std::uint64_t> running_;
};

}  // namespace garnethook::routing
