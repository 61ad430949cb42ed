#include "membership/endpoint_list_format.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace garnethook::membership {
namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;
constexpr std::int64_t kMaxStartedMs = std::int64_t{1} << 50;
constexpr int kMaxPort = 65'535;

// Indexed by EndpointState.
const std::vector<std::string>& stateNames() {
  static const std::vector<std::string> names{"running", "draining", "gone"};
  return names;
}

void parseAddress(const config::Node& node, EndpointSpec& spec) {
  const std::string address = node.text("address");
  const auto colon = address.rfind(':');
  int port = 0;
  const char* end = address.data() + address.size();
  if (colon == std::string::npos || colon == 0 ||
      std::from_chars(address.data() + colon + 1, end, port).ptr != end || port < 1 || port > kMaxPort)
    node.failAt("address", "HOST:PORT is expected");
  spec.host = address.substr(0, colon);
  spec.port = static_cast<std::uint16_t>(port);
}

EndpointSpec parseSpec(const config::Node& node) {
  EndpointSpec spec;
  spec.name = node.text("name");
  spec.id = endpointId(spec.name);
  parseAddress(node, spec);
  spec.kind = node.text("kind");
  spec.zone = node.text("zone", "");
  spec.cell = node.text("cell", "");
  spec.state = static_cast<EndpointState>(node.choice("state", stateNames(), 0));
  spec.startedAt = {node.integer("started_ms", 0, 0, kMaxStartedMs) * kMicrosPerMilli};
  if (node.has("tokeniser")) {
    const config::Node tokeniser = node.object("tokeniser");
    spec.tokeniser = tokeniser.text("name");
    spec.tokeniserVersion = tokeniser.text("version", "");
    tokeniser.done();
  }
  node.done();
  return spec;
}

}  // namespace

std::vector<ParsedEndpoint> parseEntries(const config::Node& root) {
  if (!root.has("engines")) root.failAt("engines", "is missing");
  std::vector<ParsedEndpoint> entries;
  for (const config::Node& node : root.array("engines")) {
    ParsedEndpoint entry{node, {}, std::nullopt, {}};
    try {
      entry.name = node.text("name");
      entry.spec = parseSpec(node);
    } catch (const config::Error& error) { entry.error = error.what(); }
    entries.push_back(std::move(entry));
  }
  return entries;
}

std::string serializeEndpointList(const EndpointMap& endpoints) {
  nlohmann::ordered_json list = nlohmann::ordered_json::array();
  for (const auto& [name, spec] : endpoints) {
    nlohmann::ordered_json entry{{"name", spec.name},
                                 {"address", spec.host + ":" + std::to_string(spec.port)},
                                 {"kind", spec.kind},
                                 {"zone", spec.zone},
                                 {"cell", spec.cell},
                                 {"state", stateNames()[static_cast<std::size_t>(spec.state)]},
                                 {"started_ms", spec.startedAt.sinceEpoch / kMicrosPerMilli}};
    if (!spec.tokeniser.empty())
      entry["tokeniser"] = {{"name", spec.tokeniser}, {"version", spec.tokeniserVersion}};
    list.push_back(std::move(entry));
  }
  return nlohmann::ordered_json{{"engines", list}}.dump(2) + "\n";
}

}  // namespace garnethook::membership
