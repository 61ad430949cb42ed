/// What the router itself has to know of endpoints.
#pragma once

#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "routing/endpoint_location.h"
#include "routing/engine_client.h"

namespace garnethook::routing {

/// An endpoint that was restarted.
struct EndpointRestart {
  EndpointId endpoint;   ///< Which one.
  Micros startedAt = 0;  ///< When, on the monotonic clock.
};

/// Role, location and start of every endpoint that was ever listed, and which of them are running.
class EndpointDirectory {
 public:
  /// `kinds`: of endpoints, by the index that updates give.
  explicit EndpointDirectory(std::vector<EndpointKind> kinds) : kinds_(std::move(kinds)) {}

  /// Takes over an update. Returns the endpoints that were restarted.
  std::vector<EndpointRestart> apply(const EndpointUpdate& update);
  /// What an attempt does there. `hasKvState`: the request's prompt was read, and its state can be fetched.
  Phase phaseAt(EndpointId endpoint, bool hasKvState) const;
  /// Where an endpoint stands; none where it was never listed.
  std::optional<EndpointLocation> locationOf(EndpointId endpoint) const;
  /// Whether any endpoint is listed as running.
  bool hasRunning() const { return !running_.empty(); }

 private:
  struct Endpoint {
    Role role = Role::decode;
    EndpointLocation location;
    Micros startedAt = 0;  // the last one that was listed; 0: none yet
  };
  Role roleOf(const EndpointEntry& entry) const;

  std::vector<EndpointKind> kinds_;
  std::unordered_map<std::uint64_t, Endpoint> endpoints_;
  std::unordered_set<std::uint64_t> running_;
};

}  // namespace garnethook::routing
