// The gRPC front: listens, and turns the streams of HTTP/2 connections into calls.
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

struct GrpcOptions {
  http2::Limits http2;
  std::size_t messageBytes = 8u << 20;  // of one request message
  std::size_t waitingMost = 1u << 20;   // of one answer, for a client that reads slowly
  std::size_t connections = 20'000;
  Micros prefaceWithin = 10'000'000;  // from the connection to its first settings
  Micros idleWithin = 300'000'000;    // a connection without streams is closed after it
  Micros deadlineMargin = 50'000;     // a status that waits for the client's window is sent this long before
                                      // its deadline, in place of the data before it
  Micros closeWithin = 2'000'000;     // for a peer to read what is left at the end
};

class GrpcServer {
 public:
  GrpcServer(net::Loop& loop, const Poco::Net::SocketAddress& address, const GrpcOptions& options,
             const IntakeOptions& intake, routing::Router& router, HealthState& health,
             PromptCounting* counting = nullptr);
  ~GrpcServer();

  Poco::Net::SocketAddress address() const { return listener_.address(); }
  // Takes no new connections or streams; those that are open may end.
  void drain();
  // Intake settings of a reload; calls under way keep what they were taken with.
  void setIntake(const IntakeOptions& intake) { intake_ = intake; }
  std::size_t connections() const { return connections_.size(); }
  std::size_t streams() const;
  // All connections are closed once what is queued went out, or after closeWithin.
  void close();

 private:
  class Connection;
  friend class Connection;
  void accept(Poco::Net::StreamSocket socket);
  void closed(Connection& connection);

  net::Loop& loop_;
  GrpcOptions options_;
  IntakeOptions intake_;
  routing::Router& router_;
  HealthState& health_;
  PromptCounting* counting_;
  std::unordered_map<Connection*, std::shared_ptr<Connection>> connections_;
  bool draining_ = false;
  net::Listener listener_;
};

}  // namespace garnethook::grpc_frontend
