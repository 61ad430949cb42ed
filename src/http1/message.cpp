#include "http1/message.h"

#include <algorithm>
#include <charconv>

namespace garnethook::http1 {
namespace {

bool tokenChar(char c) {  // RFC 9110 section 5.6.2
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}
bool isToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), tokenChar);
}

std::string lower(std::string_view text) {
  std::string out(text);
  for (char& c : out)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  return out;
}
std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

// The members of a comma list, in lower case.
std::vector<std::string> members(std::string_view list) {
  std::vector<std::string> out;
  while (true) {
    const auto comma = list.find(',');
    const auto item = trim(list.substr(0, comma));
    if (!item.empty()) out.push_back(lower(item));
    if (comma == std::string_view::npos) return out;
    list.remove_prefix(comma + 1);
  }
}

}  // namespace

std::optional<std::string_view> find(const Fields& fields, std::string_view name) {
  for (const Field& f : fields)
    if (f.name == name) return f.value;
  return std::nullopt;
}

bool listContains(std::string_view list, std::string_view member) {
  const auto all = members(list);
  return std::find(all.begin(), all.end(), member) != all.end();
}

bool MessageParser::fail(std::string_view text) {
  state_ = State::failed;
  error_ = text;
  return false;
}

// Collects a line up to LF, with or without CR before it (RFC 9112 section 2.2).
bool MessageParser::takeLine(std::string_view& in, std::size_t most, bool& whole) {
  const auto end = in.find('\n');
  const auto part = in.substr(0, end);
  if (line_.size() + part.size() > most) return false;
  line_.append(part);
  whole = end != std::string_view::npos;
  in.remove_prefix(whole ? end + 1 : in.size());
  if (whole && !line_.empty() && line_.back() == '\r') line_.pop_back();
  return true;
}

bool MessageParser::receive(std::string_view in) {
  untaken_ = 0;
  if (state_ == State::failed) return false;
  while (!in.empty() && !stopped_) {
    switch (state_) {
      case State::start:
      case State::fields:
      case State::trailers: {
        bool whole = false;
        const std::size_t before = in.size();
        if (!takeLine(in, limits_.headBytes, whole)) return fail("head too large");
        headSeen_ += before - in.size();
        if (headSeen_ > limits_.headBytes) return fail("head too large");
        untaken_ = in.size();
        if (!whole) return true;
        const bool good = state_ == State::start ? startLine() : fieldLine();
        if (!good) return false;
        break;
      }
      case State::body:
      case State::chunkData: {
        const auto n = std::min<std::uint64_t>(left_, in.size());
        if (!deliver(in.substr(0, n))) return false;
        in.remove_prefix(n);
        left_ -= n;
        untaken_ = in.size();
        if (left_ == 0) {
          if (state_ == State::body)
            finish();
          else
            state_ = State::chunkEnd;
        }
        break;
      }
      case State::untilClose:
        if (!deliver(in)) return false;
        in = {};
        break;
      case State::chunkSize:
      case State::chunkEnd: {
        bool whole = false;
        if (!takeLine(in, limits_.chunkLineBytes, whole)) return fail("chunk line too long");
        untaken_ = in.size();
        if (!whole) return true;
        if (state_ == State::chunkEnd) {
          if (!line_.empty()) return fail("no line end after a chunk");
          state_ = State::chunkSize;
        } else if (!chunkSizeLine()) {
          return false;
        }
        line_.clear();
        break;
      }
      case State::failed: return false;
    }
  }
  untaken_ = in.size();
  return true;
}

bool MessageParser::deliver(std::string_view bytes) {
  bodySeen_ += bytes.size();
  if (bodySeen_ > limits_.bodyBytes) return fail("body too large");
  if (!bytes.empty()) events_.onBody(bytes);
  return true;
}

