// Reads tokenizer.json of Hugging Face's tokenizers library for byte-level BPE. Anything unsupported is an
// error that names the field, since ignoring it would yield other token counts than the engine's.
#include <array>
#include <nlohmann/json.hpp>
#include <set>

#include "tokeniser/byte_level.h"
#include "tokeniser/utf8.h"

namespace garnethook::tokeniser {
namespace {

using nlohmann::json;

// The characters that represent bytes in the file (GPT-2's bytes_to_unicode).
class ByteAlphabet {
 public:
  ByteAlphabet() {
    char32_t next = 256;
    for (unsigned byte = 0; byte < 256; ++byte) {
      const bool isPrintable = (byte >= 33 && byte <= 126) || (byte >= 161 && byte <= 172) || byte >= 174;
      const char32_t c = isPrintable ? byte : next++;
      bytes_[c] = static_cast<std::uint8_t>(byte);
      isMember_[c] = true;
    }
  }
  // Decodes the text to bytes; returns false if a character is not in the alphabet.
  bool decodeBytes(std::string_view text, std::string& bytes) const {
    bytes.clear();
    for (std::size_t at = 0; at < text.size();) {
      const char32_t c = decodeCharacter(text, at);
      if (c >= isMember_.size() || !isMember_[c]) return false;
      bytes.push_back(static_cast<char>(bytes_[c]));
    }
    return true;
  }

 private:
  std::array<std::uint8_t, 324> bytes_{};
  std::array<bool, 324> isMember_{};
};

class HuggingFaceReader {
 public:
  HuggingFaceReader(const std::string& name, std::string_view bytes) : name_(name) { parse(bytes); }

  std::shared_ptr<const Tokeniser> read() {
    if (!root_.is_object()) fail("", "is no object");
    requireKnownKeys(root_, "",
                     {"version", "truncation", "padding", "added_tokens", "normalizer", "pre_tokenizer",
                      "post_processor", "decoder", "model"});
    if (root_.contains("version") && root_["version"] != "1.0") fail("version", "is not \"1.0\"");
    for (const char* key : {"truncation", "padding"})
      if (root_.contains(key) && !root_[key].is_null()) fail(key, "is not supported");
    readModel();
    readAddedTokens();
    readNormalizer();
    readPreTokenizer();
    readPostProcessor(member(root_, "post_processor"), "post_processor");
    readDecoder();
    return std::make_shared<ByteLevelTokeniser>(std::move(components_));
  }

 private:
  [[noreturn]] void fail(const std::string& field, const std::string& reason) const {
    throw FileError(name_ + ": " + (field.empty() ? "" : field + ": ") + reason);
  }

  // Processes vocabulary and merges during parsing instead of storing them in the document, which would take
  // ten times the file's size.
  void parse(std::string_view bytes) {
    std::vector<std::string> keys;
    std::string left;
    const auto inside = [&](std::size_t depth, const char* key) {
      return depth >= 2 && keys.size() > 2 && keys[1] == "model" && keys[2] == key;
    };
    const auto callback = [&](int at, json::parse_event_t event, json& value) {
      const auto depth = static_cast<std::size_t>(at);
      if (depth > 32) fail("", "is nested too deep");
      switch (event) {
        case json::parse_event_t::key:
          keys.resize(depth + 1);
          keys[depth] = value.get<std::string>();
          return !(depth == 3 && inside(depth, "vocab"));
        case json::parse_event_t::value:
          if (depth == 3 && inside(depth, "vocab")) {
            addVocabularyToken(keys[3], value);
            return false;
          }
          if (depth == 3 && inside(depth, "merges")) {
            if (!value.is_string()) fail(mergeField(), "is no text");
            const auto& text = value.get_ref<const std::string&>();
            const std::size_t space = text.find(' ');
            if (space == std::string::npos || text.find(' ', space + 1) != std::string::npos)
              fail(mergeField(), "is not two parts with a blank between them");
            addMerge(std::string_view(text).substr(0, space), std::string_view(text).substr(space + 1));
            return false;
          }
          return true;
        case json::parse_event_t::array_end:
          if (depth == 3 && inside(depth, "merges")) {
            if (value.size() != 2 || !value[0].is_string() || !value[1].is_string())
              fail(mergeField(), "is not two texts");
            addMerge(value[0].get_ref<const std::string&>(), value[1].get_ref<const std::string&>());
            return false;
          }
          return true;
        case json::parse_event_t::object_start:
          if (depth == 3 && (inside(depth, "merges") || inside(depth, "vocab")))
            fail(inside(depth, "vocab") ? "model.vocab" : mergeField(), "holds an object");
          if (depth < keys.size()) keys.resize(depth + 1);
          return true;
        case json::parse_event_t::array_start:
          if (depth == 3 && inside(depth, "vocab")) fail("model.vocab", "holds an array");
          return true;
        default: return true;
      }
    };
    try {
      root_ = json::parse(bytes, callback);
    } catch (const json::exception& e) { fail("", std::string("no JSON: ") + e.what()); }
  }

