// Unit tests of the tokeniser: merging, patterns, incremental encoding, file formats. Vocabularies are
// generated; published ones are compared in tests/reference.
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

std::shared_ptr<const Tokeniser> makeRanksTokeniser(const string& pattern = "cl100k_base") {
  FileOptions options;
  options.format = Format::ranks;
  options.pattern = pattern;
  options.specialTokens = {{"<|endoftext|>", 100'000}, {"<|end|>", 100'001}};
  return readRanks("made", ranks(), options);
}

const string kAddedTokensJson =
    R"({"version":"1.0","truncation":null,"padding":null,"added_tokens":[{"id":300,"content":"<x>","special":false,"lstrip":false,"rstrip":false,"single_word":false,"normalized":false},{"id":301,"content":"<x>y","special":false},{"id":302,"content":"<|s|>","special":true}],)";
const string kPreTokenizerJson =
    R"("pre_tokenizer":{"type":"Sequence","pretokenizers":[{"type":"Split","pattern":{"Regex":"'s| ?\\p{L}+|\\p{N}{1,3}| ?[^\\s\\p{L}\\p{N}]+|\\s+(?!\\S)|\\s+"},"behavior":"Isolated","invert":false},{"type":"ByteLevel","add_prefix_space":false,"trim_offsets":true,"use_regex":false}]},)";

string toUtf8(char32_t c) {
  string out;
  append(out, c);
  return out;
}

// All 256 bytes, then "ab" (merge "a b"), " t", "he", "the", " the".
string vocabJson() {
  string out = R"("vocab":{)";
  char32_t next = 256;
  for (unsigned byte = 0; byte < 256; ++byte) {
    const bool isPrintable = (byte >= 33 && byte <= 126) || (byte >= 161 && byte <= 172) || byte >= 174;
    const string character = toUtf8(isPrintable ? byte : next++);
    out += "\"" + string(character == "\"" || character == "\\" ? "\\" : "") + character +
           "\":" + std::to_string(byte) + ",";
  }
  return out + R"("ab":256,"Ġt":257,"he":258,"the":259,"Ġthe":260})";
}
string tokenizerJson(const string& model = R"("merges":["a b","h e","t he","Ġ the","Ġ t"])",
                     const string& extraFields = {}, const string& preTokenizer = kPreTokenizerJson) {
  return kAddedTokensJson + R"("normalizer":null,)" + preTokenizer + extraFields +
         R"("decoder":{"type":"ByteLevel"},"model":{"type":"BPE","dropout":null,"unk_token":null,"continuing_subword_prefix":null,"end_of_word_suffix":null,"fuse_unk":false,"byte_fallback":false,)" +
         vocabJson() + "," + model + "}}";
}

string readError(const string& bytes) {
  try {
    readHuggingFace("file", bytes);
  } catch (const FileError& e) { return e.what(); }
  return "none";
}

