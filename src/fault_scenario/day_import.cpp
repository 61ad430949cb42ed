#include "fault_scenario/day_import.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

namespace garnethook::fault_scenario {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

// Returns a member of `object`; throws config::Error with its name if it is missing.
const json& requiredMember(const json& object, const char* key, const std::string& file) {
  const auto member = object.find(key);
  if (member == object.end())
    throw config::Error(file + ":1: " + key + ": is missing; the file is not a bench day");
  return *member;
}

class DayImporter {
 public:
  DayImporter(const config::JsonFile& file, const ImportOptions& options)
      : file_(file), day_(file.root()), options_(options) {}

  std::string text() {
    try {
      dayMicros_ = requiredMember(day_, "length", file_.name()).get<double>();
      timeScale_ = options_.seconds * 1e6 / std::max(1.0, dayMicros_);
      importZones();
      importFleet();
      importRouter();
      importLoad();
      for (const json& fault : requiredMember(day_, "troubles", file_.name())) importFault(fault);
    } catch (const json::exception& e) { throw config::Error(file_.name() + ":1: (day): " + e.what()); }
    std::string scriptText =
        "// Generated from a bench day, scaled to one machine: " + std::to_string(options_.seconds) + " s, " +
        std::to_string(engineNames_.size()) + " engines.\n";
    for (const auto& note : notes_) scriptText += "// " + note + "\n";
    script_["seed"] = 1;
    script_["list_delay_ms"] =
        std::min(2000.0, scaledMs(day_.value("discovery", json::object()).value("notice", 1e6)));
    script_["settle_ms"] = 4000;
    script_["most_ms"] = options_.seconds * 1000 + 60'000;
    script_["rules"] = {{"drain_grace_ms", 2500}};
    return scriptText + script_.dump(2) + "\n";
  }

 private:
  double scaledMs(double micros) const { return std::round(micros * timeScale_ / 1000); }

  void importZones() {
    for (const auto& zone : requiredMember(day_, "zones", file_.name()))
      zones_.push_back(zone.get<std::string>());
    ordered_json routerZones = ordered_json::array();
    const std::size_t routers = std::max(options_.routers, zones_.size());
    for (std::size_t index = 0; index < routers; ++index)
      routerZones.push_back(zones_[index % zones_.size()]);
    routerCount_ = routers;
    script_["router_zones"] = routerZones;
  }

