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

// Member of a day, or an error that names it.
const json& need(const json& object, const char* key, const std::string& file) {
  const auto at = object.find(key);
  if (at == object.end()) throw config::Error(file + ":1: " + key + ": is missing; no day of the bench");
  return *at;
}

class Import {
 public:
  Import(const config::JsonFile& file, const ImportOptions& options)
      : file_(file), day_(file.root()), options_(options) {}

  std::string text() {
    try {
      length_ = need(day_, "length", file_.name()).get<double>();
      factor_ = options_.seconds * 1e6 / std::max(1.0, length_);
      zones();
      fleet();
      router();
      load();
      for (const json& t : need(day_, "troubles", file_.name())) error(t);
    } catch (const json::exception& e) { throw config::Error(file_.name() + ":1: (day): " + e.what()); }
    std::string out =
        "// Made from a day of the bench, scaled to one machine: " + std::to_string(options_.seconds) +
        " s, " + std::to_string(names_.size()) + " engines.\n";
    for (const auto& note : notes_) out += "// " + note + "\n";
    script_["seed"] = 1;
    script_["list_delay_ms"] =
        std::min(2000.0, ms(day_.value("discovery", json::object()).value("notice", 1e6)));
    script_["settle_ms"] = 4000;
    script_["most_ms"] = options_.seconds * 1000 + 60'000;
    script_["rules"] = {{"drain_grace_ms", 2500}};
    return out + script_.dump(2) + "\n";
  }

 private:
  double ms(double micros) const { return std::round(micros * factor_ / 1000); }

  void zones() {
    for (const auto& z : need(day_, "zones", file_.name())) zones_.push_back(z.get<std::string>());
    ordered_json list = ordered_json::array();
    const std::size_t n = std::max(options_.routers, zones_.size());
    for (std::size_t i = 0; i < n; ++i) list.push_back(zones_[i % zones_.size()]);
    routers_ = n;
    script_["router_zones"] = list;
  }