  std::string mergeField() const { return "model.merges[" + std::to_string(merges_.size()) + "]"; }

  void addVocabularyToken(const std::string& text, const json& id) {
    const std::string field = "model.vocab[\"" + text.substr(0, 60) + "\"]";
    if (!id.is_number_unsigned() || id.get<std::uint64_t>() >= Vocabulary::kMostTokens)
      fail(field, "is no token id");
    const auto number = id.get<TokenId>();
    std::string bytes;
    if (!alphabet_.decodeBytes(text, bytes))
      return;  // no byte sequence encodes to it; it may be an added token
    try {
      components_->vocabulary.add(number, bytes);
    } catch (const std::invalid_argument& e) { fail(field, e.what()); }
  }

  void addMerge(std::string_view left, std::string_view right) {
    if (merges_.size() >= 8'000'000) fail("model.merges", "has more than 8000000 entries");
    std::string bytes;
    MergeEntry entry{static_cast<std::uint32_t>(mergeText_.size()), 0, 0};
    if (!alphabet_.decodeBytes(left, bytes) || bytes.empty()) fail(mergeField(), "the left part is no token");
    mergeText_ += bytes;
    entry.left = static_cast<std::uint32_t>(bytes.size());
    if (!alphabet_.decodeBytes(right, bytes) || bytes.empty())
      fail(mergeField(), "the right part is no token");
    mergeText_ += bytes;
    entry.right = static_cast<std::uint32_t>(bytes.size());
    if (mergeText_.size() > 0x7fffffff) fail("model.merges", "has too many octets");
    merges_.push_back(entry);
  }

  static json member(const json& object, const char* key) {
    const auto at = object.find(key);
    return at == object.end() ? json() : *at;
  }
  void requireKnownKeys(const json& object, const std::string& field,
                        const std::set<std::string>& keys) const {
    if (!object.is_object()) fail(field, "is no object");
    for (const auto& [key, value] : object.items())
      if (!keys.contains(key)) fail(field.empty() ? key : field + "." + key, "is not known");
  }
  std::string typeOf(const json& object, const std::string& field) const {
    if (!object.is_object()) fail(field, "is no object");
    const json typeValue = member(object, "type");
    if (!typeValue.is_string()) fail(field + ".type", "is missing");
    return typeValue.get<std::string>();
  }
  // Requires a field to be false, absent or null.
  void requireFalse(const json& object, const std::string& field, const char* key) const {
    const json setting = member(object, key);
    if (!setting.is_null() && setting != false) fail(field + "." + key, "only false is supported");
  }