  // Selects the first servers of each zone and kind in turn, until the scenario has enough engines.
  void importFleet() {
    const json& servers = requiredMember(day_, "servers", file_.name());
    const json& roles = requiredMember(requiredMember(day_, "fam", file_.name()), "roles", file_.name());
    for (const auto& role : roles)
      roles_.push_back(role == "read" ? "reader" : role == "write" ? "writer" : "both");
    std::vector<std::size_t> selected;
    std::set<std::pair<std::size_t, std::size_t>> zonesAndKinds;
    for (int round = 0; round < 64 && selected.size() < std::min(options_.engines, servers.size()); ++round) {
      zonesAndKinds.clear();
      for (std::size_t index = 0; index < servers.size() && selected.size() < options_.engines; ++index) {
        if (!servers[index].value("up", true) ||
            std::find(selected.begin(), selected.end(), index) != selected.end())
          continue;
        if (zonesAndKinds.insert({servers[index].value("zone", 0u), servers[index].value("kind", 0u)}).second)
          selected.push_back(index);
      }
    }
    ordered_json engines = ordered_json::array();
    for (const std::size_t index : selected) {
      const json& server = servers[index];
      const auto kind = server.value("kind", 0u);
      const auto zone = server.value("zone", 0u);
      const std::string name = roles_.at(kind) + "-" + std::to_string(index);
      const double speed = server.value("speed", 1.0);
      engineNames_.push_back({index, name});
      // One cell per zone, because the scenario has few engines.
      engines.push_back({{"name", name},
                         {"kind", "kind-" + std::to_string(kind)},
                         {"role", roles_[kind]},
                         {"zone", zones_.at(zone)},
                         {"cell", "cell-" + zones_[zone]},
                         {"host", "127.0." + std::to_string(20 + zone) + ".1"},
                         {"slots", 12},
                         {"queue", 30},
                         {"read_tokens_per_s", std::round(20'000 * speed)},
                         {"token_ms", std::round(40 / speed) / 10},
                         {"warm_within_ms", 3000},
                         {"cold_from", 0.3},
                         {"fall_multiple", 2.5},
                         {"fall_after_ms", 1000}});
    }
    script_["fleet"] = engines;
  }

  void importRouter() {
    ordered_json classes = ordered_json::array();
    const json& trafficByClass = day_["fam"]["talks"];
    std::size_t index = 0;
    for (const json& dayClass : requiredMember(day_, "classes", file_.name())) {
      const json traffic = index < trafficByClass.size() ? trafficByClass[index] : json::object();
      classes.push_back({{"name", dayClass.value("name", "class-" + std::to_string(index))},
                         {"aim_ms", dayClass.value("aim", 1e6) / 1000},
                         {"aim_ms_per_1000_tokens", traffic.value("aim_ms_per_k", 0.0)},
                         {"deadline_ms", dayClass.value("deadline", 5e6) / 1000},
                         {"token_aim_ms", traffic.value("token_ms", 50.0)},
                         {"worth", dayClass.value("worth", 1.0)},
                         {"late_share", dayClass.value("late_worth", 0.0)},
                         {"effect", dayClass.value("effect", "safe")}});
      if (classes.back()["effect"] == "keyed") {
        classes.back()["repeat_window_ms"] = dayClass.value("window", 5e6) / 1000;
        classes.back()["repeat_scope"] =
            dayClass.value("group", "all") == "all" ? "everywhere" : dayClass.value("group", "all");
      }
      ++index;
    }
    ordered_json kinds = ordered_json::array();
    for (std::size_t kind = 0; kind < roles_.size(); ++kind)
      kinds.push_back(
          {{"name", "kind-" + std::to_string(kind)}, {"role", roles_[kind]}, {"memory_tokens", 200'000}});
    const json permissions = day_.value("allow", json::object());
    script_["router"] = {
        {"zones", zones_},
        {"classes", classes},
        {"kinds", kinds},
        {"attempts", permissions.value("max_attempts", 4)},
        {"writers_read", day_["fam"].value("writers_read", false)},
        {"release", {{"within_ms", day_["fam"].value("release", 5e5) / 1000}}},
        {"cold_engines",
         {{"from", 0.3}, {"warm_within_ms", 3000}, {"fall_multiple", 2.5}, {"fall_after_ms", 1000}}},
        {"streams", {{"silence_ms", 1500}}},
        {"engines",
         {{"poll_ms", 100},
          {"release_path", "/v1/kv/release"},
          {"probe", permissions.value("probes", true)},
          {"cancel", permissions.value("cancel", true)}}}};
  }

  void importLoad() {
    ordered_json classes = ordered_json::array();
    const json& trafficByClass = day_["fam"]["talks"];
    std::size_t index = 0;
    for (const json& dayClass : day_["classes"]) {
      const json traffic = index < trafficByClass.size() ? trafficByClass[index] : json::object();
      classes.push_back(
          {{"name", dayClass.value("name", "class-" + std::to_string(index))},
           {"share", dayClass.value("share", 1.0)},
           {"prompt_tokens", static_cast<int>(std::clamp(traffic.value("new_tokens", 200.0), 4.0, 5000.0))},
           {"beginnings", std::clamp(traffic.value("prefixes", 8), 1, 24)},
           {"beginning_tokens",
            static_cast<int>(std::clamp(traffic.value("prefix_tokens", 800.0), 1.0, 4000.0))},
           {"beginning_share", traffic.value("prefix_share", 0.8)},
           {"output_tokens", std::clamp(traffic.value("max_out", 64), 1, 64)},
           {"deadline_ms", dayClass.value("deadline", 5e6) / 1000}});
      ++index;
    }
    const json clients = day_.value("clients", json::object());
    script_["load"] = {{"requests", static_cast<int>(options_.requestsPerSecond * options_.seconds)},
                       {"per_second", options_.requestsPerSecond},
                       {"retries", clients.value("retries", 0)},
                       {"honour_hints", clients.value("honour", 1.0) >= 0.5},
                       {"cancel_share", std::min(0.05, clients.value("impatient", 0.0))},
                       {"classes", classes}};
    script_["faults"] = ordered_json::array();
  }

  // Returns the scenario's engines that represent the affected servers of the day. Servers that are not part
  // of the scenario are replaced by other engines, so that the same share of engines is affected.
  ordered_json affectedEngines(const json& dayServers) const {
    ordered_json engines = ordered_json::array();
    for (const auto& [index, name] : engineNames_)
      for (const auto& dayServer : dayServers)
        if (dayServer.get<std::size_t>() == index) engines.push_back(name);
    const double share = static_cast<double>(dayServers.size()) /
                         std::max<double>(1, static_cast<double>(day_["servers"].size()));
    const auto engineCount =
        static_cast<std::size_t>(std::ceil(share * static_cast<double>(engineNames_.size())));
    for (const auto& [index, name] : engineNames_) {
      if (engines.size() >= engineCount || engines.size() + 1 >= engineNames_.size()) break;
      if (std::find(engines.begin(), engines.end(), name) == engines.end()) engines.push_back(name);
    }
    return engines;
  }

  void addFault(double start, double duration, const char* action, ordered_json parameters) {
    ordered_json fault{
        {"at_ms", scaledMs(start)}, {"for_ms", std::max(1.0, scaledMs(duration))}, {"do", action}};
    fault.update(parameters);
    script_["faults"].push_back(fault);
  }

  void importFault(const json& fault) {
    const std::string kind = fault.value("kind", "");
    const double start = fault.value("at", 0.0);
    const double duration = fault.value("len", 0.0);
    const double size = fault.value("size", 1.0);
    const json dayServers = fault.value("on", json::array());
    if (kind == "hang") {
      addFault(start, duration, "silent", {{"engines", affectedEngines(dayServers)}});
    } else if (kind == "vanish") {
      addFault(start, duration, "silent", {{"engines", affectedEngines(dayServers)}});
      addFault(start + duration, 200'000 / timeScale_, "restart", {{"engines", affectedEngines(dayServers)}});
    } else if (kind == "slow" || kind == "neighbour") {
      addFault(start, duration, "slow",
               {{"engines", affectedEngines(dayServers)},
                {"size", kind == "slow" ? size : 1 / std::max(0.1, 1 - size)}});
    } else if (kind == "origin_slow") {
      ordered_json allEngines = ordered_json::array();
      for (const auto& [index, name] : engineNames_) allEngines.push_back(name);
      addFault(start, duration, "link", {{"engines", allEngines}, {"size", size}});
    } else if (kind == "zone_cut") {
      addFault(start, duration, "cut",
               {{"zone", zones_.at(fault.value("which", std::size_t{0}) % zones_.size())}});
    } else if (kind == "mass_restart") {
      addFault(start, std::max(duration, 200'000 / timeScale_), "restart",
               {{"engines", affectedEngines(dayServers)}});
    } else if (kind == "preempt") {
      for (const json& step : fault.value("steps", json::array()))
        addFault(step.value("at", start), 1e6 / timeScale_, "restart",
                 {{"engines", affectedEngines(step.value("stop", json::array()))}});
    } else if (kind == "burst") {
      addFault(start, duration, "burst", {{"size", size}});
    } else if (kind == "balancer_roll") {
      const double downtime = std::max(100'000.0, fault.value("extra", 0.5) * 1e6) / timeScale_;
      for (std::size_t router = 0; router < routerCount_; ++router)
        addFault(start + duration * static_cast<double>(router) / static_cast<double>(routerCount_), downtime,
                 "kill-router", {{"router", router}});
    } else if (kind == "class_fail") {
      addFault(start, duration, "error", {{"engines", affectedEngines(dayServers)}});
      notes_.push_back("class_fail: converted to errors for every class");
    } else {
      notes_.push_back(kind + ": has no equivalent fault; omitted");
    }
  }

  const config::JsonFile& file_;
  const json& day_;
  ImportOptions options_;
  ordered_json script_;
  double dayMicros_ = 0;
  double timeScale_ = 1;
  std::vector<std::string> zones_;
  std::vector<std::string> roles_;
  std::vector<std::pair<std::size_t, std::string>> engineNames_;
  std::size_t routerCount_ = 1;
  std::vector<std::string> notes_;
};

}  // namespace

std::string importDay(const std::shared_ptr<const config::JsonFile>& day, const ImportOptions& options) {
  return DayImporter(*day, options).text();
}

}  // namespace garnethook::fault_scenario
