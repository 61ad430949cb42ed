// One HTTP/2 connection (RFC 9113), client or server side. Performs no I/O and reads no clock: it consumes
// received bytes, emits events and collects the bytes to be sent. The caller decides between cleartext with
// prior knowledge (section 3.3) and TLS.
//
// Limits bounds all state that a peer can make this side keep. Exceeding a limit causes the stream or
// connection error that the RFC specifies; floods end the connection with ENHANCE_YOUR_CALM.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "http2/hpack.h"

namespace garnethook::http2 {

using StreamId = std::uint32_t;
enum class Side { server, client };

enum class ErrorCode : std::uint32_t {  // RFC 9113 section 7
  noError = 0,
  protocolError = 1,
  internalError = 2,
  flowControlError = 3,
  settingsTimeout = 4,
  streamClosed = 5,
  frameSizeError = 6,
  refusedStream = 7,
  cancel = 8,
  compressionError = 9,
  connectError = 10,
  enhanceYourCalm = 11,
  inadequateSecurity = 12,
  http11Required = 13,
};

struct Limits {
  std::uint32_t streams = 256;               // concurrent streams that the peer may open
  std::uint32_t streamWindow = 65'535;       // unconsumed bytes that a peer may send on one stream
  std::uint32_t connectionWindow = 1 << 20;  // unconsumed bytes on all streams together
  std::uint32_t maxFrameBytes = 16'384;      // largest frame payload accepted, in bytes
  HpackLimits hpack;
  std::size_t maxHeaderBlockBytes = 64 * 1024;  // size of one header block including its CONTINUATIONs
  unsigned maxHeaderBlockFrames = 16;           // frames per header block, including HEADERS
  // Rates per second; exceeding one ends the connection with ENHANCE_YOUR_CALM.
  unsigned resets = 200;  // streams reset by the peer (rapid reset) or because of its errors
  unsigned pings = 100;
  unsigned settings = 20;
  unsigned emptyFrames = 200;  // DATA without payload or END_STREAM, and PRIORITY
  unsigned windowUpdates = 20'000;
  std::size_t controlBytes = 64 * 1024;     // unsent replies to control frames of the peer
  std::size_t maxOutputBytes = 256 * 1024;  // framed bytes buffered for the socket
};

class ConnectionEvents {
 public:
  virtual ~ConnectionEvents() = default;
  // Receives the first header block of a stream, or its trailers.
  virtual void onHeaders(StreamId id, Headers headers, bool isTrailers, bool endStream) = 0;
  // The receiver must call Connection::consumed once it has processed the bytes.
  virtual void onData(StreamId id, std::span<const std::uint8_t> data, bool endStream) = 0;
  // Either side ended the stream by RST_STREAM; no further events follow for it.
  virtual void onReset(StreamId id, ErrorCode code) = 0;
  // Queued bytes of the stream were framed; `bytesLeft` are still queued.
  virtual void onSent(StreamId id, std::size_t bytesLeft) = 0;
  // The peer accepts no more streams; locally initiated streams above `last` were not processed.
  virtual void onGoAway(StreamId last, ErrorCode code) = 0;
};

class Connection {
 public:
  Connection(Side side, const Limits& limits, ConnectionEvents& events);

  // Processes bytes from the peer. `nowMicros` must be monotonic and is only used for the flood limits.
  // Returns false if the connection has failed: the caller sends the rest of output(), which ends with a
  // GOAWAY, and closes. Event handlers may call any method of this object except receive().
  bool receive(std::int64_t nowMicros, std::span<const std::uint8_t> bytes);

  // Opens a stream (client side). Returns 0 if none can be opened now (too many streams, or going away).
  StreamId open(const Headers& headers, bool endStream);
  // Sends a header block on a stream whose sending half is open. Trailers are sent after the queued data.
  void sendHeaders(StreamId id, const Headers& headers, bool endStream);
  void sendData(StreamId id, std::string_view data, bool endStream);
  // Ends the stream with trailers immediately, discarding data that waits for the peer's window.
  void sendTrailersNow(StreamId id, const Headers& headers);
  void reset(StreamId id, ErrorCode code);
  // Sends GOAWAY: streams opened after those seen so far are not processed.
  void goAway(ErrorCode code, std::string_view debugData = {});
  // Reports that `bytes` of a stream's data have been processed, which reopens the flow-control windows.
  void consumed(StreamId id, std::size_t bytes);
  void ping();

  // Bytes to be sent. sent() drops the first `bytes` of them and frames more queued data.
  std::string_view output() const { return std::string_view(output_).substr(outputOffset_); }
  void sent(std::size_t bytes);

