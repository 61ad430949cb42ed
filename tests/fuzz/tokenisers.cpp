// Fuzz targets of the tokeniser: ranks files, tokenizer.json, PieceEncoder against ReferenceMerger,
// incremental encoding and round trips. The first byte of the input selects the target. scripts/fuzz.sh runs
// them with libFuzzer; the standalone build mutates valid files with a fixed seed.
// `--seeds FOLDER` writes these files as the seed corpus.
#include <openssl/evp.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <random>
#include <set>
#include <string>

#include "tokeniser/byte_level.h"
#include "tokeniser/utf8.h"

namespace {

using namespace garnethook::tokeniser;

void require(bool condition) {
  if (!condition) std::abort();
}

std::string base64(std::string_view bytes) {
  std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');  // EVP_EncodeBlock appends a null byte
  out.resize(static_cast<std::size_t>(EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                                      reinterpret_cast<const unsigned char*>(bytes.data()),
                                                      static_cast<int>(bytes.size()))));
  return out;
}

std::string makeRanks(const std::vector<std::string>& extraTokens) {
  std::string out;
  std::size_t tokenId = 0;
  for (unsigned byte = 0; byte < 256; ++byte)
    out += base64(std::string(1, static_cast<char>(byte))) + " " + std::to_string(tokenId++) + "\n";
  for (const auto& extraToken : extraTokens)
    out += base64(extraToken) + " " + std::to_string(tokenId++) + "\n";
  return out;
}

std::string makeTokenizerJson() {
  std::string vocab;
  char32_t next = 256;
  for (unsigned byte = 0; byte < 256; ++byte) {
    const bool isPrintable = (byte >= 33 && byte <= 126) || (byte >= 161 && byte <= 172) || byte >= 174;
    std::string character;
    append(character, isPrintable ? byte : next++);
    vocab += (vocab.empty() ? "\"" : ",\"") +
             std::string(character == "\"" || character == "\\" ? "\\" : "") + character +
             "\":" + std::to_string(byte);
  }
  return R"({"version":"1.0","added_tokens":[{"id":300,"content":"<x>","special":false}],"normalizer":{"type":"NFC"},)"
         R"("pre_tokenizer":{"type":"Sequence","pretokenizers":[{"type":"Split","pattern":{"Regex":"\\p{L}+|\\s+(?!\\S)|\\s+"},"behavior":"Isolated","invert":false},{"type":"ByteLevel","use_regex":false}]},)"
         R"("model":{"type":"BPE","vocab":{)" +
         vocab + R"(,"ab":256,"aba":257},"merges":["a b",["ab","a"]]}})";
}

// Requires of any loaded tokeniser that decoding restores the text, and that encoding in parts yields the
// same ids as encoding the whole text.
void checkRoundTrip(const Tokeniser& loaded, std::string_view input) {
  const auto repairedText = repaired(input);
  const std::string text(repairedText ? std::string_view(*repairedText) : input);
  Workspace workspace;
  const TextOptions options{false, false};
  const auto ids = encode(loaded, text, options, workspace);
  const auto changed = loaded.normalised(text, options);
  const std::string& final = changed ? *changed : text;
  require(decode(loaded, ids) == final);
  std::vector<TokenId> parts;
  EncodingPosition mark;
  for (const std::size_t limit : {final.size() / 3, final.size() / 2, final.size()})
    mark = loaded.advance(final, mark, limit, options, workspace, &parts);
  require(parts == ids);
}

void ranksTarget(std::string_view in) {
  FileOptions options;
  options.format = Format::ranks;
  options.pattern = "cl100k_base";
  try {
    checkRoundTrip(*readRanks("f", in, options), in.substr(0, 300));
  } catch (const FileError& e) { require(std::string_view(e.what()).starts_with("f: ")); }
}

void huggingFaceTarget(std::string_view in) {
  try {
    checkRoundTrip(*readHuggingFace("f", in), in.substr(0, 300));
  } catch (const FileError& e) { require(std::string_view(e.what()).starts_with("f: ")); }
}

