/// The current list of endpoints, as discovery's snapshots and deltas build it up. Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "membership/endpoint_spec.h"
#include "platform/discovery/endpoint_list_parser.h"

namespace garnethook::platform {

/// What an update has changed, for the routing policy.
struct EndpointListChange {
  EndpointUpdate::Kind kind = EndpointUpdate::Kind::delta;  ///< Snapshot or delta.
  membership::EndpointMap entries;  ///< All endpoints of a snapshot, or the changed ones of a delta,
                                    ///< removed endpoints among them.
};

/// Applies updates in the order of their arrival and keeps the result.
///
/// An endpoint that a snapshot lacks is removed. A delta older than the list is ignored. A snapshot always
/// holds, with one exception: where it is older than the report that an endpoint drains or is removed, as
/// from a discovery replica that lags behind the previous one, it does not bring that endpoint back, unless
/// the endpoint has been restarted.
class EndpointList {
 public:
  /// Applies an update; nothing where it is ignored as too old.
  std::optional<EndpointListChange> apply(const EndpointListUpdate& update);

  /// Begins with a stored copy of an earlier list.
  void restore(const membership::EndpointMap& endpoints, std::int64_t version);

  /// All endpoints that are not removed, by name.
  const membership::EndpointMap& endpoints() const { return endpoints_; }

  /// Revision of the latest update that was applied.
  std::int64_t version() const { return version_; }

 private:
  // The report that an endpoint takes no new requests.
  struct Tombstone {
    std::int64_t version = 0;
    timing::UnixTime startedAt;
    bool isRemoved = false;
  };
  static constexpr std::size_t kMaxTombstones = 8192;  // beyond it the oldest is forgotten

  void updateTombstone(const membership::EndpointSpec& endpoint, std::int64_t version);
  void buryMissing(const membership::EndpointMap& previous, std::int64_t version);
  const Tombstone* findNewerTombstone(const membership::EndpointSpec& endpoint, std::int64_t version) const;
  void evictOldestTombstones();

  membership::EndpointMap endpoints_;
  std::int64_t version_ = 0;
  std::map<std::string, Tombstone> tombstones_;
};

}  // namespace garnethook::platform
