#include "platform/config/platform_config.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <deque>
#include <stdexcept>

#include "platform/discovery/endpoint_list.h"

namespace garnethook::platform {
namespace {

using config::Node;
using nlohmann::json;

// The settings object as facts: `a.b.2.c`, lists of plain values joined by commas, blanks and commas inside
// of texts as the wire writes them.
class FlatSettings {
 public:
  explicit FlatSettings(const json& root) { walk(root, ""); }
  const deployment_config::FieldReader& facts() const { return facts_; }

 private:
  static std::string plain(const json& value) {
    if (!value.is_string()) return value.is_null() ? std::string() : value.dump();
    std::string text = value.get<std::string>();
    std::replace_if(
        text.begin(), text.end(), [](char c) { return c == ' ' || c == ','; }, '_');
    return text;
  }
  void put(const std::string& path, std::string text) {
    texts_.push_back(path);
    const std::string& name = texts_.back();
    texts_.push_back(std::move(text));
    facts_.add(name, texts_.back());
  }
  void walk(const json& value, const std::string& path) {
    const std::string under = path.empty() ? path : path + ".";
    if (value.is_object()) {
      for (const auto& [key, item] : value.items()) walk(item, under + key);
    } else if (value.is_array()) {
      const bool nested =
          std::any_of(value.begin(), value.end(), [](const json& v) { return v.is_structured(); });
      if (nested) {
        put(under + "count", std::to_string(value.size()));
        for (std::size_t i = 0; i < value.size(); ++i) walk(value[i], under + std::to_string(i));
        return;
      }
      std::string joined;
      for (const auto& item : value) joined += (joined.empty() ? "" : ",") + plain(item);
      put(path, std::move(joined));
    } else if (!value.is_null()) {
      put(path, plain(value));
    }
  }
  std::deque<std::string> texts_;  // whose places stay
  deployment_config::FieldReader facts_;
};

std::string address(const Node& root, std::string_view key, const Environment& environment,
                    const char* variable) {
  const std::string text = root.has(key) ? root.text(key) : environment(variable).value_or(std::string());
  if (text.empty()) root.failAt(key, std::string("is missing, and ") + variable + " is not set");
  try {
    static_cast<void>(Poco::Net::SocketAddress(text));
  } catch (const Poco::Exception& e) { root.failAt(key, "no address: " + e.displayText()); }
  return text;
}

std::uint64_t seed(const Node& root) {
  if (!root.has("seed")) return 1;
  const json& value = root.raw()["seed"];
  if (value.is_number_unsigned()) return value.get<std::uint64_t>();
  const std::string text = root.text("seed");
  std::uint64_t out = 0;
  const auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), out, 16);
  if (bad != std::errc() || end != text.data() + text.size())
    root.failAt("seed", "a hexadecimal number is wanted");
  return out;
}

}  // namespace

std::optional<std::string> systemEnvironment(const char* name) {
  const char* value = std::getenv(name);
  if (value == nullptr) return std::nullopt;
  return value;
}

PlatformConfig readConfig(const std::shared_ptr<const config::JsonFile>& file,
                          const Environment& environment) {
  const Node root(file);
  PlatformConfig out;
  out.path = file->name();
  out.name = root.has("name") ? root.text("name") : environment("RELAY_NAME").value_or("router");
  out.listen = address(root, "listen", environment, "RELAY_LISTEN");
  out.discovery = address(root, "discovery", environment, "RELAY_DISCOVERY");
  out.seed = seed(root);

  const Node limits = root.object("limits");
  out.limits.cores = limits.number("cores", 1, 0.001, 1024);
  out.limits.memory = static_cast<std::uint64_t>(limits.number("memory_mb", 1024, 1, 1e7) * 1024 * 1024);
  out.limits.descriptors = static_cast<std::size_t>(limits.integer("sockets", 1024, 32, 10'000'000));

  if (!root.has("settings")) root.failAt("settings", "is missing");
  const Node settings = root.object("settings");
  const FlatSettings flat(settings.raw());
  try {
    out.deployment = deployment_config::readDeploymentConfig(flat.facts());
    static_cast<void>(
        RoutingPolicy(out.deployment.settings, 1));  // what the module itself asks of its settings
  } catch (const deployment_config::FieldError& e) {
    std::string pointer = "/settings/" + e.field();
    std::replace(pointer.begin(), pointer.end(), '.', '/');
    throw config::Error(file->name() + ":" + std::to_string(file->line(pointer)) + ": settings." + e.what());
  } catch (const std::invalid_argument& e) { settings.fail(e.what()); }

  if (root.has("known")) {
    const Node known = root.object("known");
    try {
      const EndpointListUpdate update = parseEndpointList(known.raw().dump());
      EndpointList list;
      list.apply(update);
      out.known = list.engines();
      out.knownVersion = list.version();
      out.errors = update.errors;
    } catch (const std::runtime_error& e) { known.fail(e.what()); }
  }
  return out;
}

PlatformConfig loadConfig(const Environment& environment) {
  const auto path = environment("RELAY_CONFIG");
  if (!path || path->empty())
    throw config::Error("RELAY_CONFIG: is not set; it names the configuration file");
  return readConfig(config::JsonFile::load(*path), environment);
}

}  // namespace garnethook::platform
