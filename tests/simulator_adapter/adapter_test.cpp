// The wire: what is read, what is printed, what is said of bad lines.
#include <gtest/gtest.h>

#include <sstream>
#include <stdexcept>

#include "simulator_adapter/adapter.h"

namespace garnethook::simulator_adapter {
namespace {

const char* const kProvision =
    "PROVISION i=3 nonce64=5 allowed.attemptsCap=4 allowed.mayCancel=true allowed.probes=true az=b "
    "balancers=3 "
    "discovery=push familyInfo.aimUsPer1000PromptTokens=60000.0,40000.0 familyInfo.kindRole=read,write "
    "familyInfo.memoryTokens=170321,121918 familyInfo.releaseWithinMs=500.0 "
    "familyInfo.reportX0=share_of_memory_that_is_held "
    "familyInfo.reportX1=thousands_of_prompt_tokens_waiting_to_be_read_or_fetched "
    "familyInfo.selfPrefill=true familyInfo.tokenAimMs=50.0,80.0 profiles.count=2 profiles.0.aimMs=1000.0 "
    "profiles.0.deadlineMs=5000.0 profiles.0.effect=read_like profiles.0.name=quick profiles.1.aimMs=2500.0 "
    "profiles.1.deadlineMs=12000.0 profiles.1.effect=idempotency_key profiles.1.group=zone "
    "profiles.1.name=slow "
    "profiles.1.windowMs=700 rules.coldFrom=0.29 rules.fallMultiple=2.5 rules.graceToAnswerMs=8.0 "
    "rules.tipAfterMs=2000.0 rules.warmWithinMs=14000.0 skus=prefill,decode zones=a,b,c future.key=x";
const char* const kList =
    "REGISTRY i=3 mode=disk stamp=1 rows=2\n"
    "ITEM hall=b engine=51 readiness=Running rating=1 pod=0 shape=prefill\n"
    "ITEM hall=b engine=52 readiness=Running rating=1 pod=0 cameUpMs=0 shape=decode\n";

struct Result {
  int code = 0;
  std::string out;
  std::string errors;
};
Result run(const std::string& input, const DeciderFactory& factory = makeBrain) {
  std::istringstream in(input);
  std::ostringstream out;
  std::ostringstream errors;
  const int code = serve(in, out, errors, factory);
  return {code, out.str(), errors.str()};
}
std::string started(const std::string& more) {
  return std::string("BATCH simTimeMs=1000\n") + kProvision + "\n" + kList + more + "EOB\n";
}
bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

TEST(DeploymentConfig, TheRoutersNumberIsReadWhereItIsTold) {
  EXPECT_FALSE(parseProvision(kProvision).settings.self);
  const std::string numbered = std::string(kProvision) + " me=2";
  EXPECT_EQ(parseProvision(numbered).settings.self, 2u);
  const std::string bad = std::string(kProvision) + " me=two";
  EXPECT_THROW(parseProvision(bad), std::exception);
}

TEST(DeploymentConfig, SettingsAreTranslated) {
  const auto p = parseProvision(kProvision);
  EXPECT_EQ(p.seed, 5u);
  ASSERT_EQ(p.settings.classes.size(), 2u);
  EXPECT_EQ(p.settings.classes[0].ttftObjective, 1'000'000);
  EXPECT_EQ(p.settings.classes[0].ttftObjectivePerKiloToken, 60'000);
  EXPECT_EQ(p.settings.classes[1].timePerOutputTokenObjective, 80'000);
  EXPECT_EQ(p.settings.classes[1].idempotency, Idempotency::idempotentWithKey);
  EXPECT_EQ(p.settings.classes[1].deduplicationScope, DeduplicationScope::zone);
  EXPECT_EQ(p.settings.classes[1].deduplicationWindow, 700'000);
  EXPECT_EQ(p.settings.kinds[0].role, Role::prefill);
  EXPECT_DOUBLE_EQ(p.settings.kinds[1].memoryTokens, 121918);
  EXPECT_EQ(p.settings.ownZone, 1u);
  EXPECT_EQ(p.settings.zones, 3u);
  EXPECT_EQ(p.settings.routers, 3u);
  EXPECT_EQ(p.settings.kvReleaseTimeout, 500'000);
  EXPECT_TRUE(p.settings.decodeEndpointsPrefill);
  EXPECT_TRUE(p.settings.canCancel);
}

TEST(Serve, AnEmptyBatchGetsAnEmptyReply) {
  const auto r = run("BATCH simTimeMs=8412.25\nEOB\n");
  EXPECT_EQ(r.code, 0);
  EXPECT_EQ(r.out, "FINISHED\n");
  EXPECT_EQ(r.errors, "");
}

TEST(Serve, ARequestIsSentToTheReader) {
  const auto r = run(started("QUERY i=3 txn=7 band=quick session=4 remainingMs=900.5 nPrompt=1800\n"));
  EXPECT_TRUE(has(r.out, "ISSUE i=3 txn=7 engine=51\n")) << r.out;
  EXPECT_EQ(r.errors, "");
}

TEST(Serve, UnknownKeysAndMessagesAreSkipped) {
  const auto r =
      run(started("NOVELTY i=3 a=b\nQUERY i=3 txn=7 band=quick remainingMs=900 nPrompt=18 zz=1\n"));
  EXPECT_TRUE(has(r.out, "ISSUE i=3 txn=7"));
  EXPECT_EQ(r.errors, "");
}

TEST(Serve, AMalformedLineGetsOneMessageAndTheRestIsServed) {
  const auto r =
      run(started("QUERY i=3 txn=7 band=quick remainingMs=soon nPrompt=18\n"
                  "QUERY i=3 txn=8 band=quick remainingMs=900 nPrompt=18\n"));
  EXPECT_EQ(r.errors, "line 6: field 'remainingMs': not a number\n");
  EXPECT_FALSE(has(r.out, "txn=7"));
  EXPECT_TRUE(has(r.out, "ISSUE i=3 txn=8"));
  EXPECT_EQ(r.code, 0);
}

class Malformed : public testing::TestWithParam<std::pair<const char*, const char*>> {};
TEST_P(Malformed, NamesTheField) {
  const auto r = run(started(std::string(GetParam().first) + "\n"));
  EXPECT_TRUE(has(r.errors, std::string("field '") + GetParam().second + "'")) << r.errors;
  EXPECT_EQ(std::count(r.errors.begin(), r.errors.end(), '\n'), 1);
}
INSTANTIATE_TEST_SUITE_P(
    Lines, Malformed,
    testing::Values(std::pair{"QUERY i=3 band=quick remainingMs=9", "txn"},
                    std::pair{"QUERY i=9 txn=1 band=quick remainingMs=9", "i"},
                    std::pair{"QUERY i=3 txn=-1 band=quick remainingMs=9", "txn"},
                    std::pair{"QUERY i=3 txn=1 band=quick remainingMs=nan", "remainingMs"},
                    std::pair{"QUERY i=3 txn=1 band=quick remainingMs=1e300", "remainingMs"},
                    std::pair{"QUERY i=3 txn=1 band=quick remainingMs=9 nPrompt=-5", "nPrompt"},
                    std::pair{"ANSWER i=3 txn=1 trial=0 ending=OK", "engine"},
                    std::pair{"ANSWER i=3 txn=1 trial=0 engine=51 ending=OK report=x0", "report"},
                    std::pair{"ANSWER i=3 txn=1 trial=0 engine=51 ending=OK last=maybe", "last"},
                    std::pair{"REGISTRY i=3 mode=odd stamp=1 rows=0", "mode"},
                    std::pair{"REGISTRY i=3 mode=diff stamp=1 rows=4", "rows"},
                    std::pair{"FIRED i=3 cookie", "cookie"}));

TEST(Serve, ABrokenModulePanics) {
  class Broken final : public Decider {
    void handle(Micros, const Event&, std::vector<Action>&) override {
      throw std::runtime_error("odd\nstate");
    }
  };
  const auto r = run(started(""), [](const Settings&, std::uint64_t) { return std::make_unique<Broken>(); });
  EXPECT_TRUE(has(r.out, "PANIC i=3 text=odd state\nFINISHED\n")) << r.out;
}

// What the settings say of coming back reaches the module, and what it answers reaches the wire.
TEST(Serve, RetryAfterIsTranslatedBothWays) {
  struct Refuser final : Decider {
    explicit Refuser(const Settings& s) : settings(s) {}
    void handle(Micros, const Event& event, std::vector<Action>& actions) override {
      const auto* request = std::get_if<RequestArrived>(&event);
      if (request == nullptr) return;
      const bool told = settings.passesRetryAfter && settings.maxRetryAfter == 750'000;
      actions.push_back(Reject{request->id, told && request->id.value == 7 ? 250'500 : 0});
    }
    Settings settings;
  };
  const auto r =
      run("BATCH simTimeMs=1\nPROVISION i=3 nonce64=1 allowed.retryAfter=true allowed.maxRetryAfterMs=750.0 "
          "profiles.count=1 profiles.0.aimMs=1 profiles.0.deadlineMs=1 profiles.0.effect=read_like "
          "profiles.0.name=quick skus=a familyInfo.kindRole=read\n"
          "QUERY i=3 txn=7 band=quick remainingMs=900\nQUERY i=3 txn=8 band=quick remainingMs=900\nEOB\n",
          [](const Settings& s, std::uint64_t) { return std::make_unique<Refuser>(s); });
  EXPECT_TRUE(has(r.out, "SAY_NO i=3 txn=7 holdOffMs=250.500\n")) << r.out << r.errors;
  EXPECT_TRUE(has(r.out, "SAY_NO i=3 txn=8\n")) << r.out;
}

TEST(Serve, SettingsThatCannotWorkPanic) {
  const auto r = run("BATCH simTimeMs=1\nPROVISION i=3 nonce64=1 skus=\nEOB\n");
  EXPECT_TRUE(has(r.out, "PANIC i=3 text=kinds")) << r.out;
}

TEST(Serve, InputCutInsideABatchIsAnError) {
  const auto r = run("BATCH simTimeMs=1\nEOB\nBATCH simTimeMs=2\nFIRED i=3 cookie=1\n");
  EXPECT_EQ(r.code, 1);
  EXPECT_TRUE(has(r.errors, "ended inside a batch"));
  EXPECT_EQ(r.out, "FINISHED\n");
}

TEST(Serve, AStoppedInstanceIsForgotten) {
  const auto r = run(started("DOWN i=3\nQUERY i=3 txn=7 band=quick remainingMs=900 nPrompt=18\n"));
  EXPECT_FALSE(has(r.out, "ISSUE"));
  EXPECT_TRUE(has(r.errors, "no such instance"));
}

TEST(Serve, InstancesActAlikeTogetherAndApart) {
  const std::string query = "QUERY i=3 txn=7 band=quick session=4 remainingMs=900 nPrompt=1800\n";
  const auto alone = run(started(query));
  std::string both = started(query);
  std::string other = std::string(kProvision) + "\n" + kList;
  for (auto at = other.find("i=3"); at != std::string::npos; at = other.find("i=3", at + 1))
    if (at == 0 || other[at - 1] == ' ') other.replace(at, 3, "i=4");
  both.insert(both.find("EOB"),
              other + "QUERY i=4 txn=9 band=quick session=4 remainingMs=900 nPrompt=1800\n");
  const auto together = run(both);
  std::istringstream lines(together.out);
  std::string mine;
  for (std::string line; std::getline(lines, line);)
    if (!has(line, " i=4")) mine += line + "\n";
  EXPECT_EQ(mine, alone.out);
}

}  // namespace
}  // namespace garnethook::simulator_adapter