// Derives a vocabulary and a text from the input and requires that PieceEncoder matches ReferenceMerger.
void mergeTarget(std::string_view in) {
  Vocabulary vocabulary;
  std::set<std::string> known;
  TokenId next = 0;
  const auto add = [&](std::string_view token) {
    if (known.insert(std::string(token)).second) vocabulary.add(next++, token);
  };
  for (unsigned byte = 0; byte < 256; ++byte) {
    const char c = static_cast<char>(byte);
    add({&c, 1});
  }
  const std::size_t tokens = in.empty() ? 0 : static_cast<std::uint8_t>(in[0]) % 24;
  std::size_t at = std::min<std::size_t>(1, in.size());
  for (std::size_t i = 0; i < tokens && at < in.size(); ++i) {
    const std::size_t length = 2 + static_cast<std::uint8_t>(in[at]) % 5;
    if (at + 1 + length > in.size()) break;
    add(in.substr(at + 1, length));
    at += 1 + length;
  }
  vocabulary.seal();
  const ReferenceMerger reference(vocabulary);
  const PieceEncoder encoder(vocabulary, std::make_unique<ReferenceMerger>(vocabulary));
  PieceEncoder::Workspace workspace;
  std::vector<TokenId> expected;
  std::vector<TokenId> actual;
  const std::string text(in.substr(at, 500));
  reference.encode(text, expected);
  encoder.encode(text, actual, workspace);
  require(expected == actual);
  std::string decoded;
  for (const TokenId id : actual) decoded += vocabulary.bytes(id);
  require(decoded == text);
}

void textTarget(std::string_view in) {
  struct Shared {
    Shared() {
      FileOptions options;
      options.format = Format::ranks;
      for (const char* pattern : {"cl100k_base", "o200k_base", "p50k_base"}) {
        options.pattern = pattern;
        all.push_back(readRanks("f", makeRanks({"  ", "ab", "the", " t", "\n\n", "    "}), options));
      }
    }
    std::vector<std::shared_ptr<const Tokeniser>> all;
  };
  static const Shared shared;
  for (const auto& loaded : shared.all) checkRoundTrip(*loaded, in);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::string_view in(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % 4) {
    case 0: ranksTarget(in); break;
    case 1: huggingFaceTarget(in); break;
    case 2: mergeTarget(in); break;
    default: textTarget(in); break;
  }
  return 0;
}

#ifdef GARNETHOOK_FUZZ_STANDALONE
int main(int argc, char** argv) {
  const std::string files[] = {std::string(1, '\0') + makeRanks({"ab", "the", "abab"}),
                               "\1" + makeTokenizerJson(),
                               "\2\5" + std::string("\0ab\0bc\1aab\2abcd\0ba", 18) + "ababcabcdaabbaab",
                               "\3 the  ab\n\n  x\u0301 é日本 12345's I'LL <|end|> "};
  if (argc > 2 && std::string_view(argv[1]) == "--seeds") {
    for (std::size_t i = 0; i < std::size(files); ++i)
      std::ofstream(std::string(argv[2]) + "/seed-" + std::to_string(i), std::ios::binary) << files[i];
    return 0;
  }
  const int runs = argc > 1 ? std::atoi(argv[1]) : 2'000;
  std::mt19937_64 random(1);
  for (int i = 0; i < runs; ++i) {
    std::string in = files[random() % std::size(files)];
    for (auto mutations = random() % 6; mutations > 0 && in.size() > 1; --mutations) {
      const std::size_t at = 1 + random() % (in.size() - 1);
      switch (random() % 4) {
        case 0: in[at] = static_cast<char>(random()); break;
        case 1: in.erase(at, random() % 8); break;
        case 2: in.insert(at, in.substr(1 + random() % (in.size() - 1), random() % 20)); break;
        default: in.resize(1 + at); break;
      }
    }
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(in.data()), in.size());
  }
  return 0;
}
#endif
