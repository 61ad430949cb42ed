// The audit must see each kind of breach, and the drills must pass it.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "fault_scenario/audit.h"
#include "fault_scenario/day_import.h"
#include "fault_scenario/runner.h"

namespace garnethook::fault_scenario {
namespace {

using nlohmann::json;

// An ordinary request's recording, as a base to plant breaches in. Times in milliseconds.
class Story {
 public:
  Story& add(std::int64_t ms, const std::string& what, json fields) {
    fields["t"] = ms * 1000;
    fields["what"] = what;
    if (!fields.contains("marker")) fields["marker"] = "#m1";
    events_.push_back(std::move(fields));
    return *this;
  }
  Story& sent(const std::string& idempotency = "safe") {
    return add(0, "client.sent", {{"deadline", 5'000'000}, {"effect", idempotency}, {"router", "0"}});
  }
  Story& attempt(std::int64_t from, std::int64_t to, const std::string& engine, const std::string& phase,
                 const char* how = "engine.done") {
    add(from, "engine.request", {{"engine", engine}, {"job", phase}});
    return add(to, how, {{"engine", engine}, {"job", phase}});
  }
  Story& final(std::int64_t ms, const std::string& code = "OK", bool rejected = false) {
    return add(ms, "client.final", {{"code", code}, {"refused", rejected}, {"transcript", true}});
  }
  std::vector<std::string> violations() {
    std::stable_sort(events_.begin(), events_.end(),
                     [](const json& a, const json& b) { return a["t"] < b["t"]; });
    return audit(events_, {}).violations;
  }
  std::string only() {
    const auto all = violations();
    return all.size() == 1 ? all[0].substr(0, 6) : std::to_string(all.size()) + " violations";
  }

