#include "platform/config/platform_config.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <stdexcept>

#include "platform/config/settings_flattener.h"
#include "platform/discovery/endpoint_list.h"

namespace garnethook::platform {
namespace {

using config::Node;
using nlohmann::json;

constexpr std::uint64_t kDefaultSeed = 1;
constexpr int kHexadecimalBase = 16;
constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;

constexpr double kDefaultCores = 1;
constexpr double kMinCores = 0.001;
constexpr double kMaxCores = 1024;
constexpr double kDefaultMemoryMegabytes = 1024;
constexpr double kMaxMemoryMegabytes = 1e7;
constexpr std::int64_t kDefaultDescriptors = 1024;
constexpr std::int64_t kMinDescriptors = 32;
constexpr std::int64_t kMaxDescriptors = 10'000'000;

std::string readAddress(const Node& root, std::string_view key, const Environment& environment,
                        const char* variable) {
  std::string text = root.has(key) ? root.text(key) : environment(variable).value_or(std::string());
  if (text.empty()) root.failAt(key, std::string("is missing, and ") + variable + " is not set");
  try {
    static_cast<void>(Poco::Net::SocketAddress(text));
  } catch (const Poco::Exception& error) { root.failAt(key, "not a valid address: " + error.displayText()); }
  return text;
}

std::uint64_t readSeed(const Node& root) {
  if (!root.has("seed")) return kDefaultSeed;
  const json& value = root.raw()["seed"];
  if (value.is_number_unsigned()) return value.get<std::uint64_t>();
  const std::string text = root.text("seed");
  const char* const end = text.data() + text.size();
  std::uint64_t seed = 0;
  const auto [parseEnd, error] = std::from_chars(text.data(), end, seed, kHexadecimalBase);
  if (error != std::errc() || parseEnd != end) root.failAt("seed", "must be a hexadecimal number");
  return seed;
}

Limits readLimits(const Node& node) {
  Limits limits;
  limits.cores = node.number("cores", kDefaultCores, kMinCores, kMaxCores);
  limits.memoryBytes = static_cast<std::uint64_t>(
      node.number("memory_mb", kDefaultMemoryMegabytes, 1, kMaxMemoryMegabytes) * kBytesPerMegabyte);
  limits.descriptors = static_cast<std::size_t>(
      node.integer("sockets", kDefaultDescriptors, kMinDescriptors, kMaxDescriptors));
  return limits;
}

// Converts a field name to a JSON pointer, by which the line of the field in the file is found.
std::string toJsonPointer(const deployment_config::FieldError& error) {
  std::string pointer = "/settings/" + error.field();
  std::replace(pointer.begin(), pointer.end(), '.', '/');
  return pointer;
}

deployment_config::DeploymentConfig readSettings(const config::JsonFile& file, const Node& root) {
  if (!root.has("settings")) root.failAt("settings", "is missing");
  const Node settings = root.object("settings");
  const FlattenedSettings flattened(settings.raw());
  try {
    auto deployment = deployment_config::readDeploymentConfig(flattened.fields());
    static_cast<void>(RoutingPolicy(deployment.settings, kDefaultSeed));  // validates the settings
    return deployment;
  } catch (const deployment_config::FieldError& error) {
    throw config::Error(file.name() + ":" + std::to_string(file.line(toJsonPointer(error))) + ": settings." +
                        error.what());
  } catch (const std::invalid_argument& error) { settings.fail(error.what()); }
}

void readLastKnownList(const Node& root, PlatformConfig& config) {
  if (!root.has("known")) return;
  const Node known = root.object("known");
  try {
    const EndpointListUpdate update = parseEndpointList(known.raw().dump());
    EndpointList list;
    list.apply(update);
    config.lastKnownEndpoints = list.endpoints();
    config.lastKnownVersion = list.version();
    config.lastKnownErrors = update.errors;
  } catch (const std::runtime_error& error) { known.fail(error.what()); }
}

}  // namespace

std::optional<std::string> systemEnvironment(const char* name) {
  const char* value = std::getenv(name);
  if (value == nullptr) return std::nullopt;
  return value;
}

PlatformConfig readPlatformConfig(const std::shared_ptr<const config::JsonFile>& file,
                                  const Environment& environment) {
  const Node root(file);
  PlatformConfig config;
  config.path = file->name();
  config.name = root.has("name") ? root.text("name") : environment("RELAY_NAME").value_or("router");
  config.listenAddress = readAddress(root, "listen", environment, "RELAY_LISTEN");
  config.discoveryAddress = readAddress(root, "discovery", environment, "RELAY_DISCOVERY");
  config.seed = readSeed(root);
  config.limits = readLimits(root.object("limits"));
  config.deployment = readSettings(*file, root);
  readLastKnownList(root, config);
  return config;
}

PlatformConfig loadPlatformConfig(const Environment& environment) {
  const auto path = environment("RELAY_CONFIG");
  if (!path || path->empty())
    throw config::Error("RELAY_CONFIG: is not set; it must name the configuration file");
  return readPlatformConfig(config::JsonFile::load(*path), environment);
}

}  // namespace garnethook::platform
