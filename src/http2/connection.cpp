#include "http2/connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace garnethook::http2 {
namespace {

enum Type : std::uint8_t {
  kData,
  kHeaders,
  kPriority,
  kRstStream,
  kSettings,
  kPushPromise,
  kPing,
  kGoAway,
  kWindowUpdate,
  kContinuation
};
enum Flag : std::uint8_t { kEndStream = 1, kAck = 1, kEndHeaders = 4, kPadded = 8, kHasPriority = 0x20 };
enum Setting : std::uint16_t {
  kTableSize = 1,
  kEnablePush,
  kMaxStreams,
  kInitialWindow,
  kMaxFrame,
  kMaxHeaderList
};
constexpr std::string_view kPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
constexpr std::size_t kFrameHead = 9;
constexpr std::int64_t kMaxWindow = 0x7fffffff;
constexpr std::size_t kRecentResets = 128;

std::uint32_t get32(std::span<const std::uint8_t> p) {
  return std::uint32_t{p[0]} << 24 | std::uint32_t{p[1]} << 16 | std::uint32_t{p[2]} << 8 | p[3];
}
void put32(std::string& out, std::uint32_t v) {
  for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>(v >> shift));
}
void putSetting(std::string& out, Setting id, std::uint32_t value) {
  out.push_back(static_cast<char>(id >> 8));
  out.push_back(static_cast<char>(id));
  put32(out, value);
}

bool validName(std::string_view name) {  // RFC 9113 section 8.2.1
  if (name.empty()) return false;
  for (std::size_t i = 0; i < name.size(); ++i) {
    const auto c = static_cast<unsigned char>(name[i]);
    if (c <= 0x20 || c >= 0x7f || (c >= 'A' && c <= 'Z') || (c == ':' && i > 0)) return false;
  }
  return name != ":";
}
bool validValue(std::string_view value) {
  if (value.find_first_of(std::string_view("\0\r\n", 3)) != std::string_view::npos) return false;
  return value.empty() ||
         (value.front() != ' ' && value.front() != '\t' && value.back() != ' ' && value.back() != '\t');
}

}  // namespace

