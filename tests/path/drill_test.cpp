// Tests that the audit detects each kind of rule violation, and that the fault scenarios pass the audit.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "fault_scenario/audit.h"
#include "fault_scenario/day_import.h"
#include "fault_scenario/runner.h"

namespace garnethook::fault_scenario {
namespace {

using nlohmann::json;

// Builds the recording of one request, to which tests add rule violations. Times are in milliseconds.
class RequestRecording {
 public:
  RequestRecording& add(std::int64_t timeMs, const std::string& kind, json fields) {
    fields["t"] = timeMs * 1000;
    fields["what"] = kind;
    if (!fields.contains("marker")) fields["marker"] = "#m1";
    events_.push_back(std::move(fields));
    return *this;
  }
  RequestRecording& sent(const std::string& idempotency = "safe") {
    return add(0, "client.sent", {{"deadline", 5'000'000}, {"effect", idempotency}, {"router", "0"}});
  }
  RequestRecording& attempt(std::int64_t startMs, std::int64_t endMs, const std::string& engine,
                            const std::string& phase, const char* endEvent = "engine.done") {
    add(startMs, "engine.request", {{"engine", engine}, {"job", phase}});
    return add(endMs, endEvent, {{"engine", engine}, {"job", phase}});
  }
  RequestRecording& final(std::int64_t timeMs, const std::string& code = "OK", bool rejected = false) {
    return add(timeMs, "client.final", {{"code", code}, {"refused", rejected}, {"transcript", true}});
  }
  std::vector<std::string> violations() {
    std::stable_sort(events_.begin(), events_.end(),
                     [](const json& event, const json& other) { return event["t"] < other["t"]; });
    return audit(events_, {}).violations;
  }
  std::string onlyRule() {
    const auto found = violations();
    return found.size() == 1 ? found[0].substr(0, 6) : std::to_string(found.size()) + " violations";
  }

