#include "http2/connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace garnethook::http2 {
namespace {

enum FrameType : std::uint8_t {
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
enum FrameFlag : std::uint8_t { kEndStream = 1, kAck = 1, kEndHeaders = 4, kPadded = 8, kHasPriority = 0x20 };
enum SettingId : std::uint16_t {
  kHeaderTableSize = 1,
  kEnablePush,
  kMaxConcurrentStreams,
  kInitialWindowSize,
  kMaxFrameSize,
  kMaxHeaderListSize
};
constexpr std::string_view kPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
constexpr std::size_t kFrameHeaderBytes = 9;
constexpr std::int64_t kMaxWindowBytes = 0x7fffffff;
constexpr std::size_t kMaxRecentResets = 128;

std::uint32_t readUint32(std::span<const std::uint8_t> encoded) {
  return std::uint32_t{encoded[0]} << 24 | std::uint32_t{encoded[1]} << 16 | std::uint32_t{encoded[2]} << 8 |
         encoded[3];
}
void appendUint32(std::string& output, std::uint32_t number) {
  for (int shift = 24; shift >= 0; shift -= 8) output.push_back(static_cast<char>(number >> shift));
}
void appendSetting(std::string& output, SettingId id, std::uint32_t value) {
  output.push_back(static_cast<char>(id >> 8));
  output.push_back(static_cast<char>(id));
  appendUint32(output, value);
}

bool isValidName(std::string_view name) {  // RFC 9113 section 8.2.1
  if (name.empty()) return false;
  for (std::size_t index = 0; index < name.size(); ++index) {
    const auto c = static_cast<unsigned char>(name[index]);
    if (c <= 0x20 || c >= 0x7f || (c >= 'A' && c <= 'Z') || (c == ':' && index > 0)) return false;
  }
  return name != ":";
}
bool isValidValue(std::string_view value) {
  if (value.find_first_of(std::string_view("\0\r\n", 3)) != std::string_view::npos) return false;
  return value.empty() ||
         (value.front() != ' ' && value.front() != '\t' && value.back() != ' ' && value.back() != '\t');
}

}  // namespace

Connection::Connection(Side side, const Limits& limits, ConnectionEvents& events)
    : side_(side),
      limits_(limits),
      events_(events),
      decoder_(limits.hpack),
      nextLocalStream_(side == Side::client ? 1 : 2) {
  if (side_ == Side::client) {
    output_.append(kPreface);
    prefaceBytesSeen_ = kPreface.size();
  }
  std::string settings;
  appendSetting(settings, kMaxConcurrentStreams, side_ == Side::server ? limits_.streams : 0);
  if (side_ == Side::client) appendSetting(settings, kEnablePush, 0);
  appendSetting(settings, kInitialWindowSize, limits_.streamWindow);
  appendSetting(settings, kMaxFrameSize, limits_.maxFrameBytes);
  appendSetting(settings, kHeaderTableSize, static_cast<std::uint32_t>(limits_.hpack.tableBytes));
  appendSetting(settings, kMaxHeaderListSize, static_cast<std::uint32_t>(limits_.hpack.listBytes));
  appendFrame(kSettings, 0, 0, settings);
  if (limits_.connectionWindow > 65'535) {
    appendWindowUpdate(0, limits_.connectionWindow - 65'535);
    receiveWindow_ = limits_.connectionWindow;
  }
}

bool Connection::fail(ErrorCode code, std::string_view text) {
  if (!hasFailed_) {
    error_ = code;
    errorText_ = text;
    goAway(code, text);
    hasFailed_ = true;
  }
  return false;
}

bool Connection::isWithinRate(FloodKind kind) {
  const std::array<unsigned, static_cast<std::size_t>(FloodKind::count)> maxRates{
      limits_.resets, limits_.pings, limits_.settings, limits_.emptyFrames, limits_.windowUpdates};
  if (nowMicros_ > ratesUpdatedMicros_) {
    const double seconds = static_cast<double>(nowMicros_ - ratesUpdatedMicros_) / 1e6;
    for (std::size_t index = 0; index < floodLevels_.size(); ++index)
      floodLevels_[index] = std::max(0.0, floodLevels_[index] - seconds * maxRates[index]);
    ratesUpdatedMicros_ = nowMicros_;
  }
  const auto index = static_cast<std::size_t>(kind);
  return ++floodLevels_[index] <= maxRates[index];
}

bool Connection::addControlBytes(std::size_t bytes) {
  queuedControlBytes_ = std::min(queuedControlBytes_ + bytes, output_.size() - outputOffset_ + bytes);
  return queuedControlBytes_ <= limits_.controlBytes;
}

bool Connection::receive(std::int64_t nowMicros, std::span<const std::uint8_t> bytes) {
  if (hasFailed_) return false;
  nowMicros_ = std::max(nowMicros_, nowMicros);
  input_.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
  if (!consumePreface()) return false;
  std::size_t offset = 0;
  if (prefaceBytesSeen_ < kPreface.size()) return true;
  while (!hasFailed_ && input_.size() - offset >= kFrameHeaderBytes) {
    const std::span<const std::uint8_t> frameHeader(
        reinterpret_cast<const std::uint8_t*>(input_.data()) + offset, kFrameHeaderBytes);
    const std::size_t length =
        std::size_t{frameHeader[0]} << 16 | std::size_t{frameHeader[1]} << 8 | frameHeader[2];
    if (length > limits_.maxFrameBytes) return fail(ErrorCode::frameSizeError, "frame larger than announced");
    if (input_.size() - offset < kFrameHeaderBytes + length) break;
    Frame frame{frameHeader[3],
                frameHeader[4],
                readUint32(frameHeader.subspan(5)) & 0x7fffffffU,
                {frameHeader.data() + kFrameHeaderBytes, length}};
    offset += kFrameHeaderBytes + length;
    if (!hasSettings_ && (frame.type != kSettings || (frame.flags & kAck) != 0))
      return fail(ErrorCode::protocolError, "the first frame is not SETTINGS");
    if (blockStream_ != 0 && (frame.type != kContinuation || frame.streamId != blockStream_))
      return fail(ErrorCode::protocolError, "a header block was interrupted");
    if (!dispatch(frame)) return false;
  }
  input_.erase(0, offset);
  frameQueuedData();
  return !hasFailed_;
}

bool Connection::consumePreface() {
  if (prefaceBytesSeen_ >= kPreface.size()) return true;
  const std::size_t prefixBytes = std::min(input_.size(), kPreface.size() - prefaceBytesSeen_);
  if (std::string_view(input_).substr(0, prefixBytes) != kPreface.substr(prefaceBytesSeen_, prefixBytes))
    return fail(ErrorCode::protocolError, "no HTTP/2 preface");
  prefaceBytesSeen_ += prefixBytes;
  input_.erase(0, prefixBytes);
  return true;
}

bool Connection::dispatch(const Frame& frame) {
  switch (frame.type) {
    case kData: return onDataFrame(frame);
    case kHeaders: return onHeadersFrame(frame);
    case kPriority:
      if (frame.streamId == 0) return fail(ErrorCode::protocolError, "PRIORITY without a stream");
      if (frame.payload.size() != 5) return streamError(frame.streamId, ErrorCode::frameSizeError);
      return isWithinRate(FloodKind::empty) || fail(ErrorCode::enhanceYourCalm, "too many PRIORITY frames");
    case kRstStream: return onRstStream(frame);
    case kSettings: return onSettings(frame);
    case kPushPromise: return fail(ErrorCode::protocolError, "PUSH_PROMISE");
    case kPing: return onPing(frame);
    case kGoAway: return onGoAwayFrame(frame);
    case kWindowUpdate: return onWindowUpdate(frame);
    case kContinuation:
      return blockStream_ != 0 ? onContinuation(frame)
                               : fail(ErrorCode::protocolError, "CONTINUATION without HEADERS");
    default: return true;  // RFC 9113 section 4.1: unknown types are ignored
  }
}

bool Connection::removePadding(const Frame& frame, std::span<const std::uint8_t>& content) const {
  content = frame.payload;
  if ((frame.flags & kPadded) == 0) return true;
  if (content.empty() || content[0] >= content.size()) return false;
  content = content.subspan(1, content.size() - 1 - content[0]);
  return true;
}

// Handles a frame for a stream that is no longer tracked. After a local reset, frames of the peer may still
// be in flight (section 5.1); otherwise the peer violated the protocol.
bool Connection::onClosedStreamFrame(StreamId id, std::string_view reason) {
  if (std::find(recentResets_.begin(), recentResets_.end(), id) != recentResets_.end()) return true;
  return fail(ErrorCode::streamClosed, reason);
}

bool Connection::onDataFrame(const Frame& frame) {
  std::span<const std::uint8_t> content;
  if (frame.streamId == 0) return fail(ErrorCode::protocolError, "DATA without a stream");
  if (isIdle(frame.streamId)) return fail(ErrorCode::protocolError, "DATA on an idle stream");
  if (!removePadding(frame, content)) return fail(ErrorCode::protocolError, "padding longer than the frame");
  receiveWindow_ -= static_cast<std::int64_t>(frame.payload.size());
  if (receiveWindow_ < 0) return fail(ErrorCode::flowControlError, "the connection's window was overrun");
  const bool endStream = (frame.flags & kEndStream) != 0;
  if (content.empty() && !endStream && !isWithinRate(FloodKind::empty))
    return fail(ErrorCode::enhanceYourCalm, "too many empty DATA frames");
  const auto entry = streams_.find(frame.streamId);
  if (entry == streams_.end()) {
    releaseConnectionWindow(frame.payload.size());
    return onClosedStreamFrame(frame.streamId, "DATA on a closed stream");
  }
  Stream& stream = entry->second;
  const std::size_t padding = frame.payload.size() - content.size();
  if (stream.hasRemoteEnded || !stream.hasHeaders) {
    releaseConnectionWindow(frame.payload.size());
    return streamError(frame.streamId,
                       stream.hasRemoteEnded ? ErrorCode::streamClosed : ErrorCode::protocolError);
  }
  stream.receiveWindow -= static_cast<std::int64_t>(frame.payload.size());
  if (stream.receiveWindow < 0) return streamError(frame.streamId, ErrorCode::flowControlError);
  if (stream.contentBytesRemaining >= 0) {
    stream.contentBytesRemaining -= static_cast<std::int64_t>(content.size());
    if (stream.contentBytesRemaining < 0 || (endStream && stream.contentBytesRemaining != 0))
      return streamError(frame.streamId, ErrorCode::protocolError);
  }
  stream.hasRemoteEnded = endStream;
  if (padding > 0) consumed(frame.streamId, padding);
  if (!content.empty() || endStream) events_.onData(frame.streamId, content, endStream);
  if (const auto current = streams_.find(frame.streamId);
      current != streams_.end() && current->second.hasRemoteEnded && current->second.hasLocalEnded)
    removeStream(frame.streamId);
  return !hasFailed_;
}

bool Connection::onHeadersFrame(const Frame& frame) {
  std::span<const std::uint8_t> content;
  if (frame.streamId == 0) return fail(ErrorCode::protocolError, "HEADERS without a stream");
  if (!removePadding(frame, content)) return fail(ErrorCode::protocolError, "padding longer than the frame");
  if ((frame.flags & kHasPriority) != 0) {
    if (content.size() < 5) return fail(ErrorCode::frameSizeError, "HEADERS shorter than its priority");
    content = content.subspan(5);
  }
  if (!streams_.contains(frame.streamId)) {
    if (!isIdle(frame.streamId)) {
      if (std::find(recentResets_.begin(), recentResets_.end(), frame.streamId) == recentResets_.end())
        return fail(ErrorCode::streamClosed, "HEADERS on a closed stream");
    } else if (!isPeerInitiated(frame.streamId) || side_ == Side::client) {
      return fail(ErrorCode::protocolError, "a stream that this peer can't open");
    }
  }
  blockStream_ = frame.streamId;
  blockEndsStream_ = (frame.flags & kEndStream) != 0;
  blockFrameCount_ = 1;
  headerBlock_.assign(reinterpret_cast<const char*>(content.data()), content.size());
  return (frame.flags & kEndHeaders) == 0 || onHeaderBlockComplete();
}

bool Connection::onContinuation(const Frame& frame) {
  if (++blockFrameCount_ > limits_.maxHeaderBlockFrames ||
      headerBlock_.size() + frame.payload.size() > limits_.maxHeaderBlockBytes)
    return fail(ErrorCode::enhanceYourCalm, "header block too long");
  headerBlock_.append(reinterpret_cast<const char*>(frame.payload.data()), frame.payload.size());
  return (frame.flags & kEndHeaders) == 0 || onHeaderBlockComplete();
}

bool Connection::onHeaderBlockComplete() {
  const StreamId id = std::exchange(blockStream_, 0);
  Headers headers;
  const auto error = decoder_.decode(
      {reinterpret_cast<const std::uint8_t*>(headerBlock_.data()), headerBlock_.size()}, headers);
  headerBlock_.clear();
  if (error != HpackError::none && error != HpackError::listTooLarge)
    return fail(ErrorCode::compressionError, "header block can't be decoded");
  auto entry = streams_.find(id);
  const bool isNewStream = entry == streams_.end() && isIdle(id);
  if (entry == streams_.end() && !isNewStream) return true;  // in flight when the stream was reset locally
  if (isNewStream) {
    lastPeerStream_ = id;
    if (isGoingAway_ || openPeerStreams_ >= limits_.streams) {
      recordReset(id);
      std::string code;
      appendUint32(code, static_cast<std::uint32_t>(ErrorCode::refusedStream));
      appendFrame(kRstStream, 0, id, code);
      return isWithinRate(FloodKind::resets) && addControlBytes(13)
                 ? true
                 : fail(ErrorCode::enhanceYourCalm, "too many streams");
    }
    ++openPeerStreams_;
    Stream stream;
    stream.sendWindow = peerInitialWindow_;
    stream.receiveWindow = limits_.streamWindow;
    entry = streams_.emplace(id, std::move(stream)).first;
  }
  Stream& stream = entry->second;
  if (stream.hasRemoteEnded) return streamError(id, ErrorCode::streamClosed);
  bool isInformational = false;
  if (side_ == Side::client && !stream.hasHeaders)
    if (const auto status = find(headers, ":status"))
      isInformational = status->size() == 3 && status->front() == '1';
  const bool isTrailers = stream.hasHeaders;
  if (error == HpackError::listTooLarge) return streamError(id, ErrorCode::enhanceYourCalm);
  if ((isTrailers && !blockEndsStream_) || (isInformational && blockEndsStream_) ||
      !isWellFormed(headers, isTrailers, stream))
    return streamError(id, ErrorCode::protocolError);
  if (isInformational) return true;
  stream.hasHeaders = true;
  stream.hasRemoteEnded = blockEndsStream_;
  if (blockEndsStream_ && stream.contentBytesRemaining > 0 && side_ == Side::server)
    return streamError(id, ErrorCode::protocolError);
  events_.onHeaders(id, std::move(headers), isTrailers, blockEndsStream_);
  if (const auto current = streams_.find(id);
      current != streams_.end() && current->second.hasRemoteEnded && current->second.hasLocalEnded)
    removeStream(id);
  return !hasFailed_;
}

bool Connection::isWellFormed(const Headers& headers, bool isTrailers, Stream& streamState) const {
  bool hasRegularField = false;
  unsigned methodCount = 0;
  unsigned schemeCount = 0;
  unsigned pathCount = 0;
  unsigned statusCount = 0;
  unsigned authorityCount = 0;
  for (const auto& [name, value] : headers) {
    if (!isValidName(name) || !isValidValue(value)) return false;
    if (name.front() == ':') {
      if (hasRegularField || isTrailers) return false;
      if (name == ":method")
        ++methodCount;
      else if (name == ":scheme")
        ++schemeCount;
      else if (name == ":path")
        pathCount += value.empty() ? 2 : 1;
      else if (name == ":authority")
        ++authorityCount;
      else if (name == ":status")
        ++statusCount;
      else
        return false;
      continue;
    }
    hasRegularField = true;
    if (name == "connection" || name == "proxy-connection" || name == "keep-alive" || name == "upgrade" ||
        name == "transfer-encoding" || (name == "te" && value != "trailers"))
      return false;  // section 8.2.2
    if (name == "content-length" && !isTrailers) {
      std::int64_t length = -1;
      const auto [end, parseError] = std::from_chars(value.data(), value.data() + value.size(), length);
      if (parseError != std::errc() || end != value.data() + value.size() || length < 0) return false;
      if (streamState.contentBytesRemaining >= 0 && streamState.contentBytesRemaining != length) return false;
      streamState.contentBytesRemaining = length;
    }
  }
  if (isTrailers) return true;
  if (side_ == Side::client)
    return statusCount == 1 && methodCount + schemeCount + pathCount + authorityCount == 0;
  return methodCount == 1 && schemeCount == 1 && pathCount == 1 && statusCount == 0 && authorityCount <= 1;
}

bool Connection::streamError(StreamId id, ErrorCode code) {
  if (isIdle(id)) return fail(code, "error on an idle stream");
  const bool isKnown = streams_.contains(id);
  reset(id, code);
  if (isKnown) events_.onReset(id, code);
  if (!isWithinRate(FloodKind::resets) || !addControlBytes(13))
    return fail(ErrorCode::enhanceYourCalm, "too many stream errors");
  return !hasFailed_;
}

bool Connection::onRstStream(const Frame& frame) {
  if (frame.streamId == 0) return fail(ErrorCode::protocolError, "RST_STREAM without a stream");
  if (frame.payload.size() != 4) return fail(ErrorCode::frameSizeError, "RST_STREAM of another size than 4");
  if (isIdle(frame.streamId)) return fail(ErrorCode::protocolError, "RST_STREAM on an idle stream");
  if (!isWithinRate(FloodKind::resets)) return fail(ErrorCode::enhanceYourCalm, "too many resets");
  if (!streams_.contains(frame.streamId)) return true;
  recordReset(frame.streamId);  // frames sent before the RST_STREAM may follow; later ones are illegal
  removeStream(frame.streamId);
  events_.onReset(frame.streamId, static_cast<ErrorCode>(readUint32(frame.payload)));
  return !hasFailed_;
}

bool Connection::onSettings(const Frame& frame) {
  if (frame.streamId != 0) return fail(ErrorCode::protocolError, "SETTINGS on a stream");
  if ((frame.flags & kAck) != 0)
    return frame.payload.empty() || fail(ErrorCode::frameSizeError, "SETTINGS acknowledgement with content");
  if (frame.payload.size() % 6 != 0) return fail(ErrorCode::frameSizeError, "SETTINGS of odd size");
  if (!isWithinRate(FloodKind::settings)) return fail(ErrorCode::enhanceYourCalm, "too many SETTINGS");
  hasSettings_ = true;
  for (auto remaining = frame.payload; !remaining.empty(); remaining = remaining.subspan(6)) {
    const std::uint32_t value = readUint32(remaining.subspan(2));
    switch (remaining[0] << 8 | remaining[1]) {
      case kHeaderTableSize: encoder_.setPeerTableSize(value); break;
      case kEnablePush:
        if (value > 1 || (value == 1 && side_ == Side::client))
          return fail(ErrorCode::protocolError, "ENABLE_PUSH out of range");
        break;
      case kMaxConcurrentStreams: peerMaxStreams_ = value; break;
      case kInitialWindowSize: {
        if (value > kMaxWindowBytes)
          return fail(ErrorCode::flowControlError, "INITIAL_WINDOW_SIZE out of range");
        const std::int64_t windowChange = static_cast<std::int64_t>(value) - peerInitialWindow_;
        peerInitialWindow_ = value;
        for (auto& [id, stream] : streams_) {
          stream.sendWindow += windowChange;
          if (stream.sendWindow > kMaxWindowBytes)
            return fail(ErrorCode::flowControlError, "a window grew too large");
          if (windowChange > 0) markReady(id, stream);
        }
        break;
      }
      case kMaxFrameSize:
        if (value < 16'384 || value > 16'777'215)
          return fail(ErrorCode::protocolError, "MAX_FRAME_SIZE out of range");
        peerMaxFrameBytes_ = std::min<std::uint32_t>(value, 65'536);
        break;
      default: break;
    }
  }
  appendFrame(kSettings, kAck, 0, {});
  return addControlBytes(kFrameHeaderBytes) ||
         fail(ErrorCode::enhanceYourCalm, "answers to SETTINGS are not read");
}

bool Connection::onPing(const Frame& frame) {
  if (frame.streamId != 0) return fail(ErrorCode::protocolError, "PING on a stream");
  if (frame.payload.size() != 8) return fail(ErrorCode::frameSizeError, "PING of another size than 8");
  if ((frame.flags & kAck) != 0) return true;
  if (!isWithinRate(FloodKind::pings)) return fail(ErrorCode::enhanceYourCalm, "too many PINGs");
  appendFrame(kPing, kAck, 0, {reinterpret_cast<const char*>(frame.payload.data()), 8});
  return addControlBytes(kFrameHeaderBytes + 8) ||
         fail(ErrorCode::enhanceYourCalm, "answers to PING are not read");
}

bool Connection::onGoAwayFrame(const Frame& frame) {
  if (frame.streamId != 0) return fail(ErrorCode::protocolError, "GOAWAY on a stream");
  if (frame.payload.size() < 8) return fail(ErrorCode::frameSizeError, "GOAWAY shorter than 8");
  if (!isWithinRate(FloodKind::settings)) return fail(ErrorCode::enhanceYourCalm, "too many GOAWAYs");
  isPeerGoingAway_ = true;
  events_.onGoAway(readUint32(frame.payload) & 0x7fffffffU,
                   static_cast<ErrorCode>(readUint32(frame.payload.subspan(4))));
  return !hasFailed_;
}

bool Connection::onWindowUpdate(const Frame& frame) {
  if (frame.payload.size() != 4)
    return fail(ErrorCode::frameSizeError, "WINDOW_UPDATE of another size than 4");
  if (!isWithinRate(FloodKind::window)) return fail(ErrorCode::enhanceYourCalm, "too many WINDOW_UPDATEs");
  const std::int64_t increment = readUint32(frame.payload) & 0x7fffffffU;
  if (frame.streamId == 0) {
    if (increment == 0) return fail(ErrorCode::protocolError, "WINDOW_UPDATE of 0");
    sendWindow_ += increment;
    if (sendWindow_ > kMaxWindowBytes)
      return fail(ErrorCode::flowControlError, "the connection's window grew too large");
    return true;  // receive() frames the queued data
  }
  if (isIdle(frame.streamId)) return fail(ErrorCode::protocolError, "WINDOW_UPDATE on an idle stream");
  const auto entry = streams_.find(frame.streamId);
  if (entry == streams_.end()) return true;
  if (increment == 0) return streamError(frame.streamId, ErrorCode::protocolError);
  entry->second.sendWindow += increment;
  if (entry->second.sendWindow > kMaxWindowBytes)
    return streamError(frame.streamId, ErrorCode::flowControlError);
  markReady(frame.streamId, entry->second);
  return true;
}

StreamId Connection::open(const Headers& headers, bool endStream) {
  if (hasFailed_ || isGoingAway_ || isPeerGoingAway_ || openLocalStreams_ >= peerMaxStreams_ ||
      nextLocalStream_ > 0x7ffffff0U)
    return 0;
  const StreamId id = nextLocalStream_;
  nextLocalStream_ += 2;
  ++openLocalStreams_;
  Stream& stream = streams_[id];
  stream.sendWindow = peerInitialWindow_;
  stream.receiveWindow = limits_.streamWindow;
  sendHeaders(id, headers, endStream);
  return id;
}

void Connection::sendHeaders(StreamId id, const Headers& headers, bool endStream) {
  const auto entry = streams_.find(id);
  if (hasFailed_ || entry == streams_.end() || entry->second.hasLocalEnded || entry->second.isEndQueued)
    return;
  Stream& stream = entry->second;
  if (stream.queuedOffset < stream.queuedData.size()) {  // trailers are sent after the queued data
    stream.trailers = headers;
    stream.isEndQueued = true;
    return;
  }
  appendHeaderBlock(id, headers, endStream);
  if (endStream) finishSend(id, stream);
}

void Connection::sendTrailersNow(StreamId id, const Headers& headers) {
  const auto entry = streams_.find(id);
  if (hasFailed_ || entry == streams_.end() || entry->second.hasLocalEnded) return;
  Stream& stream = entry->second;
  totalQueuedBytes_ -= stream.queuedData.size() - stream.queuedOffset;
  stream.queuedData.clear();
  stream.queuedOffset = 0;
  stream.trailers.clear();
  appendHeaderBlock(id, headers, true);
  finishSend(id, stream);
}

void Connection::sendData(StreamId id, std::string_view data, bool endStream) {
  const auto entry = streams_.find(id);
  if (hasFailed_ || entry == streams_.end() || entry->second.hasLocalEnded || entry->second.isEndQueued)
    return;
  Stream& stream = entry->second;
  stream.queuedData.append(data);
  totalQueuedBytes_ += data.size();
  stream.isEndQueued = endStream;
  if (endStream && stream.queuedOffset == stream.queuedData.size()) {
    appendFrame(kData, kEndStream, id, {});
    return finishSend(id, stream);
  }
  markReady(id, stream);
  frameQueuedData();
}

// Closes the sending half. A server that has responded before the end of the request resets the stream, so
// that the client stops sending (RFC 9113 section 8.1).
void Connection::finishSend(StreamId id, Stream& stream) {
  stream.hasLocalEnded = true;
  stream.isEndQueued = false;
  if (side_ == Side::server && !stream.hasRemoteEnded) return reset(id, ErrorCode::noError);
  if (stream.hasRemoteEnded) removeStream(id);
}

void Connection::reset(StreamId id, ErrorCode code) {
  if (hasFailed_ || isIdle(id)) return;
  std::string payload;
  appendUint32(payload, static_cast<std::uint32_t>(code));
  appendFrame(kRstStream, 0, id, payload);
  recordReset(id);
  removeStream(id);
}

void Connection::recordReset(StreamId id) {
  recentResets_.push_back(id);
  if (recentResets_.size() > kMaxRecentResets) recentResets_.pop_front();
}

void Connection::removeStream(StreamId id) {
  const auto entry = streams_.find(id);
  if (entry == streams_.end()) return;
  totalQueuedBytes_ -= entry->second.queuedData.size() - entry->second.queuedOffset;
  // Returns the bytes that the application will not consume to the connection's window.
  const auto outstanding = static_cast<std::int64_t>(limits_.streamWindow) - entry->second.receiveWindow -
                           static_cast<std::int64_t>(entry->second.unreleasedBytes);
  if (outstanding > 0) releaseConnectionWindow(static_cast<std::size_t>(outstanding));
  --(isPeerInitiated(id) ? openPeerStreams_ : openLocalStreams_);
  streams_.erase(entry);
}

void Connection::goAway(ErrorCode code, std::string_view debugData) {
  if (hasFailed_) return;
  isGoingAway_ = true;
  std::string payload;
  appendUint32(payload, lastPeerStream_);
  appendUint32(payload, static_cast<std::uint32_t>(code));
  payload.append(debugData);
  appendFrame(kGoAway, 0, 0, payload);
}

void Connection::ping() { appendFrame(kPing, 0, 0, "garnethk"); }

void Connection::consumed(StreamId id, std::size_t bytes) {
  const auto entry = streams_.find(id);
  if (hasFailed_ || entry == streams_.end()) return;  // removeStream() released the rest
  releaseConnectionWindow(bytes);
  Stream& stream = entry->second;
  stream.unreleasedBytes += bytes;
  if (stream.unreleasedBytes < limits_.streamWindow / 2 || stream.hasRemoteEnded) return;
  stream.receiveWindow += static_cast<std::int64_t>(stream.unreleasedBytes);
  appendWindowUpdate(id, std::exchange(stream.unreleasedBytes, 0));
}

void Connection::releaseConnectionWindow(std::size_t bytes) {
  unreleasedBytes_ += bytes;
  if (hasFailed_ || unreleasedBytes_ < limits_.connectionWindow / 2) return;
  receiveWindow_ += static_cast<std::int64_t>(unreleasedBytes_);
  appendWindowUpdate(0, std::exchange(unreleasedBytes_, 0));
}

void Connection::appendWindowUpdate(StreamId id, std::size_t bytes) {
  std::string payload;
  appendUint32(payload, static_cast<std::uint32_t>(bytes));
  appendFrame(kWindowUpdate, 0, id, payload);
}

void Connection::appendFrame(std::uint8_t type, std::uint8_t flags, StreamId id, std::string_view payload) {
  const std::size_t payloadBytes = payload.size();
  output_.push_back(static_cast<char>(payloadBytes >> 16));
  output_.push_back(static_cast<char>(payloadBytes >> 8));
  output_.push_back(static_cast<char>(payloadBytes));
  output_.push_back(static_cast<char>(type));
  output_.push_back(static_cast<char>(flags));
  appendUint32(output_, id);
  output_.append(payload);
}

void Connection::appendHeaderBlock(StreamId id, const Headers& headers, bool endStream) {
  std::string block;
  encoder_.encode(headers, block);
  std::string_view remaining = block;
  for (bool first = true; first || !remaining.empty(); first = false) {
    const auto fragment = remaining.substr(0, peerMaxFrameBytes_);
    remaining.remove_prefix(fragment.size());
    const auto flags = static_cast<std::uint8_t>((remaining.empty() ? kEndHeaders : 0) |
                                                 (first && endStream ? kEndStream : 0));
    appendFrame(first ? kHeaders : kContinuation, flags, id, fragment);
  }
}

std::size_t Connection::queued(StreamId id) const {
  const auto entry = streams_.find(id);
  return entry == streams_.end() ? 0 : entry->second.queuedData.size() - entry->second.queuedOffset;
}

void Connection::markReady(StreamId id, Stream& stream) {
  if (stream.isReady || stream.queuedOffset == stream.queuedData.size()) return;
  stream.isReady = true;
  readyStreams_.push_back(id);
}

// Frames queued data round-robin, one frame per stream, as far as both windows and `maxOutputBytes` allow.
void Connection::frameQueuedData() {
  if (isFramingData_ || hasFailed_) return;
  isFramingData_ = true;
  while (!readyStreams_.empty() && sendWindow_ > 0 &&
         output_.size() - outputOffset_ < limits_.maxOutputBytes) {
    const StreamId id = readyStreams_.front();
    readyStreams_.pop_front();
    const auto entry = streams_.find(id);
    if (entry == streams_.end()) continue;
    Stream& stream = entry->second;
    stream.isReady = false;
    const std::size_t bytesLeft = stream.queuedData.size() - stream.queuedOffset;
    const std::int64_t sendCapacity =
        std::min({stream.sendWindow, sendWindow_, static_cast<std::int64_t>(peerMaxFrameBytes_)});
    if (sendCapacity <= 0 || bytesLeft == 0) continue;
    const std::size_t payloadBytes = std::min(bytesLeft, static_cast<std::size_t>(sendCapacity));
    const bool endStream = stream.isEndQueued && stream.trailers.empty() && payloadBytes == bytesLeft;
    appendFrame(kData, endStream ? kEndStream : 0, id,
                std::string_view(stream.queuedData).substr(stream.queuedOffset, payloadBytes));
    stream.queuedOffset += payloadBytes;
    stream.sendWindow -= static_cast<std::int64_t>(payloadBytes);
    sendWindow_ -= static_cast<std::int64_t>(payloadBytes);
    totalQueuedBytes_ -= payloadBytes;
    if (payloadBytes == bytesLeft) {
      stream.queuedData.clear();
      stream.queuedOffset = 0;
      if (stream.isEndQueued && !stream.trailers.empty()) appendHeaderBlock(id, stream.trailers, true);
      if (stream.isEndQueued) {
        finishSend(id, stream);
        continue;
      }
    } else {
      if (stream.queuedOffset > 65'536 && stream.queuedOffset * 2 > stream.queuedData.size()) {
        stream.queuedData.erase(0, stream.queuedOffset);
        stream.queuedOffset = 0;
      }
      if (stream.sendWindow > 0) markReady(id, stream);
    }
    events_.onSent(id, bytesLeft - payloadBytes);
  }
  isFramingData_ = false;
}

void Connection::sent(std::size_t bytes) {
  outputOffset_ += bytes;
  if (outputOffset_ == output_.size()) {
    output_.clear();
    outputOffset_ = 0;
    queuedControlBytes_ = 0;
  } else if (outputOffset_ > 65'536) {
    output_.erase(0, outputOffset_);
    outputOffset_ = 0;
  }
  frameQueuedData();
}

}  // namespace garnethook::http2
