// Cached token counts, resuming from cached prefixes, and the tokeniser versions of engines.
#include <gtest/gtest.h>

#include <future>
#include <map>
#include <random>

#include "counting/counter.h"
#include "fake_engine/generated_vocabulary.h"
#include "fake_engine/reference_tokeniser.h"
#include "net/loop.h"
#include "tokeniser/utf8.h"

namespace garnethook::counting {
namespace {

using std::string;
using tokeniser::Tokeniser;

const string& ranks(std::uint64_t seed) {
  static std::map<std::uint64_t, string> made;
  auto& text = made[seed];
  if (text.empty()) text = fake_engine::generateRanks(seed);
  return text;
}

std::shared_ptr<const Tokeniser> loadTokeniser(std::uint64_t seed = 1) {
  tokeniser::FileOptions options;
  options.format = tokeniser::Format::ranks;
  options.pattern = "cl100k_base";
  options.specialTokens = {{"<|end|>", 100'001}};
  return tokeniser::readRanks("made", ranks(seed), options);
}

class TextGenerator {
 public:
  explicit TextGenerator(std::uint64_t seed) : random_(seed) {}
  string draw(std::size_t bytes) {
    static const std::vector<string> parts{
        " the",   " hello", "a",  "aaaa", " ", "   ", "\n",  " \n",   "12345",   "é", "e\u0301",
        "日本語", "😀",      "==", "'s",   "'", "l",   " st", " prou", "<|end|>", "<|"};
    string drawn;
    while (drawn.size() < bytes) drawn += parts[random_() % parts.size()];
    return drawn;
  }
  std::size_t below(std::size_t bound) { return random_() % bound; }

 private:
  std::mt19937_64 random_;
};

Count countTokens(CountStore& store, const std::shared_ptr<const Tokeniser>& testTokeniser,
                  const string& text, std::size_t shared = 0, const string& session = {},
                  const string& identity = "t", bool special = false, std::size_t slice = 3000) {
  PromptCount count(
      store, {testTokeniser, identity, std::make_shared<const string>(text), shared, session, special});
  while (count.slice(slice) > 0) {}
  return count.result();
}

std::size_t tokenCount(const Tokeniser& testTokeniser, const string& text, bool special = false) {
  tokeniser::Workspace workspace;
  return tokeniser::encode(testTokeniser, text, {special, true}, workspace).size();
}

// Prevents cached prefixes from changing a count. Prefixes are shared and cut at any position, with runs of
// one character, repeated texts and sessions; every count must equal that of the fake engine's own tokeniser.
TEST(PromptCount, CachedPrefixesNeverChangeACount) {
  const auto testTokeniser = loadTokeniser();
  const fake_engine::ReferenceTokeniser own("made", "1", ranks(1), tokeniser::knownPattern("cl100k_base"));
  CountStore store({.countBytes = 256u << 10, .sessionBytes = 1u << 20});
  TextGenerator texts(7);
  std::vector<string> pool;
  for (int i = 0; i < 12; ++i) pool.push_back(texts.draw(16'000));
  pool.push_back(string(9000, 'a'));
  pool.push_back(string(9000, ' '));
  pool.push_back(string(9000, '\n'));
  std::size_t encoded = 0;
  std::size_t bytes = 0;
  for (int i = 0; i < 250; ++i) {
    const string& base = pool[texts.below(pool.size())];
    std::size_t cut = tokeniser::characterStart(base, texts.below(base.size()));
    string text = base.substr(0, cut) + texts.draw(texts.below(40)) +
                  (i % 3 == 0 ? pool[texts.below(pool.size())] : "");
    const std::size_t shared = i % 4 == 0 ? 0 : cut;
    const string session = i % 5 == 0 ? "s" + std::to_string(i % 3) : "";
    const auto expected = own.encode(text);
    const Count counted = countTokens(store, testTokeniser, text, shared, session);
    ASSERT_EQ(counted.tokens, expected.size()) << i;
    if (!session.empty()) {
      ASSERT_TRUE(counted.blocks);
      ASSERT_EQ(std::vector<std::uint32_t>(counted.blocks->ids().begin(), counted.blocks->ids().end()),
                expected);
    }
    encoded += counted.encoded;
    bytes += text.size();
    ASSERT_LE(store.memory(), (256u << 10) + (1u << 20) + 4096);
  }
  EXPECT_LT(encoded, bytes * 9 / 10) << "nothing came from the cache";
}

TEST(PromptCount, SharedPrefixCountDependsOnThePrefixOnly) {
  const auto testTokeniser = loadTokeniser();
  TextGenerator texts(3);
  for (int i = 0; i < 60; ++i) {
    const string begin = texts.draw(1 + texts.below(9000));
    CountStore warm({});
    std::optional<std::size_t> first;
    for (int variant = 0; variant < 6; ++variant) {
      const string text = begin + texts.draw(texts.below(3000) + 1);
      CountStore cold({});
      const auto warmCount = countTokens(warm, testTokeniser, text, begin.size());
      const auto coldCount = countTokens(cold, testTokeniser, text, begin.size());
      ASSERT_EQ(warmCount.sharedPrefixTokens, coldCount.sharedPrefixTokens);
      ASSERT_EQ(warmCount.sharedPrefixTokens, first.value_or(warmCount.sharedPrefixTokens))
          << "the count depends on the text after the prefix";
      first = warmCount.sharedPrefixTokens;
      ASSERT_LE(warmCount.sharedPrefixTokens, tokenCount(*testTokeniser, begin));
      ASSERT_EQ(warmCount.tokens, tokenCount(*testTokeniser, text));
    }
  }
}

TEST(PromptCount, CountsAreCachedPerVersionAndOptions) {
  const auto one = loadTokeniser(1);
  const auto two = loadTokeniser(2);
  CountStore store({});
  const string text = TextGenerator(5).draw(6000) + "<|end|>";
  ASSERT_NE(tokenCount(*one, text), tokenCount(*two, text)) << "both vocabularies give the same count";
  EXPECT_EQ(countTokens(store, one, text, 0, "", "1").tokens, tokenCount(*one, text));
  EXPECT_EQ(countTokens(store, two, text, 0, "", "2").tokens, tokenCount(*two, text));
  EXPECT_EQ(countTokens(store, one, text, 0, "", "1", true).tokens, tokenCount(*one, text, true));
  EXPECT_EQ(countTokens(store, one, text, 0, "", "1").encoded, 0U);
}

TEST(PromptCount, SessionEncodesOnlyNewText) {
  const auto testTokeniser = loadTokeniser();
  CountStore store({});
  TextGenerator texts(9);
  string text = texts.draw(50'000);
  countTokens(store, testTokeniser, text, 0, "session");
  for (int turn = 0; turn < 5; ++turn) {
    text += texts.draw(2000);
    const auto counted = countTokens(store, testTokeniser, text, 0, "session");
    EXPECT_LT(counted.encoded, 2000U + 2 * PromptCount::kCheckpointBytes);
    ASSERT_EQ(counted.tokens, tokenCount(*testTokeniser, text));
    std::vector<std::uint64_t> hashes;
    counted.blocks->hashes(16, hashes);
    EXPECT_EQ(hashes.size(), counted.tokens / 16);
  }
  // A different text with the same session key: the kept tokens are not used.
  const string other = "x" + text;
  EXPECT_EQ(countTokens(store, testTokeniser, other, 0, "session").tokens, tokenCount(*testTokeniser, other));
}

TEST(PromptCount, IllFormedTextIsCountedAfterRepair) {
  const auto testTokeniser = loadTokeniser();
  CountStore store({});
  const string bad = string("abc\xff\xfe def \xe2\x82") + string(5000, '\xf0') + " end";
  EXPECT_EQ(countTokens(store, testTokeniser, bad, 2000).tokens,
            tokenCount(*testTokeniser, tokeniser::repaired(bad).value()));
}

TEST(CountCache, KeepsFrequentKeysDuringAFlood) {
  Digester digester{DigestKey()};
  const auto key = [&](const string& text) { return digester.of({}, 'x', text); };
  CountCache cache(CountCache::kMinBytes);
  const std::size_t hot = cache.capacity() / 2;
  for (int round = 0; round < 4; ++round)
    for (std::size_t i = 0; i < hot; ++i) {
      const auto entryKey = key("hot" + std::to_string(i));
      if (!cache.find(entryKey)) cache.put(entryKey, {i, i + 1});
    }
  for (std::size_t i = 0; i < 20 * cache.capacity(); ++i) {
    const auto entryKey = key("flood" + std::to_string(i));
    ASSERT_FALSE(cache.find(entryKey));
    cache.put(entryKey, {1, 1});
  }
  std::size_t kept = 0;
  for (std::size_t i = 0; i < hot; ++i)
    if (const auto found = cache.find(key("hot" + std::to_string(i)))) {
      EXPECT_EQ(*found, (tokeniser::EncodingPosition{i, i + 1}));
      ++kept;
    }
  EXPECT_GT(kept, hot * 9 / 10);
  EXPECT_LE(cache.memory(), CountCache::kMinBytes + 512);
}

TEST(CountCache, FoundValuesMatchAMap) {
  Digester digester{DigestKey()};
  CountCache cache(CountCache::kMinBytes);
  std::map<std::uint64_t, std::size_t> expectedTokens;
  std::mt19937_64 random(3);
  for (int i = 0; i < 50'000; ++i) {
    const auto index = random() % 4000;
    const auto entryKey = digester.of({}, 'x', std::to_string(index));
    if (const auto found = cache.find(entryKey)) { ASSERT_EQ(found->tokens, expectedTokens.at(index)); }
    expectedTokens[index] = random() % 1000;
    cache.put(entryKey, {7, expectedTokens[index]});
    ASSERT_LE(cache.size(), cache.capacity());
  }
}

TEST(FrequencySketch, NeverUnderestimatesBetweenHalvings) {
  Digester digester{DigestKey()};
  FrequencySketch sketch(4096);
  std::vector<int> asked(200);
  std::mt19937_64 random(1);
  for (int i = 0; i < 1500; ++i) {
    const auto index = random() % asked.size();
    ++asked[index];
    sketch.add(digester.of({}, 'x', std::to_string(index)));
  }
  for (std::size_t index = 0; index < asked.size(); ++index)
    EXPECT_GE(sketch.estimate(digester.of({}, 'x', std::to_string(index))),
              static_cast<unsigned>(std::min(asked[index], 15)));
}

TEST(SessionTokens, StaysWithinMemoryBound) {
  SessionTokens sessions(100'000);
  Digester digester{DigestKey()};
  for (int i = 0; i < 2000; ++i) {
    SessionTokens::Turn turn;
    turn.tokens = std::make_shared<const TokenBlocks>(
        std::vector<tokeniser::TokenId>(static_cast<std::size_t>(i % 1000)));
    sessions.put(digester.of({}, 'x', std::to_string(i)), turn);
    ASSERT_LE(sessions.memory(), 100'000U);
  }
  EXPECT_TRUE(sessions.find(digester.of({}, 'x', "1999")));
  EXPECT_FALSE(sessions.find(digester.of({}, 'x', "0")));
  SessionTokens::Turn huge;
  huge.tokens = std::make_shared<const TokenBlocks>(std::vector<tokeniser::TokenId>(10'000));
  sessions.put(digester.of({}, 'x', "huge"), huge);
  EXPECT_FALSE(sessions.find(digester.of({}, 'x', "huge")));
}

// A tokeniser run by another process that has stopped responding.
class HangingTokeniser final : public Tokeniser {
 public:
  explicit HangingTokeniser(std::shared_future<void> open) : open_(std::move(open)) {}
  std::optional<string> normalised(std::string_view, const tokeniser::TextOptions&) const override {
    return std::nullopt;
  }
  tokeniser::EncodingPosition advance(std::string_view text, tokeniser::EncodingPosition, std::size_t,
                                      const tokeniser::TextOptions&, tokeniser::Workspace&,
                                      std::vector<tokeniser::TokenId>*) const override {
    open_.wait();
    return {text.size(), 1};
  }
  string bytes(tokeniser::TokenId) const override { return {}; }
  bool supportsIncrementalEncoding() const override { return false; }
  std::size_t memory() const override { return 0; }
  string describe() const override { return "hanging"; }

 private:
  std::shared_future<void> open_;
};

TEST(Counter, HangingTokeniserBlocksNeitherLoopNorRequest) {
  std::promise<void> open;
  net::Loop loop;
  CounterOptions options;
  options.timeout = 20'000;
  auto counter = std::make_unique<Counter>(options, loop,
                                           [&](std::function<void()> task) { loop.post(std::move(task)); });
  const std::vector<LoadedTokeniser> hanging{
      {1, {"h", "1"}, std::make_shared<HangingTokeniser>(open.get_future().share())}};
  std::optional<PromptCounts> counts;
  int turns = 0;
  std::function<void()> turn = [&] {
    ++turns;
    if (!counts) loop.after(1000, turn);
  };
  loop.after(0, [&] {
    turn();
    counter->count({std::make_shared<const string>("eight ch"), 0, "", false}, hanging,
                   [&](const PromptCounts& promptCounts) {
                     counts = promptCounts;
                     loop.stop();
                   });
  });
  loop.run();
  open.set_value();
  counter.reset();
  ASSERT_TRUE(counts);
  EXPECT_EQ(counts->estimate, Estimate::late);
  EXPECT_EQ(counts->main, 2);
  EXPECT_GT(turns, 5);
}

constexpr Micros kMs = 1000;
const VersionName kOne{"model", "1"};
const VersionName kTwo{"model", "2"};

TEST(TokeniserRegistry, EachEngineIsCountedWithItsVersion) {
  TokeniserRegistry registry({});
  const auto one = registry.load(kOne, loadTokeniser(1));
  const auto two = registry.load(kTwo, loadTokeniser(2));
  for (std::uint64_t id = 1; id <= 3; ++id) registry.listed({id}, 0, std::nullopt, 0);
  EXPECT_EQ(registry.enginesToQuery(0).size(), 3U);
  EXPECT_TRUE(registry.enginesToQuery(0).empty()) << "one query at a time";
  EXPECT_EQ(registry.basis({1}).number, 0U) << "unknown until reported";
  registry.versionReported({1}, kOne, 0);
  registry.versionReported({2}, kTwo, 0);
  registry.versionReported({3}, kTwo, 0);
  EXPECT_EQ(registry.basis({1}).number, one);
  EXPECT_EQ(registry.basis({2}).number, two);
  const auto use = registry.inUse();
  ASSERT_EQ(use.size(), 2U);
  EXPECT_EQ(use[0].number, two) << "the most used tokeniser comes first";
}

TEST(TokeniserRegistry, RestartMakesVersionUnknownImmediately) {
  TokeniserRegistry registry({});
  const auto one = registry.load(kOne, loadTokeniser(1));
  registry.listed({1}, 5, std::nullopt, 0);
  registry.enginesToQuery(0);
  registry.versionReported({1}, kOne, 0);
  EXPECT_EQ(registry.basis({1}).number, one);
  const auto before = registry.edition();
  registry.listed({1}, 6, std::nullopt, 10 * kMs);
  EXPECT_EQ(registry.basis({1}).number, 0U);
  EXPECT_NE(registry.edition(), before);
  EXPECT_EQ(registry.enginesToQuery(10 * kMs).size(), 1U);
  registry.versionReported({1}, kTwo, 20 * kMs);  // no file is loaded for this version
  EXPECT_EQ(registry.basis({1}).number, 0U);
  EXPECT_EQ(registry.estimated(), 1U);
}

TEST(TokeniserRegistry, WithoutAFileUsesTheEnginesOwnFactor) {
  TokeniserRegistry registry({});
  registry.load(kOne, loadTokeniser(1));
  for (std::uint64_t id = 1; id <= 2; ++id) {
    registry.listed({id}, 0, std::nullopt, 0);
    registry.enginesToQuery(0);
    registry.versionReported({id}, kTwo, 0);
  }
  for (int i = 0; i < 50; ++i) {
    registry.recordReportedTokens({1}, 1000, std::nullopt, 0, 1500);
    registry.recordReportedTokens({2}, 1000, std::nullopt, 0, 700);
  }
  EXPECT_NEAR(registry.basis({1}).factor, 1.5, 0.05);
  EXPECT_NEAR(registry.basis({2}).factor, 0.7, 0.05);
  registry.listed({3}, 0, std::nullopt, 0);
  EXPECT_NEAR(registry.basis({3}).factor, 1.1, 0.05)
      << "an engine without reports uses the mean of the others";
  registry.recordReportedTokens({1}, 1000, std::nullopt, 0, 1e12);  // an implausible report
  EXPECT_LT(registry.basis({1}).factor, 2.5);
}

TEST(TokeniserRegistry, EngineWithDifferingReportsIsDoubted) {
  TokeniserRegistry registry({});
  const auto one = registry.load(kOne, loadTokeniser(1));
  registry.listed({1}, 0, std::nullopt, 0);
  registry.enginesToQuery(0);
  registry.versionReported({1}, kOne, 0);
  for (int i = 0; i < 100; ++i) EXPECT_FALSE(registry.recordReportedTokens({1}, 100, 100.0, one, 100));
  // Counted with a file that is no longer in use: ignored.
  for (int i = 0; i < 100; ++i) EXPECT_FALSE(registry.recordReportedTokens({1}, 100, 100.0, one + 7, 130));
  int until = 0;
  while (!registry.recordReportedTokens({1}, 100, 100.0, one, 130)) ASSERT_LT(++until, 10);
  EXPECT_EQ(until, 3);
  EXPECT_EQ(registry.basis({1}).number, 0U);
  EXPECT_GT(registry.basis({1}).factor, 1.2);
  registry.versionReported({1}, kOne, 0);
  EXPECT_EQ(registry.basis({1}).number, 0U) << "reporting the same version again does not clear the doubt";
  const auto again = registry.load(kOne, loadTokeniser(1));
  EXPECT_EQ(registry.basis({1}).number, again) << "loading the file again clears the doubt";
}

TEST(TokeniserRegistry, FailedQueriesAreRetriedWithBackoff) {
  TokeniserRegistry registry({.queryInterval = 1000 * kMs, .initialRetryDelay = 100 * kMs});
  registry.listed({1}, 0, std::nullopt, 0);
  Micros now = 0;
  std::vector<Micros> delays;
  for (int i = 0; i < 6; ++i) {
    ASSERT_EQ(registry.enginesToQuery(now).size(), 1U);
    registry.versionQueryFailed({1}, now);
    delays.push_back(*registry.nextQueryTime() - now);
    now = *registry.nextQueryTime();
  }
  EXPECT_EQ(delays,
            (std::vector<Micros>{100 * kMs, 200 * kMs, 400 * kMs, 800 * kMs, 1000 * kMs, 1000 * kMs}));
}

TEST(TokeniserRegistry, EnginesWithoutVersionUseTheUsualOne) {
  TokeniserRegistry registry({.usual = kOne});
  const auto one = registry.load(kOne, loadTokeniser(1));
  registry.listed({1}, 0, std::nullopt, 0);
  registry.enginesToQuery(0);
  EXPECT_EQ(registry.inUse().size(), 1U) << "used for the main count before any engine reports a version";
  registry.versionUnsupported({1}, 0);
  EXPECT_EQ(registry.basis({1}).number, one);
  registry.listed({2}, 0, kTwo, 0);
  EXPECT_TRUE(registry.enginesToQuery(0).empty()) << "the endpoint list gives the version";
}

}  // namespace
}  // namespace garnethook::counting
