// One HTTP/2 connection (RFC 9113), either side of it, free of I/O and clocks: bytes in, events out, bytes
// to be sent collected. Cleartext with prior knowledge (section 3.3) or below TLS: the caller decides.
//
// Bounds: everything that a peer may make this side keep is bounded by Limits; a peer that goes beyond gets
// the error that the RFC names (a stream's or the connection's), floods get ENHANCE_YOUR_CALM.
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
  std::uint32_t streams = 256;               // concurrent ones that the peer may open
  std::uint32_t streamWindow = 65'535;       // bytes a peer may send on a stream before it is consumed
  std::uint32_t connectionWindow = 1 << 20;  // and on all streams together
  std::uint32_t frame = 16'384;              // largest frame taken
  HpackLimits headers;
  std::size_t headerBlock = 64 * 1024;  // bytes of one block over its CONTINUATIONs
  unsigned continuations = 16;          // frames of one block
  // A second's worth of each; more ends the connection with ENHANCE_YOUR_CALM.
  unsigned resets = 200;  // streams the peer opened and reset (rapid reset), or got reset by its errors
  unsigned pings = 100;
  unsigned settings = 20;
  unsigned emptyFrames = 200;  // DATA without bytes or end, and PRIORITY
  unsigned windowUpdates = 20'000;
  std::size_t controlBytes = 64 * 1024;  // unsent answers to the peer's own control frames
  std::size_t sendAhead = 256 * 1024;    // bytes framed ahead of the socket
};

class ConnectionEvents {
 public:
  virtual ~ConnectionEvents() = default;
  // The first header block of a stream, or its trailers.
  virtual void onHeaders(StreamId id, Headers headers, bool trailers, bool end) = 0;
  // To be answered by Connection::consumed once the bytes are dealt with.
  virtual void onData(StreamId id, std::span<const std::uint8_t> data, bool end) = 0;
  // The stream was ended by either side's RST_STREAM; nothing more comes of it.
  virtual void onReset(StreamId id, ErrorCode code) = 0;
  // Queued bytes of the stream went out; `left` are still queued.
  virtual void onSent(StreamId id, std::size_t left) = 0;
  // The peer opens no more streams; those of ours above `last` were not processed.
  virtual void onGoAway(StreamId last, ErrorCode code) = 0;
};

class Connection {
 public:
  Connection(Side side, const Limits& limits, ConnectionEvents& events);

  // Takes bytes from the peer; `nowMicros` never goes back and only paces the flood limits. False: the
  // connection is over, send what output() holds (a GOAWAY) and close. Events may call back in here, but
  // not receive() itself.
  bool receive(std::int64_t nowMicros, std::span<const std::uint8_t> bytes);

  // Opens a stream (client side). 0: not now (too many streams, or going away).
  StreamId open(const Headers& headers, bool end);
  // Header block of a stream that may still be sent on; trailers after queued data keep their place.
  void sendHeaders(StreamId id, const Headers& headers, bool end);
  void sendData(StreamId id, std::string_view data, bool end);
  // Ends the stream with trailers at once, ahead of (and in place of) data that waits for the peer's window.
  void sendTrailersNow(StreamId id, const Headers& headers);
  void reset(StreamId id, ErrorCode code);
  // Tells the peer that no stream beyond those seen is processed.
  void goAway(ErrorCode code, std::string_view debug = {});
  // Bytes of a stream's data that were dealt with: opens the windows again.
  void consumed(StreamId id, std::size_t bytes);
  void ping();

  // Bytes to be sent. sent(n) drops the first n and frames more from the queues.
  std::string_view output() const { return std::string_view(out_).substr(outAt_); }
  void sent(std::size_t bytes);

  bool hasFailed() const { return over_; }
  bool goingAway() const { return goingAway_; }
  bool has(StreamId id) const { return streams_.contains(id); }
  std::size_t openStreams() const { return streams_.size(); }
  std::size_t queued(StreamId id) const;  // bytes of data that wait for the peer's window
  std::size_t queuedTotal() const { return queuedTotal_; }
  ErrorCode error() const { return error_; }
  std::string_view errorText() const { return errorText_; }

