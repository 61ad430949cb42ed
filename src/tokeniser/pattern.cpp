#include "tokeniser/pattern.h"

#define PCRE2_CODE_UNIT_WIDTH 8
#include <pcre2.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace garnethook::tokeniser {
namespace {

// Unicode's White_Space as the content of a character class.
constexpr std::string_view kWhiteSpaceRanges =
    R"(\x{9}-\x{d}\x{20}\x{85}\x{a0}\x{1680}\x{2000}-\x{200a}\x{2028}\x{2029}\x{202f}\x{205f}\x{3000})";

class PatternTranslator {
 public:
  PatternTranslator(std::string_view pattern, Dialect dialect) : input_(pattern), dialect_(dialect) {}

  std::string translate() {
    int depth = 0;
    bool quantifiable = false;  // the last element can take a quantifier
    while (position_ < input_.size()) {
      const char c = input_[position_];
      switch (c) {
        case '(':
          translateGroup();
          ++depth;
          quantifiable = false;
          break;
        case ')':
          if (--depth < 0) fail("a ) without (");
          copyCharacter();
          quantifiable = true;
          break;
        case '[':
          translateClass();
          quantifiable = true;
          break;
        case '|':
          copyCharacter();
          quantifiable = false;
          break;
        case '?':
        case '*':
        case '+':
        case '{':
          if (!quantifiable) fail("a quantifier without what it repeats");
          translateQuantifier();
          quantifiable = false;
          break;
        case '\\':
          translateEscape(false);
          quantifiable = true;
          break;
        case '.':
        case '^':
        case '$':
        case ']':
        case '}': fail(std::string("the construct ") + c + " is not supported");
        default: copyCharacter(); quantifiable = true;
      }
    }
    if (depth != 0) fail("a ( without )");
    return std::move(output_);
  }

 private:
  [[noreturn]] void fail(const std::string& text) const {
    throw std::invalid_argument("pattern, octet " + std::to_string(position_) + ": " + text);
  }
  bool startsWith(std::string_view text) const { return input_.substr(position_).starts_with(text); }
  void copyCharacter() { output_ += input_[position_++]; }

  void translateGroup() {
    for (const std::string_view known : {"(?:", "(?i:", "(?=", "(?!"})
      if (startsWith(known)) {
        output_ += known;
        position_ += known.size();
        return;
      }
    if (startsWith("(?")) fail("the group " + std::string(input_.substr(position_, 4)) + " is not supported");
    output_ += "(?:";  // non-capturing, since back references are not supported
    ++position_;
  }

  void translateQuantifier() {
    bool counted = false;
    if (input_[position_] == '{') {
      counted = true;
      std::size_t i = position_ + 1;
      const auto digits = [&] {
        const std::size_t from = i;
        while (i < input_.size() && input_[i] >= '0' && input_[i] <= '9') ++i;
        return i > from && i - from < 4;
      };
      if (!digits()) fail("{ without a count from 0 to 999");
      if (i < input_.size() && input_[i] == ',') {
        ++i;
        if (i < input_.size() && input_[i] != '}' && !digits()) fail("{ with a count that is none");
      }
      if (i >= input_.size() || input_[i] != '}') fail("{ without }");
      output_ += input_.substr(position_, i + 1 - position_);
      position_ = i + 1;
    } else {
      copyCharacter();
    }
    if (position_ >= input_.size()) return;
    if (input_[position_] == '?') {
      if (counted && dialect_ == Dialect::oniguruma) fail("a lazy {n,m} is not supported");
      copyCharacter();
    } else if (input_[position_] == '+') {
      if (counted && dialect_ == Dialect::oniguruma) fail("{n,m}+ is not supported");
      copyCharacter();
    }
    if (position_ < input_.size() &&
        std::string_view("?*+{").find(input_[position_]) != std::string_view::npos)
      fail("a quantifier after a quantifier");
  }

  void translateClass() {
    const std::size_t from = position_;
    output_ += '[';
    ++position_;
    if (position_ < input_.size() && input_[position_] == '^') copyCharacter();
    bool hasMembers = false;
    for (;; hasMembers = true) {
      if (position_ >= input_.size()) {
        position_ = from;
        fail("a [ without ]");
      }
      const char c = input_[position_];
      if (c == ']') {
        if (!hasMembers) fail("an empty class");
        copyCharacter();
        return;
      }
      if (c == '[') fail("a class in a class is not supported");
      if (startsWith("&&") || startsWith("--") || startsWith("~~"))
        fail("operations on classes are not supported");
      if (c == '\\')
        translateEscape(true);
      else
        copyCharacter();
    }
  }

