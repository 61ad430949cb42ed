#include "membership/endpoint_spec.h"

#include <xxhash.h>

#include <algorithm>
#include <optional>

namespace garnethook::membership {
namespace {

std::optional<std::size_t> indexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto position = std::find(names.begin(), names.end(), name);
  if (position == names.end()) return std::nullopt;
  return static_cast<std::size_t>(position - names.begin());
}

}  // namespace

EndpointId endpointId(std::string_view name) { return {XXH3_64bits(name.data(), name.size())}; }

EndpointUpdate toEndpointUpdate(const EndpointMap& endpoints, const MonotonicStartTimes& startTimes,
                                const KindAndZoneNames& names, EndpointUpdate::Kind updateKind) {
  EndpointUpdate update{updateKind, {}};
  for (const auto& [name, endpoint] : endpoints) {
    const auto startedAt = startTimes.find(name);
    EndpointEntry entry;
    entry.id = endpoint.id;
    entry.kind = indexOf(names.kinds, endpoint.kind);
    entry.zone = indexOf(names.zones, endpoint.zone);
    entry.cell = XXH3_64bits(endpoint.cell.data(), endpoint.cell.size());
    entry.state = endpoint.state;
    entry.startedAt = startedAt == startTimes.end() ? 0 : startedAt->second;
    entry.weight = endpoint.weight;
    update.entries.push_back(entry);
  }
  return update;
}

}  // namespace garnethook::membership
