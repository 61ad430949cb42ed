#include "http1/message.h"

#include <algorithm>
#include <charconv>

namespace garnethook::http1 {
namespace {

bool isTokenChar(char c) {  // RFC 9110 section 5.6.2
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}
bool isToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), isTokenChar);
}

std::string toLower(std::string_view text) {
  std::string lowered(text);
  for (char& c : lowered)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  return lowered;
}
std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

}  // namespace

std::optional<std::string_view> find(const Fields& fields, std::string_view name) {
  for (const Field& field : fields)
    if (field.name == name) return field.value;
  return std::nullopt;
}

std::vector<std::string> splitList(std::string_view list) {
  std::vector<std::string> items;
  while (true) {
    const auto comma = list.find(',');
    const auto item = trim(list.substr(0, comma));
    if (!item.empty()) items.push_back(toLower(item));
    if (comma == std::string_view::npos) return items;
    list.remove_prefix(comma + 1);
  }
}

bool MessageParser::fail(std::string_view text) {
  state_ = State::failed;
  error_ = text;
  return false;
}

// Appends input to line_ up to LF, with or without a preceding CR (RFC 9112 section 2.2). `isComplete`
// reports whether the line end was found. Returns false if the line would exceed `maxBytes`.
bool MessageParser::readLine(std::string_view& input, std::size_t maxBytes, bool& isComplete) {
  const auto end = input.find('\n');
  const auto part = input.substr(0, end);
  if (line_.size() + part.size() > maxBytes) return false;
  line_.append(part);
  isComplete = end != std::string_view::npos;
  input.remove_prefix(isComplete ? end + 1 : input.size());
  if (isComplete && !line_.empty() && line_.back() == '\r') line_.pop_back();
  return true;
}

bool MessageParser::receive(std::string_view input) {
  unconsumed_ = 0;
  if (state_ == State::failed) return false;
  while (!input.empty() && !isStopped_) {
    switch (state_) {
      case State::start:
      case State::fields:
      case State::trailers: {
        bool isComplete = false;
        const std::size_t sizeBefore = input.size();
        if (!readLine(input, limits_.headBytes, isComplete)) return fail("head too large");
        headBytesRead_ += sizeBefore - input.size();
        if (headBytesRead_ > limits_.headBytes) return fail("head too large");
        unconsumed_ = input.size();
        if (!isComplete) return true;
        const bool isValid = state_ == State::start ? parseStartLine() : parseFieldLine();
        if (!isValid) return false;
        break;
      }
      case State::body:
      case State::chunkData: {
        const auto count = std::min<std::uint64_t>(bytesRemaining_, input.size());
        if (!deliver(input.substr(0, count))) return false;
        input.remove_prefix(count);
        bytesRemaining_ -= count;
        unconsumed_ = input.size();
        if (bytesRemaining_ == 0) {
          if (state_ == State::body)
            finishMessage();
          else
            state_ = State::chunkEnd;
        }
        break;
      }
      case State::untilClose:
        if (!deliver(input)) return false;
        input = {};
        break;
      case State::chunkSize:
      case State::chunkEnd: {
        bool isComplete = false;
        if (!readLine(input, limits_.chunkLineBytes, isComplete)) return fail("chunk line too long");
        unconsumed_ = input.size();
        if (!isComplete) return true;
        if (state_ == State::chunkEnd) {
          if (!line_.empty()) return fail("no line end after a chunk");
          state_ = State::chunkSize;
        } else if (!parseChunkSizeLine()) {
          return false;
        }
        line_.clear();
        break;
      }
      case State::failed: return false;
    }
  }
  unconsumed_ = input.size();
  return true;
}

bool MessageParser::deliver(std::string_view bytes) {
  bodyBytesRead_ += bytes.size();
  if (bodyBytesRead_ > limits_.bodyBytes) return fail("body too large");
  if (!bytes.empty()) events_.onBody(bytes);
  return true;
}

bool MessageParser::parseStartLine() {
  if (line_.empty()) return true;  // RFC 9112 section 2.2: empty lines before a message are ignored
  const std::string_view line = line_;
  head_ = {};
  if (kind_ == Kind::request) {
    const auto firstSpace = line.find(' ');
    const auto lastSpace = line.rfind(' ');
    if (firstSpace == std::string_view::npos || firstSpace == lastSpace)
      return fail("malformed request line");
    const auto version = line.substr(lastSpace + 1);
    head_.method = line.substr(0, firstSpace);
    head_.target = line.substr(firstSpace + 1, lastSpace - firstSpace - 1);
    if (!isToken(head_.method) || head_.target.empty() || head_.target.find(' ') != std::string::npos)
      return fail("malformed request line");
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return fail("HTTP version not understood");
    isHttp10_ = version == "HTTP/1.0";
  } else {
    const auto version = line.substr(0, 8);
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return fail("HTTP version not understood");
    const auto digits = line.size() >= 12 ? line.substr(9, 3) : std::string_view();
    const auto [end, parseError] =
        std::from_chars(digits.data(), digits.data() + digits.size(), head_.status);
    if (parseError != std::errc() || end != digits.data() + 3 || line[8] != ' ' || head_.status < 100 ||
        (line.size() > 12 && line[12] != ' '))
      return fail("malformed status line");
    isHttp10_ = version == "HTTP/1.0";
  }
  line_.clear();
  state_ = State::fields;
  return true;
}

