// Tests of exact token counts on the whole request path: from the text of a gRPC request to the event that
// the policy gets, with engines of several tokeniser versions and under overload.
#include <random>

#include "fake_engine/generated_vocabulary.h"
#include "world.h"

namespace garnethook::test {
namespace {

std::string fleetWithVersions(int firstSeed, int secondSeed) {
  return R"({ "engines": [
    { "name": "read-1", "kind": "prefill", "role": "reader", "cell": "r", "read_tokens_per_s": 1000000, "made_tokeniser": )" +
         std::to_string(firstSeed) + R"( },
    { "name": "read-2", "kind": "prefill", "role": "reader", "cell": "r", "read_tokens_per_s": 1000000, "made_tokeniser": )" +
         std::to_string(secondSeed) + R"( },
    { "name": "write", "count": 2, "kind": "decode", "role": "writer", "cell": "r", "token_ms": 1, "made_tokeniser": )" +
         std::to_string(firstSeed) + R"( } ] })";
}

const fake_engine::ReferenceTokeniser& engineTokeniser(int seed) {
  static std::map<int, std::shared_ptr<const fake_engine::ReferenceTokeniser>> tokenisers;
  auto& tokeniser = tokenisers[seed];
  if (!tokeniser) tokeniser = fake_engine::generateTokeniser(static_cast<std::uint64_t>(seed));
  return *tokeniser;
}

// A temporary folder with the files of two generated vocabularies.
class VocabularyFiles {
 public:
  VocabularyFiles() {
    std::string pattern = (std::filesystem::temp_directory_path() / "garnethook-counts-XXXXXX").string();
    folder = ::mkdtemp(pattern.data());
    for (const int seed : {1, 2}) write(seed, fake_engine::generateRanks(static_cast<std::uint64_t>(seed)));
  }
  ~VocabularyFiles() { std::filesystem::remove_all(folder); }
  std::string path(int seed) const { return folder + "/made-" + std::to_string(seed) + ".tiktoken"; }
  void write(int seed, const std::string& text) const {
    std::ofstream(path(seed) + ".new", std::ios::binary) << text;
    std::filesystem::rename(path(seed) + ".new", path(seed));
  }
  // Returns members of the router's settings, preceded by a comma.
  std::string settings(std::vector<int> seeds = {1, 2}, const std::string& counting = "") const {
    std::string members = R"(, "tokenisers": [)";
    for (std::size_t index = 0; index < seeds.size(); ++index)
      members +=
          std::string(index > 0 ? "," : "") + R"({ "name": "made", "version": ")" +
          std::to_string(seeds[index]) +
          R"(", "format": "ranks", "pattern": "cl100k_base", "special_tokens": { "<|end|>": 100001 }, "file": ")" +
          path(seeds[index]) + "\" }";
    return members + R"(], "counting": { "ask_every_ms": 50)" + counting + " }";
  }
  std::string folder;
};

std::string randomPrompt(std::mt19937_64& random, std::size_t bytes) {
  static const std::vector<std::string> parts{
      " the",   " hello", "a",  "aaaa", " ", "   ", "\n",  " \n",   "12345",   "é", "e\u0301",
      "日本語", "😀",      "==", "'s",   "'", "l",   " st", " prou", "<|end|>", "<|"};
  std::string prompt = "x";
  while (prompt.size() < bytes) prompt += parts[random() % parts.size()];
  return prompt;
}

// Collects the prompt token counts that the policy gets with its events, in order.
struct PolicyEvents {
  explicit PolicyEvents(World& world) {
    world.router->onDecisionMade = [this](Micros, const Event& event, const std::vector<Action>&) {
      if (const auto* arrival = std::get_if<RequestArrived>(&event)) arrived.push_back(*arrival);
      if (const auto* update = std::get_if<PromptCounted>(&event)) countUpdates.push_back(*update);
    };
  }
  std::vector<RequestArrived> arrived;
  std::vector<PromptCounted> countUpdates;
};

bool waitForVersions(World& world, std::size_t engines = 4) {
  return world.until([&] { return world.router->counts().versions().estimated() == 0 && engines > 0; });
}

double promptTokensBy(const RequestArrived& arrival, std::uint64_t tokeniser) {
  for (const auto& count : arrival.counts)
    if (count.tokeniser == tokeniser) return count.promptTokens;
  return 0;
}

// The fake engine counts on the test's own event loop, which takes a second per thousand tokens on a busy
// machine (load average 12). The router estimates its prefill time from that, and rejected longer prompts as
// too late for a TTFT objective of one second; hence the longer objective here.
TEST(TokenCounts, PolicyGetsTheCountOfTheEngine) {
  constexpr int kTtftObjectiveMs = 30'000;
  VocabularyFiles files;
  World world(fleetWithVersions(1, 1), files.settings({1}), "", kTtftObjectiveMs);
  PolicyEvents policyEvents(world);
  ASSERT_TRUE(waitForVersions(world));
  std::mt19937_64 random(5);
  std::vector<std::string> prompts{"a",      " ", "\n", std::string(9000, 'a'), std::string(9000, ' ') + "x",
                                   "<|end|>"};
  for (int i = 0; i < 40; ++i) prompts.push_back(randomPrompt(random, random() % 9'000));
  for (const auto& prompt : prompts) {
    Reply reply;
    world.sendRequest(reply, prompt, 30'000'000);
    ASSERT_TRUE(world.until([&] { return reply.status.has_value(); }));
    ASSERT_EQ(reply.status->code, grpc::Code::ok) << reply.status->message;
    const auto expected = engineTokeniser(1).encode(prompt).size();
    ASSERT_EQ(policyEvents.arrived.back().promptTokens, static_cast<double>(expected));
    ASSERT_EQ(reply.finish.usage().prompt_tokens(), expected);
  }
  EXPECT_EQ(world.router->counts().counter()->counters().estimatedLate, 0U);
}

TEST(TokenCounts, SpecialTokensAreTextUnlessTheRequestAllowsThem) {
  VocabularyFiles files;
  World world(fleetWithVersions(1, 1), files.settings({1}));
  PolicyEvents policyEvents(world);
  ASSERT_TRUE(waitForVersions(world));
  const std::string prompt = "one<|end|>two<|end|>three";
  for (const bool allowSpecialTokens : {false, true, false}) {
    v1::GenerateRequest request;
    request.set_prompt(prompt);
    request.set_special_tokens(allowSpecialTokens);
    request.set_max_output_tokens(4);
    Reply reply;
    world.channel->call("/garnethook.v1.Generation/Generate", request.SerializeAsString(), 5'000'000, reply);
    ASSERT_TRUE(world.until([&] { return reply.status.has_value(); }));
    EXPECT_EQ(policyEvents.arrived.back().promptTokens,
              static_cast<double>(engineTokeniser(1).encode(prompt, allowSpecialTokens).size()));
    EXPECT_EQ(reply.finish.usage().prompt_tokens(),
              engineTokeniser(1).encode(prompt, allowSpecialTokens).size());
  }
  EXPECT_NE(policyEvents.arrived[0].promptTokens, policyEvents.arrived[1].promptTokens);
}

TEST(TokenCounts, SharedPrefixIsLimitedToThePromptLength) {
  VocabularyFiles files;
  World world(fleetWithVersions(1, 1), files.settings({1}));
  PolicyEvents policyEvents(world);
  ASSERT_TRUE(waitForVersions(world));
  for (const std::uint32_t length : {0U, 3U, 11U, 4'000'000'000U}) {
    v1::GenerateRequest request;
    request.set_prompt("hello hello the end");
    request.mutable_shared_beginning()->set_key("k");
    request.mutable_shared_beginning()->set_length(length);
    request.set_max_output_tokens(4);
    Reply reply;
    world.channel->call("/garnethook.v1.Generation/Generate", request.SerializeAsString(), 5'000'000, reply);
    ASSERT_TRUE(world.until([&] { return reply.status.has_value(); }));
    EXPECT_LE(policyEvents.arrived.back().sharedPrefixTokens, policyEvents.arrived.back().promptTokens);
  }
}

TEST(TokenCounts, CountsByTheTokeniserVersionOfEachEngine) {
  VocabularyFiles files;
  World world(fleetWithVersions(1, 2), files.settings());
  PolicyEvents policyEvents(world);
  ASSERT_TRUE(waitForVersions(world));
  const auto& versions = world.router->counts().versions();
  const auto firstVersion = versions.basis(membership::endpointId("read-1")).number;
  const auto secondVersion = versions.basis(membership::endpointId("read-2")).number;
  ASSERT_NE(firstVersion, secondVersion);
  std::mt19937_64 random(9);
  for (int i = 0; i < 10; ++i) {
    const std::string prompt = randomPrompt(random, 5000);
    Reply reply;
    world.sendRequest(reply, prompt);
    ASSERT_TRUE(world.until([&] { return reply.status.has_value(); }));
    EXPECT_EQ(promptTokensBy(policyEvents.arrived.back(), firstVersion),
              static_cast<double>(engineTokeniser(1).encode(prompt).size()));
    EXPECT_EQ(promptTokensBy(policyEvents.arrived.back(), secondVersion),
              static_cast<double>(engineTokeniser(2).encode(prompt).size()));
  }
}

// All engines restart with another tokeniser version. Counts of the old version must not reach the policy
// afterwards.
TEST(TokenCounts, RestartWithAnotherVersionChangesTheCounts) {
  VocabularyFiles files;
  World world(fleetWithVersions(1, 1), files.settings());
  PolicyEvents policyEvents(world);
  ASSERT_TRUE(waitForVersions(world));
  const auto& versions = world.router->counts().versions();
  const auto firstVersion = versions.basis(membership::endpointId("read-1")).number;
  Reply before;
  const std::string prompt = "hello prou the st " + std::string(3000, 'a');
  world.sendRequest(before, prompt);
  ASSERT_TRUE(world.until([&] { return before.status.has_value(); }));
  ASSERT_EQ(policyEvents.arrived.back().counts.size(), 1U);
  for (const char* name : {"read-1", "read-2", "write-1", "write-2"}) {
    auto* engine = world.fleet.find(name);
    engine->setTokeniser(fake_engine::generateTokeniser(2));
    engine->stop();
    world.pass(5'000);
    engine->start();
  }
  world.fleet.writeList(world.endpointListPath(), 0);
  ASSERT_TRUE(world.until([&] {
    const auto current = versions.basis(membership::endpointId("read-1")).number;
    return current != 0 && current != firstVersion && versions.estimated() == 0 &&
           versions.inUse().size() == 1;
  }));
  Reply after;
  world.sendRequest(after, prompt);
  ASSERT_TRUE(world.until([&] { return after.status.has_value(); }));
  ASSERT_EQ(after.status->code, grpc::Code::ok) << after.status->message;
  EXPECT_EQ(policyEvents.arrived.back().promptTokens,
            static_cast<double>(engineTokeniser(2).encode(prompt).size()));
  EXPECT_EQ(promptTokensBy(policyEvents.arrived.back(), firstVersion), 0);
  EXPECT_EQ(after.finish.usage().prompt_tokens(), engineTokeniser(2).encode(prompt).size());
}

// An engine changes its tokeniser version while a request waits in the policy: the policy must get updated
// counts. The request's deadline and number of attempts leave a slow machine time to load a vocabulary, and
// the fake engine's tokeniser is generated before the request is sent.
TEST(TokenCounts, VersionChangeUpdatesTheCountsOfWaitingRequests) {
  VocabularyFiles files;
  World world(fleetWithVersions(1, 1), files.settings() + R"(, "attempts": 100)");
  PolicyEvents policyEvents(world);
  ASSERT_TRUE(waitForVersions(world));
  const auto newTokeniser = fake_engine::generateTokeniser(2);
  for (const char* name : {"read-1", "read-2"}) world.fleet.find(name)->faults.silent = true;
  Reply reply;
  world.sendRequest(reply, "hello prou " + std::string(2000, 'a'), 60'000'000);
  ASSERT_TRUE(world.until([&] { return policyEvents.arrived.size() == 1; }));
  auto* engine = world.fleet.find("write-1");
  engine->setTokeniser(newTokeniser);
  engine->stop();
  world.pass(5'000);
  engine->start();
  world.fleet.writeList(world.endpointListPath(), 0);
  ASSERT_TRUE(world.until([&] { return !policyEvents.countUpdates.empty(); }, 40'000'000));
  EXPECT_FALSE(reply.status);
  EXPECT_EQ(policyEvents.countUpdates[0].id, policyEvents.arrived[0].id);
  EXPECT_EQ(policyEvents.countUpdates[0].counts.size(), 2U);
  for (const char* name : {"read-1", "read-2"}) world.fleet.find(name)->faults.silent = false;
  ASSERT_TRUE(world.until([&] { return reply.status.has_value(); }, 60'000'000));
  EXPECT_EQ(reply.status->code, grpc::Code::ok) << reply.status->message;
  EXPECT_EQ(reply.finalCount, 1);
}

TEST(TokenCounts, VersionWithoutAFileIsEstimatedByTheRatioOfTheEngine) {
  VocabularyFiles files;
  World world(fleetWithVersions(2, 2), files.settings({1}));
  PolicyEvents policyEvents(world);
  const auto& versions = world.router->counts().versions();
  std::mt19937_64 random(2);
  double reported = 0;
  double countedByEngine = 0;
  for (int i = 0; i < 30; ++i) {
    const std::string prompt = randomPrompt(random, 4000);
    Reply reply;
    world.sendRequest(reply, prompt);
    ASSERT_TRUE(world.until([&] { return reply.status.has_value(); }));
    reported += policyEvents.arrived.back().promptTokens;
    countedByEngine += reply.finish.usage().prompt_tokens();
  }
  EXPECT_EQ(versions.estimated(), 4U);
  for (const char* name : {"read-1", "read-2"}) {
    const auto basis = versions.basis(membership::endpointId(name));
    EXPECT_EQ(basis.number, 0U);
    EXPECT_NEAR(basis.factor, countedByEngine / reported, 0.1);
  }
}

// An engine reports version 1 and counts by version 2.
TEST(TokenCounts, DetectsAnEngineThatReportsTheWrongVersion) {
  VocabularyFiles files;
  World world(
      R"({ "engines": [ { "name": "mixed", "kind": "mixed", "role": "both", "cell": "r", "token_ms": 1 } ] })",
      files.settings({1}));
  auto mislabelled = std::make_shared<fake_engine::ReferenceTokeniser>(
      "made", "1", fake_engine::generateRanks(2), tokeniser::knownPattern("cl100k_base"));
  world.fleet.find("mixed")->setTokeniser(mislabelled);
  ASSERT_TRUE(waitForVersions(world, 1));
  const auto& versions = world.router->counts().versions();
  int asked = 0;
  std::mt19937_64 random(2);
  for (; asked < 10 && versions.estimated() == 0; ++asked) {
    Reply reply;
    world.sendRequest(reply, randomPrompt(random, 3000));
    ASSERT_TRUE(world.until([&] { return reply.status.has_value(); }));
  }
  EXPECT_EQ(asked, 4);
  EXPECT_EQ(versions.basis(membership::endpointId("mixed")).number, 0U);
}

// With the queue of the counting workers full, further prompts are estimated, and each request gets exactly
// one final response.
TEST(TokenCounts, FullCountingQueueFallsBackToEstimates) {
  VocabularyFiles files;
  World world(fleetWithVersions(1, 1),
              files.settings({1}, R"(, "workers": 1, "waiting_mb": 0.3, "waiting_prompts": 3)"));
  PolicyEvents policyEvents(world);
  ASSERT_TRUE(waitForVersions(world));
  std::mt19937_64 random(3);
  std::vector<std::unique_ptr<Reply>> replies;
  for (int i = 0; i < 60; ++i) {
    replies.push_back(std::make_unique<Reply>());
    world.sendRequest(*replies.back(), randomPrompt(random, 60'000), 20'000'000);
  }
  ASSERT_TRUE(world.until(
      [&] {
        return std::all_of(replies.begin(), replies.end(),
                           [](const auto& reply) { return reply->status.has_value(); });
      },
      40'000'000));
  const auto& counters = world.router->counts().counter()->counters();
  EXPECT_GT(counters.estimatedFull, 0U);
  EXPECT_GT(counters.onWorkers, 0U);
  EXPECT_EQ(policyEvents.arrived.size(), 60U);
  for (const auto& reply : replies) EXPECT_EQ(reply->finalCount, 1);
  const auto estimates = std::count_if(policyEvents.arrived.begin(), policyEvents.arrived.end(),
                                       [](const auto& arrival) { return arrival.counts.empty(); });
  EXPECT_GE(static_cast<std::uint64_t>(estimates), counters.estimatedFull);
  EXPECT_EQ(world.router->counts().open(), 0U);
}

TEST(TokenCounts, ClientCancellationStopsCounting) {
  VocabularyFiles files;
  World world(fleetWithVersions(1, 1), files.settings({1}, R"(, "workers": 1, "within_ms": 60000)"));
  PolicyEvents policyEvents(world);
  ASSERT_TRUE(waitForVersions(world));
  std::mt19937_64 random(3);
  std::vector<std::unique_ptr<Reply>> replies;
  std::vector<http2::StreamId> ids;
  for (int i = 0; i < 8; ++i) {
    replies.push_back(std::make_unique<Reply>());
    ids.push_back(world.sendRequest(*replies.back(), randomPrompt(random, 900'000), 600'000'000));
  }
  ASSERT_TRUE(world.until([&] { return world.router->counts().open() >= 4; }));
  const auto open = world.router->counts().open();
  for (const auto id : ids) world.channel->cancel(id);
  ASSERT_TRUE(world.until([&] { return world.router->counts().open() == 0; }));
  EXPECT_GE(world.router->counts().counter()->counters().cancelled + policyEvents.arrived.size(), open);
  EXPECT_GT(world.router->counts().counter()->counters().cancelled, 0U);
}

TEST(TokenCounts, ReloadWithAnInvalidFileKeepsTheOldTokeniser) {
  VocabularyFiles files;
  World world(fleetWithVersions(1, 1), files.settings({1}));
  PolicyEvents policyEvents(world);
  ASSERT_TRUE(waitForVersions(world));
  const auto& versions = world.router->counts().versions();
  const auto number = versions.basis(membership::endpointId("read-1")).number;
  const auto reload = [&] {
    world.router->reload(server::readSettings(
        config::Node(config::JsonFile::parse("router", world.settingsText)), world.endpointListPath()));
  };
  files.write(1, "QUJD 1\nnonsense\n");
  reload();
  world.pass(300'000);
  EXPECT_EQ(versions.basis(membership::endpointId("read-1")).number, number);
  Reply reply;
  world.sendRequest(reply, "hello again");
  ASSERT_TRUE(world.until([&] { return reply.status.has_value(); }));
  EXPECT_EQ(policyEvents.arrived.back().promptTokens,
            static_cast<double>(engineTokeniser(1).encode("hello again").size()));
  files.write(1, fake_engine::generateRanks(1));
  reload();
  ASSERT_TRUE(world.until([&] { return versions.basis(membership::endpointId("read-1")).number > number; }));
}

}  // namespace
}  // namespace garnethook::test