  void readModel() {
    const json modelObject = member(root_, "model");
    requireKnownKeys(modelObject, "model",
                     {"type", "dropout", "unk_token", "continuing_subword_prefix", "end_of_word_suffix",
                      "fuse_unk", "byte_fallback", "ignore_merges", "vocab", "merges"});
    const json kind = member(modelObject, "type");  // absent in old files
    if (!kind.is_null() && kind != "BPE") fail("model.type", kind.dump() + " is not supported; BPE is");
    const json dropout = member(modelObject, "dropout");
    if (!dropout.is_null() && dropout != 0) fail("model.dropout", "is not supported");
    for (const char* key : {"continuing_subword_prefix", "end_of_word_suffix"}) {
      const json setting = member(modelObject, key);
      if (!setting.is_null() && setting != "") fail(std::string("model.") + key, "is not supported");
    }
    requireFalse(modelObject, "model", "byte_fallback");
    const json ignoreMerges = member(modelObject, "ignore_merges");
    if (!ignoreMerges.is_null() && !ignoreMerges.is_boolean())
      fail("model.ignore_merges", "is not true or false");
    components_->preferWholePieceTokens = ignoreMerges == true;
    if (!member(modelObject, "vocab").is_object()) fail("model.vocab", "is no object");
    if (!member(modelObject, "merges").is_array()) fail("model.merges", "is no array");
    components_->name = "tokenizer.json, BPE";
    try {
      components_->vocabulary.seal();
    } catch (const std::invalid_argument& e) { fail("model.vocab", e.what()); }
    PairTable pairs;
    std::uint32_t rank = 0;
    for (const MergeEntry& mergeEntry : merges_) {
      const std::string_view left = std::string_view(mergeText_).substr(mergeEntry.from, mergeEntry.left);
      const std::string_view right =
          std::string_view(mergeText_).substr(mergeEntry.from + mergeEntry.left, mergeEntry.right);
      const std::string_view merged =
          std::string_view(mergeText_).substr(mergeEntry.from, mergeEntry.left + mergeEntry.right);
      const std::string field = "model.merges[" + std::to_string(rank) + "]";
      const TokenId leftId = components_->vocabulary.find(left);
      const TokenId rightId = components_->vocabulary.find(right);
      const TokenId mergedId = components_->vocabulary.find(merged);
      if (leftId == kNoToken) fail(field, "the left part is not in model.vocab");
      if (rightId == kNoToken) fail(field, "the right part is not in model.vocab");
      if (mergedId == kNoToken) fail(field, "the two together are not in model.vocab");
      if (!pairs.add(leftId, rightId, {mergedId, rank})) fail(field, "the pair is told twice");
      ++rank;
    }
    merges_ = {};
    mergeText_ = {};
    try {
      components_->merger = std::make_unique<ReferenceMerger>(components_->vocabulary, std::move(pairs));
    } catch (const std::invalid_argument& e) { fail("model.vocab", e.what()); }
  }

  void readAddedTokens() {
    const json list = member(root_, "added_tokens");
    if (list.is_null()) return;
    if (!list.is_array()) fail("added_tokens", "is no array");
    for (std::size_t i = 0; i < list.size(); ++i) {
      const std::string field = "added_tokens[" + std::to_string(i) + "]";
      const json& addedToken = list[i];
      requireKnownKeys(addedToken, field,
                       {"id", "content", "single_word", "lstrip", "rstrip", "normalized", "special"});
      const json id = member(addedToken, "id");
      const json content = member(addedToken, "content");
      if (!id.is_number_unsigned() || id.get<std::uint64_t>() >= Vocabulary::kMostTokens)
        fail(field + ".id", "is no token id");
      if (!content.is_string()) fail(field + ".content", "is no text");
      for (const char* key : {"single_word", "lstrip", "rstrip"}) requireFalse(addedToken, field, key);
      const json special = member(addedToken, "special");
      if (!special.is_boolean()) fail(field + ".special", "is not true or false");
      try {
        components_->added.add(content.get<std::string>(), id.get<TokenId>(), special.get<bool>());
      } catch (const std::invalid_argument& e) { fail(field + ".content", e.what()); }
    }
  }

