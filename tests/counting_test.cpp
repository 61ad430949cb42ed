// Counts remembered, beginnings gone on from, versions of engines.
#include <gtest/gtest.h>

#include <future>
#include <map>
#include <random>

#include "counting/counter.h"
#include "fake_engine/made_vocabulary.h"
#include "fake_engine/own_tokeniser.h"
#include "net/loop.h"
#include "tokeniser/utf8.h"

namespace garnethook::counting {
namespace {

using std::string;
using tokeniser::Tokeniser;

const string& ranks(std::uint64_t seed) {
  static std::map<std::uint64_t, string> made;
  auto& text = made[seed];
  if (text.empty()) text = fake_engine::madeRanks(seed);
  return text;
}

std::shared_ptr<const Tokeniser> loaded(std::uint64_t seed = 1) {
  tokeniser::FileOptions options;
  options.format = tokeniser::Format::ranks;
  options.pattern = "cl100k_base";
  options.specialTokens = {{"<|end|>", 100'001}};
  return tokeniser::readRanks("made", ranks(seed), options);
}

class Texts {
 public:
  explicit Texts(std::uint64_t seed) : random_(seed) {}
  string draw(std::size_t bytes) {
    static const std::vector<string> parts{
        " the",   " hello", "a",  "aaaa", " ", "   ", "\n",  " \n",   "12345",   "é", "e\u0301",
        "日本語", "😀",      "==", "'s",   "'", "l",   " st", " prou", "<|end|>", "<|"};
    string out;
    while (out.size() < bytes) out += parts[random_() % parts.size()];
    return out;
  }
  std::size_t below(std::size_t n) { return random_() % n; }

 private:
  std::mt19937_64 random_;
};

Count counted(CountStore& store, const std::shared_ptr<const Tokeniser>& t, const string& text,
              std::size_t shared = 0, const string& session = {}, const string& identity = "t",
              bool special = false, std::size_t slice = 3000) {
  PromptCount count(store, {t, identity, std::make_shared<const string>(text), shared, session, special});
  while (count.slice(slice) > 0) {}
  return count.result();
}

std::size_t plainly(const Tokeniser& t, const string& text, bool special = false) {
  tokeniser::Workspace workspace;
  return tokeniser::encode(t, text, {special, true}, workspace).size();
}

// An adversarial stream: beginnings shared and cut anywhere, runs, seams, repeats, other identities; counts
// with what is remembered equal the stand-in's own way.
TEST(PromptCount, RememberedBeginningsNeverChangeACount) {
  const auto t = loaded();
  const fake_engine::OwnTokeniser own("made", "1", ranks(1), tokeniser::knownPattern("cl100k_base"));
  CountStore store({.countBytes = 256u << 10, .sessionBytes = 1u << 20});
  Texts texts(7);
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
    const Count c = counted(store, t, text, shared, session);
    ASSERT_EQ(c.tokens, expected.size()) << i;
    if (!session.empty()) {
      ASSERT_TRUE(c.blocks);
      ASSERT_EQ(std::vector<std::uint32_t>(c.blocks->ids().begin(), c.blocks->ids().end()), expected);
    }
    encoded += c.encoded;
    bytes += text.size();
    ASSERT_LE(store.memory(), (256u << 10) + (1u << 20) + 4096);
  }
  EXPECT_LT(encoded, bytes * 9 / 10) << "nothing was remembered";
}

TEST(PromptCount, TheSharedCountIsTheBeginningsAlone) {
  const auto t = loaded();
  Texts texts(3);
  for (int i = 0; i < 60; ++i) {
    const string begin = texts.draw(1 + texts.below(9000));
    CountStore warm({});
    std::optional<std::size_t> first;
    for (int k = 0; k < 6; ++k) {
      const string text = begin + texts.draw(texts.below(3000) + 1);
      CountStore cold({});
      const auto a = counted(warm, t, text, begin.size());
      const auto b = counted(cold, t, text, begin.size());
      ASSERT_EQ(a.sharedPrefixTokens, b.sharedPrefixTokens);
      ASSERT_EQ(a.sharedPrefixTokens, first.value_or(a.sharedPrefixTokens)) << "differs by what follows";
      first = a.sharedPrefixTokens;
      ASSERT_LE(a.sharedPrefixTokens, plainly(*t, begin));
      ASSERT_EQ(a.tokens, plainly(*t, text));
    }
  }
}

TEST(PromptCount, CountsOfOneVersionOrOptionAreNotTakenForAnothers) {
  const auto one = loaded(1);
  const auto two = loaded(2);
  CountStore store({});
  const string text = Texts(5).draw(6000) + "<|end|>";
  ASSERT_NE(plainly(*one, text), plainly(*two, text)) << "the two vocabularies count alike";
  EXPECT_EQ(counted(store, one, text, 0, "", "1").tokens, plainly(*one, text));
  EXPECT_EQ(counted(store, two, text, 0, "", "2").tokens, plainly(*two, text));
  EXPECT_EQ(counted(store, one, text, 0, "", "1", true).tokens, plainly(*one, text, true));
  EXPECT_EQ(counted(store, one, text, 0, "", "1").encoded, 0U);
}

TEST(PromptCount, AConversationEncodesOnlyWhatIsNew) {
  const auto t = loaded();
  CountStore store({});
  Texts texts(9);
  string text = texts.draw(50'000);
  counted(store, t, text, 0, "session");
  for (int turn = 0; turn < 5; ++turn) {
    text += texts.draw(2000);
    const auto c = counted(store, t, text, 0, "session");
    EXPECT_LT(c.encoded, 2000U + 2 * PromptCount::kStep);
    ASSERT_EQ(c.tokens, plainly(*t, text));
    std::vector<std::uint64_t> hashes;
    c.blocks->hashes(16, hashes);
    EXPECT_EQ(hashes.size(), c.tokens / 16);
  }
  // Another text under the same key: nothing of it is taken.
  const string other = "x" + text;
  EXPECT_EQ(counted(store, t, other, 0, "session").tokens, plainly(*t, other));
}

TEST(PromptCount, IllFormedTextIsCountedAsRepaired) {
  const auto t = loaded();
  CountStore store({});
  const string bad = string("abc\xff\xfe def \xe2\x82") + string(5000, '\xf0') + " end";
  EXPECT_EQ(counted(store, t, bad, 2000).tokens, plainly(*t, tokeniser::repaired(bad).value()));
}

TEST(CountCache, KeepsWhatIsAskedForThroughAFlood) {
  Digester digester{DigestKey()};
  const auto key = [&](const string& text) { return digester.of({}, 'x', text); };
  CountCache cache(CountCache::kLeast);
  const std::size_t hot = cache.capacity() / 2;
  for (int round = 0; round < 4; ++round)
    for (std::size_t i = 0; i < hot; ++i) {
      const auto k = key("hot" + std::to_string(i));
      if (!cache.find(k)) cache.put(k, {i, i + 1});
    }
  for (std::size_t i = 0; i < 20 * cache.capacity(); ++i) {
    const auto k = key("flood" + std::to_string(i));
    ASSERT_FALSE(cache.find(k));
    cache.put(k, {1, 1});
  }
  std::size_t kept = 0;
  for (std::size_t i = 0; i < hot; ++i)
    if (const auto found = cache.find(key("hot" + std::to_string(i)))) {
      EXPECT_EQ(*found, (tokeniser::EncodingPosition{i, i + 1}));
      ++kept;
    }
  EXPECT_GT(kept, hot * 9 / 10);
  EXPECT_LE(cache.memory(), CountCache::kLeast + 512);
}

TEST(CountCache, AgreesWithAMapOnWhatItHolds) {
  Digester digester{DigestKey()};
  CountCache cache(CountCache::kLeast);
  std::map<std::uint64_t, std::size_t> truth;
  std::mt19937_64 random(3);
  for (int i = 0; i < 50'000; ++i) {
    const auto n = random() % 4000;
    const auto k = digester.of({}, 'x', std::to_string(n));
    if (const auto found = cache.find(k)) { ASSERT_EQ(found->tokens, truth.at(n)); }
    truth[n] = random() % 1000;
    cache.put(k, {7, truth[n]});
    ASSERT_LE(cache.size(), cache.capacity());
  }
}

TEST(FrequencySketch, NeverTellsLessBetweenHalvings) {
  Digester digester{DigestKey()};
  FrequencySketch sketch(4096);
  std::vector<int> asked(200);
  std::mt19937_64 random(1);
  for (int i = 0; i < 1500; ++i) {
    const auto n = random() % asked.size();
    ++asked[n];
    sketch.add(digester.of({}, 'x', std::to_string(n)));
  }
  for (std::size_t n = 0; n < asked.size(); ++n)
    EXPECT_GE(sketch.estimate(digester.of({}, 'x', std::to_string(n))),
              static_cast<unsigned>(std::min(asked[n], 15)));
}

TEST(SessionTokens, StaysWithinItsBound) {
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

// Stands for a tokeniser that another process runs, and that has stopped answering.
class Hanging final : public Tokeniser {
 public:
  explicit Hanging(std::shared_future<void> open) : open_(std::move(open)) {}
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

TEST(Counter, ATokeniserThatHangsHoldsUpNeitherTheLoopNorTheRequest) {
  std::promise<void> open;
  net::Loop loop;
  CounterOptions options;
  options.within = 20'000;
  auto counter =
      std::make_unique<Counter>(options, loop, [&](std::function<void()> t) { loop.post(std::move(t)); });
  const std::vector<Loaded> hanging{{1, {"h", "1"}, std::make_shared<Hanging>(open.get_future().share())}};
  std::optional<PromptCounts> counts;
  int turns = 0;
  std::function<void()> turn = [&] {
    ++turns;
    if (!counts) loop.after(1000, turn);
  };
  loop.after(0, [&] {
    turn();
    counter->count({std::make_shared<const string>("eight ch"), 0, "", false}, hanging,
                   [&](const PromptCounts& c) {
                     counts = c;
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

TEST(VersionBook, EachEngineByItsOwnVersion) {
  VersionBook book({});
  const auto one = book.load(kOne, loaded(1));
  const auto two = book.load(kTwo, loaded(2));
  for (std::uint64_t id = 1; id <= 3; ++id) book.listed({id}, 0, std::nullopt, 0);
  EXPECT_EQ(book.toAsk(0).size(), 3U);
  EXPECT_TRUE(book.toAsk(0).empty()) << "asked once at a time";
  EXPECT_EQ(book.basis({1}).number, 0U) << "unknown until told";
  book.told({1}, kOne, 0);
  book.told({2}, kTwo, 0);
  book.told({3}, kTwo, 0);
  EXPECT_EQ(book.basis({1}).number, one);
  EXPECT_EQ(book.basis({2}).number, two);
  const auto use = book.inUse();
  ASSERT_EQ(use.size(), 2U);
  EXPECT_EQ(use[0].number, two) << "that of most engines first";
}

TEST(VersionBook, ARestartMakesTheVersionUnknownAtOnce) {
  VersionBook book({});
  const auto one = book.load(kOne, loaded(1));
  book.listed({1}, 5, std::nullopt, 0);
  book.toAsk(0);
  book.told({1}, kOne, 0);
  EXPECT_EQ(book.basis({1}).number, one);
  const auto before = book.edition();
  book.listed({1}, 6, std::nullopt, 10 * kMs);
  EXPECT_EQ(book.basis({1}).number, 0U);
  EXPECT_NE(book.edition(), before);
  EXPECT_EQ(book.toAsk(10 * kMs).size(), 1U);
  book.told({1}, kTwo, 20 * kMs);  // no file for it
  EXPECT_EQ(book.basis({1}).number, 0U);
  EXPECT_EQ(book.estimated(), 1U);
}

TEST(VersionBook, WithoutAFileByTheEnginesOwnRatio) {
  VersionBook book({});
  book.load(kOne, loaded(1));
  for (std::uint64_t id = 1; id <= 2; ++id) {
    book.listed({id}, 0, std::nullopt, 0);
    book.toAsk(0);
    book.told({id}, kTwo, 0);
  }
  for (int i = 0; i < 50; ++i) {
    book.read({1}, 1000, std::nullopt, 0, 1500);
    book.read({2}, 1000, std::nullopt, 0, 700);
  }
  EXPECT_NEAR(book.basis({1}).factor, 1.5, 0.05);
  EXPECT_NEAR(book.basis({2}).factor, 0.7, 0.05);
  book.listed({3}, 0, std::nullopt, 0);
  EXPECT_NEAR(book.basis({3}).factor, 1.1, 0.05) << "one that was never read on: the others' mean";
  book.read({1}, 1000, std::nullopt, 0, 1e12);  // a report that lies
  EXPECT_LT(book.basis({1}).factor, 2.5);
}

TEST(VersionBook, AnEngineWhoseReportsDifferIsNotBelieved) {
  VersionBook book({});
  const auto one = book.load(kOne, loaded(1));
  book.listed({1}, 0, std::nullopt, 0);
  book.toAsk(0);
  book.told({1}, kOne, 0);
  for (int i = 0; i < 100; ++i) EXPECT_FALSE(book.read({1}, 100, 100.0, one, 100));
  // Counted by another file than now: says nothing.
  for (int i = 0; i < 100; ++i) EXPECT_FALSE(book.read({1}, 100, 100.0, one + 7, 130));
  int until = 0;
  while (!book.read({1}, 100, 100.0, one, 130)) ASSERT_LT(++until, 10);
  EXPECT_EQ(until, 3);
  EXPECT_EQ(book.basis({1}).number, 0U);
  EXPECT_GT(book.basis({1}).factor, 1.2);
  book.told({1}, kOne, 0);
  EXPECT_EQ(book.basis({1}).number, 0U) << "the same word again is no proof";
  const auto again = book.load(kOne, loaded(1));
  EXPECT_EQ(book.basis({1}).number, again) << "another file, another chance";
}

TEST(VersionBook, AsksAgainLaterAndLater) {
  VersionBook book({.askEvery = 1000 * kMs, .retryFirst = 100 * kMs});
  book.listed({1}, 0, std::nullopt, 0);
  Micros now = 0;
  std::vector<Micros> pauses;
  for (int i = 0; i < 6; ++i) {
    ASSERT_EQ(book.toAsk(now).size(), 1U);
    book.noAnswer({1}, now);
    pauses.push_back(*book.nextAsk() - now);
    now = *book.nextAsk();
  }
  EXPECT_EQ(pauses,
            (std::vector<Micros>{100 * kMs, 200 * kMs, 400 * kMs, 800 * kMs, 1000 * kMs, 1000 * kMs}));
}

TEST(VersionBook, EnginesThatCannotTellTakeTheUsualOne) {
  VersionBook book({.usual = kOne});
  const auto one = book.load(kOne, loaded(1));
  book.listed({1}, 0, std::nullopt, 0);
  book.toAsk(0);
  EXPECT_EQ(book.inUse().size(), 1U) << "the main count before anybody told";
  book.cannotTell({1}, 0);
  EXPECT_EQ(book.basis({1}).number, one);
  book.listed({2}, 0, kTwo, 0);
  EXPECT_TRUE(book.toAsk(0).empty()) << "the list told it";
}

}  // namespace
}  // namespace garnethook::counting
