/// gRPC client on the event loop: one connection with many concurrent calls, on the project's own HTTP/2
/// implementation. Used by the commands `ask` and `drill` and by tests.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "garnethook/v1/generate.pb.h"
#include "grpc/message.h"
#include "http2/connection.h"
#include "net/stream.h"

namespace garnethook::client {

using timing::Micros;

/// Receives the events of one call.
class CallEvents {
 public:
  virtual ~CallEvents() = default;
  /// A response message was received.
  virtual void onMessage(std::string_view message) = 0;
  /// The call has ended; called once. Reports the server's status, or UNAVAILABLE if the connection was lost.
  /// @param fromServer whether the status was received from the server
  virtual void onStatus(const grpc::Status& status, const http2::Headers& trailers, bool fromServer) = 0;
};

/// A connection to a gRPC server.
class Channel final : private net::StreamEvents, private http2::ConnectionEvents {
 public:
  /// Limits of the connection.
  struct Options {
    Micros connectTimeout = 2'000'000;        ///< to establish the TCP connection
    std::uint32_t streamWindow = 1 << 20;     ///< initial flow-control window of a stream, in bytes
    std::size_t maxMessageBytes = 64u << 20;  ///< size of a response message
    std::string sourceAddress;                ///< local address; empty: chosen by the system
  };
  /// Starts to connect.
  Channel(net::Loop& loop, const Poco::Net::SocketAddress& address, const Options& options);
  ~Channel() override;

  /// Starts a call with one request message.
  /// @param timeoutMicros deadline of the call; 0: none
  /// @param events must live until onStatus() or cancel()
  /// @return 0 if the connection accepts no further call
  http2::StreamId call(const std::string& path, std::string_view message, Micros timeoutMicros,
                       CallEvents& events);
  /// Resets the call; it reports no further events.
  void cancel(http2::StreamId id);
  /// Pauses or resumes the flow-control updates of a call, which simulates a client that reads slowly.
  void pauseReading(http2::StreamId id, bool paused);
  /// Whether the connection is usable.
  bool open() const { return stream_.open() && !codec_.hasFailed(); }
  /// Number of calls that have not ended.
  std::size_t calls() const { return calls_.size(); }
  /// Closes the connection.
  /// @param abort with a reset instead of an orderly shutdown
  void close(bool abort) { stream_.close(abort); }

 private:
  struct CallState {
    explicit CallState(std::size_t messageLimit) : reader(messageLimit) {}
    CallEvents* events = nullptr;
    grpc::MessageReader reader;
    http2::Headers initialHeaders;
    bool readingPaused = false;
    std::size_t unreadBytes = 0;  // received while paused
  };
  void onConnected() override { flush(); }
  void onBytes(std::string_view bytes) override;
  void onDrained() override { flush(); }
  void onClosed(net::CloseCause cause) override;
  void onHeaders(http2::StreamId id, http2::Headers headers, bool trailers, bool endStream) override;
  void onData(http2::StreamId id, std::span<const std::uint8_t> data, bool endStream) override;
  void onReset(http2::StreamId id, http2::ErrorCode code) override;
  void onSent(http2::StreamId, std::size_t) override {}
  void onGoAway(http2::StreamId lastStreamId, http2::ErrorCode code) override;
  void finishCall(http2::StreamId id, const grpc::Status& status, const http2::Headers& trailers,
                  bool fromServer);
  void flush();

  net::Loop& loop_;
  Options options_;
  http2::Connection codec_;
  std::map<http2::StreamId, CallState> calls_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  net::Stream stream_;
};

}  // namespace garnethook::client
