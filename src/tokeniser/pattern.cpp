#include "tokeniser/pattern.h"

#define PCRE2_CODE_UNIT_WIDTH 8
#include <pcre2.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace garnethook::tokeniser {
namespace {

// Unicode's White_Space as the content of a character class.
constexpr std::string_view kSpace =
    R"(\x{9}-\x{d}\x{20}\x{85}\x{a0}\x{1680}\x{2000}-\x{200a}\x{2028}\x{2029}\x{202f}\x{205f}\x{3000})";

class Reader {
 public:
  Reader(std::string_view pattern, Dialect dialect) : in_(pattern), dialect_(dialect) {}

  std::string run() {
    int depth = 0;
    bool atom = false;  // the last element can take a quantifier
    while (at_ < in_.size()) {
      const char c = in_[at_];
      switch (c) {
        case '(':
          group();
          ++depth;
          atom = false;
          break;
        case ')':
          if (--depth < 0) fail("a ) without (");
          put();
          atom = true;
          break;
        case '[':
          classOf();
          atom = true;
          break;
        case '|':
          put();
          atom = false;
          break;
        case '?':
        case '*':
        case '+':
        case '{':
          if (!atom) fail("a quantifier without what it repeats");
          quantifier();
          atom = false;
          break;
        case '\\':
          escape(false);
          atom = true;
          break;
        case '.':
        case '^':
        case '$':
        case ']':
        case '}': fail(std::string("the construct ") + c + " is not supported");
        default: put(); atom = true;
      }
    }
    if (depth != 0) fail("a ( without )");
    return std::move(out_);
  }

 private:
  [[noreturn]] void fail(const std::string& text) const {
    throw std::invalid_argument("pattern, octet " + std::to_string(at_) + ": " + text);
  }
  bool follows(std::string_view text) const { return in_.substr(at_).starts_with(text); }
  void put() { out_ += in_[at_++]; }

  void group() {
    for (const std::string_view known : {"(?:", "(?i:", "(?=", "(?!"})
      if (follows(known)) {
        out_ += known;
        at_ += known.size();
        return;
      }
    if (follows("(?")) fail("the group " + std::string(in_.substr(at_, 4)) + " is not supported");
    out_ += "(?:";  // non-capturing, since back references are not supported
    ++at_;
  }

  void quantifier() {
    bool counted = false;
    if (in_[at_] == '{') {
      counted = true;
      std::size_t i = at_ + 1;
      const auto digits = [&] {
        const std::size_t from = i;
        while (i < in_.size() && in_[i] >= '0' && in_[i] <= '9') ++i;
        return i > from && i - from < 4;
      };
      if (!digits()) fail("{ without a count from 0 to 999");
      if (i < in_.size() && in_[i] == ',') {
        ++i;
        if (i < in_.size() && in_[i] != '}' && !digits()) fail("{ with a count that is none");
      }
      if (i >= in_.size() || in_[i] != '}') fail("{ without }");
      out_ += in_.substr(at_, i + 1 - at_);
      at_ = i + 1;
    } else {
      put();
    }
    if (at_ >= in_.size()) return;
    if (in_[at_] == '?') {
      if (counted && dialect_ == Dialect::oniguruma) fail("a lazy {n,m} is not supported");
      put();
    } else if (in_[at_] == '+') {
      if (counted && dialect_ == Dialect::oniguruma) fail("{n,m}+ is not supported");
      put();
    }
    if (at_ < in_.size() && std::string_view("?*+{").find(in_[at_]) != std::string_view::npos)
      fail("a quantifier after a quantifier");
  }

  void classOf() {
    const std::size_t from = at_;
    out_ += '[';
    ++at_;
    if (at_ < in_.size() && in_[at_] == '^') put();
    bool any = false;
    for (;; any = true) {
      if (at_ >= in_.size()) {
        at_ = from;
        fail("a [ without ]");
      }
      const char c = in_[at_];
      if (c == ']') {
        if (!any) fail("an empty class");
        put();
        return;
      }
      if (c == '[') fail("a class in a class is not supported");
      if (follows("&&") || follows("--") || follows("~~")) fail("operations on classes are not supported");
      if (c == '\\')
        escape(true);
      else
        put();
    }
  }

