#include "platform/discovery/endpoint_list_parser.h"

#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "config/json_depth.h"

namespace garnethook::platform {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxStringBytes = 200;
constexpr double kMaxWeight = 1e9;
// Exactly representable as a double, and a time in milliseconds of this size does not overflow 64 bits when
// converted to microseconds.
constexpr double kMaxInteger = 1e15;
constexpr int kMaxPort = 65'535;
constexpr std::int64_t kMicrosPerMillisecond = 1000;

// Propagates the error of one entry out of the functions that read its fields.
class EntryFailure : public std::exception {
 public:
  explicit EntryFailure(EntryError error) : error_(std::move(error)) {}
  const char* what() const noexcept override { return "invalid list entry"; }
  const EntryError& error() const { return error_; }

 private:
  EntryError error_;
};

[[noreturn]] void fail(EntryErrorCode code, const char* key, double maximum = 0) {
  throw EntryFailure({code, key, maximum});
}

std::string readString(const json& entry, const char* key, bool isRequired) {
  const auto found = entry.find(key);
  if (found == entry.end() || found->is_null()) {
    if (isRequired) fail(EntryErrorCode::missing, key);
    return {};
  }
  if (!found->is_string()) fail(EntryErrorCode::notAString, key);
  auto text = found->get<std::string>();
  if (text.size() > kMaxStringBytes || (isRequired && text.empty())) fail(EntryErrorCode::invalidLength, key);
  return text;
}

double readNumber(const json& entry, const char* key, double fallback, double maximum) {
  const auto found = entry.find(key);
  if (found == entry.end() || found->is_null()) return fallback;
  const double value = found->is_number() ? found->get<double>() : NAN;
  if (!(value >= 0 && value <= maximum)) fail(EntryErrorCode::outOfRange, key, maximum);
  return value;
}

// An unknown phase gives no guarantee that the endpoint accepts requests, so the endpoint gets no new ones.
EndpointState toEndpointState(const std::string& phase) {
  if (phase == "ready") return EndpointState::running;
  if (phase == "gone") return EndpointState::removed;
  return EndpointState::draining;
}

// The address may be absent only for a removed endpoint.
void readAddress(const json& entry, membership::EndpointSpec& endpoint) {
  constexpr const char* kKey = "host_port";
  const std::string address = readString(entry, kKey, endpoint.state != EndpointState::removed);
  if (address.empty()) return;
  const auto colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0) fail(EntryErrorCode::invalidAddress, kKey);
  int port = 0;
  const char* const end = address.data() + address.size();
  const bool isWholeNumber = std::from_chars(address.data() + colon + 1, end, port).ptr == end;
  if (!isWholeNumber || port < 1 || port > kMaxPort) fail(EntryErrorCode::invalidAddress, kKey);
  endpoint.host = address.substr(0, colon);
  endpoint.port = static_cast<std::uint16_t>(port);
}

// A cell is identified by a number or a string.
std::string readCell(const json& entry) {
  const auto cell = entry.find("cell");
  if (cell == entry.end() || cell->is_null()) return {};
  if (cell->is_string()) return readString(entry, "cell", false);
  return std::to_string(static_cast<std::int64_t>(readNumber(entry, "cell", 0, kMaxInteger)));
}

membership::EndpointSpec readEntry(const json& entry) {
  if (!entry.is_object()) fail(EntryErrorCode::notAnObject, "");
  membership::EndpointSpec endpoint;
  endpoint.name = readString(entry, "id", true);
  endpoint.id = membership::endpointId(endpoint.name);
  endpoint.state = toEndpointState(readString(entry, "phase", true));
  readAddress(entry, endpoint);
  endpoint.kind = readString(entry, "flavor", false);
  endpoint.zone = readString(entry, "locality", false);
  endpoint.cell = readCell(entry);
  endpoint.weight = readNumber(entry, "size", 1, kMaxWeight);
  endpoint.startedAt = {static_cast<std::int64_t>(readNumber(entry, "up_since_ms", 0, kMaxInteger)) *
                        kMicrosPerMillisecond};
  return endpoint;
}

}  // namespace

std::string EntryError::message() const {
  const std::string prefix = field + ": ";
  switch (code) {
    case EntryErrorCode::notAnObject: return "an object is expected";
    case EntryErrorCode::missing: return prefix + "is missing";
    case EntryErrorCode::notAString: return prefix + "a string is expected";
    case EntryErrorCode::invalidLength: return prefix + "empty or too long";
    case EntryErrorCode::outOfRange: return prefix + "must be a number from 0 to " + std::to_string(maximum);
    case EntryErrorCode::invalidAddress: return prefix + "HOST:PORT is expected";
  }
  return prefix + "unknown error";
}

EndpointListUpdate parseEndpointList(std::string_view text) {
  if (config::jsonDepth(text) > config::kMaxJsonDepth) throw EndpointListError("nested too deep");
  const json root = json::parse(text, nullptr, false);
  if (!root.is_object()) throw EndpointListError("not a JSON object");
  EndpointListUpdate update;
  const auto version = root.find("revision");
  if (version == root.end() || !version->is_number_integer()) throw EndpointListError("revision: is missing");
  update.version = version->get<std::int64_t>();
  const auto complete = root.find("complete");
  update.isComplete = complete != root.end() && complete->is_boolean() && complete->get<bool>();
  const auto members = root.find("members");
  if (members == root.end() || !members->is_array()) throw EndpointListError("members: is missing");
  for (const json& entry : *members) {
    try {
      update.endpoints.push_back(readEntry(entry));
    } catch (const EntryFailure& failure) { update.errors.push_back(failure.error()); }
  }
  return update;
}

}  // namespace garnethook::platform
