#include "routing/endpoint_directory.h"

namespace garnethook::routing {

std::vector<EndpointRestart> EndpointDirectory::apply(const EndpointUpdate& update) {
  const bool isFullList =
      update.kind == EndpointUpdate::Kind::snapshot || update.kind == EndpointUpdate::Kind::staleCopy;
  if (isFullList) running_.clear();
  std::vector<EndpointRestart> restarted;
  for (const EndpointEntry& entry : update.entries) {
    const auto [item, isNew] = endpoints_.try_emplace(entry.id.value);
    Endpoint& endpoint = item->second;
    endpoint.location = {entry.zone, entry.cell};
    endpoint.role = roleOf(entry);
    if (entry.state == EndpointState::running)
      running_.insert(entry.id.value);
    else
      running_.erase(entry.id.value);
    if (entry.startedAt == 0) continue;
    if (!isNew && entry.startedAt > endpoint.startedAt)
      restarted.push_back({entry.id, entry.startedAt, endpoint.startedAt});
    endpoint.startedAt = entry.startedAt;
  }
  return restarted;
}

Phase EndpointDirectory::phaseAt(EndpointId endpoint, bool hasKvState) const {
  const auto found = endpoints_.find(endpoint.value);
  if (found != endpoints_.end() && found->second.role == Role::prefill) return Phase::prefill;
  return hasKvState ? Phase::decode : Phase::combined;
}

std::optional<EndpointLocation> EndpointDirectory::locationOf(EndpointId endpoint) const {
  const auto found = endpoints_.find(endpoint.value);
  if (found == endpoints_.end()) return std::nullopt;
  return found->second.location;
}

// Endpoints of an unknown kind receive no prefill attempts.
Role EndpointDirectory::roleOf(const EndpointEntry& entry) const {
  const bool isKnown = entry.kind && *entry.kind < kinds_.size();
  return isKnown ? kinds_[*entry.kind].role : Role::decode;
}

}  // namespace garnethook::routing
