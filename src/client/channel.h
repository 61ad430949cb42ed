// A gRPC client on the loop: one connection, many calls, by our own codec. For `ask`, `drill` and tests.
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

class CallEvents {
 public:
  virtual ~CallEvents() = default;
  virtual void onMessage(std::string_view message) = 0;
  // The end of the call, once: the server's status, or UNAVAILABLE where the connection is gone.
  // `fromServer`: a status came over the wire.
  virtual void onStatus(const grpc::Status& status, const http2::Headers& trailers, bool fromServer) = 0;
};

class Channel final : private net::StreamEvents, private http2::ConnectionEvents {
 public:
  struct Options {
    Micros connectTimeout = 2'000'000;
    std::uint32_t streamWindow = 1 << 20;
    std::size_t messageBytes = 64u << 20;
    std::string sourceAddress;
  };
  Channel(net::Loop& loop, const Poco::Net::SocketAddress& to, const Options& options);
  ~Channel() override;

  // Starts a call with one request message. 0: the connection takes none. `timeoutMicros` 0: none.
  // `events` must live until onStatus or cancel().
  http2::StreamId call(const std::string& path, std::string_view message, Micros timeoutMicros,
                       CallEvents& events);
  // Resets the call; nothing of it is told any more.
  void cancel(http2::StreamId id);
  // Stops and goes on giving back window, so that a slow reader can be played.
  void hold(http2::StreamId id, bool held);
  bool open() const { return stream_.open() && !codec_.hasFailed(); }
  std::size_t calls() const { return calls_.size(); }
  void close(bool abort) { stream_.close(abort); }

 private:
  struct Slot {
    explicit Slot(std::size_t most) : reader(most) {}
    CallEvents* events = nullptr;
    grpc::MessageReader reader;
    http2::Headers head;
    bool held = false;
    std::size_t unread = 0;
  };
  void onConnected() override { flush(); }
  void onBytes(std::string_view bytes) override;
  void onDrained() override { flush(); }
  void onClosed(net::CloseCause cause) override;
  void onHeaders(http2::StreamId id, http2::Headers headers, bool trailers, bool end) override;
  void onData(http2::StreamId id, std::span<const std::uint8_t> data, bool end) override;
  void onReset(http2::StreamId id, http2::ErrorCode code) override;
  void onSent(http2::StreamId, std::size_t) override {}
  void onGoAway(http2::StreamId last, http2::ErrorCode code) override;
  void end(http2::StreamId id, const grpc::Status& status, const http2::Headers& trailers, bool fromServer);
  void flush();

  net::Loop& loop_;
  Options options_;
  http2::Connection codec_;
  std::map<http2::StreamId, Slot> calls_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  net::Stream stream_;
};

}  // namespace garnethook::client