 private:
  struct Stream {
    std::int64_t sendWindow = 0;
    std::int64_t receiveWindow = 0;
    std::size_t unreturned = 0;  // consumed bytes whose window has not been given back yet
    std::string pending;
    std::size_t pendingAt = 0;
    Headers trailers;
    std::int64_t contentLeft = -1;  // content-length not yet received; -1: none was told
    bool headersSeen = false;
    bool endQueued = false;  // this side's end waits behind `pending`
    bool localEnd = false;
    bool remoteEnd = false;
    bool ready = false;
  };
  struct Frame {
    std::uint8_t type = 0;
    std::uint8_t flags = 0;
    StreamId stream = 0;
    std::span<const std::uint8_t> payload;
  };
  enum class Flood { resets, pings, settings, empty, window, count };

  bool fail(ErrorCode code, std::string_view text);
  bool streamError(StreamId id, ErrorCode code);
  bool spend(Flood kind);
  bool takePreface();
  bool dispatch(const Frame& f);
  bool onDataFrame(const Frame& f);
  bool onHeadersFrame(const Frame& f);
  bool onContinuation(const Frame& f);
  bool onBlockEnd();
  bool onRstStream(const Frame& f);
  bool onSettings(const Frame& f);
  bool onPing(const Frame& f);
  bool onGoAwayFrame(const Frame& f);
  bool onWindowUpdate(const Frame& f);
  bool unpad(const Frame& f, std::span<const std::uint8_t>& content) const;
  bool closedStream(StreamId id, std::string_view what);
  bool peerOpens(StreamId id) const { return (id % 2 == 1) == (side_ == Side::server); }
  bool idle(StreamId id) const { return peerOpens(id) ? id > lastPeer_ : id >= nextOwn_; }
  bool wellFormed(const Headers& headers, bool trailers, Stream& stream) const;
  void putFrame(std::uint8_t type, std::uint8_t flags, StreamId id, std::string_view payload);
  void putBlock(StreamId id, const Headers& headers, bool end);
  void putWindowUpdate(StreamId id, std::size_t bytes);
  void finishSend(StreamId id, Stream& s);
  void returnConnectionWindow(std::size_t bytes);
  void makeReady(StreamId id, Stream& s);
  void pump();
  void erase(StreamId id);
  void rememberReset(StreamId id);
  bool control(std::size_t bytes);

  Side side_;
  Limits limits_;
  ConnectionEvents& events_;
  HpackDecoder decoder_;
  HpackEncoder encoder_;
  std::unordered_map<StreamId, Stream> streams_;
  std::deque<StreamId> ready_;
  std::string in_;
  std::string out_;
  std::size_t outAt_ = 0;
  std::size_t prefaceAt_ = 0;
  bool settingsSeen_ = false;
  bool over_ = false;
  bool goingAway_ = false;      // GOAWAY was sent
  bool peerGoingAway_ = false;  // or received
  bool pumping_ = false;
  std::int64_t now_ = 0;
  std::int64_t paced_ = 0;
  std::array<double, static_cast<std::size_t>(Flood::count)> floods_{};
  std::size_t controlQueued_ = 0;
  std::size_t queuedTotal_ = 0;
  std::int64_t sendWindow_ = 65'535;
  std::int64_t receiveWindow_ = 65'535;
  std::size_t unreturned_ = 0;
  std::int64_t peerInitialWindow_ = 65'535;
  std::uint32_t peerFrame_ = 16'384;
  std::uint32_t peerStreams_ = 0xffffffff;
  std::uint32_t peerOpen_ = 0;  // streams open that the peer opened
  std::uint32_t ownOpen_ = 0;
  StreamId lastPeer_ = 0;
  StreamId nextOwn_;
  StreamId block_ = 0;  // stream whose header block is under way; 0: none
  bool blockEnd_ = false;
  unsigned blockFrames_ = 0;
  std::string blockBytes_;
  std::deque<StreamId> recentResets_;
  ErrorCode error_ = ErrorCode::noError;
  std::string errorText_;
};

}  // namespace garnethook::http2
