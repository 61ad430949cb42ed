// The tokeniser by itself: merging, patterns, seams, files. Vocabularies are made on the spot; published ones
// are compared in tests/reference.
#include "tokeniser/tokeniser.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <chrono>

#include "fake_engine/generated_vocabulary.h"
#include "fake_engine/reference_tokeniser.h"
#include "tokeniser/byte_level.h"
#include "tokeniser/utf8.h"

namespace garnethook::tokeniser {
namespace {

using std::string;
using std::string_view;

const string& ranks() {
  static const string text = fake_engine::generateRanks(1);
  return text;
}

std::shared_ptr<const Tokeniser> made(const string& pattern = "cl100k_base") {
  FileOptions options;
  options.format = Format::ranks;
  options.pattern = pattern;
  options.specialTokens = {{"<|endoftext|>", 100'000}, {"<|end|>", 100'001}};
  return readRanks("made", ranks(), options);
}

const string kPrelude =
    R"({"version":"1.0","truncation":null,"padding":null,"added_tokens":[{"id":300,"content":"<x>","special":false,"lstrip":false,"rstrip":false,"single_word":false,"normalized":false},{"id":301,"content":"<x>y","special":false},{"id":302,"content":"<|s|>","special":true}],)";
const string kRegex =
    R"("pre_tokenizer":{"type":"Sequence","pretokenizers":[{"type":"Split","pattern":{"Regex":"'s| ?\\p{L}+|\\p{N}{1,3}| ?[^\\s\\p{L}\\p{N}]+|\\s+(?!\\S)|\\s+"},"behavior":"Isolated","invert":false},{"type":"ByteLevel","add_prefix_space":false,"trim_offsets":true,"use_regex":false}]},)";

string utf8Of(char32_t c) {
  string out;
  append(out, c);
  return out;
}

// All 256 bytes, then "ab" (merge "a b"), " t", "he", "the", " the".
string vocab() {
  string out = R"("vocab":{)";
  char32_t next = 256;
  for (unsigned byte = 0; byte < 256; ++byte) {
    const bool itself = (byte >= 33 && byte <= 126) || (byte >= 161 && byte <= 172) || byte >= 174;
    const string letter = utf8Of(itself ? byte : next++);
    out += "\"" + string(letter == "\"" || letter == "\\" ? "\\" : "") + letter +
           "\":" + std::to_string(byte) + ",";
  }
  return out + R"("ab":256,"Ġt":257,"he":258,"the":259,"Ġthe":260})";
}
string file(const string& model = R"("merges":["a b","h e","t he","Ġ the","Ġ t"])", const string& more = {},
            const string& pre = kRegex) {
  return kPrelude + R"("normalizer":null,)" + pre + more +
         R"("decoder":{"type":"ByteLevel"},"model":{"type":"BPE","dropout":null,"unk_token":null,"continuing_subword_prefix":null,"end_of_word_suffix":null,"fuse_unk":false,"byte_fallback":false,)" +
         vocab() + "," + model + "}}";
}

string error(const string& bytes) {
  try {
    readHuggingFace("file", bytes);
  } catch (const FileError& e) { return e.what(); }
  return "none";
}

// Texts where seams hurt.
string drawText(std::uint64_t seed, std::size_t pieces) {
  static const std::vector<string> kParts{"a",
                                          "the",
                                          " the",
                                          "hello",
                                          " wou",
                                          "'s",
                                          "'l",
                                          "l",
                                          "'",
                                          " ",
                                          "  ",
                                          "   ",
                                          "\n",
                                          "\r\n",
                                          " \n ",
                                          "\t",
                                          "12",
                                          "3",
                                          "4567",
                                          ".",
                                          "..",
                                          "==",
                                          "é",
                                          "e",
                                          "\u0301",
                                          "日本",
                                          "語",
                                          "😀",
                                          "👩‍👧",
                                          "<|",
                                          "<|end",
                                          "<|end|>",
                                          "of",
                                          "|>",
                                          "A",
                                          "aaaa",
                                          "aaaaa",
                                          "Z",
                                          "\u00a0",
                                          "\u3000",
                                          "\u180e",
                                          "ſ",
                                          string(1, '\0'),
                                          "\x7f"};
  std::uint64_t state = seed * 2 + 1;
  string out;
  for (std::size_t i = 0; i < pieces; ++i) {
    state = state * 6364136223846793005U + 1442695040888963407U;
    out += kParts[(state >> 33) % kParts.size()];
  }
  return out;
}

TEST(Utf8, RepairsAsDecodersDo) {
  EXPECT_FALSE(repaired("plain é 😀"));
  const string bad = "\xef\xbf\xbd";
  EXPECT_EQ(repaired("\xc0\xaf").value(), bad + bad);            // overlong
  EXPECT_EQ(repaired("\xe0\x80\xaf").value(), bad + bad + bad);  // overlong
  EXPECT_EQ(repaired("\xed\xa0\x80").value(), bad + bad + bad);  // a surrogate
  EXPECT_EQ(repaired("\xf0\x90\x80").value(), bad);              // cut: one maximal part
  EXPECT_EQ(repaired("\xe2\x82x").value(), bad + "x");
  EXPECT_EQ(repaired("\xf4\x90\x80\x80").value(), bad + bad + bad + bad);  // above U+10FFFF
  EXPECT_EQ(bytesOf("aé😀b", 3), 7U);
  EXPECT_EQ(characterStart("aé", 2), 1U);
}

TEST(Pieces, TheFastEncoderGivesWhatTheDefinitionGives) {
  Vocabulary vocabulary;
  // "Improper" neighbours on purpose: abc by a+bc, with ab younger than bc.
  for (unsigned byte = 0; byte < 256; ++byte) {
    const char c = static_cast<char>(byte);
    vocabulary.add(byte, {&c, 1});
  }
  TokenId next = 256;
  for (const char* token : {"aa", "bc", "ab", "abc", "aaaa", "ba", "aab", "cabc", "aaa", "caa"})
    vocabulary.add(next++, token);
  vocabulary.seal();
  const PlainMerger plain(vocabulary);
  const PieceEncoder fast(vocabulary, std::make_unique<PlainMerger>(vocabulary));
  EXPECT_TRUE(fast.ordered());
  PieceEncoder::Workspace workspace;
  // All words of three letters up to length 9.
  std::size_t compared = 0;
  for (std::size_t length = 1; length <= 9; ++length) {
    std::size_t words = 1;
    for (std::size_t i = 0; i < length; ++i) words *= 3;
    for (std::size_t w = 0; w < words; ++w) {
      string text;
      for (std::size_t i = 0, rest = w; i < length; ++i, rest /= 3) text += static_cast<char>('a' + rest % 3);
      std::vector<TokenId> a;
      std::vector<TokenId> b;
      plain.encode(text, a);
      fast.encode(text, b, workspace);
      ASSERT_EQ(a, b) << text;
      ++compared;
    }
  }
  EXPECT_EQ(compared, 29'523U);
}

TEST(Pieces, MergesOutOfOrderAreEncodedPlainly) {
  // "abc" is made by ab+c before "ab" may be made: the definition gives a, b, c for "abc" by rank 1, ab by
  // rank 2.
  Vocabulary vocabulary;
  for (unsigned byte = 0; byte < 256; ++byte) {
    const char c = static_cast<char>(byte);
    vocabulary.add(byte, {&c, 1});
  }
  vocabulary.add(256, "ab");
  vocabulary.add(257, "abc");
  vocabulary.seal();
  PairTable merges;
  merges.add(256, 'c', {257, 0});
  merges.add('a', 'b', {256, 1});
  const PlainMerger plain(vocabulary, merges);
  const PieceEncoder encoder(vocabulary, std::make_unique<PlainMerger>(vocabulary, merges));
  EXPECT_FALSE(encoder.ordered());
  PieceEncoder::Workspace workspace;
  for (const char* text : {"abc", "ababc", "aabcab"}) {
    std::vector<TokenId> a;
    std::vector<TokenId> b;
    plain.encode(text, a);
    encoder.encode(text, b, workspace);
    EXPECT_EQ(a, b) << text;
  }
}

TEST(Pieces, RandomTextsAgreeWithTheStandInsOwnWay) {
  const auto t = made();
  const fake_engine::ReferenceTokeniser own("made", "1", ranks(), knownPattern("cl100k_base"));
  Workspace workspace;
  for (std::uint64_t seed = 0; seed < 2000; ++seed) {
    const string text = drawText(seed, 1 + seed % 60);
    const auto ids = encode(*t, text, {}, workspace);
    ASSERT_EQ(ids, own.encode(text)) << text;
    ASSERT_EQ(decode(*t, ids), text);
  }
}

TEST(Pieces, LongRunsTakeTimeInProportion) {
  const auto t = made();
  Workspace workspace;
  const auto time = [&](const string& text) {
    const auto start = std::chrono::steady_clock::now();
    const auto ids = encode(*t, text, {}, workspace);
    EXPECT_EQ(decode(*t, ids), text);
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  };
  const auto repeat = [](const string& unit, std::size_t bytes) {
    string out;
    while (out.size() < bytes) out += unit;
    return out;
  };
  for (const string& unit : {string("a"), string(" "), string("\n"), string("e\u0301"), string("😀"),
                             string("aB"), string("\u0301"), string("1"), string(" \n")}) {
    const double small = time(repeat(unit, 1 << 15));
    const double large = time(repeat(unit, 1 << 19));
    // Sixteen times the text: a square would be 256 times the time.
    EXPECT_LT(large, 16 * 8 * small + 0.05) << unit;
  }
}

// The promise that counting by beginnings rests on.
TEST(Seams, WhatIsCertainOfABeginningHoldsForEveryText) {
  for (const char* pattern : {"cl100k_base", "o200k_base", "p50k_base"}) {
    const auto t = made(pattern);
    Workspace workspace;
    std::size_t far = 0;
    for (std::uint64_t seed = 0; seed < 500; ++seed) {
      for (const bool special : {false, true}) {
        const TextOptions options{special, true};
        const string begin = drawText(seed, 1 + seed % 25);
        const string some = begin + "x";
        std::vector<TokenId> ids;
        const Mark mark = t->advance(some, {}, begin.size(), options, workspace, &ids);
        ASSERT_LE(mark.at, begin.size());
        ASSERT_EQ(mark.tokens, ids.size());
        far += mark.at;
        for (std::uint64_t other = 0; other < 12; ++other) {
          const string text = begin + drawText(seed * 131 + other, other % 6);
          std::vector<TokenId> whole;
          t->advance(text, {}, text.size(), options, workspace, &whole);
          std::vector<TokenId> parts = ids;
          const Mark end = t->advance(text, mark, text.size(), options, workspace, &parts);
          ASSERT_EQ(parts, whole) << pattern << ": " << begin << " | " << text.substr(begin.size());
          ASSERT_EQ(end.tokens, whole.size());
        }
      }
    }
    EXPECT_GT(far, 10'000U) << "hardly anything was certain";
  }
}

TEST(Seams, AnySplitOfTheWorkGivesTheSameIds) {
  const auto hf = readHuggingFace("file", file());
  for (const auto& t : {made(), hf}) {
    rc::check("limits do not matter", [&](std::uint64_t seed, std::vector<std::uint8_t> steps) {
      Workspace workspace;
      const string text = drawText(seed, 40) + "<x><x>y<|s|>" + drawText(seed + 1, 10);
      std::vector<TokenId> whole;
      t->advance(text, {}, text.size(), {}, workspace, &whole);
      std::vector<TokenId> parts;
      Mark mark;
      std::size_t limit = 0;
      for (const auto s : steps) {
        limit += s % 32;
        if (limit >= text.size()) break;
        mark = t->advance(text, mark, limit, {}, workspace, &parts);
      }
      t->advance(text, mark, text.size(), {}, workspace, &parts);
      RC_ASSERT(parts == whole);
    });
  }
}

TEST(Specials, AreTextUnlessMeant) {
  const auto t = made();
  Workspace workspace;
  const string text = "x<|endoftext|>y<|end|>";
  const auto plain = encode(*t, text, {}, workspace);
  EXPECT_EQ(std::count(plain.begin(), plain.end(), 100'000U), 0);
  const auto meant = encode(*t, text, {true, true}, workspace);
  EXPECT_EQ(std::count(meant.begin(), meant.end(), 100'000U), 1);
  EXPECT_EQ(std::count(meant.begin(), meant.end(), 100'001U), 1);
  EXPECT_EQ(decode(*t, plain), text);
  EXPECT_EQ(decode(*t, meant), text);
}

TEST(HuggingFace, ReadsMergesAsTextsOrPairsAndAddedTokens) {
  Workspace workspace;
  const auto a = readHuggingFace("file", file());
  const auto b =
      readHuggingFace("file", file(R"("merges":[["a","b"],["h","e"],["t","he"],["Ġ","the"],["Ġ","t"]])"));
  for (const auto& t : {a, b}) {
    EXPECT_EQ(encode(*t, "the the ab", {}, workspace), (std::vector<TokenId>{259, 260, ' ', 256}));
    EXPECT_EQ(encode(*t, "<x>y<x><|s|>", {}, workspace),
              (std::vector<TokenId>{301, 300, '<', '|', 's', '|', '>'}));
    EXPECT_EQ(encode(*t, "<|s|>", {true, true}, workspace), (std::vector<TokenId>{302}));
  }
}

TEST(HuggingFace, FramesATextWithTheTemplate) {
  Workspace workspace;
  const auto t = readHuggingFace(
      "file",
      file(
          R"("merges":[])",
          R"("post_processor":{"type":"Sequence","processors":[{"type":"ByteLevel","add_prefix_space":true,"trim_offsets":false,"use_regex":true},{"type":"TemplateProcessing","single":[{"SpecialToken":{"id":"B","type_id":0}},{"Sequence":{"id":"A","type_id":0}}],"pair":[],"special_tokens":{"B":{"id":"B","ids":[302],"tokens":["B"]}}}]},)"));
  EXPECT_EQ(encode(*t, "ab", {}, workspace), (std::vector<TokenId>{302, 'a', 'b'}));
  EXPECT_EQ(encode(*t, "ab", {false, false}, workspace), (std::vector<TokenId>{'a', 'b'}));
}

TEST(HuggingFace, NamesTheFieldOfWhatItDoesNotSupport) {
  const auto replaced = [&](const string& from, const string& to) {
    string text = file();
    const std::size_t at = text.find(from);
    EXPECT_NE(at, string::npos) << from;
    return error(text.replace(at, from.size(), to));
  };
  EXPECT_EQ(error(file()), "none");
  EXPECT_EQ(replaced("\"truncation\":null", "\"truncation\":{}"), "file: truncation: is not supported");
  EXPECT_EQ(replaced("\"version\":\"1.0\"", "\"version\":\"1.0\",\"colour\":1"),
            "file: colour: is not known");
  EXPECT_EQ(replaced("\"dropout\":null", "\"dropout\":0.1"), "file: model.dropout: is not supported");
  EXPECT_EQ(replaced("\"byte_fallback\":false", "\"byte_fallback\":true"),
            "file: model.byte_fallback: only false is supported");
  EXPECT_EQ(replaced("\"lstrip\":false", "\"lstrip\":true"),
            "file: added_tokens[0].lstrip: only false is supported");
  EXPECT_EQ(replaced("\"normalizer\":null", R"("normalizer":{"type":"Lowercase"})"),
            "file: normalizer.type: \"Lowercase\" is not supported; NFC is");
  EXPECT_EQ(replaced("\"Isolated\"", "\"Removed\""),
            "file: pre_tokenizer.pretokenizers[0].behavior: \"Removed\" is not supported; Isolated is");
  EXPECT_EQ(replaced("\"invert\":false", "\"invert\":true"),
            "file: pre_tokenizer.pretokenizers[0].invert: only false is supported");
  EXPECT_EQ(replaced("\"add_prefix_space\":false", "\"add_prefix_space\":true"),
            "file: pre_tokenizer.pretokenizers[1].add_prefix_space: only false is supported");
  EXPECT_EQ(replaced("{1,3}", "{1,3}+"),
            "file: pre_tokenizer.pretokenizers[0].pattern: pattern, octet 22: {n,m}+ is not supported");
  EXPECT_EQ(replaced("\"type\":\"BPE\"", "\"type\":\"Unigram\""),
            "file: model.type: \"Unigram\" is not supported; BPE is");
  EXPECT_EQ(replaced("\"a b\"", "\"a bq\""), "file: model.merges[0]: the right part is not in model.vocab");
  EXPECT_EQ(replaced("\"a b\"", "\"a  b\""),
            "file: model.merges[0]: is not two parts with a blank between them");
  EXPECT_EQ(replaced("\"a b\"", "7"), "file: model.merges[0]: is no text");
  EXPECT_EQ(replaced("\"ab\":256", "\"ab\":255"), "file: model.vocab[\"ab\"]: id 255 is told twice");
  EXPECT_EQ(replaced("\"ab\":256", "\"ab\":-1"), "file: model.vocab[\"ab\"]: is no token id");
  EXPECT_EQ(replaced("\"A\":65,", ""),
            "file: model.vocab: no token for the octet 65: not a byte-level vocabulary");
  EXPECT_EQ(replaced("\"decoder\":{\"type\":\"ByteLevel\"}", "\"decoder\":{\"type\":\"Metaspace\"}"),
            "file: decoder.type: \"Metaspace\" is not supported; ByteLevel is");
  EXPECT_NE(error("{"), "none");
  EXPECT_NE(error(string(100'000, '[')), "none");
}

TEST(HuggingFace, ComposesFirstWhereTheFileSaysSo) {
  Workspace workspace;
  string text = file();
  text.replace(text.find("\"normalizer\":null"), 17, R"("normalizer":{"type":"NFC"})");
  const auto t = readHuggingFace("file", text);
  EXPECT_EQ(encode(*t, "e\u0301", {}, workspace), encode(*t, "é", {}, workspace));
  // A mark behind an added token is not composed with its last letter, for the token is found before.
  EXPECT_EQ(encode(*t, "<x>\u0338", {}, workspace).front(), 300U);
}

TEST(Ranks, ErrorsNameTheLine) {
  FileOptions options;
  options.pattern = "cl100k_base";
  const auto what = [&](const string& bytes) -> string {
    try {
      readRanks("file", bytes, options);
    } catch (const FileError& e) { return e.what(); }
    return "none";
  };
  const string good = fake_engine::generateRanks(1, 20);
  EXPECT_EQ(what(good), "none");
  EXPECT_EQ(what(good + "QUI"), "file: line 277: no token in base 64 and its rank");
  EXPECT_EQ(what(good + "QUI 5"), "file: line 277: no token in base 64 and its rank");
  EXPECT_EQ(what(good + "QUJDRA== 5"), "file: line 277: id 5 is told twice");
  EXPECT_EQ(what(good + "QUJDRA== x"), "file: line 277: the rank is no number");
  EXPECT_EQ(what("QUJDRA== 5\n"), "file: no token for the octet 0: not a byte-level vocabulary");
  options.pattern.clear();
  EXPECT_EQ(what(good), "file: pattern: a ranks file needs one told beside it");
  options.pattern = "a*";
  EXPECT_EQ(what(good), "file: pattern: may match nothing");
  options.pattern = "(?<n>a)";
  EXPECT_EQ(what(good), "file: pattern, octet 0: the group (?<n is not supported");
}

}  // namespace
}  // namespace garnethook::tokeniser
