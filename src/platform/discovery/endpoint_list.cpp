#include "platform/discovery/endpoint_list.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "config/json_depth.h"

namespace garnethook::platform {
namespace {

using nlohmann::json;

constexpr std::size_t kLongestName = 200;

std::string text(const json& entry, const char* key, bool needed) {
  const auto at = entry.find(key);
  if (at == entry.end() || at->is_null()) {
    if (needed) throw std::runtime_error(std::string(key) + ": is missing");
    return {};
  }
  if (!at->is_string()) throw std::runtime_error(std::string(key) + ": a text is wanted");
  auto out = at->get<std::string>();
  if (out.size() > kLongestName || (needed && out.empty()))
    throw std::runtime_error(std::string(key) + ": empty or too long");
  return out;
}

double number(const json& entry, const char* key, double fallback, double most) {
  const auto at = entry.find(key);
  if (at == entry.end() || at->is_null()) return fallback;
  const double value = at->is_number() ? at->get<double>() : NAN;
  if (!(value >= 0 && value <= most))
    throw std::runtime_error(std::string(key) + ": no number from 0 to " + std::to_string(most));
  return value;
}

// A word that is not known yet promises nothing: the engine gets no new work.
EndpointState state(const std::string& word) {
  if (word == "ready") return EndpointState::running;
  if (word == "gone") return EndpointState::removed;
  return EndpointState::draining;
}

membership::EndpointSpec readEntry(const json& entry) {
  if (!entry.is_object()) throw std::runtime_error("an object is wanted");
  membership::EndpointSpec e;
  e.name = text(entry, "id", true);
  e.id = membership::endpointId(e.name);
  e.state = state(text(entry, "phase", true));
  const bool gone = e.state == EndpointState::removed;
  const std::string address = text(entry, "host_port", !gone);
  const auto colon = address.rfind(':');
  int port = 0;
  const char* end = address.data() + address.size();
  if (!address.empty() &&
      (colon == std::string::npos || colon == 0 ||
       std::from_chars(address.data() + colon + 1, end, port).ptr != end || port < 1 || port > 65'535))
    throw std::runtime_error("host_port: HOST:PORT is wanted");
  if (!address.empty()) e.host = address.substr(0, colon);
  e.port = static_cast<std::uint16_t>(port);
  e.kind = text(entry, "flavor", false);
  e.zone = text(entry, "locality", false);
  if (const auto cell = entry.find("cell"); cell != entry.end() && !cell->is_null())
    e.cell = cell->is_string() ? text(entry, "cell", false)
                               : std::to_string(static_cast<std::int64_t>(number(entry, "cell", 0, 1e15)));
  e.weight = number(entry, "size", 1, 1e9);
  e.startedAt = {static_cast<std::int64_t>(number(entry, "up_since_ms", 0, 1e15)) * 1000};
  return e;
}

}  // namespace

EndpointListUpdate parseEndpointList(std::string_view input) {
  if (config::jsonDepth(input) > config::kDeepest) throw std::runtime_error("nested too deep");
  const json root = json::parse(input, nullptr, false);
  if (!root.is_object()) throw std::runtime_error("no JSON object");
  EndpointListUpdate out;
  const auto version = root.find("revision");
  if (version == root.end() || !version->is_number_integer())
    throw std::runtime_error("revision: is missing");
  out.version = version->get<std::int64_t>();
  const auto complete = root.find("complete");
  out.complete = complete != root.end() && complete->is_boolean() && complete->get<bool>();
  const auto members = root.find("members");
  if (members == root.end() || !members->is_array()) throw std::runtime_error("members: is missing");
  for (const json& entry : *members) {
    try {
      out.engines.push_back(readEntry(entry));
    } catch (const std::runtime_error& e) { out.errors.emplace_back(e.what()); }
  }
  return out;
}

EndpointList::Change EndpointList::apply(const EndpointListUpdate& update) {
  Change change;
  if (!update.complete && update.version < version_) return change;
  change.kind = update.complete ? EndpointUpdate::Kind::snapshot : EndpointUpdate::Kind::delta;
  change.any = true;
  const membership::EndpointMap before =
      update.complete ? std::exchange(engines_, {}) : membership::EndpointMap();
  for (membership::EndpointSpec e : update.engines) {
    if (const Retirement* word = update.complete ? retiredAfter(e, update.version) : nullptr)
      e.state = word->gone ? EndpointState::removed : EndpointState::draining;
    else
      note(e, update.version);
    if (e.state == EndpointState::removed)
      engines_.erase(e.name);
    else
      engines_[e.name] = e;
    if (!update.complete) change.entries[e.name] = e;
  }
  for (const auto& [name, e] : before)
    if (!engines_.contains(name) && update.version >= version_)
      retired_[name] = {update.version, e.startedAt, true};
  if (update.complete) change.entries = engines_;
  version_ = update.version;
  boundRetired();
  return change;
}

void EndpointList::note(const membership::EndpointSpec& engine, std::int64_t version) {
  if (engine.state == EndpointState::running) {
    retired_.erase(engine.name);
    return;
  }
  const auto held = engines_.find(engine.name);  // the word itself may tell no start
  const timing::UnixTime startedAt =
      engine.startedAt.isKnown() || held == engines_.end() ? engine.startedAt : held->second.startedAt;
  retired_[engine.name] = {version, startedAt, engine.state == EndpointState::removed};
}

const EndpointList::Retirement* EndpointList::retiredAfter(const membership::EndpointSpec& engine,
                                                           std::int64_t version) const {
  const auto at = retired_.find(engine.name);
  if (at == retired_.end() || at->second.version <= version) return nullptr;
  const bool sameStart = at->second.startedAt == engine.startedAt || !engine.startedAt.isKnown();
  return sameStart ? &at->second : nullptr;
}

void EndpointList::boundRetired() {
  while (retired_.size() > kMostRetired)
    retired_.erase(std::min_element(retired_.begin(), retired_.end(), [](const auto& a, const auto& b) {
      return a.second.version < b.second.version;
    }));
}

void EndpointList::recall(const membership::EndpointMap& engines, std::int64_t version) {
  engines_ = engines;
  version_ = version;
}

}  // namespace garnethook::platform