  void translateEscape(bool inClass) {
    if (position_ + 1 >= input_.size()) fail("a \\ at the end");
    const char c = input_[position_ + 1];
    switch (c) {
      case 's':
        position_ += 2;
        output_ += inClass ? std::string(kWhiteSpaceRanges) : "[" + std::string(kWhiteSpaceRanges) + "]";
        return;
      case 'S':
        if (inClass) fail("\\S in a class is not supported");
        position_ += 2;
        output_ += "[^" + std::string(kWhiteSpaceRanges) + "]";
        return;
      case 'd':
        position_ += 2;
        output_ += "\\p{Nd}";
        return;
      case 'r':
      case 'n':
      case 't':
        output_ += input_.substr(position_, 2);
        position_ += 2;
        return;
      case 'p':
      case 'P': return translateCategory();
      case 'x':
      case 'u': return translateCodePoint();
      default:
        if (static_cast<unsigned char>(c) >= 0x80 || (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
            (c >= 'a' && c <= 'z'))
          fail(std::string("\\") + c + " is not supported");
        output_ += input_.substr(position_, 2);
        position_ += 2;
    }
  }

  void translateCategory() {
    const std::size_t end = input_.find('}', position_);
    if (position_ + 2 >= input_.size() || input_[position_ + 2] != '{' || end == std::string_view::npos)
      fail("\\p without {name}");
    const std::string_view name = input_.substr(position_ + 3, end - position_ - 3);
    constexpr std::array<std::string_view, 37> known{
        "C",  "Cc", "Cf", "Cn", "Co", "Cs", "L",  "Ll", "Lm", "Lo", "Lt", "Lu", "M",
        "Mc", "Me", "Mn", "N",  "Nd", "Nl", "No", "P",  "Pc", "Pd", "Pe", "Pf", "Pi",
        "Po", "Ps", "S",  "Sc", "Sk", "Sm", "So", "Z",  "Zl", "Zp", "Zs"};
    output_ += '\\';
    output_ += input_[position_ + 1];
    if (std::find(known.begin(), known.end(), name) != known.end())
      output_ += "{" + std::string(name) + "}";
    else if (name == "Han")
      output_ += "{sc:Han}";  // PCRE2's plain name also matches script extensions
    else
      fail("\\p{" + std::string(name.substr(0, 40)) + "} is not supported");
    position_ = end + 1;
  }

  void translateCodePoint() {
    std::size_t i = position_ + 2;
    const bool braced = i < input_.size() && input_[i] == '{';
    if (braced && input_[position_ + 1] == 'u') fail("\\u{ is not supported");
    const std::size_t maxDigits = braced ? 6 : input_[position_ + 1] == 'u' ? 4 : 2;
    if (braced) ++i;
    const std::size_t from = i;
    while (i < input_.size() && i - from < maxDigits &&
           std::string_view("0123456789abcdefABCDEF").find(input_[i]) != std::string_view::npos)
      ++i;
    const bool complete = braced ? i > from && i < input_.size() && input_[i] == '}' : i - from == maxDigits;
    if (!complete) fail("a character's number that is none");
    output_ += "\\x{" + std::string(input_.substr(from, i - from)) + "}";
    position_ = braced ? i + 1 : i;
  }

  std::string_view input_;
  Dialect dialect_;
  std::size_t position_ = 0;
  std::string output_;
};

constexpr std::size_t kInitialJitStackBytes = 32 * 1024;
constexpr std::size_t kMaxJitStackBytes = 64 * 1024 * 1024;

}  // namespace

std::string translateToPcre2(std::string_view pattern, Dialect dialect) {
  if (pattern.empty()) throw std::invalid_argument("pattern: is empty");
  if (pattern.size() > 65'536) throw std::invalid_argument("pattern: has more than 65536 octets");
  return PatternTranslator(pattern, dialect).translate();
}

struct Pattern::Workspace::MatchState {
  pcre2_match_data* data = pcre2_match_data_create(4, nullptr);
  pcre2_match_context* context = pcre2_match_context_create(nullptr);
  pcre2_jit_stack* stack = pcre2_jit_stack_create(kInitialJitStackBytes, kMaxJitStackBytes, nullptr);
  MatchState() {
    if (data == nullptr || context == nullptr || stack == nullptr) throw std::bad_alloc();
    pcre2_jit_stack_assign(context, nullptr, stack);
    // Work is bounded by the supported constructs and the length of the text; a match limit would fail on
    // long runs.
    pcre2_set_match_limit(context, 0xffffffff);
    pcre2_set_depth_limit(context, 0xffffffff);
  }
  ~MatchState() {
    pcre2_match_data_free(data);
    pcre2_match_context_free(context);
    pcre2_jit_stack_free(stack);
  }
  MatchState(const MatchState&) = delete;
  MatchState& operator=(const MatchState&) = delete;
};

Pattern::Workspace::Workspace() : state_(std::make_unique<MatchState>()) {}
Pattern::Workspace::~Workspace() = default;

struct Pattern::Code {
  pcre2_code* code = nullptr;
  ~Code() { pcre2_code_free(code); }
};

Pattern::Pattern(std::string_view pattern, Dialect dialect) : code_(std::make_unique<Code>()) {
  const std::string text = translateToPcre2(pattern, dialect);
  int error = 0;
  std::size_t errorOffset = 0;
  code_->code = pcre2_compile(reinterpret_cast<PCRE2_SPTR>(text.data()), text.size(), PCRE2_UTF | PCRE2_UCP,
                              &error, &errorOffset, nullptr);
  if (code_->code == nullptr) {
    std::array<PCRE2_UCHAR, 256> message{};
    pcre2_get_error_message(error, message.data(), message.size());
    throw std::invalid_argument("pattern: " + std::string(reinterpret_cast<const char*>(message.data())));
  }
  std::uint32_t empty = 0;
  pcre2_pattern_info(code_->code, PCRE2_INFO_MATCHEMPTY, &empty);
  if (empty != 0) throw std::invalid_argument("pattern: may match nothing");
  if (pcre2_jit_compile(code_->code, PCRE2_JIT_COMPLETE | PCRE2_JIT_PARTIAL_HARD) != 0)
    throw std::invalid_argument("pattern: can't be compiled to machine code here");
}

Pattern::~Pattern() = default;
Pattern::Pattern(Pattern&&) noexcept = default;
Pattern& Pattern::operator=(Pattern&&) noexcept = default;

Pattern::SearchResult Pattern::next(std::string_view text, std::size_t from, bool more, Match& match,
                                    Workspace& workspace) const {
  const auto& state = *workspace.state_;
  const int found = pcre2_jit_match(code_->code, reinterpret_cast<PCRE2_SPTR>(text.data()), text.size(), from,
                                    more ? PCRE2_PARTIAL_HARD : 0, state.data, state.context);
  if (found >= 0) {
    const std::size_t* at = pcre2_get_ovector_pointer(state.data);
    match = {at[0], at[1]};
    return SearchResult::found;
  }
  if (found == PCRE2_ERROR_PARTIAL) return SearchResult::uncertain;
  if (found == PCRE2_ERROR_NOMATCH) return more ? SearchResult::uncertain : SearchResult::none;
  throw std::runtime_error("the pattern's match memory is used up (PCRE2 " + std::to_string(found) + ")");
}

std::string_view knownPattern(std::string_view name) {
  if (name == "cl100k_base")
    return R"((?i:'s|'t|'re|'ve|'m|'ll|'d)|[^\r\n\p{L}\p{N}]?\p{L}+|\p{N}{1,3}| ?[^\s\p{L}\p{N}]+[\r\n]*|\s*[\r\n]+|\s+(?!\S)|\s+)";
  if (name == "o200k_base")
    return R"([^\r\n\p{L}\p{N}]?[\p{Lu}\p{Lt}\p{Lm}\p{Lo}\p{M}]*[\p{Ll}\p{Lm}\p{Lo}\p{M}]+(?i:'s|'t|'re|'ve|'m|'ll|'d)?|[^\r\n\p{L}\p{N}]?[\p{Lu}\p{Lt}\p{Lm}\p{Lo}\p{M}]+[\p{Ll}\p{Lm}\p{Lo}\p{M}]*(?i:'s|'t|'re|'ve|'m|'ll|'d)?|\p{N}{1,3}| ?[^\s\p{L}\p{N}]+[\r\n/]*|\s*[\r\n]+|\s+(?!\S)|\s+)";
  if (name == "p50k_base" || name == "r50k_base" || name == "gpt2")
    return R"('s|'t|'re|'ve|'m|'ll|'d| ?\p{L}+| ?\p{N}+| ?[^\s\p{L}\p{N}]+|\s+(?!\S)|\s+)";
  return {};
}

}  // namespace garnethook::tokeniser