bool MessageParser::parseFieldLine() {
  if (line_.empty()) {
    if (state_ == State::fields) return finishHead();
    finishMessage();
    return true;
  }
  const std::string_view line = line_;
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) return fail("malformed field");
  const auto value = trim(line.substr(colon + 1));
  if (std::any_of(value.begin(), value.end(),
                  [](char c) { return (c >= 0 && c < 0x20 && c != '\t') || c == 0x7f; }))
    return fail("control character in a field");
  Field field{toLower(line.substr(0, colon)), std::string(value)};
  if (state_ == State::trailers) {
    events_.onTrailer(field);
  } else {
    if (head_.fields.size() >= limits_.fields) return fail("too many fields");
    head_.fields.push_back(std::move(field));
    ++headFields_;
  }
  line_.clear();
  return true;
}

bool MessageParser::finishHead() {
  std::optional<std::uint64_t> length;
  bool isChunked = false;
  bool hasTransferEncoding = false;
  head_.keepAlive = !isHttp10_;
  for (const Field& field : head_.fields) {
    if (field.name == "content-length") {
      std::uint64_t parsedLength = 0;
      const auto [end, parseError] =
          std::from_chars(field.value.data(), field.value.data() + field.value.size(), parsedLength);
      if (parseError != std::errc() || end != field.value.data() + field.value.size() ||
          (length && *length != parsedLength))
        return fail("bad Content-Length");
      length = parsedLength;
    } else if (field.name == "transfer-encoding") {
      const auto codings = splitList(field.value);
      if (hasTransferEncoding || codings.size() != 1 || codings[0] != "chunked")
        return fail("Transfer-Encoding not understood");
      hasTransferEncoding = isChunked = true;
    } else if (field.name == "connection") {
      for (const auto& option : splitList(field.value)) {
        if (option == "close") head_.keepAlive = false;
        if (option == "keep-alive" && isHttp10_) head_.keepAlive = true;
      }
    }
  }
  // Accepting both would allow request smuggling (RFC 9112 section 6.1).
  if (isChunked && (length || isHttp10_)) return fail("Content-Length with Transfer-Encoding");
  if (length && *length > limits_.bodyBytes) return fail("body too large");
  const bool isInterim = kind_ == Kind::response && head_.status < 200 && head_.status != 101;
  if (isInterim) {
    line_.clear();
    state_ = State::start;
    return true;
  }
  const bool isBodiless = expectsNoBody_ || head_.status == 204 || head_.status == 304 || head_.status == 101;
  const bool untilClose = kind_ == Kind::response && !isBodiless && !isChunked && !length;
  if (untilClose) head_.keepAlive = false;
  line_.clear();
  bodyBytesRead_ = 0;
  bytesRemaining_ = length.value_or(0);
  state_ = isChunked && !isBodiless ? State::chunkSize : untilClose ? State::untilClose : State::body;
  events_.onHead(head_);
  if (state_ == State::body && (bytesRemaining_ == 0 || isBodiless)) finishMessage();
  return true;
}

bool MessageParser::parseChunkSizeLine() {
  const std::string_view line = trim(std::string_view(line_).substr(0, line_.find(';')));
  std::uint64_t chunkBytes = 0;
  const auto [end, parseError] = std::from_chars(line.data(), line.data() + line.size(), chunkBytes, 16);
  if (line.empty() || parseError != std::errc() || end != line.data() + line.size() ||
      chunkBytes > limits_.bodyBytes)
    return fail("malformed chunk size");
  bytesRemaining_ = chunkBytes;
  state_ = chunkBytes == 0 ? State::trailers : State::chunkData;
  return true;
}

void MessageParser::finishMessage() {
  state_ = State::start;
  line_.clear();
  if (line_.capacity() > kMaxIdleLineBytes) line_.shrink_to_fit();
  headBytesRead_ = headFields_ = 0;
  expectsNoBody_ = false;
  events_.onEnd();
}

void MessageParser::abandon() {
  stop();
  state_ = State::failed;
  head_ = {};
  std::string().swap(line_);
}

bool MessageParser::close() {
  if (state_ == State::failed) return false;
  if (state_ == State::untilClose) {
    finishMessage();
    return true;
  }
  return !hasPartialInput() || fail("closed in the middle of a message");
}

}  // namespace garnethook::http1