 private:
  std::vector<json> events_;
};

TEST(Audit, NormalRequestHasNoViolations) {
  RequestRecording recording;
  recording.sent().attempt(1, 20, "r", "read").add(20, "state.held", {{"engine", "r"}, {"block", 1}});
  recording.attempt(30, 100, "w", "write")
      .add(40, "state.fetched", {{"engine", "r"}, {"block", 1}})
      .final(100);
  EXPECT_TRUE(recording.violations().empty());
}

TEST(Audit, DetectsEachKindOfViolation) {
  EXPECT_EQ(RequestRecording().sent().attempt(1, 20, "w", "whole").onlyRule(),
            "rule 1");                                                            // no final response
  EXPECT_EQ(RequestRecording().sent().final(10).final(20).onlyRule(), "rule 1");  // two final responses
  EXPECT_EQ(RequestRecording().sent().final(5100).onlyRule(), "rule 1");          // after the deadline
  EXPECT_EQ(RequestRecording().sent().final(10).add(20, "client.after", {}).onlyRule(),
            "rule 1");  // data after the final response
  EXPECT_EQ(RequestRecording().sent().add(10, "client.lost", {}).onlyRule(),
            "rule 1");  // connection lost while the router runs
  EXPECT_EQ(
      RequestRecording().sent().add(10, "client.final", {{"code", "OK"}, {"transcript", false}}).onlyRule(),
      "rule 1");
  EXPECT_EQ(RequestRecording()
                .sent()
                .attempt(1, 500, "w", "whole")
                .attempt(300, 600, "v", "whole")
                .final(700)
                .onlyRule(),
            "rule 2");
  EXPECT_EQ(RequestRecording()
                .sent("unsafe")
                .attempt(1, 100, "w", "write", "engine.closed")
                .attempt(200, 300, "v", "write")
                .final(400)
                .onlyRule(),
            "rule 2");
  EXPECT_EQ(RequestRecording()
                .sent("unsafe")
                .attempt(1, 100, "w", "write", "engine.closed")
                .final(400, "UNAVAILABLE", true)
                .onlyRule(),
            "rule 2");
  EXPECT_EQ(RequestRecording()
                .sent()
                .add(10, "list.told", {{"engine", "w"}, {"running", false}})
                .attempt(900, 950, "w", "whole")
                .final(960)
                .onlyRule(),
            "rule 3");
  EXPECT_EQ(RequestRecording().add(10, "engine.fell", {{"engine", "w"}}).onlyRule(), "rule 4");
  RequestRecording releasedLate;
  releasedLate.sent()
      .attempt(1, 20, "r", "read")
      .add(20, "state.held", {{"engine", "r"}, {"block", 1}})
      .final(100, "INTERNAL");
  releasedLate.add(900, "state.released", {{"engine", "r"}, {"block", 1}});
  EXPECT_EQ(releasedLate.onlyRule(), "rule 5");
  RequestRecording neverReleased;
  neverReleased.sent()
      .attempt(1, 20, "r", "read")
      .add(20, "state.held", {{"engine", "r"}, {"block", 1}})
      .final(100, "INTERNAL")
      .add(3000, "end", {});
  EXPECT_EQ(neverReleased.onlyRule(), "rule 5");
}

TEST(Audit, AcceptsPermittedRouterBehaviour) {
  RequestRecording rejectedFirst;  // a non-idempotent request that one engine rejected and another executed
  rejectedFirst.sent("unsafe")
      .add(1, "engine.request", {{"engine", "w"}, {"job", "write"}})
      .add(2, "engine.refused", {{"engine", "w"}, {"status", 429}});
  rejectedFirst.attempt(10, 50, "v", "write").final(60);
  EXPECT_TRUE(rejectedFirst.violations().empty());
  RequestRecording routerKilled;
  routerKilled.sent().add(5, "router.killed", {{"router", "0"}}).add(6, "client.lost", {});
  EXPECT_TRUE(routerKilled.violations().empty());
}

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern = testing::TempDir() + "garnethook-drill-XXXXXX";
    EXPECT_NE(::mkdtemp(pattern.data()), nullptr);
    path = pattern;
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
  std::string path;
};

// Runs a scenario with the given share of its load, so that a build with sanitizers can keep up on one core.
Result runScenario(const std::shared_ptr<const config::JsonFile>& file, double share = 1) {
  const TemporaryFolder folder;
  Script script = readScript(file, folder.path + "/engines.json");
  script.load.requestsPerSecond *= share;
  script.load.requests = static_cast<std::uint64_t>(static_cast<double>(script.load.requests) * share);
  Result result = run(script, {.folder = folder.path});
  std::ostringstream text;
  print(result, text);
  EXPECT_TRUE(result.passed) << text.str();
  return result;
}

TEST(FaultScenario, BadDayPassesAudit) {
  runScenario(config::JsonFile::load(GARNETHOOK_SOURCE "/deploy/drills/bad-day.json"), 0.12);
}

// A bench day in the format that `lbsim draw` writes, written by hand.
constexpr std::string_view kBenchDay = R"({ "length": 40000000, "zones": ["east", "west"],
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

TEST(FaultScenario, ImportedBenchDayPassesAudit) {
  const auto text = importDay(config::JsonFile::parse("day", kBenchDay),
                              {.seconds = 8, .engines = 8, .routers = 2, .requestsPerSecond = 15});
  EXPECT_NE(text.find("hot_key: has no equivalent fault; omitted"), std::string::npos);
  const auto file = config::JsonFile::parse("day as script", text);
  EXPECT_EQ(file->root()["faults"].size(), 9u);
  runScenario(file);
}

TEST(FaultScenario, ImportReportsMissingMemberOfBenchDay) {
  try {
    importDay(config::JsonFile::parse("x.json", R"({"length": 5})"), {});
    FAIL();
  } catch (const config::Error& error) {
    EXPECT_EQ(std::string(error.what()), "x.json:1: zones: is missing; the file is not a bench day");
  }
}

}  // namespace
}  // namespace garnethook::fault_scenario