  // The first servers of each zone and kind, in turn, until the drill's number is reached.
  void fleet() {
    const json& servers = need(day_, "servers", file_.name());
    const json& roles = need(need(day_, "fam", file_.name()), "roles", file_.name());
    for (const auto& r : roles) roles_.push_back(r == "read" ? "reader" : r == "write" ? "writer" : "both");
    std::vector<std::size_t> order;
    std::set<std::pair<std::size_t, std::size_t>> seen;
    for (int round = 0; round < 64 && order.size() < std::min(options_.engines, servers.size()); ++round) {
      seen.clear();
      for (std::size_t i = 0; i < servers.size() && order.size() < options_.engines; ++i) {
        if (!servers[i].value("up", true) || std::find(order.begin(), order.end(), i) != order.end())
          continue;
        if (seen.insert({servers[i].value("zone", 0u), servers[i].value("kind", 0u)}).second)
          order.push_back(i);
      }
    }
    ordered_json list = ordered_json::array();
    for (const std::size_t i : order) {
      const json& s = servers[i];
      const auto kind = s.value("kind", 0u);
      const auto zone = s.value("zone", 0u);
      const std::string name = roles_.at(kind) + "-" + std::to_string(i);
      const double speed = s.value("speed", 1.0);
      names_.push_back({i, name});
      // One cell in each zone: the drill has few engines.
      list.push_back({{"name", name},
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
    script_["fleet"] = list;
  }

  void router() {
    ordered_json classes = ordered_json::array();
    const json& talks = day_["fam"]["talks"];
    std::size_t i = 0;
    for (const json& c : need(day_, "classes", file_.name())) {
      const json talk = i < talks.size() ? talks[i] : json::object();
      classes.push_back({{"name", c.value("name", "class-" + std::to_string(i))},
                         {"aim_ms", c.value("aim", 1e6) / 1000},
                         {"aim_ms_per_1000_tokens", talk.value("aim_ms_per_k", 0.0)},
                         {"deadline_ms", c.value("deadline", 5e6) / 1000},
                         {"token_aim_ms", talk.value("token_ms", 50.0)},
                         {"worth", c.value("worth", 1.0)},
                         {"late_share", c.value("late_worth", 0.0)},
                         {"effect", c.value("effect", "safe")}});
      if (classes.back()["effect"] == "keyed") {
        classes.back()["repeat_window_ms"] = c.value("window", 5e6) / 1000;
        classes.back()["repeat_scope"] =
            c.value("group", "all") == "all" ? "everywhere" : c.value("group", "all");
      }
      ++i;
    }
    ordered_json kinds = ordered_json::array();
    for (std::size_t k = 0; k < roles_.size(); ++k)
      kinds.push_back(
          {{"name", "kind-" + std::to_string(k)}, {"role", roles_[k]}, {"memory_tokens", 200'000}});
    const json allow = day_.value("allow", json::object());
    script_["router"] = {
        {"zones", zones_},
        {"classes", classes},
        {"kinds", kinds},
        {"attempts", allow.value("max_attempts", 4)},
        {"writers_read", day_["fam"].value("writers_read", false)},
        {"release", {{"within_ms", day_["fam"].value("release", 5e5) / 1000}}},
        {"cold_engines",
         {{"from", 0.3}, {"warm_within_ms", 3000}, {"fall_multiple", 2.5}, {"fall_after_ms", 1000}}},
        {"streams", {{"silence_ms", 1500}}},
        {"engines",
         {{"poll_ms", 100},
          {"release_path", "/v1/kv/release"},
          {"probe", allow.value("probes", true)},
          {"cancel", allow.value("cancel", true)}}}};
  }

  void load() {
    ordered_json classes = ordered_json::array();
    const json& talks = day_["fam"]["talks"];
    std::size_t i = 0;
    for (const json& c : day_["classes"]) {
      const json talk = i < talks.size() ? talks[i] : json::object();
      classes.push_back(
          {{"name", c.value("name", "class-" + std::to_string(i))},
           {"share", c.value("share", 1.0)},
           {"prompt_tokens", static_cast<int>(std::clamp(talk.value("new_tokens", 200.0), 4.0, 5000.0))},
           {"beginnings", std::clamp(talk.value("prefixes", 8), 1, 24)},
           {"beginning_tokens",
            static_cast<int>(std::clamp(talk.value("prefix_tokens", 800.0), 1.0, 4000.0))},
           {"beginning_share", talk.value("prefix_share", 0.8)},
           {"output_tokens", std::clamp(talk.value("max_out", 64), 1, 64)},
           {"deadline_ms", c.value("deadline", 5e6) / 1000}});
      ++i;
    }
    const json clients = day_.value("clients", json::object());
    script_["load"] = {{"requests", static_cast<int>(options_.perSecond * options_.seconds)},
                       {"per_second", options_.perSecond},
                       {"retries", clients.value("retries", 0)},
                       {"honour_hints", clients.value("honour", 1.0) >= 0.5},
                       {"cancel_share", std::min(0.05, clients.value("impatient", 0.0))},
                       {"classes", classes}};
    script_["faults"] = ordered_json::array();
  }

  // The drill's engines that stand for those struck; where none of them is in the drill, the same share.
  ordered_json struck(const json& on) const {
    ordered_json out = ordered_json::array();
    for (const auto& [index, name] : names_)
      for (const auto& i : on)
        if (i.get<std::size_t>() == index) out.push_back(name);
    const double share =
        static_cast<double>(on.size()) / std::max<double>(1, static_cast<double>(day_["servers"].size()));
    const auto wanted = static_cast<std::size_t>(std::ceil(share * static_cast<double>(names_.size())));
    for (const auto& [index, name] : names_) {
      if (out.size() >= wanted || out.size() + 1 >= names_.size()) break;
      if (std::find(out.begin(), out.end(), name) == out.end()) out.push_back(name);
    }
    return out;
  }

  void add(double at, double length, const char* what, ordered_json more) {
    ordered_json f{{"at_ms", ms(at)}, {"for_ms", std::max(1.0, ms(length))}, {"do", what}};
    f.update(more);
    script_["faults"].push_back(f);
  }

  void error(const json& t) {
    const std::string kind = t.value("kind", "");
    const double at = t.value("at", 0.0);
    const double length = t.value("len", 0.0);
    const double size = t.value("size", 1.0);
    const json on = t.value("on", json::array());
    if (kind == "hang") {
      add(at, length, "silent", {{"engines", struck(on)}});
    } else if (kind == "vanish") {
      add(at, length, "silent", {{"engines", struck(on)}});
      add(at + length, 200'000 / factor_, "restart", {{"engines", struck(on)}});
    } else if (kind == "slow" || kind == "neighbour") {
      add(at, length, "slow",
          {{"engines", struck(on)}, {"size", kind == "slow" ? size : 1 / std::max(0.1, 1 - size)}});
    } else if (kind == "origin_slow") {
      ordered_json all = ordered_json::array();
      for (const auto& [index, name] : names_) all.push_back(name);
      add(at, length, "link", {{"engines", all}, {"size", size}});
    } else if (kind == "zone_cut") {
      add(at, length, "cut", {{"zone", zones_.at(t.value("which", std::size_t{0}) % zones_.size())}});
    } else if (kind == "mass_restart") {
      add(at, std::max(length, 200'000 / factor_), "restart", {{"engines", struck(on)}});
    } else if (kind == "preempt") {
      for (const json& step : t.value("steps", json::array()))
        add(step.value("at", at), 1e6 / factor_, "restart",
            {{"engines", struck(step.value("stop", json::array()))}});
    } else if (kind == "burst") {
      add(at, length, "burst", {{"size", size}});
    } else if (kind == "balancer_roll") {
      const double down = std::max(100'000.0, t.value("extra", 0.5) * 1e6) / factor_;
      for (std::size_t i = 0; i < routers_; ++i)
        add(at + length * static_cast<double>(i) / static_cast<double>(routers_), down, "kill-router",
            {{"router", i}});
    } else if (kind == "class_fail") {
      add(at, length, "error", {{"engines", struck(on)}});
      notes_.push_back("class_fail: played as errors to every class");
    } else {
      notes_.push_back(kind + ": has no counterpart here, left out");
    }
  }

  const config::JsonFile& file_;
  const json& day_;
  ImportOptions options_;
  ordered_json script_;
  double length_ = 0;
  double factor_ = 1;
  std::vector<std::string> zones_;
  std::vector<std::string> roles_;
  std::vector<std::pair<std::size_t, std::string>> names_;
  std::size_t routers_ = 1;
  std::vector<std::string> notes_;
};

}  // namespace

std::string importDay(const std::shared_ptr<const config::JsonFile>& day, const ImportOptions& options) {
  return Import(*day, options).text();
}

}  // namespace garnethook::fault_scenario
