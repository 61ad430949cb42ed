/// @file
/// The current endpoint list, built from discovery's snapshots and deltas. Performs no I/O and reads no
/// clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "membership/endpoint_spec.h"
#include "platform/discovery/endpoint_list_parser.h"

namespace garnethook::platform {

/// Change made by an update, for the routing policy.
struct EndpointListChange {
  EndpointUpdate::Kind kind = EndpointUpdate::Kind::delta;  ///< Snapshot or delta.
  /// All endpoints of a snapshot, or the changed endpoints of a delta, including removed ones.
  membership::EndpointMap entries;
};

/// Applies updates in order of arrival and stores the resulting list.
///
/// An endpoint that is absent from a snapshot is removed. A delta older than the list is ignored. A snapshot
/// is always applied, with one exception: if it is older than the update that reported an endpoint as
/// draining or removed, it does not return that endpoint to service, unless the endpoint has been restarted.
/// Such a snapshot comes from a discovery replica that lags behind the previous one.
class EndpointList {
 public:
  /// Applies an update. Returns std::nullopt if the update is too old and was ignored.
  std::optional<EndpointListChange> apply(const EndpointListUpdate& update);

  /// Initializes the list from a stored copy of an earlier list.
  void restore(const membership::EndpointMap& endpoints, std::int64_t version);

  /// All endpoints that are not removed, keyed by name.
  const membership::EndpointMap& endpoints() const { return endpoints_; }

  /// Revision of the latest applied update.
  std::int64_t version() const { return version_; }

 private:
  // Records that an endpoint was reported as draining or removed.
  struct Tombstone {
    std::int64_t version = 0;
    timing::UnixTime startedAt;
    bool isRemoved = false;
  };
  static constexpr std::size_t kMaxTombstones = 8192;  // beyond this the oldest is evicted

  void updateTombstone(const membership::EndpointSpec& endpoint, std::int64_t version);
  void addTombstonesForMissing(const membership::EndpointMap& previous, std::int64_t version);
  const Tombstone* findNewerTombstone(const membership::EndpointSpec& endpoint, std::int64_t version) const;
  void evictOldestTombstones();

  membership::EndpointMap endpoints_;
  std::int64_t version_ = 0;
  std::map<std::string, Tombstone> tombstones_;
};

}  // namespace garnethook::platform