bool MessageParser::startLine() {
  if (line_.empty()) return true;  // RFC 9112 section 2.2: empty lines before a message are passed over
  const std::string_view line = line_;
  head_ = {};
  if (kind_ == Kind::request) {
    const auto a = line.find(' ');
    const auto b = line.rfind(' ');
    if (a == std::string_view::npos || a == b) return fail("malformed request line");
    const auto version = line.substr(b + 1);
    head_.method = line.substr(0, a);
    head_.target = line.substr(a + 1, b - a - 1);
    if (!isToken(head_.method) || head_.target.empty() || head_.target.find(' ') != std::string::npos)
      return fail("malformed request line");
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return fail("HTTP version not understood");
    http10_ = version == "HTTP/1.0";
  } else {
    const auto version = line.substr(0, 8);
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return fail("HTTP version not understood");
    const auto digits = line.size() >= 12 ? line.substr(9, 3) : std::string_view();
    const auto [end, bad] = std::from_chars(digits.data(), digits.data() + digits.size(), head_.status);
    if (bad != std::errc() || end != digits.data() + 3 || line[8] != ' ' || head_.status < 100 ||
        (line.size() > 12 && line[12] != ' '))
      return fail("malformed status line");
    http10_ = version == "HTTP/1.0";
  }
  line_.clear();
  state_ = State::fields;
  return true;
}

bool MessageParser::fieldLine() {
  if (line_.empty()) {
    if (state_ == State::fields) return headEnd();
    finish();
    return true;
  }
  const std::string_view line = line_;
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) return fail("malformed field");
  const auto value = trim(line.substr(colon + 1));
  if (std::any_of(value.begin(), value.end(),
                  [](char c) { return (c >= 0 && c < 0x20 && c != '\t') || c == 0x7f; }))
    return fail("control character in a field");
  if (state_ == State::fields) head_.fields.push_back({lower(line.substr(0, colon)), std::string(value)});
  line_.clear();
  return true;
}

bool MessageParser::headEnd() {
  std::optional<std::uint64_t> length;
  bool chunked = false;
  bool coded = false;
  head_.keepAlive = !http10_;
  for (const Field& f : head_.fields) {
    if (f.name == "content-length") {
      std::uint64_t n = 0;
      const auto [end, bad] = std::from_chars(f.value.data(), f.value.data() + f.value.size(), n);
      if (bad != std::errc() || end != f.value.data() + f.value.size() || (length && *length != n))
        return fail("bad Content-Length");
      length = n;
    } else if (f.name == "transfer-encoding") {
      const auto codings = members(f.value);
      if (coded || codings.size() != 1 || codings[0] != "chunked")
        return fail("Transfer-Encoding not understood");
      coded = chunked = true;
    } else if (f.name == "connection") {
      for (const auto& option : members(f.value)) {
        if (option == "close") head_.keepAlive = false;
        if (option == "keep-alive" && http10_) head_.keepAlive = true;
      }
    }
  }
  // Both together is how requests are smuggled (RFC 9112 section 6.1).
  if (chunked && (length || http10_)) return fail("Content-Length with Transfer-Encoding");
  if (length && *length > limits_.bodyBytes) return fail("body too large");
  const bool interim = kind_ == Kind::response && head_.status < 200 && head_.status != 101;
  if (interim) {
    line_.clear();
    state_ = State::start;
    return true;
  }
  const bool bare = noBody_ || head_.status == 204 || head_.status == 304 || head_.status == 101;
  const bool untilClose = kind_ == Kind::response && !bare && !chunked && !length;
  if (untilClose) head_.keepAlive = false;
  line_.clear();
  bodySeen_ = 0;
  left_ = length.value_or(0);
  state_ = chunked && !bare ? State::chunkSize : untilClose ? State::untilClose : State::body;
  events_.onHead(head_);
  if (state_ == State::body && (left_ == 0 || bare)) finish();
  return true;
}

bool MessageParser::chunkSizeLine() {
  const std::string_view line = trim(std::string_view(line_).substr(0, line_.find(';')));
  std::uint64_t n = 0;
  const auto [end, bad] = std::from_chars(line.data(), line.data() + line.size(), n, 16);
  if (line.empty() || bad != std::errc() || end != line.data() + line.size() || n > limits_.bodyBytes)
    return fail("malformed chunk size");
  left_ = n;
  state_ = n == 0 ? State::trailers : State::chunkData;
  return true;
}

void MessageParser::finish() {
  state_ = State::start;
  line_.clear();
  headSeen_ = 0;
  noBody_ = false;
  events_.onEnd();
}

bool MessageParser::close() {
  if (state_ == State::failed) return false;
  if (state_ == State::untilClose) {
    finish();
    return true;
  }
  return !hasPartialInput() || fail("closed in the middle of a message");
}

}  // namespace garnethook::http1