 private:
  std::vector<json> events_;
};

TEST(Audit, AnOrdinaryRequestIsClean) {
  Story s;
  s.sent().attempt(1, 20, "r", "read").add(20, "state.held", {{"engine", "r"}, {"block", 1}});
  s.attempt(30, 100, "w", "write").add(40, "state.fetched", {{"engine", "r"}, {"block", 1}}).final(100);
  EXPECT_TRUE(s.violations().empty());
}

TEST(Audit, SeesEachPlantedBreach) {
  EXPECT_EQ(Story().sent().attempt(1, 20, "w", "whole").only(), "rule 1");  // no final answer
  EXPECT_EQ(Story().sent().final(10).final(20).only(), "rule 1");           // two
  EXPECT_EQ(Story().sent().final(5100).only(), "rule 1");                   // late
  EXPECT_EQ(Story().sent().final(10).add(20, "client.after", {}).only(),
            "rule 1");                                                    // something after it
  EXPECT_EQ(Story().sent().add(10, "client.lost", {}).only(), "rule 1");  // broke, router alive
  EXPECT_EQ(Story().sent().add(10, "client.final", {{"code", "OK"}, {"transcript", false}}).only(), "rule 1");
  EXPECT_EQ(Story().sent().attempt(1, 500, "w", "whole").attempt(300, 600, "v", "whole").final(700).only(),
            "rule 2");
  EXPECT_EQ(Story()
                .sent("unsafe")
                .attempt(1, 100, "w", "write", "engine.closed")
                .attempt(200, 300, "v", "write")
                .final(400)
                .only(),
            "rule 2");
  EXPECT_EQ(Story()
                .sent("unsafe")
                .attempt(1, 100, "w", "write", "engine.closed")
                .final(400, "UNAVAILABLE", true)
                .only(),
            "rule 2");
  EXPECT_EQ(Story()
                .sent()
                .add(10, "list.told", {{"engine", "w"}, {"running", false}})
                .attempt(900, 950, "w", "whole")
                .final(960)
                .only(),
            "rule 3");
  EXPECT_EQ(Story().add(10, "engine.fell", {{"engine", "w"}}).only(), "rule 4");
  Story pinned;
  pinned.sent()
      .attempt(1, 20, "r", "read")
      .add(20, "state.held", {{"engine", "r"}, {"block", 1}})
      .final(100, "INTERNAL");
  pinned.add(900, "state.released", {{"engine", "r"}, {"block", 1}});
  EXPECT_EQ(pinned.only(), "rule 5");
  Story forgotten;
  forgotten.sent()
      .attempt(1, 20, "r", "read")
      .add(20, "state.held", {{"engine", "r"}, {"block", 1}})
      .final(100, "INTERNAL")
      .add(3000, "end", {});
  EXPECT_EQ(forgotten.only(), "rule 5");
}

TEST(Audit, DoesNotBlameARouterForWhatItMayDo) {
  Story s;  // an unsafe request that was turned away, then tried elsewhere
  s.sent("unsafe")
      .add(1, "engine.request", {{"engine", "w"}, {"job", "write"}})
      .add(2, "engine.refused", {{"engine", "w"}, {"status", 429}});
  s.attempt(10, 50, "v", "write").final(60);
  EXPECT_TRUE(s.violations().empty());
  Story killed;
  killed.sent().add(5, "router.killed", {{"router", "0"}}).add(6, "client.lost", {});
  EXPECT_TRUE(killed.violations().empty());
}

class Folder {
 public:
  Folder() {
    std::string pattern = testing::TempDir() + "garnethook-drill-XXXXXX";
    EXPECT_NE(::mkdtemp(pattern.data()), nullptr);
    path = pattern;
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string path;
};

// `share`: of the script's load, so that a build with sanitizers keeps up with it on one core.
Result play(const std::shared_ptr<const config::JsonFile>& file, double share = 1) {
  const Folder folder;
  Script script = readScript(file, folder.path + "/engines.json");
  script.load.perSecond *= share;
  script.load.requests = static_cast<std::uint64_t>(static_cast<double>(script.load.requests) * share);
  Result r = run(script, {.folder = folder.path});
  std::ostringstream text;
  print(r, text);
  EXPECT_TRUE(r.passed) << text.str();
  return r;
}

TEST(Drill, TheBadDayKeepsTheRules) {
  play(config::JsonFile::load(GARNETHOOK_SOURCE "/deploy/drills/bad-day.json"), 0.12);
}

// A day as the bench draws them, in its format; made up, not drawn.
constexpr std::string_view kDay = R"({ "length": 40000000, "zones": ["east", "west"],
  "classes": [ { "name": "ask", "share": 1, "aim": 1000000, "deadline": 4000000, "worth": 1, "effect": "safe" } ],
  "fam": { "roles": ["read", "write"], "release": 500000, "writers_read": true,
           "talks": [ { "new_tokens": 150, "max_out": 60, "prefix_tokens": 900, "prefix_share": 0.7, "prefixes": 9, "token_ms": 50 } ] },
  "clients": { "retries": 1, "honour": 0.9, "impatient": 0.01 }, "discovery": { "notice": 900000 },
  "allow": { "cancel": true, "probes": true, "max_attempts": 4 },
  "servers": [ { "zone": 0, "kind": 0 }, { "zone": 0, "kind": 0 }, { "zone": 0, "kind": 1 }, { "zone": 0, "kind": 1 },
               { "zone": 1, "kind": 0 }, { "zone": 1, "kind": 0 }, { "zone": 1, "kind": 1 }, { "zone": 1, "kind": 1 } ],
  "troubles": [ { "kind": "hang", "at": 4000000, "len": 4000000, "on": [2] }, { "kind": "slow", "at": 8000000, "len": 4000000, "size": 4, "on": [0] },
                { "kind": "zone_cut", "at": 14000000, "len": 4000000, "which": 1 }, { "kind": "mass_restart", "at": 20000000, "len": 900000, "on": [3, 5] },
                { "kind": "preempt", "at": 24000000, "steps": [ { "at": 24000000, "stop": [6] } ] },
                { "kind": "burst", "at": 26000000, "len": 3000000, "size": 1.6 }, { "kind": "origin_slow", "at": 30000000, "len": 2000000, "size": 3 },
                { "kind": "balancer_roll", "at": 32000000, "len": 6000000, "extra": 0.5 }, { "kind": "hot_key", "at": 1, "len": 1 } ] })";

TEST(Drill, ADayOfTheBenchIsPlayedAndKeepsTheRules) {
  const auto text = importDay(config::JsonFile::parse("day", kDay),
                              {.seconds = 8, .engines = 8, .routers = 2, .perSecond = 15});
  EXPECT_NE(text.find("hot_key: has no counterpart here"), std::string::npos);
  const auto file = config::JsonFile::parse("day as script", text);
  EXPECT_EQ(file->root()["faults"].size(), 9u);
  play(file);
}

TEST(Drill, WhatIsNoDayIsNamed) {
  try {
    importDay(config::JsonFile::parse("x.json", R"({"length": 5})"), {});
    FAIL();
  } catch (const config::Error& e) {
    EXPECT_EQ(std::string(e.what()), "x.json:1: zones: is missing; no day of the bench");
  }
}

}  // namespace
}  // namespace garnethook::fault_scenario