Connection::Connection(Side side, const Limits& limits, ConnectionEvents& events)
    : side_(side),
      limits_(limits),
      events_(events),
      decoder_(limits.headers),
      nextOwn_(side == Side::client ? 1 : 2) {
  if (side_ == Side::client) {
    out_.append(kPreface);
    prefaceAt_ = kPreface.size();
  }
  std::string settings;
  putSetting(settings, kMaxStreams, side_ == Side::server ? limits_.streams : 0);
  if (side_ == Side::client) putSetting(settings, kEnablePush, 0);
  putSetting(settings, kInitialWindow, limits_.streamWindow);
  putSetting(settings, kMaxFrame, limits_.frame);
  putSetting(settings, kTableSize, static_cast<std::uint32_t>(limits_.headers.tableBytes));
  putSetting(settings, kMaxHeaderList, static_cast<std::uint32_t>(limits_.headers.listBytes));
  putFrame(kSettings, 0, 0, settings);
  if (limits_.connectionWindow > 65'535) {
    putWindowUpdate(0, limits_.connectionWindow - 65'535);
    receiveWindow_ = limits_.connectionWindow;
  }
}

bool Connection::fail(ErrorCode code, std::string_view text) {
  if (!over_) {
    error_ = code;
    errorText_ = text;
    goAway(code, text);
    over_ = true;
  }
  return false;
}

bool Connection::spend(Flood kind) {
  const std::array<unsigned, static_cast<std::size_t>(Flood::count)> most{
      limits_.resets, limits_.pings, limits_.settings, limits_.emptyFrames, limits_.windowUpdates};
  if (now_ > paced_) {
    const double seconds = static_cast<double>(now_ - paced_) / 1e6;
    for (std::size_t i = 0; i < floods_.size(); ++i)
      floods_[i] = std::max(0.0, floods_[i] - seconds * most[i]);
    paced_ = now_;
  }
  const auto i = static_cast<std::size_t>(kind);
  return ++floods_[i] <= most[i];
}

bool Connection::control(std::size_t bytes) {
  controlQueued_ = std::min(controlQueued_ + bytes, out_.size() - outAt_ + bytes);
  return controlQueued_ <= limits_.controlBytes;
}

bool Connection::receive(std::int64_t nowMicros, std::span<const std::uint8_t> bytes) {
  if (over_) return false;
  now_ = std::max(now_, nowMicros);
  in_.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
  if (!takePreface()) return false;
  std::size_t at = 0;
  if (prefaceAt_ < kPreface.size()) return true;
  while (!over_ && in_.size() - at >= kFrameHead) {
    const std::span<const std::uint8_t> head(reinterpret_cast<const std::uint8_t*>(in_.data()) + at,
                                             kFrameHead);
    const std::size_t length = std::size_t{head[0]} << 16 | std::size_t{head[1]} << 8 | head[2];
    if (length > limits_.frame) return fail(ErrorCode::frameSizeError, "frame larger than announced");
    if (in_.size() - at < kFrameHead + length) break;
    Frame f{head[3], head[4], get32(head.subspan(5)) & 0x7fffffffU, {head.data() + kFrameHead, length}};
    at += kFrameHead + length;
    if (!settingsSeen_ && (f.type != kSettings || (f.flags & kAck) != 0))
      return fail(ErrorCode::protocolError, "the first frame is not SETTINGS");
    if (block_ != 0 && (f.type != kContinuation || f.stream != block_))
      return fail(ErrorCode::protocolError, "a header block was interrupted");
    if (!dispatch(f)) return false;
  }
  in_.erase(0, at);
  pump();
  return !over_;
}

bool Connection::takePreface() {
  if (prefaceAt_ >= kPreface.size()) return true;
  const std::size_t n = std::min(in_.size(), kPreface.size() - prefaceAt_);
  if (std::string_view(in_).substr(0, n) != kPreface.substr(prefaceAt_, n))
    return fail(ErrorCode::protocolError, "no HTTP/2 preface");
  prefaceAt_ += n;
  in_.erase(0, n);
  return true;
}

bool Connection::dispatch(const Frame& f) {
  switch (f.type) {
    case kData: return onDataFrame(f);
    case kHeaders: return onHeadersFrame(f);
    case kPriority:
      if (f.stream == 0) return fail(ErrorCode::protocolError, "PRIORITY without a stream");
      if (f.payload.size() != 5) return streamError(f.stream, ErrorCode::frameSizeError);
      return spend(Flood::empty) || fail(ErrorCode::enhanceYourCalm, "too many PRIORITY frames");
    case kRstStream: return onRstStream(f);
    case kSettings: return onSettings(f);
    case kPushPromise: return fail(ErrorCode::protocolError, "PUSH_PROMISE");
    case kPing: return onPing(f);
    case kGoAway: return onGoAwayFrame(f);
    case kWindowUpdate: return onWindowUpdate(f);
    case kContinuation:
      return block_ != 0 ? onContinuation(f) : fail(ErrorCode::protocolError, "CONTINUATION without HEADERS");
    default: return true;  // RFC 9113 section 4.1: unknown types are ignored
  }
}

bool Connection::unpad(const Frame& f, std::span<const std::uint8_t>& content) const {
  content = f.payload;
  if ((f.flags & kPadded) == 0) return true;
  if (content.empty() || content[0] >= content.size()) return false;
  content = content.subspan(1, content.size() - 1 - content[0]);
  return true;
}

// A frame for a stream that is no longer kept. After a reset of ours the peer's frames may still be on their
// way (section 5.1); otherwise it broke the protocol.
bool Connection::closedStream(StreamId id, std::string_view what) {
  if (std::find(recentResets_.begin(), recentResets_.end(), id) != recentResets_.end()) return true;
  return fail(ErrorCode::streamClosed, what);
}

bool Connection::onDataFrame(const Frame& f) {
  std::span<const std::uint8_t> content;
  if (f.stream == 0) return fail(ErrorCode::protocolError, "DATA without a stream");
  if (idle(f.stream)) return fail(ErrorCode::protocolError, "DATA on an idle stream");
  if (!unpad(f, content)) return fail(ErrorCode::protocolError, "padding longer than the frame");
  receiveWindow_ -= static_cast<std::int64_t>(f.payload.size());
  if (receiveWindow_ < 0) return fail(ErrorCode::flowControlError, "the connection's window was overrun");
  const bool end = (f.flags & kEndStream) != 0;
  if (content.empty() && !end && !spend(Flood::empty))
    return fail(ErrorCode::enhanceYourCalm, "too many empty DATA frames");
  const auto at = streams_.find(f.stream);
  if (at == streams_.end()) {
    returnConnectionWindow(f.payload.size());
    return closedStream(f.stream, "DATA on a closed stream");
  }
  Stream& s = at->second;
  const std::size_t padding = f.payload.size() - content.size();
  if (s.remoteEnd || !s.headersSeen) {
    returnConnectionWindow(f.payload.size());
    return streamError(f.stream, s.remoteEnd ? ErrorCode::streamClosed : ErrorCode::protocolError);
  }
  s.receiveWindow -= static_cast<std::int64_t>(f.payload.size());
  if (s.receiveWindow < 0) return streamError(f.stream, ErrorCode::flowControlError);
  if (s.contentLeft >= 0) {
    s.contentLeft -= static_cast<std::int64_t>(content.size());
    if (s.contentLeft < 0 || (end && s.contentLeft != 0))
      return streamError(f.stream, ErrorCode::protocolError);
  }
  s.remoteEnd = end;
  if (padding > 0) consumed(f.stream, padding);
  if (!content.empty() || end) events_.onData(f.stream, content, end);
  if (const auto again = streams_.find(f.stream);
      again != streams_.end() && again->second.remoteEnd && again->second.localEnd)
    erase(f.stream);
  return !over_;
}

bool Connection::onHeadersFrame(const Frame& f) {
  std::span<const std::uint8_t> content;
  if (f.stream == 0) return fail(ErrorCode::protocolError, "HEADERS without a stream");
  if (!unpad(f, content)) return fail(ErrorCode::protocolError, "padding longer than the frame");
  if ((f.flags & kHasPriority) != 0) {
    if (content.size() < 5) return fail(ErrorCode::frameSizeError, "HEADERS shorter than its priority");
    content = content.subspan(5);
  }
  if (!streams_.contains(f.stream)) {
    if (!idle(f.stream)) {
      if (std::find(recentResets_.begin(), recentResets_.end(), f.stream) == recentResets_.end())
        return fail(ErrorCode::streamClosed, "HEADERS on a closed stream");
    } else if (!peerOpens(f.stream) || side_ == Side::client) {
      return fail(ErrorCode::protocolError, "a stream that this peer can't open");
    }
  }
  block_ = f.stream;
  blockEnd_ = (f.flags & kEndStream) != 0;
  blockFrames_ = 1;
  blockBytes_.assign(reinterpret_cast<const char*>(content.data()), content.size());
  return (f.flags & kEndHeaders) == 0 || onBlockEnd();
}

bool Connection::onContinuation(const Frame& f) {
  if (++blockFrames_ > limits_.continuations || blockBytes_.size() + f.payload.size() > limits_.headerBlock)
    return fail(ErrorCode::enhanceYourCalm, "header block too long");
  blockBytes_.append(reinterpret_cast<const char*>(f.payload.data()), f.payload.size());
  return (f.flags & kEndHeaders) == 0 || onBlockEnd();
}

bool Connection::onBlockEnd() {
  const StreamId id = std::exchange(block_, 0);
  Headers headers;
  const auto error = decoder_.decode(
      {reinterpret_cast<const std::uint8_t*>(blockBytes_.data()), blockBytes_.size()}, headers);
  blockBytes_.clear();
  if (error != HpackError::none && error != HpackError::listTooLarge)
    return fail(ErrorCode::compressionError, "header block can't be decoded");
  auto at = streams_.find(id);
  const bool opens = at == streams_.end() && idle(id);
  if (at == streams_.end() && !opens) return true;  // late, on a stream that was reset here
  if (opens) {
    lastPeer_ = id;
    if (goingAway_ || peerOpen_ >= limits_.streams) {
      rememberReset(id);
      std::string code;
      put32(code, static_cast<std::uint32_t>(ErrorCode::refusedStream));
      putFrame(kRstStream, 0, id, code);
      return spend(Flood::resets) && control(13) ? true
                                                 : fail(ErrorCode::enhanceYourCalm, "too many streams");
    }
    ++peerOpen_;
    Stream s;
    s.sendWindow = peerInitialWindow_;
    s.receiveWindow = limits_.streamWindow;
    at = streams_.emplace(id, std::move(s)).first;
  }
  Stream& s = at->second;
  if (s.remoteEnd) return streamError(id, ErrorCode::streamClosed);
  bool informational = false;
  if (side_ == Side::client && !s.headersSeen)
    if (const auto status = find(headers, ":status"))
      informational = status->size() == 3 && status->front() == '1';
  const bool trailers = s.headersSeen;
  if (error == HpackError::listTooLarge) return streamError(id, ErrorCode::enhanceYourCalm);
  if ((trailers && !blockEnd_) || (informational && blockEnd_) || !wellFormed(headers, trailers, s))
    return streamError(id, ErrorCode::protocolError);
  if (informational) return true;
  s.headersSeen = true;
  s.remoteEnd = blockEnd_;
  if (blockEnd_ && s.contentLeft > 0 && side_ == Side::server)
    return streamError(id, ErrorCode::protocolError);
  events_.onHeaders(id, std::move(headers), trailers, blockEnd_);
  if (const auto again = streams_.find(id);
      again != streams_.end() && again->second.remoteEnd && again->second.localEnd)
    erase(id);
  return !over_;
}

bool Connection::wellFormed(const Headers& headers, bool trailers, Stream& stream) const {
  bool regular = false;
  unsigned method = 0;
  unsigned scheme = 0;
  unsigned path = 0;
  unsigned status = 0;
  unsigned authority = 0;
  for (const auto& [name, value] : headers) {
    if (!validName(name) || !validValue(value)) return false;
    if (name.front() == ':') {
      if (regular || trailers) return false;
      if (name == ":method")
        ++method;
      else if (name == ":scheme")
        ++scheme;
      else if (name == ":path")
        path += value.empty() ? 2 : 1;
      else if (name == ":authority")
        ++authority;
      else if (name == ":status")
        ++status;
      else
        return false;
      continue;
    }
    regular = true;
    if (name == "connection" || name == "proxy-connection" || name == "keep-alive" || name == "upgrade" ||
        name == "transfer-encoding" || (name == "te" && value != "trailers"))
      return false;  // section 8.2.2
    if (name == "content-length" && !trailers) {
      std::int64_t length = -1;
      const auto [end, bad] = std::from_chars(value.data(), value.data() + value.size(), length);
      if (bad != std::errc() || end != value.data() + value.size() || length < 0) return false;
      if (stream.contentLeft >= 0 && stream.contentLeft != length) return false;
      stream.contentLeft = length;
    }
  }
  if (trailers) return true;
  if (side_ == Side::client) return status == 1 && method + scheme + path + authority == 0;
  return method == 1 && scheme == 1 && path == 1 && status == 0 && authority <= 1;
}

bool Connection::streamError(StreamId id, ErrorCode code) {
  if (idle(id)) return fail(code, "error on an idle stream");
  const bool known = streams_.contains(id);
  reset(id, code);
  if (known) events_.onReset(id, code);
  if (!spend(Flood::resets) || !control(13))
    return fail(ErrorCode::enhanceYourCalm, "too many stream errors");
  return !over_;
}

bool Connection::onRstStream(const Frame& f) {
  if (f.stream == 0) return fail(ErrorCode::protocolError, "RST_STREAM without a stream");
  if (f.payload.size() != 4) return fail(ErrorCode::frameSizeError, "RST_STREAM of another size than 4");
  if (idle(f.stream)) return fail(ErrorCode::protocolError, "RST_STREAM on an idle stream");
  if (!spend(Flood::resets)) return fail(ErrorCode::enhanceYourCalm, "too many resets");
  if (!streams_.contains(f.stream)) return true;
  rememberReset(f.stream);  // the peer may have sent more before it; none is legal after
  erase(f.stream);
  events_.onReset(f.stream, static_cast<ErrorCode>(get32(f.payload)));
  return !over_;
}

bool Connection::onSettings(const Frame& f) {
  if (f.stream != 0) return fail(ErrorCode::protocolError, "SETTINGS on a stream");
  if ((f.flags & kAck) != 0)
    return f.payload.empty() || fail(ErrorCode::frameSizeError, "SETTINGS acknowledgement with content");
  if (f.payload.size() % 6 != 0) return fail(ErrorCode::frameSizeError, "SETTINGS of odd size");
  if (!spend(Flood::settings)) return fail(ErrorCode::enhanceYourCalm, "too many SETTINGS");
  settingsSeen_ = true;
  for (auto rest = f.payload; !rest.empty(); rest = rest.subspan(6)) {
    const std::uint32_t value = get32(rest.subspan(2));
    switch (rest[0] << 8 | rest[1]) {
      case kTableSize: encoder_.setPeerTableSize(value); break;
      case kEnablePush:
        if (value > 1 || (value == 1 && side_ == Side::client))
          return fail(ErrorCode::protocolError, "ENABLE_PUSH out of range");
        break;
      case kMaxStreams: peerStreams_ = value; break;
      case kInitialWindow: {
        if (value > kMaxWindow) return fail(ErrorCode::flowControlError, "INITIAL_WINDOW_SIZE out of range");
        const std::int64_t change = static_cast<std::int64_t>(value) - peerInitialWindow_;
        peerInitialWindow_ = value;
        for (auto& [id, s] : streams_) {
          s.sendWindow += change;
          if (s.sendWindow > kMaxWindow) return fail(ErrorCode::flowControlError, "a window grew too large");
          if (change > 0) makeReady(id, s);
        }
        break;
      }
      case kMaxFrame:
        if (value < 16'384 || value > 16'777'215)
          return fail(ErrorCode::protocolError, "MAX_FRAME_SIZE out of range");
        peerFrame_ = std::min<std::uint32_t>(value, 65'536);
        break;
      default: break;
    }
  }
  putFrame(kSettings, kAck, 0, {});
  return control(kFrameHead) || fail(ErrorCode::enhanceYourCalm, "answers to SETTINGS are not read");
}

bool Connection::onPing(const Frame& f) {
  if (f.stream != 0) return fail(ErrorCode::protocolError, "PING on a stream");
  if (f.payload.size() != 8) return fail(ErrorCode::frameSizeError, "PING of another size than 8");
  if ((f.flags & kAck) != 0) return true;
  if (!spend(Flood::pings)) return fail(ErrorCode::enhanceYourCalm, "too many PINGs");
  putFrame(kPing, kAck, 0, {reinterpret_cast<const char*>(f.payload.data()), 8});
  return control(kFrameHead + 8) || fail(ErrorCode::enhanceYourCalm, "answers to PING are not read");
}

bool Connection::onGoAwayFrame(const Frame& f) {
  if (f.stream != 0) return fail(ErrorCode::protocolError, "GOAWAY on a stream");
  if (f.payload.size() < 8) return fail(ErrorCode::frameSizeError, "GOAWAY shorter than 8");
  if (!spend(Flood::settings)) return fail(ErrorCode::enhanceYourCalm, "too many GOAWAYs");
  peerGoingAway_ = true;
  events_.onGoAway(get32(f.payload) & 0x7fffffffU, static_cast<ErrorCode>(get32(f.payload.subspan(4))));
  return !over_;
}

bool Connection::onWindowUpdate(const Frame& f) {
  if (f.payload.size() != 4) return fail(ErrorCode::frameSizeError, "WINDOW_UPDATE of another size than 4");
  if (!spend(Flood::window)) return fail(ErrorCode::enhanceYourCalm, "too many WINDOW_UPDATEs");
  const std::int64_t more = get32(f.payload) & 0x7fffffffU;
  if (f.stream == 0) {
    if (more == 0) return fail(ErrorCode::protocolError, "WINDOW_UPDATE of 0");
    sendWindow_ += more;
    if (sendWindow_ > kMaxWindow)
      return fail(ErrorCode::flowControlError, "the connection's window grew too large");
    return true;  // receive() pumps
  }
  if (idle(f.stream)) return fail(ErrorCode::protocolError, "WINDOW_UPDATE on an idle stream");
  const auto at = streams_.find(f.stream);
  if (at == streams_.end()) return true;
  if (more == 0) return streamError(f.stream, ErrorCode::protocolError);
  at->second.sendWindow += more;
  if (at->second.sendWindow > kMaxWindow) return streamError(f.stream, ErrorCode::flowControlError);
  makeReady(f.stream, at->second);
  return true;
}

StreamId Connection::open(const Headers& headers, bool end) {
  if (over_ || goingAway_ || peerGoingAway_ || ownOpen_ >= peerStreams_ || nextOwn_ > 0x7ffffff0U) return 0;
  const StreamId id = nextOwn_;
  nextOwn_ += 2;
  ++ownOpen_;
  Stream& s = streams_[id];
  s.sendWindow = peerInitialWindow_;
  s.receiveWindow = limits_.streamWindow;
  sendHeaders(id, headers, end);
  return id;
}

void Connection::sendHeaders(StreamId id, const Headers& headers, bool end) {
  const auto at = streams_.find(id);
  if (over_ || at == streams_.end() || at->second.localEnd || at->second.endQueued) return;
  Stream& s = at->second;
  if (s.pendingAt < s.pending.size()) {  // trailers wait for the data before them
    s.trailers = headers;
    s.endQueued = true;
    return;
  }
  putBlock(id, headers, end);
  if (end) finishSend(id, s);
}

void Connection::sendTrailersNow(StreamId id, const Headers& headers) {
  const auto at = streams_.find(id);
  if (over_ || at == streams_.end() || at->second.localEnd) return;
  Stream& s = at->second;
  queuedTotal_ -= s.pending.size() - s.pendingAt;
  s.pending.clear();
  s.pendingAt = 0;
  s.trailers.clear();
  putBlock(id, headers, true);
  finishSend(id, s);
}

void Connection::sendData(StreamId id, std::string_view data, bool end) {
  const auto at = streams_.find(id);
  if (over_ || at == streams_.end() || at->second.localEnd || at->second.endQueued) return;
  Stream& s = at->second;
  s.pending.append(data);
  queuedTotal_ += data.size();
  s.endQueued = end;
  if (end && s.pendingAt == s.pending.size()) {
    putFrame(kData, kEndStream, id, {});
    return finishSend(id, s);
  }
  makeReady(id, s);
  pump();
}

// This side's part is over. A server that answered before the request's end asks for no more of it.
void Connection::finishSend(StreamId id, Stream& s) {
  s.localEnd = true;
  s.endQueued = false;
  if (side_ == Side::server && !s.remoteEnd) return reset(id, ErrorCode::noError);
  if (s.remoteEnd) erase(id);
}

void Connection::reset(StreamId id, ErrorCode code) {
  if (over_ || idle(id)) return;
  std::string payload;
  put32(payload, static_cast<std::uint32_t>(code));
  putFrame(kRstStream, 0, id, payload);
  rememberReset(id);
  erase(id);
}

void Connection::rememberReset(StreamId id) {
  recentResets_.push_back(id);
  if (recentResets_.size() > kRecentResets) recentResets_.pop_front();
}

void Connection::erase(StreamId id) {
  const auto at = streams_.find(id);
  if (at == streams_.end()) return;
  queuedTotal_ -= at->second.pending.size() - at->second.pendingAt;
  // Bytes that the application will not consume any more belong to the connection's window again.
  const auto open = static_cast<std::int64_t>(limits_.streamWindow) - at->second.receiveWindow -
                    static_cast<std::int64_t>(at->second.unreturned);
  if (open > 0) returnConnectionWindow(static_cast<std::size_t>(open));
  --(peerOpens(id) ? peerOpen_ : ownOpen_);
  streams_.erase(at);
}

void Connection::goAway(ErrorCode code, std::string_view debug) {
  if (over_) return;
  goingAway_ = true;
  std::string payload;
  put32(payload, lastPeer_);
  put32(payload, static_cast<std::uint32_t>(code));
  payload.append(debug);
  putFrame(kGoAway, 0, 0, payload);
}

void Connection::ping() { putFrame(kPing, 0, 0, "garnethk"); }

void Connection::consumed(StreamId id, std::size_t bytes) {
  const auto at = streams_.find(id);
  if (over_ || at == streams_.end()) return;  // erase() gave back what was left
  returnConnectionWindow(bytes);
  Stream& s = at->second;
  s.unreturned += bytes;
  if (s.unreturned < limits_.streamWindow / 2 || s.remoteEnd) return;
  s.receiveWindow += static_cast<std::int64_t>(s.unreturned);
  putWindowUpdate(id, std::exchange(s.unreturned, 0));
}

void Connection::returnConnectionWindow(std::size_t bytes) {
  unreturned_ += bytes;
  if (over_ || unreturned_ < limits_.connectionWindow / 2) return;
  receiveWindow_ += static_cast<std::int64_t>(unreturned_);
  putWindowUpdate(0, std::exchange(unreturned_, 0));
}

void Connection::putWindowUpdate(StreamId id, std::size_t bytes) {
  std::string payload;
  put32(payload, static_cast<std::uint32_t>(bytes));
  putFrame(kWindowUpdate, 0, id, payload);
}

void Connection::putFrame(std::uint8_t type, std::uint8_t flags, StreamId id, std::string_view payload) {
  const std::size_t n = payload.size();
  out_.push_back(static_cast<char>(n >> 16));
  out_.push_back(static_cast<char>(n >> 8));
  out_.push_back(static_cast<char>(n));
  out_.push_back(static_cast<char>(type));
  out_.push_back(static_cast<char>(flags));
  put32(out_, id);
  out_.append(payload);
}

void Connection::putBlock(StreamId id, const Headers& headers, bool end) {
  std::string block;
  encoder_.encode(headers, block);
  std::string_view rest = block;
  for (bool first = true; first || !rest.empty(); first = false) {
    const auto part = rest.substr(0, peerFrame_);
    rest.remove_prefix(part.size());
    const auto flags =
        static_cast<std::uint8_t>((rest.empty() ? kEndHeaders : 0) | (first && end ? kEndStream : 0));
    putFrame(first ? kHeaders : kContinuation, flags, id, part);
  }
}

std::size_t Connection::queued(StreamId id) const {
  const auto at = streams_.find(id);
  return at == streams_.end() ? 0 : at->second.pending.size() - at->second.pendingAt;
}

void Connection::makeReady(StreamId id, Stream& s) {
  if (s.ready || s.pendingAt == s.pending.size()) return;
  s.ready = true;
  ready_.push_back(id);
}

// Frames queued data, a frame of each stream in turn, as far as both windows and `sendAhead` allow.
void Connection::pump() {
  if (pumping_ || over_) return;
  pumping_ = true;
  while (!ready_.empty() && sendWindow_ > 0 && out_.size() - outAt_ < limits_.sendAhead) {
    const StreamId id = ready_.front();
    ready_.pop_front();
    const auto at = streams_.find(id);
    if (at == streams_.end()) continue;
    Stream& s = at->second;
    s.ready = false;
    const std::size_t left = s.pending.size() - s.pendingAt;
    const std::int64_t room = std::min({s.sendWindow, sendWindow_, static_cast<std::int64_t>(peerFrame_)});
    if (room <= 0 || left == 0) continue;
    const std::size_t n = std::min(left, static_cast<std::size_t>(room));
    const bool end = s.endQueued && s.trailers.empty() && n == left;
    putFrame(kData, end ? kEndStream : 0, id, std::string_view(s.pending).substr(s.pendingAt, n));
    s.pendingAt += n;
    s.sendWindow -= static_cast<std::int64_t>(n);
    sendWindow_ -= static_cast<std::int64_t>(n);
    queuedTotal_ -= n;
    if (n == left) {
      s.pending.clear();
      s.pendingAt = 0;
      if (s.endQueued && !s.trailers.empty()) putBlock(id, s.trailers, true);
      if (s.endQueued) {
        finishSend(id, s);
        continue;
      }
    } else {
      if (s.pendingAt > 65'536 && s.pendingAt * 2 > s.pending.size()) {
        s.pending.erase(0, s.pendingAt);
        s.pendingAt = 0;
      }
      if (s.sendWindow > 0) makeReady(id, s);
    }
    events_.onSent(id, left - n);
  }
  pumping_ = false;
}

void Connection::sent(std::size_t bytes) {
  outAt_ += bytes;
  if (outAt_ == out_.size()) {
    out_.clear();
    outAt_ = 0;
    controlQueued_ = 0;
  } else if (outAt_ > 65'536) {
    out_.erase(0, outAt_);
    outAt_ = 0;
  }
  pump();
}

}  // namespace garnethook::http2