  void readNormalizer() {
    const json normalizer = member(root_, "normalizer");
    if (normalizer.is_null()) return;
    readNormalizer(normalizer, "normalizer");
  }
  void readNormalizer(const json& normalizer, const std::string& field) {
    const std::string typeName = typeOf(normalizer, field);
    if (typeName == "NFC") {
      requireKnownKeys(normalizer, field, {"type"});
      components_->normaliseToNfc = true;
      const json list = member(root_, "added_tokens");
      for (std::size_t i = 0; i < list.size(); ++i)
        for (const char c : list[i]["content"].get_ref<const std::string&>())
          if (static_cast<std::uint8_t>(c) >= 0x80)
            fail("added_tokens[" + std::to_string(i) + "].content",
                 "is not ASCII, which is not supported with NFC");
      return;
    }
    if (typeName != "Sequence") fail(field + ".type", "\"" + typeName + "\" is not supported; NFC is");
    requireKnownKeys(normalizer, field, {"type", "normalizers"});
    const json list = member(normalizer, "normalizers");
    if (!list.is_array()) fail(field + ".normalizers", "is no array");
    for (std::size_t i = 0; i < list.size(); ++i)
      readNormalizer(list[i], field + ".normalizers[" + std::to_string(i) + "]");
  }

  void readPreTokenizer() {
    const json preTokenizer = member(root_, "pre_tokenizer");
    if (preTokenizer.is_null()) fail("pre_tokenizer", "is missing; byte-level BPE needs one");
    readPreTokenizer(preTokenizer, "pre_tokenizer");
    if (!hasByteLevel_) fail("pre_tokenizer", "has no ByteLevel");
    if (components_->patterns.empty()) fail("pre_tokenizer", "cuts nothing, which is not supported");
  }
  void readPreTokenizer(const json& preTokenizer, const std::string& field) {
    const std::string typeName = typeOf(preTokenizer, field);
    if (hasByteLevel_) fail(field, "stands behind ByteLevel, which is not supported");
    if (typeName == "Sequence") {
      requireKnownKeys(preTokenizer, field, {"type", "pretokenizers"});
      const json list = member(preTokenizer, "pretokenizers");
      if (!list.is_array()) fail(field + ".pretokenizers", "is no array");
      for (std::size_t i = 0; i < list.size(); ++i)
        readPreTokenizer(list[i], field + ".pretokenizers[" + std::to_string(i) + "]");
    } else if (typeName == "ByteLevel") {
      requireKnownKeys(preTokenizer, field, {"type", "add_prefix_space", "trim_offsets", "use_regex"});
      requireFalse(preTokenizer, field, "add_prefix_space");
      const json regex = member(preTokenizer, "use_regex");
      if (!regex.is_null() && !regex.is_boolean()) fail(field + ".use_regex", "is not true or false");
      if (regex != false) addPattern(std::string(knownPattern("gpt2")), field);
      hasByteLevel_ = true;
    } else if (typeName == "Split") {
      requireKnownKeys(preTokenizer, field, {"type", "pattern", "behavior", "invert"});
      requireFalse(preTokenizer, field, "invert");
      if (member(preTokenizer, "behavior") != "Isolated")
        fail(field + ".behavior", member(preTokenizer, "behavior").dump() + " is not supported; Isolated is");
      const json pattern = member(preTokenizer, "pattern");
      requireKnownKeys(pattern, field + ".pattern", {"Regex", "String"});
      if (pattern.contains("Regex") == pattern.contains("String"))
        fail(field + ".pattern", "is neither a Regex nor a String");
      const json text = pattern.begin().value();
      if (!text.is_string()) fail(field + ".pattern", "is no text");
      addPattern(pattern.contains("Regex") ? text.get<std::string>() : escapeRegex(text.get<std::string>()),
                 field + ".pattern");
    } else if (typeName == "Digits") {
      requireKnownKeys(preTokenizer, field, {"type", "individual_digits"});
      addPattern(member(preTokenizer, "individual_digits") == true ? "\\p{N}" : "\\p{N}+", field);
    } else {
      fail(field + ".type",
           "\"" + typeName + "\" is not supported; Sequence, Split, Digits and ByteLevel are");
    }
  }
  void addPattern(const std::string& text, const std::string& field) {
    if (components_->patterns.size() >= 16) fail(field, "more than 16 patterns");
    try {
      components_->patterns.emplace_back(text, Dialect::oniguruma);
    } catch (const std::invalid_argument& e) { fail(field, e.what()); }
  }
  static std::string escapeRegex(const std::string& text) {
    std::string escaped;
    for (const char c : text) {
      if (std::string_view("\\.^$|()[]{}*+?").find(c) != std::string_view::npos) escaped += '\\';
      escaped += c;
    }
    return escaped;
  }