  bool hasFailed() const { return hasFailed_; }
  bool goingAway() const { return isGoingAway_; }
  bool has(StreamId id) const { return streams_.contains(id); }
  std::size_t openStreams() const { return streams_.size(); }
  std::size_t queued(StreamId id) const;  // data bytes that wait for the peer's window
  std::size_t totalQueuedBytes() const { return totalQueuedBytes_; }
  ErrorCode error() const { return error_; }
  std::string_view errorText() const { return errorText_; }

 private:
  struct Stream {
    std::int64_t sendWindow = 0;
    std::int64_t receiveWindow = 0;
    std::size_t unreleasedBytes = 0;  // consumed bytes not yet returned by WINDOW_UPDATE
    std::string queuedData;
    std::size_t queuedOffset = 0;
    Headers trailers;
    std::int64_t contentBytesRemaining = -1;  // content-length bytes not yet received; -1 if unspecified
    bool hasHeaders = false;
    bool isEndQueued = false;  // the local end of stream follows `queuedData`
    bool hasLocalEnded = false;
    bool hasRemoteEnded = false;
    bool isReady = false;
  };
  struct Frame {
    std::uint8_t type = 0;
    std::uint8_t flags = 0;
    StreamId streamId = 0;
    std::span<const std::uint8_t> payload;
  };
  enum class FloodKind { resets, pings, settings, empty, window, count };

  bool fail(ErrorCode code, std::string_view text);
  bool streamError(StreamId id, ErrorCode code);
  bool isWithinRate(FloodKind kind);
  bool consumePreface();
  bool dispatch(const Frame& frame);
  bool onDataFrame(const Frame& frame);
  bool onHeadersFrame(const Frame& frame);
  bool onContinuation(const Frame& frame);
  bool onHeaderBlockComplete();
  bool onRstStream(const Frame& frame);
  bool onSettings(const Frame& frame);
  bool onPing(const Frame& frame);
  bool onGoAwayFrame(const Frame& frame);
  bool onWindowUpdate(const Frame& frame);
  bool removePadding(const Frame& frame, std::span<const std::uint8_t>& content) const;
  bool onClosedStreamFrame(StreamId id, std::string_view reason);
  bool isPeerInitiated(StreamId id) const { return (id % 2 == 1) == (side_ == Side::server); }
  bool isIdle(StreamId id) const {
    return isPeerInitiated(id) ? id > lastPeerStream_ : id >= nextLocalStream_;
  }
  bool isWellFormed(const Headers& headers, bool isTrailers, Stream& streamState) const;
  void appendFrame(std::uint8_t type, std::uint8_t flags, StreamId id, std::string_view payload);
  void appendHeaderBlock(StreamId id, const Headers& headers, bool endStream);
  void appendWindowUpdate(StreamId id, std::size_t bytes);
  void finishSend(StreamId id, Stream& stream);
  void releaseConnectionWindow(std::size_t bytes);
  void markReady(StreamId id, Stream& stream);
  void frameQueuedData();
  void removeStream(StreamId id);
  void recordReset(StreamId id);
  bool addControlBytes(std::size_t bytes);

  Side side_;
  Limits limits_;
  ConnectionEvents& events_;
  HpackDecoder decoder_;
  HpackEncoder encoder_;
  std::unordered_map<StreamId, Stream> streams_;
  std::deque<StreamId> readyStreams_;
  std::string input_;
  std::string output_;
  std::size_t outputOffset_ = 0;
  std::size_t prefaceBytesSeen_ = 0;
  bool hasSettings_ = false;
  bool hasFailed_ = false;
  bool isGoingAway_ = false;      // a GOAWAY was sent
  bool isPeerGoingAway_ = false;  // a GOAWAY was received
  bool isFramingData_ = false;
  std::int64_t nowMicros_ = 0;
  std::int64_t ratesUpdatedMicros_ = 0;
  std::array<double, static_cast<std::size_t>(FloodKind::count)> floodLevels_{};
  std::size_t queuedControlBytes_ = 0;
  std::size_t totalQueuedBytes_ = 0;
  std::int64_t sendWindow_ = 65'535;
  std::int64_t receiveWindow_ = 65'535;
  std::size_t unreleasedBytes_ = 0;
  std::int64_t peerInitialWindow_ = 65'535;
  std::uint32_t peerMaxFrameBytes_ = 16'384;
  std::uint32_t peerMaxStreams_ = 0xffffffff;
  std::uint32_t openPeerStreams_ = 0;  // open streams initiated by the peer
  std::uint32_t openLocalStreams_ = 0;
  StreamId lastPeerStream_ = 0;
  StreamId nextLocalStream_;
  StreamId blockStream_ = 0;  // stream whose header block is incomplete; 0 if none
  bool blockEndsStream_ = false;
  unsigned blockFrameCount_ = 0;
  std::string headerBlock_;
  std::deque<StreamId> recentResets_;
  ErrorCode error_ = ErrorCode::noError;
  std::string errorText_;
};

}  // namespace garnethook::http2
