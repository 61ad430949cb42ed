// Exact counts on the whole path: gRPC text in, the module's event out, engines of several versions, floods.
#include <random>

#include "fake_engine/generated_vocabulary.h"
#include "world.h"

namespace garnethook::test {
namespace {

std::string fleetOf(int first, int second) {
  return R"({ "engines": [
    { "name": "read-1", "kind": "prefill", "role": "reader", "cell": "r", "read_tokens_per_s": 1000000, "made_tokeniser": )" +
         std::to_string(first) + R"( },
    { "name": "read-2", "kind": "prefill", "role": "reader", "cell": "r", "read_tokens_per_s": 1000000, "made_tokeniser": )" +
         std::to_string(second) + R"( },
    { "name": "write", "count": 2, "kind": "decode", "role": "writer", "cell": "r", "token_ms": 1, "made_tokeniser": )" +
         std::to_string(first) + R"( } ] })";
}

const fake_engine::ReferenceTokeniser& own(int seed) {
  static std::map<int, std::shared_ptr<const fake_engine::ReferenceTokeniser>> made;
  auto& t = made[seed];
  if (!t) t = fake_engine::generateTokeniser(static_cast<std::uint64_t>(seed));
  return *t;
}

// A folder with the files of two made vocabularies.
class Files {
 public:
  Files() {
    std::string pattern = (std::filesystem::temp_directory_path() / "garnethook-counts-XXXXXX").string();
    folder = ::mkdtemp(pattern.data());
    for (const int seed : {1, 2}) write(seed, fake_engine::generateRanks(static_cast<std::uint64_t>(seed)));
  }
  ~Files() { std::filesystem::remove_all(folder); }
  std::string path(int seed) const { return folder + "/made-" + std::to_string(seed) + ".tiktoken"; }
  void write(int seed, const std::string& text) const {
    std::ofstream(path(seed) + ".new", std::ios::binary) << text;
    std::filesystem::rename(path(seed) + ".new", path(seed));
  }
  // Members of the router's settings.
  std::string settings(std::vector<int> seeds = {1, 2}, const std::string& counting = "") const {
    std::string out = R"(, "tokenisers": [)";
    for (std::size_t i = 0; i < seeds.size(); ++i)
      out +=
          std::string(i > 0 ? "," : "") + R"({ "name": "made", "version": ")" + std::to_string(seeds[i]) +
          R"(", "format": "ranks", "pattern": "cl100k_base", "special_tokens": { "<|end|>": 100001 }, "file": ")" +
          path(seeds[i]) + "\" }";
    return out + R"(], "counting": { "ask_every_ms": 50)" + counting + " }";
  }
  std::string folder;
};

std::string draw(std::mt19937_64& random, std::size_t bytes) {
  static const std::vector<std::string> parts{
      " the",   " hello", "a",  "aaaa", " ", "   ", "\n",  " \n",   "12345",   "é", "e\u0301",
      "日本語", "😀",      "==", "'s",   "'", "l",   " st", " prou", "<|end|>", "<|"};
  std::string out = "x";
  while (out.size() < bytes) out += parts[random() % parts.size()];
  return out;
}

// What the module was told of each request, in order.
struct Told {
  explicit Told(World& w) {
    w.router->onDecisionMade = [this](Micros, const Event& e, const std::vector<Action>&) {
      if (const auto* a = std::get_if<RequestArrived>(&e)) arrived.push_back(*a);
      if (const auto* c = std::get_if<PromptCounted>(&e)) updateTokenCounts.push_back(*c);
    };
  }
  std::vector<RequestArrived> arrived;
  std::vector<PromptCounted> updateTokenCounts;
};

bool known(World& w, std::size_t engines = 4) {
  return w.until([&] { return w.router->counts().versions().estimated() == 0 && engines > 0; });
}

double countAt(const RequestArrived& a, std::uint64_t number) {
  for (const auto& c : a.counts)
    if (c.tokeniser == number) return c.promptTokens;
  return 0;
}

// The engine counts on this test's own loop, a second for a thousand tokens on a busy machine. The router
// learns that time, and used to reject longer prompts as too late for an objective of one second (seen at
// load 12).
TEST(Counts, TheModuleIsToldWhatTheEngineCounts) {
  constexpr int kObjectiveMs = 30'000;
  Files files;
  World w(fleetOf(1, 1), files.settings({1}), "", kObjectiveMs);
  Told told(w);
  ASSERT_TRUE(known(w));
  std::mt19937_64 random(5);
  std::vector<std::string> prompts{"a",      " ", "\n", std::string(9000, 'a'), std::string(9000, ' ') + "x",
                                   "<|end|>"};
  for (int i = 0; i < 40; ++i) prompts.push_back(draw(random, random() % 9'000));
  for (const auto& prompt : prompts) {
    Reply reply;
    w.ask(reply, prompt, 30'000'000);
    ASSERT_TRUE(w.until([&] { return reply.status.has_value(); }));
    ASSERT_EQ(reply.status->code, grpc::Code::ok) << reply.status->message;
    const auto expected = own(1).encode(prompt).size();
    ASSERT_EQ(told.arrived.back().promptTokens, static_cast<double>(expected));
    ASSERT_EQ(reply.finish.usage().prompt_tokens(), expected);
  }
  EXPECT_EQ(w.router->counts().counter()->counters().estimatedLate, 0U);
}

TEST(Counts, SpecialTokensAreTextUnlessTheRequestSaysSo) {
  Files files;
  World w(fleetOf(1, 1), files.settings({1}));
  Told told(w);
  ASSERT_TRUE(known(w));
  const std::string prompt = "one<|end|>two<|end|>three";
  for (const bool special : {false, true, false}) {
    v1::GenerateRequest r;
    r.set_prompt(prompt);
    r.set_special_tokens(special);
    r.set_max_output_tokens(4);
    Reply reply;
    w.channel->call("/garnethook.v1.Generation/Generate", r.SerializeAsString(), 5'000'000, reply);
    ASSERT_TRUE(w.until([&] { return reply.status.has_value(); }));
    EXPECT_EQ(told.arrived.back().promptTokens, static_cast<double>(own(1).encode(prompt, special).size()));
    EXPECT_EQ(reply.finish.usage().prompt_tokens(), own(1).encode(prompt, special).size());
  }
  EXPECT_NE(told.arrived[0].promptTokens, told.arrived[1].promptTokens);
}

TEST(Counts, ADeclaredBeginningThatIsTooLongIsCutToThePrompt) {
  Files files;
  World w(fleetOf(1, 1), files.settings({1}));
  Told told(w);
  ASSERT_TRUE(known(w));
  for (const std::uint32_t length : {0U, 3U, 11U, 4'000'000'000U}) {
    v1::GenerateRequest r;
    r.set_prompt("hello hello the end");
    r.mutable_shared_beginning()->set_key("k");
    r.mutable_shared_beginning()->set_length(length);
    r.set_max_output_tokens(4);
    Reply reply;
    w.channel->call("/garnethook.v1.Generation/Generate", r.SerializeAsString(), 5'000'000, reply);
    ASSERT_TRUE(w.until([&] { return reply.status.has_value(); }));
    EXPECT_LE(told.arrived.back().sharedPrefixTokens, told.arrived.back().promptTokens);
  }
}

TEST(Counts, TwoVersionsAtOnceEachEngineByItsOwn) {
  Files files;
  World w(fleetOf(1, 2), files.settings());
  Told told(w);
  ASSERT_TRUE(known(w));
  const auto& book = w.router->counts().versions();
  const auto one = book.basis(membership::endpointId("read-1")).number;
  const auto two = book.basis(membership::endpointId("read-2")).number;
  ASSERT_NE(one, two);
  std::mt19937_64 random(9);
  for (int i = 0; i < 10; ++i) {
    const std::string prompt = draw(random, 5000);
    Reply reply;
    w.ask(reply, prompt);
    ASSERT_TRUE(w.until([&] { return reply.status.has_value(); }));
    EXPECT_EQ(countAt(told.arrived.back(), one), static_cast<double>(own(1).encode(prompt).size()));
    EXPECT_EQ(countAt(told.arrived.back(), two), static_cast<double>(own(2).encode(prompt).size()));
  }
}

// The readers come back with another version; after that no count of the old one is told.
TEST(Counts, ARestartWithAnotherVersionIsCountedAnew) {
  Files files;
  World w(fleetOf(1, 1), files.settings());
  Told told(w);
  ASSERT_TRUE(known(w));
  const auto& book = w.router->counts().versions();
  const auto one = book.basis(membership::endpointId("read-1")).number;
  Reply before;
  const std::string prompt = "hello prou the st " + std::string(3000, 'a');
  w.ask(before, prompt);
  ASSERT_TRUE(w.until([&] { return before.status.has_value(); }));
  ASSERT_EQ(told.arrived.back().counts.size(), 1U);
  for (const char* name : {"read-1", "read-2", "write-1", "write-2"}) {
    auto* e = w.fleet.find(name);
    e->setTokeniser(fake_engine::generateTokeniser(2));
    e->stop();
    w.pass(5'000);
    e->start();
  }
  w.fleet.writeList(w.list(), 0);
  ASSERT_TRUE(w.until([&] {
    const auto now = book.basis(membership::endpointId("read-1")).number;
    return now != 0 && now != one && book.estimated() == 0 && book.inUse().size() == 1;
  }));
  Reply after;
  w.ask(after, prompt);
  ASSERT_TRUE(w.until([&] { return after.status.has_value(); }));
  ASSERT_EQ(after.status->code, grpc::Code::ok) << after.status->message;
  EXPECT_EQ(told.arrived.back().promptTokens, static_cast<double>(own(2).encode(prompt).size()));
  EXPECT_EQ(countAt(told.arrived.back(), one), 0);
  EXPECT_EQ(after.finish.usage().prompt_tokens(), own(2).encode(prompt).size());
}

// A request waits in the module while its engines change version: its counts are told anew. Its time and its
// tries are more than any machine needs to load a vocabulary, and the stand-in's own is made before it asks.
TEST(Counts, AChangeOfVersionReachesRequestsThatWait) {
  Files files;
  World w(fleetOf(1, 1), files.settings() + R"(, "attempts": 100)");
  Told told(w);
  ASSERT_TRUE(known(w));
  const auto two = fake_engine::generateTokeniser(2);
  for (const char* name : {"read-1", "read-2"}) w.fleet.find(name)->faults.silent = true;
  Reply reply;
  w.ask(reply, "hello prou " + std::string(2000, 'a'), 60'000'000);
  ASSERT_TRUE(w.until([&] { return told.arrived.size() == 1; }));
  auto* e = w.fleet.find("write-1");
  e->setTokeniser(two);
  e->stop();
  w.pass(5'000);
  e->start();
  w.fleet.writeList(w.list(), 0);
  ASSERT_TRUE(w.until([&] { return !told.updateTokenCounts.empty(); }, 40'000'000));
  EXPECT_FALSE(reply.status);
  EXPECT_EQ(told.updateTokenCounts[0].id, told.arrived[0].id);
  EXPECT_EQ(told.updateTokenCounts[0].counts.size(), 2U);
  for (const char* name : {"read-1", "read-2"}) w.fleet.find(name)->faults.silent = false;
  ASSERT_TRUE(w.until([&] { return reply.status.has_value(); }, 60'000'000));
  EXPECT_EQ(reply.status->code, grpc::Code::ok) << reply.status->message;
  EXPECT_EQ(reply.finals, 1);
}

TEST(Counts, AVersionWithoutAFileIsEstimatedByTheEnginesOwnRatio) {
  Files files;
  World w(fleetOf(2, 2), files.settings({1}));
  Told told(w);
  const auto& book = w.router->counts().versions();
  std::mt19937_64 random(2);
  double main = 0;
  double real = 0;
  for (int i = 0; i < 30; ++i) {
    const std::string prompt = draw(random, 4000);
    Reply reply;
    w.ask(reply, prompt);
    ASSERT_TRUE(w.until([&] { return reply.status.has_value(); }));
    main += told.arrived.back().promptTokens;
    real += reply.finish.usage().prompt_tokens();
  }
  EXPECT_EQ(book.estimated(), 4U);
  for (const char* name : {"read-1", "read-2"}) {
    const auto basis = book.basis(membership::endpointId(name));
    EXPECT_EQ(basis.number, 0U);
    EXPECT_NEAR(basis.factor, real / main, 0.1);
  }
}

// An engine tells version 1 and counts by version 2.
TEST(Counts, AnEngineThatToldTheWrongVersionIsFoundOut) {
  Files files;
  World w(
      R"({ "engines": [ { "name": "mixed", "kind": "mixed", "role": "both", "cell": "r", "token_ms": 1 } ] })",
      files.settings({1}));
  auto wrong = std::make_shared<fake_engine::ReferenceTokeniser>("made", "1", fake_engine::generateRanks(2),
                                                           tokeniser::knownPattern("cl100k_base"));
  w.fleet.find("mixed")->setTokeniser(wrong);
  ASSERT_TRUE(known(w, 1));
  const auto& book = w.router->counts().versions();
  int asked = 0;
  std::mt19937_64 random(2);
  for (; asked < 10 && book.estimated() == 0; ++asked) {
    Reply reply;
    w.ask(reply, draw(random, 3000));
    ASSERT_TRUE(w.until([&] { return reply.status.has_value(); }));
  }
  EXPECT_EQ(asked, 4);
  EXPECT_EQ(book.basis(membership::endpointId("mixed")).number, 0U);
}

// The counters' queue is full: the rest is estimated and everything gets its one answer.
TEST(Counts, AFloodOfLongPromptsFallsBackToEstimates) {
  Files files;
  World w(fleetOf(1, 1), files.settings({1}, R"(, "workers": 1, "waiting_mb": 0.3, "waiting_prompts": 3)"));
  Told told(w);
  ASSERT_TRUE(known(w));
  std::mt19937_64 random(3);
  std::vector<std::unique_ptr<Reply>> replies;
  for (int i = 0; i < 60; ++i) {
    replies.push_back(std::make_unique<Reply>());
    w.ask(*replies.back(), draw(random, 60'000), 20'000'000);
  }
  ASSERT_TRUE(w.until(
      [&] {
        return std::all_of(replies.begin(), replies.end(),
                           [](const auto& r) { return r->status.has_value(); });
      },
      40'000'000));
  const auto& c = w.router->counts().counter()->counters();
  EXPECT_GT(c.estimatedFull, 0U);
  EXPECT_GT(c.onWorkers, 0U);
  EXPECT_EQ(told.arrived.size(), 60U);
  for (const auto& r : replies) EXPECT_EQ(r->finals, 1);
  const auto estimates =
      std::count_if(told.arrived.begin(), told.arrived.end(), [](const auto& a) { return a.counts.empty(); });
  EXPECT_GE(static_cast<std::uint64_t>(estimates), c.estimatedFull);
  EXPECT_EQ(w.router->counts().open(), 0U);
}

TEST(Counts, AClientThatLeavesWhileItsPromptIsCountedStopsTheWork) {
  Files files;
  World w(fleetOf(1, 1), files.settings({1}, R"(, "workers": 1, "within_ms": 60000)"));
  Told told(w);
  ASSERT_TRUE(known(w));
  std::mt19937_64 random(3);
  std::vector<std::unique_ptr<Reply>> replies;
  std::vector<http2::StreamId> ids;
  for (int i = 0; i < 8; ++i) {
    replies.push_back(std::make_unique<Reply>());
    ids.push_back(w.ask(*replies.back(), draw(random, 900'000), 600'000'000));
  }
  ASSERT_TRUE(w.until([&] { return w.router->counts().open() >= 4; }));
  const auto open = w.router->counts().open();
  for (const auto id : ids) w.channel->cancel(id);
  ASSERT_TRUE(w.until([&] { return w.router->counts().open() == 0; }));
  EXPECT_GE(w.router->counts().counter()->counters().cancelled + told.arrived.size(), open);
  EXPECT_GT(w.router->counts().counter()->counters().cancelled, 0U);
}

TEST(Counts, ABadFileAtReloadLeavesTheOldOneWorking) {
  Files files;
  World w(fleetOf(1, 1), files.settings({1}));
  Told told(w);
  ASSERT_TRUE(known(w));
  const auto& book = w.router->counts().versions();
  const auto number = book.basis(membership::endpointId("read-1")).number;
  const auto reload = [&] {
    w.router->reload(
        server::readSettings(config::Node(config::JsonFile::parse("router", w.settingsText)), w.list()));
  };
  files.write(1, "QUJD 1\nnonsense\n");
  reload();
  w.pass(300'000);
  EXPECT_EQ(book.basis(membership::endpointId("read-1")).number, number);
  Reply reply;
  w.ask(reply, "hello again");
  ASSERT_TRUE(w.until([&] { return reply.status.has_value(); }));
  EXPECT_EQ(told.arrived.back().promptTokens, static_cast<double>(own(1).encode("hello again").size()));
  files.write(1, fake_engine::generateRanks(1));
  reload();
  ASSERT_TRUE(w.until([&] { return book.basis(membership::endpointId("read-1")).number > number; }));
}

}  // namespace
}  // namespace garnethook::test
