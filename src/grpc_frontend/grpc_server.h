/// gRPC server: accepts HTTP/2 connections and dispatches their streams to calls.
#pragma once

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "grpc_frontend/prompt_counting.h"
#include "grpc_frontend/request_decoder.h"
#include "grpc_frontend/service_calls.h"
#include "http2/connection.h"
#include "net/listener.h"
#include "net/stream.h"

namespace garnethook::grpc_frontend {

/// Limits of the gRPC server.
struct GrpcOptions {
  http2::Limits http2;                            ///< per connection
  std::size_t maxMessageBytes = 8u << 20;         ///< size of a request message
  std::size_t maxQueuedResponseBytes = 1u << 20;  ///< unsent data of a response whose client reads slowly
  std::size_t maxConnections = 20'000;            ///< further connections are closed on accept
  Micros prefaceTimeout = 10'000'000;             ///< from accept to the client's first SETTINGS frame
  Micros idleConnectionTimeout = 300'000'000;     ///< after which a connection without streams is closed
  /// A status that is blocked by the client's flow-control window is replaced by DEADLINE_EXCEEDED this long
  /// before the client's deadline, dropping the data queued before it.
  Micros deadlineMargin = 50'000;
  Micros closeTimeout = 2'000'000;  ///< for the peer to read the remaining output when a connection closes
};

/// The gRPC server. Runs on the loop's thread.
class GrpcServer {
 public:
  /// Starts listening.
  /// @param tokenCounter nullptr: token counts of prompts remain estimates
  GrpcServer(net::Loop& loop, const Poco::Net::SocketAddress& address, const GrpcOptions& options,
             const RequestDecoderOptions& decoderOptions, routing::Router& router, HealthState& health,
             PromptTokenCounter* tokenCounter = nullptr);
  ~GrpcServer();

  /// Address of the listening socket.
  Poco::Net::SocketAddress address() const { return listener_.address(); }
  /// Stops accepting connections, but for those whose handshakes have begun, and streams on the connections
  /// that are open now; open calls may finish.
  void drain();
  /// Replaces the decoder options after a reload; requests that are already decoded are unaffected.
  void setRequestDecoderOptions(const RequestDecoderOptions& decoderOptions) {
    decoderOptions_ = decoderOptions;
  }
  /// Whether connections are still accepted.
  bool accepting() const { return listener_.open(); }
  /// Number of open connections.
  std::size_t connections() const { return connections_.size(); }
  /// Number of open streams on all connections.
  std::size_t streams() const;
  /// Closes all connections once their queued output is sent, at the latest after closeTimeout.
  void close();

 private:
  class Connection;
  friend class Connection;
  void accept(const Poco::Net::StreamSocket& socket);
  void onConnectionClosed(Connection& connection);

  net::Loop& loop_;
  GrpcOptions options_;
  RequestDecoderOptions decoderOptions_;
  routing::Router& router_;
  HealthState& health_;
  PromptTokenCounter* tokenCounter_;
  std::unordered_map<Connection*, std::shared_ptr<Connection>> connections_;
  bool draining_ = false;
  net::Listener listener_;
};

}  // namespace garnethook::grpc_frontend
