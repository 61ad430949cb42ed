// Tests how the simulator's lines are decoded and encoded, and how malformed lines are reported.
#include "simulator_adapter/adapter.h"

#include <gtest/gtest.h>

#include <sstream>
#include <stdexcept>

#include "simulator_adapter/event_decoder.h"

namespace garnethook::simulator_adapter {
namespace {

const char* const kProvisionLine =
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
const char* const kEndpointListLines =
    "REGISTRY i=3 mode=disk stamp=1 rows=2\n"
    "ITEM hall=b engine=51 readiness=Running rating=1 pod=0 shape=prefill\n"
    "ITEM hall=b engine=52 readiness=Running rating=1 pod=0 cameUpMs=0 shape=decode\n";

struct Result {
  int code = 0;
  std::string out;
  std::string errors;
};
Result runAdapter(const std::string& input, const PolicyFactory& factory = makeHostedRoutingPolicy) {
  std::istringstream in(input);
  std::ostringstream out;
  std::ostringstream errors;
  const int code = serve(in, out, errors, factory);
  return {code, out.str(), errors.str()};
}
std::string batchWith(const std::string& lines) {
  return std::string("BATCH simTimeMs=1000\n") + kProvisionLine + "\n" + kEndpointListLines + lines + "EOB\n";
}
bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST(InstanceConfig, HasTheRouterNumberOnlyIfSpecified) {
  EXPECT_FALSE(decodeInstanceConfig(kProvisionLine).deployment.settings.self);
  const std::string numberedLine = std::string(kProvisionLine) + " me=2";
  EXPECT_EQ(decodeInstanceConfig(numberedLine).deployment.settings.self, 2u);
  const std::string malformed = std::string(kProvisionLine) + " me=two";
  EXPECT_THROW(decodeInstanceConfig(malformed), std::exception);
}

TEST(InstanceConfig, DecodesTheSettings) {
  const InstanceConfig config = decodeInstanceConfig(kProvisionLine);
  const Settings& settings = config.deployment.settings;
  EXPECT_EQ(config.seed, 5U);
  ASSERT_EQ(settings.classes.size(), 2u);
  EXPECT_EQ(settings.classes[0].ttftObjective, 1'000'000);
  EXPECT_EQ(settings.classes[0].ttftObjectivePerKiloToken, 60'000);
  EXPECT_EQ(settings.classes[1].timePerOutputTokenObjective, 80'000);
  EXPECT_EQ(settings.classes[1].idempotency, Idempotency::idempotentWithKey);
  EXPECT_EQ(settings.classes[1].deduplicationScope, DeduplicationScope::zone);
  EXPECT_EQ(settings.classes[1].deduplicationWindow, 700'000);
  EXPECT_EQ(settings.kinds[0].role, Role::prefill);
  EXPECT_DOUBLE_EQ(settings.kinds[1].memoryTokens, 121918);
  EXPECT_EQ(settings.ownZone, 1u);
  EXPECT_EQ(settings.zones, 3u);
  EXPECT_EQ(settings.routers, 3u);
  EXPECT_EQ(settings.kvReleaseTimeout, 500'000);
  EXPECT_TRUE(settings.decodeEndpointsPrefill);
  EXPECT_TRUE(settings.canCancel);
}

TEST(Adapter, RepliesToAnEmptyBatchWithoutActions) {
  const Result result = runAdapter("BATCH simTimeMs=8412.25\nEOB\n");
  EXPECT_EQ(result.code, 0);
  EXPECT_EQ(result.out, "FINISHED\n");
  EXPECT_EQ(result.errors, "");
}

TEST(Adapter, SendsARequestToThePrefillEndpoint) {
  const Result result =
      runAdapter(batchWith("QUERY i=3 txn=7 band=quick session=4 remainingMs=900.5 nPrompt=1800\n"));
  EXPECT_TRUE(contains(result.out, "ISSUE i=3 txn=7 engine=51\n")) << result.out;
  EXPECT_EQ(result.errors, "");
}

TEST(Adapter, SkipsUnknownKeysAndLines) {
  const Result result =
      runAdapter(batchWith("NOVELTY i=3 a=b\nQUERY i=3 txn=7 band=quick remainingMs=900 nPrompt=18 zz=1\n"));
  EXPECT_TRUE(contains(result.out, "ISSUE i=3 txn=7"));
  EXPECT_EQ(result.errors, "");
}

TEST(Adapter, ReportsAMalformedLineOnceAndProcessesTheRest) {
  const Result result =
      runAdapter(batchWith("QUERY i=3 txn=7 band=quick remainingMs=soon nPrompt=18\n"
                           "QUERY i=3 txn=8 band=quick remainingMs=900 nPrompt=18\n"));
  EXPECT_EQ(result.errors, "line 6: field 'remainingMs': not a number\n");
  EXPECT_FALSE(contains(result.out, "txn=7"));
  EXPECT_TRUE(contains(result.out, "ISSUE i=3 txn=8"));
  EXPECT_EQ(result.code, 0);
}

class MalformedLine : public testing::TestWithParam<std::pair<const char*, const char*>> {};
TEST_P(MalformedLine, IsReportedWithItsField) {
  const Result result = runAdapter(batchWith(std::string(GetParam().first) + "\n"));
  EXPECT_TRUE(contains(result.errors, std::string("field '") + GetParam().second + "'")) << result.errors;
  EXPECT_EQ(std::count(result.errors.begin(), result.errors.end(), '\n'), 1);
}
INSTANTIATE_TEST_SUITE_P(
    Lines, MalformedLine,
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

TEST(Adapter, ReportsAPanicWhenThePolicyThrows) {
  class ThrowingPolicy final : public HostedPolicy {
    void handle(Micros, const Event&, std::vector<Action>&) override {
      throw std::runtime_error("odd\nstate");
    }
  };
  const Result result = runAdapter(
      batchWith(""), [](const Settings&, std::uint64_t) { return std::make_unique<ThrowingPolicy>(); });
  EXPECT_TRUE(contains(result.out, "PANIC i=3 text=odd state\nFINISHED\n")) << result.out;
}

// The Retry-After settings are passed to the policy, and its Retry-After value is written to the reply.
TEST(Adapter, TranslatesRetryAfterInSettingsAndActions) {
  struct RejectingPolicy final : HostedPolicy {
    explicit RejectingPolicy(const Settings& policySettings) : settings(policySettings) {}
    void handle(Micros, const Event& event, std::vector<Action>& actions) override {
      const auto* request = std::get_if<RequestArrived>(&event);
      if (request == nullptr) return;
      const bool isTranslated = settings.passesRetryAfter && settings.maxRetryAfter == 750'000;
      actions.push_back(Reject{request->id, isTranslated && request->id.value == 7 ? 250'500 : 0});
    }
    Settings settings;
  };
  const Result result = runAdapter(
      "BATCH simTimeMs=1\nPROVISION i=3 nonce64=1 allowed.retryAfter=true allowed.maxRetryAfterMs=750.0 "
      "profiles.count=1 profiles.0.aimMs=1 profiles.0.deadlineMs=1 profiles.0.effect=read_like "
      "profiles.0.name=quick skus=a familyInfo.kindRole=read\n"
      "QUERY i=3 txn=7 band=quick remainingMs=900\nQUERY i=3 txn=8 band=quick remainingMs=900\nEOB\n",
      [](const Settings& settings, std::uint64_t) { return std::make_unique<RejectingPolicy>(settings); });
  EXPECT_TRUE(contains(result.out, "SAY_NO i=3 txn=7 holdOffMs=250.500\n")) << result.out << result.errors;
  EXPECT_TRUE(contains(result.out, "SAY_NO i=3 txn=8\n")) << result.out;
}

TEST(Adapter, ReportsAPanicWhenTheSettingsAreInvalid) {
  const Result result = runAdapter("BATCH simTimeMs=1\nPROVISION i=3 nonce64=1 skus=\nEOB\n");
  EXPECT_TRUE(contains(result.out, "PANIC i=3 text=kinds")) << result.out;
}

TEST(Adapter, FailsWhenTheInputEndsInsideABatch) {
  const Result result = runAdapter("BATCH simTimeMs=1\nEOB\nBATCH simTimeMs=2\nFIRED i=3 cookie=1\n");
  EXPECT_EQ(result.code, 1);
  EXPECT_TRUE(contains(result.errors, "ended inside a batch"));
  EXPECT_EQ(result.out, "FINISHED\n");
}

TEST(Adapter, RemovesAStoppedInstance) {
  const Result result =
      runAdapter(batchWith("DOWN i=3\nQUERY i=3 txn=7 band=quick remainingMs=900 nPrompt=18\n"));
  EXPECT_FALSE(contains(result.out, "ISSUE"));
  EXPECT_TRUE(contains(result.errors, "no such instance"));
}

TEST(Adapter, KeepsInstancesIndependent) {
  const std::string query = "QUERY i=3 txn=7 band=quick session=4 remainingMs=900 nPrompt=1800\n";
  const auto singleResult = runAdapter(batchWith(query));
  std::string combinedInput = batchWith(query);
  std::string otherInstanceLines = std::string(kProvisionLine) + "\n" + kEndpointListLines;
  for (auto position = otherInstanceLines.find("i=3"); position != std::string::npos;
       position = otherInstanceLines.find("i=3", position + 1))
    if (position == 0 || otherInstanceLines[position - 1] == ' ')
      otherInstanceLines.replace(position, 3, "i=4");
  combinedInput.insert(
      combinedInput.find("EOB"),
      otherInstanceLines + "QUERY i=4 txn=9 band=quick session=4 remainingMs=900 nPrompt=1800\n");
  const auto combinedResult = runAdapter(combinedInput);
  std::istringstream lines(combinedResult.out);
  std::string instanceLines;
  for (std::string line; std::getline(lines, line);)
    if (!contains(line, " i=4")) instanceLines += line + "\n";
  EXPECT_EQ(instanceLines, singleResult.out);
}

}  // namespace
}  // namespace garnethook::simulator_adapter