// Random texts whose token boundaries depend on the text that follows.
string randomText(std::uint64_t seed, std::size_t pieces) {
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

TEST(Utf8, RepairsMalformedTextAsDecodersDo) {
  EXPECT_FALSE(repaired("plain é 😀"));
  const string replacement = "\xef\xbf\xbd";
  EXPECT_EQ(repaired("\xc0\xaf").value(), replacement + replacement);                    // overlong
  EXPECT_EQ(repaired("\xe0\x80\xaf").value(), replacement + replacement + replacement);  // overlong
  EXPECT_EQ(repaired("\xed\xa0\x80").value(), replacement + replacement + replacement);  // surrogate
  EXPECT_EQ(repaired("\xf0\x90\x80").value(), replacement);  // truncated: one maximal subpart
  EXPECT_EQ(repaired("\xe2\x82x").value(), replacement + "x");
  EXPECT_EQ(repaired("\xf4\x90\x80\x80").value(),
            replacement + replacement + replacement + replacement);  // above U+10FFFF
  EXPECT_EQ(bytesOf("aé😀b", 3), 7U);
  EXPECT_EQ(characterStart("aé", 2), 1U);
}

TEST(Pieces, EncoderMatchesReferenceMerger) {
  Vocabulary vocabulary;
  // Includes a token whose prefix is merged later than its suffix: abc is a+bc, and ab has a higher rank than
  // bc.
  for (unsigned byte = 0; byte < 256; ++byte) {
    const char c = static_cast<char>(byte);
    vocabulary.add(byte, {&c, 1});
  }
  TokenId next = 256;
  for (const char* token : {"aa", "bc", "ab", "abc", "aaaa", "ba", "aab", "cabc", "aaa", "caa"})
    vocabulary.add(next++, token);
  vocabulary.seal();
  const ReferenceMerger reference(vocabulary);
  const PieceEncoder pieceEncoder(vocabulary, std::make_unique<ReferenceMerger>(vocabulary));
  EXPECT_TRUE(pieceEncoder.ordered());
  PieceEncoder::Workspace workspace;
  // All words over a three-letter alphabet up to length 9.
  std::size_t compared = 0;
  for (std::size_t length = 1; length <= 9; ++length) {
    std::size_t words = 1;
    for (std::size_t i = 0; i < length; ++i) words *= 3;
    for (std::size_t word = 0; word < words; ++word) {
      string text;
      for (std::size_t i = 0, rest = word; i < length; ++i, rest /= 3)
        text += static_cast<char>('a' + rest % 3);
      std::vector<TokenId> expected;
      std::vector<TokenId> actual;
      reference.encode(text, expected);
      pieceEncoder.encode(text, actual, workspace);
      ASSERT_EQ(expected, actual) << text;
      ++compared;
    }
  }
  EXPECT_EQ(compared, 29'523U);
}

TEST(Pieces, UsesReferenceMergerForMergesOutOfOrder) {
  // The merge ab+c has rank 0, the merge a+b rank 1: "abc" is merged from a part, "ab", that has a higher
  // rank than itself.
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
  const ReferenceMerger reference(vocabulary, merges);
  const PieceEncoder encoder(vocabulary, std::make_unique<ReferenceMerger>(vocabulary, merges));
  EXPECT_FALSE(encoder.ordered());
  PieceEncoder::Workspace workspace;
  for (const char* text : {"abc", "ababc", "aabcab"}) {
    std::vector<TokenId> expected;
    std::vector<TokenId> actual;
    reference.encode(text, expected);
    encoder.encode(text, actual, workspace);
    EXPECT_EQ(expected, actual) << text;
  }
}

TEST(Pieces, RandomTextsMatchFakeEngineTokeniser) {
  const auto loaded = makeRanksTokeniser();
  const fake_engine::ReferenceTokeniser fakeEngineTokeniser("made", "1", ranks(),
                                                            knownPattern("cl100k_base"));
  Workspace workspace;
  for (std::uint64_t seed = 0; seed < 2000; ++seed) {
    const string text = randomText(seed, 1 + seed % 60);
    const auto ids = encode(*loaded, text, {}, workspace);
    ASSERT_EQ(ids, fakeEngineTokeniser.encode(text)) << text;
    ASSERT_EQ(decode(*loaded, ids), text);
  }
}

TEST(Pieces, LongRunsTakeLinearTime) {
  const auto loaded = makeRanksTokeniser();
  Workspace workspace;
  const auto time = [&](const string& text) {
    const auto start = std::chrono::steady_clock::now();
    const auto ids = encode(*loaded, text, {}, workspace);
    EXPECT_EQ(decode(*loaded, ids), text);
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
    // The text is 16 times as long; quadratic time would take 256 times as long.
    EXPECT_LT(large, 16 * 8 * small + 0.05) << unit;
  }
}

// Counting by text prefixes relies on this property.
TEST(IncrementalEncoding, FinalTokensOfPrefixHoldForEveryContinuation) {
  for (const char* pattern : {"cl100k_base", "o200k_base", "p50k_base"}) {
    const auto loaded = makeRanksTokeniser(pattern);
    Workspace workspace;
    std::size_t finalBytes = 0;
    for (std::uint64_t seed = 0; seed < 500; ++seed) {
      for (const bool special : {false, true}) {
        const TextOptions options{special, true};
        const string prefix = randomText(seed, 1 + seed % 25);
        const string continuedText = prefix + "x";
        std::vector<TokenId> ids;
        const EncodingPosition mark =
            loaded->advance(continuedText, {}, prefix.size(), options, workspace, &ids);
        ASSERT_LE(mark.at, prefix.size());
        ASSERT_EQ(mark.tokens, ids.size());
        finalBytes += mark.at;
        for (std::uint64_t continuation = 0; continuation < 12; ++continuation) {
          const string text = prefix + randomText(seed * 131 + continuation, continuation % 6);
          std::vector<TokenId> whole;
          loaded->advance(text, {}, text.size(), options, workspace, &whole);
          std::vector<TokenId> parts = ids;
          const EncodingPosition end = loaded->advance(text, mark, text.size(), options, workspace, &parts);
          ASSERT_EQ(parts, whole) << pattern << ": " << prefix << " | " << text.substr(prefix.size());
          ASSERT_EQ(end.tokens, whole.size());
        }
      }
    }
    EXPECT_GT(finalBytes, 10'000U) << "advance() made almost no progress";
  }
}

TEST(IncrementalEncoding, AnySequenceOfLimitsYieldsTheSameIds) {
  const auto huggingFace = readHuggingFace("file", tokenizerJson());
  for (const auto& loaded : {makeRanksTokeniser(), huggingFace}) {
    rc::check("the limits do not affect the ids", [&](std::uint64_t seed, std::vector<std::uint8_t> steps) {
      Workspace workspace;
      const string text = randomText(seed, 40) + "<x><x>y<|s|>" + randomText(seed + 1, 10);
      std::vector<TokenId> whole;
      loaded->advance(text, {}, text.size(), {}, workspace, &whole);
      std::vector<TokenId> parts;
      EncodingPosition mark;
      std::size_t limit = 0;
      for (const auto step : steps) {
        limit += step % 32;
        if (limit >= text.size()) break;
        mark = loaded->advance(text, mark, limit, {}, workspace, &parts);
      }
      loaded->advance(text, mark, text.size(), {}, workspace, &parts);
      RC_ASSERT(parts == whole);
    });
  }
}

TEST(SpecialTokens, ArePlainTextUnlessRequested) {
  const auto loaded = makeRanksTokeniser();
  Workspace workspace;
  const string text = "x<|endoftext|>y<|end|>";
  const auto plainIds = encode(*loaded, text, {}, workspace);
  EXPECT_EQ(std::count(plainIds.begin(), plainIds.end(), 100'000U), 0);
  const auto specialIds = encode(*loaded, text, {true, true}, workspace);
  EXPECT_EQ(std::count(specialIds.begin(), specialIds.end(), 100'000U), 1);
  EXPECT_EQ(std::count(specialIds.begin(), specialIds.end(), 100'001U), 1);
  EXPECT_EQ(decode(*loaded, plainIds), text);
  EXPECT_EQ(decode(*loaded, specialIds), text);
}

TEST(HuggingFace, ReadsMergesAsStringsOrPairsAndAddedTokens) {
  Workspace workspace;
  const auto fromStrings = readHuggingFace("file", tokenizerJson());
  const auto fromPairs = readHuggingFace(
      "file", tokenizerJson(R"("merges":[["a","b"],["h","e"],["t","he"],["Ġ","the"],["Ġ","t"]])"));
  for (const auto& loaded : {fromStrings, fromPairs}) {
    EXPECT_EQ(encode(*loaded, "the the ab", {}, workspace), (std::vector<TokenId>{259, 260, ' ', 256}));
    EXPECT_EQ(encode(*loaded, "<x>y<x><|s|>", {}, workspace),
              (std::vector<TokenId>{301, 300, '<', '|', 's', '|', '>'}));
    EXPECT_EQ(encode(*loaded, "<|s|>", {true, true}, workspace), (std::vector<TokenId>{302}));
  }
}

TEST(HuggingFace, AddsTemplateTokensAroundText) {
  Workspace workspace;
  const auto loaded = readHuggingFace(
      "file",
      tokenizerJson(
          R"("merges":[])",
          R"("post_processor":{"type":"Sequence","processors":[{"type":"ByteLevel","add_prefix_space":true,"trim_offsets":false,"use_regex":true},{"type":"TemplateProcessing","single":[{"SpecialToken":{"id":"B","type_id":0}},{"Sequence":{"id":"A","type_id":0}}],"pair":[],"special_tokens":{"B":{"id":"B","ids":[302],"tokens":["B"]}}}]},)"));
  EXPECT_EQ(encode(*loaded, "ab", {}, workspace), (std::vector<TokenId>{302, 'a', 'b'}));
  EXPECT_EQ(encode(*loaded, "ab", {false, false}, workspace), (std::vector<TokenId>{'a', 'b'}));
}

TEST(HuggingFace, ErrorsNameTheUnsupportedField) {
  const auto replaced = [&](const string& from, const string& to) {
    string text = tokenizerJson();
    const std::size_t at = text.find(from);
    EXPECT_NE(at, string::npos) << from;
    return readError(text.replace(at, from.size(), to));
  };
  EXPECT_EQ(readError(tokenizerJson()), "none");
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
  EXPECT_NE(readError("{"), "none");
  EXPECT_NE(readError(string(100'000, '[')), "none");
}

TEST(HuggingFace, NormalisesToNfcIfConfigured) {
  Workspace workspace;
  string text = tokenizerJson();
  text.replace(text.find("\"normalizer\":null"), 17, R"("normalizer":{"type":"NFC"})");
  const auto loaded = readHuggingFace("file", text);
  EXPECT_EQ(encode(*loaded, "e\u0301", {}, workspace), encode(*loaded, "é", {}, workspace));
  // A combining mark after an added token is not composed with the token's last character, since added tokens
  // are matched before normalisation.
  EXPECT_EQ(encode(*loaded, "<x>\u0338", {}, workspace).front(), 300U);
}

TEST(Ranks, ErrorsNameTheLine) {
  FileOptions options;
  options.pattern = "cl100k_base";
  const auto readRanksError = [&](const string& bytes) -> string {
    try {
      readRanks("file", bytes, options);
    } catch (const FileError& e) { return e.what(); }
    return "none";
  };
  const string good = fake_engine::generateRanks(1, 20);
  EXPECT_EQ(readRanksError(good), "none");
  EXPECT_EQ(readRanksError(good + "QUI"), "file: line 277: no token in base 64 and its rank");
  EXPECT_EQ(readRanksError(good + "QUI 5"), "file: line 277: no token in base 64 and its rank");
  EXPECT_EQ(readRanksError(good + "QUJDRA== 5"), "file: line 277: id 5 is told twice");
  EXPECT_EQ(readRanksError(good + "QUJDRA== x"), "file: line 277: the rank is no number");
  EXPECT_EQ(readRanksError("QUJDRA== 5\n"), "file: no token for the octet 0: not a byte-level vocabulary");
  options.pattern.clear();
  EXPECT_EQ(readRanksError(good), "file: pattern: a ranks file needs one told beside it");
  options.pattern = "a*";
  EXPECT_EQ(readRanksError(good), "file: pattern: may match nothing");
  options.pattern = "(?<n>a)";
  EXPECT_EQ(readRanksError(good), "file: pattern, octet 0: the group (?<n is not supported");
}

}  // namespace
}  // namespace garnethook::tokeniser
