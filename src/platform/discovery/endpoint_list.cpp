#include "platform/discovery/endpoint_list.h"

#include <algorithm>
#include <utility>

namespace garnethook::platform {

std::optional<EndpointListChange> EndpointList::apply(const EndpointListUpdate& update) {
  if (!update.isComplete && update.version < version_) return std::nullopt;
  EndpointListChange change;
  change.kind = update.isComplete ? EndpointUpdate::Kind::snapshot : EndpointUpdate::Kind::delta;
  const membership::EndpointMap previous =
      update.isComplete ? std::exchange(endpoints_, {}) : membership::EndpointMap();
  for (membership::EndpointSpec endpoint : update.endpoints) {
    const Tombstone* tombstone = update.isComplete ? findNewerTombstone(endpoint, update.version) : nullptr;
    if (tombstone != nullptr)
      endpoint.state = tombstone->isRemoved ? EndpointState::removed : EndpointState::draining;
    else
      updateTombstone(endpoint, update.version);
    if (endpoint.state == EndpointState::removed)
      endpoints_.erase(endpoint.name);
    else
      endpoints_[endpoint.name] = endpoint;
    if (!update.isComplete) change.entries[endpoint.name] = endpoint;
  }
  if (update.version >= version_) addTombstonesForMissing(previous, update.version);
  if (update.isComplete) change.entries = endpoints_;
  version_ = update.version;
  evictOldestTombstones();
  return change;
}

void EndpointList::updateTombstone(const membership::EndpointSpec& endpoint, std::int64_t version) {
  if (endpoint.state == EndpointState::running) {
    tombstones_.erase(endpoint.name);
    return;
  }
  const auto known = endpoints_.find(endpoint.name);  // the update itself may omit the start time
  const bool usesReportedStart = endpoint.startedAt.isKnown() || known == endpoints_.end();
  const timing::UnixTime startedAt = usesReportedStart ? endpoint.startedAt : known->second.startedAt;
  tombstones_[endpoint.name] = {version, startedAt, endpoint.state == EndpointState::removed};
}

void EndpointList::addTombstonesForMissing(const membership::EndpointMap& previous, std::int64_t version) {
  for (const auto& [name, endpoint] : previous)
    if (!endpoints_.contains(name)) tombstones_[name] = {version, endpoint.startedAt, true};
}

const EndpointList::Tombstone* EndpointList::findNewerTombstone(const membership::EndpointSpec& endpoint,
                                                                std::int64_t version) const {
  const auto found = tombstones_.find(endpoint.name);
  if (found == tombstones_.end() || found->second.version <= version) return nullptr;
  const bool isSameProcess = found->second.startedAt == endpoint.startedAt || !endpoint.startedAt.isKnown();
  return isSameProcess ? &found->second : nullptr;
}

void EndpointList::evictOldestTombstones() {
  while (tombstones_.size() > kMaxTombstones)
    tombstones_.erase(std::min_element(
        tombstones_.begin(), tombstones_.end(),
        [](const auto& left, const auto& right) { return left.second.version < right.second.version; }));
}

void EndpointList::restore(const membership::EndpointMap& endpoints, std::int64_t version) {
  endpoints_ = endpoints;
  version_ = version;
}

}  // namespace garnethook::platform