  void readPostProcessor(const json& postProcessor, const std::string& field) {
    if (postProcessor.is_null()) return;
    const std::string typeName = typeOf(postProcessor, field);
    if (typeName == "ByteLevel") {
      requireKnownKeys(postProcessor, field,
                       {"type", "add_prefix_space", "trim_offsets", "use_regex"});  // does not affect ids
    } else if (typeName == "Sequence") {
      requireKnownKeys(postProcessor, field, {"type", "processors"});
      const json list = member(postProcessor, "processors");
      if (!list.is_array()) fail(field + ".processors", "is no array");
      for (std::size_t i = 0; i < list.size(); ++i)
        readPostProcessor(list[i], field + ".processors[" + std::to_string(i) + "]");
    } else if (typeName == "TemplateProcessing") {
      requireKnownKeys(postProcessor, field, {"type", "single", "pair", "special_tokens"});
      readTemplate(postProcessor, field);
    } else {
      fail(field + ".type",
           "\"" + typeName + "\" is not supported; ByteLevel, TemplateProcessing and Sequence are");
    }
  }
  void readTemplate(const json& postProcessor, const std::string& field) {
    if (hasTemplate_) fail(field, "a second template is not supported");
    hasTemplate_ = true;
    const json single = member(postProcessor, "single");
    if (!single.is_array()) fail(field + ".single", "is no array");
    bool text = false;
    for (std::size_t i = 0; i < single.size(); ++i) {
      const std::string item = field + ".single[" + std::to_string(i) + "]";
      requireKnownKeys(single[i], item, {"SpecialToken", "Sequence"});
      if (single[i].contains("Sequence")) {
        if (text) fail(item, "the text twice is not supported");
        text = true;
        continue;
      }
      const json inner = member(single[i], "SpecialToken");
      const json id = inner.is_object() ? member(inner, "id") : json();
      if (!id.is_string()) fail(item, "has no id");
      const json specials = member(postProcessor, "special_tokens");
      const json special =
          specials.is_object() ? member(specials, id.get_ref<const std::string&>().c_str()) : json();
      const json ids = special.is_object() ? member(special, "ids") : json();
      if (!ids.is_array()) fail(field + ".special_tokens", "does not tell " + id.dump());
      for (const json& tokenId : ids) {
        if (!tokenId.is_number_unsigned() || tokenId.get<std::uint64_t>() >= Vocabulary::kMostTokens)
          fail(field + ".special_tokens", id.dump() + " has an id that is none");
        (text ? components_->behind : components_->before).push_back(tokenId.get<TokenId>());
      }
    }
    if (!text) fail(field + ".single", "leaves out the text");
  }

  void readDecoder() {
    const json decoderObject = member(root_, "decoder");
    if (decoderObject.is_null()) return;
    const std::string typeName = typeOf(decoderObject, "decoder");
    if (typeName != "ByteLevel") fail("decoder.type", "\"" + typeName + "\" is not supported; ByteLevel is");
  }

  struct MergeEntry {
    std::uint32_t from, left, right;
  };
  std::string name_;
  ByteAlphabet alphabet_;
  json root_;
  std::unique_ptr<ByteLevelComponents> components_ = std::make_unique<ByteLevelComponents>();
  std::string mergeText_;
  std::vector<MergeEntry> merges_;
  bool hasByteLevel_ = false;
  bool hasTemplate_ = false;
};

}  // namespace

std::shared_ptr<const Tokeniser> readHuggingFace(const std::string& name, std::string_view bytes) {
  if (!wellFormed(bytes)) throw FileError(name + ": is no UTF-8");
  return HuggingFaceReader(name, bytes).read();
}

}  // namespace garnethook::tokeniser