  void escape(bool inClass) {
    if (at_ + 1 >= in_.size()) fail("a \\ at the end");
    const char c = in_[at_ + 1];
    switch (c) {
      case 's':
        at_ += 2;
        out_ += inClass ? std::string(kSpace) : "[" + std::string(kSpace) + "]";
        return;
      case 'S':
        if (inClass) fail("\\S in a class is not supported");
        at_ += 2;
        out_ += "[^" + std::string(kSpace) + "]";
        return;
      case 'd':
        at_ += 2;
        out_ += "\\p{Nd}";
        return;
      case 'r':
      case 'n':
      case 't':
        out_ += in_.substr(at_, 2);
        at_ += 2;
        return;
      case 'p':
      case 'P': return category();
      case 'x':
      case 'u': return number();
      default:
        if (static_cast<unsigned char>(c) >= 0x80 || (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
            (c >= 'a' && c <= 'z'))
          fail(std::string("\\") + c + " is not supported");
        out_ += in_.substr(at_, 2);
        at_ += 2;
    }
  }

  void category() {
    const std::size_t end = in_.find('}', at_);
    if (at_ + 2 >= in_.size() || in_[at_ + 2] != '{' || end == std::string_view::npos)
      fail("\\p without {name}");
    const std::string_view name = in_.substr(at_ + 3, end - at_ - 3);
    constexpr std::array<std::string_view, 37> known{
        "C",  "Cc", "Cf", "Cn", "Co", "Cs", "L",  "Ll", "Lm", "Lo", "Lt", "Lu", "M",
        "Mc", "Me", "Mn", "N",  "Nd", "Nl", "No", "P",  "Pc", "Pd", "Pe", "Pf", "Pi",
        "Po", "Ps", "S",  "Sc", "Sk", "Sm", "So", "Z",  "Zl", "Zp", "Zs"};
    out_ += '\\';
    out_ += in_[at_ + 1];
    if (std::find(known.begin(), known.end(), name) != known.end())
      out_ += "{" + std::string(name) + "}";
    else if (name == "Han")
      out_ += "{sc:Han}";  // PCRE2's plain name also matches script extensions
    else
      fail("\\p{" + std::string(name.substr(0, 40)) + "} is not supported");
    at_ = end + 1;
  }

  void number() {
    std::size_t i = at_ + 2;
    const bool braces = i < in_.size() && in_[i] == '{';
    if (braces && in_[at_ + 1] == 'u') fail("\\u{ is not supported");
    const std::size_t most = braces ? 6 : in_[at_ + 1] == 'u' ? 4 : 2;
    if (braces) ++i;
    const std::size_t from = i;
    while (i < in_.size() && i - from < most &&
           std::string_view("0123456789abcdefABCDEF").find(in_[i]) != std::string_view::npos)
      ++i;
    const bool whole = braces ? i > from && i < in_.size() && in_[i] == '}' : i - from == most;
    if (!whole) fail("a character's number that is none");
    out_ += "\\x{" + std::string(in_.substr(from, i - from)) + "}";
    at_ = braces ? i + 1 : i;
  }

  std::string_view in_;
  Dialect dialect_;
  std::size_t at_ = 0;
  std::string out_;
};

constexpr std::size_t kStackStart = 32 * 1024;
constexpr std::size_t kStackMost = 64 * 1024 * 1024;

}  // namespace

std::string translated(std::string_view pattern, Dialect dialect) {
  if (pattern.empty()) throw std::invalid_argument("pattern: is empty");
  if (pattern.size() > 65'536) throw std::invalid_argument("pattern: has more than 65536 octets");
  return Reader(pattern, dialect).run();
}

struct Pattern::Workspace::Parts {
  pcre2_match_data* data = pcre2_match_data_create(4, nullptr);
  pcre2_match_context* context = pcre2_match_context_create(nullptr);
  pcre2_jit_stack* stack = pcre2_jit_stack_create(kStackStart, kStackMost, nullptr);
  Parts() {
    if (data == nullptr || context == nullptr || stack == nullptr) throw std::bad_alloc();
    pcre2_jit_stack_assign(context, nullptr, stack);
    // Work is bounded by the supported constructs and the length of the text; a match limit would fail on
    // long runs.
    pcre2_set_match_limit(context, 0xffffffff);
    pcre2_set_depth_limit(context, 0xffffffff);
  }
  ~Parts() {
    pcre2_match_data_free(data);
    pcre2_match_context_free(context);
    pcre2_jit_stack_free(stack);
  }
  Parts(const Parts&) = delete;
  Parts& operator=(const Parts&) = delete;
};

Pattern::Workspace::Workspace() : parts_(std::make_unique<Parts>()) {}
Pattern::Workspace::~Workspace() = default;

struct Pattern::Code {
  pcre2_code* code = nullptr;
  ~Code() { pcre2_code_free(code); }
};

Pattern::Pattern(std::string_view pattern, Dialect dialect) : code_(std::make_unique<Code>()) {
  const std::string text = translated(pattern, dialect);
  int error = 0;
  std::size_t place = 0;
  code_->code = pcre2_compile(reinterpret_cast<PCRE2_SPTR>(text.data()), text.size(), PCRE2_UTF | PCRE2_UCP,
                              &error, &place, nullptr);
  if (code_->code == nullptr) {
    std::array<PCRE2_UCHAR, 256> words{};
    pcre2_get_error_message(error, words.data(), words.size());
    throw std::invalid_argument("pattern: " + std::string(reinterpret_cast<const char*>(words.data())));
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

Pattern::Look Pattern::next(std::string_view text, std::size_t from, bool more, Match& match,
                            Workspace& workspace) const {
  const auto& parts = *workspace.parts_;
  const int found = pcre2_jit_match(code_->code, reinterpret_cast<PCRE2_SPTR>(text.data()), text.size(), from,
                                    more ? PCRE2_PARTIAL_HARD : 0, parts.data, parts.context);
  if (found >= 0) {
    const std::size_t* at = pcre2_get_ovector_pointer(parts.data);
    match = {at[0], at[1]};
    return Look::found;
  }
  if (found == PCRE2_ERROR_PARTIAL) return Look::uncertain;
  if (found == PCRE2_ERROR_NOMATCH) return more ? Look::uncertain : Look::none;
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
