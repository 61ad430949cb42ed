/// @file
/// Serves clients over HTTP/1.1: one request at a time on a connection, answers as streams of events.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "net/listener.h"
#include "net/stream.h"
#include "platform/http_frontend/byte_budget.h"
#include "platform/http_frontend/close_reason.h"
#include "platform/http_frontend/connection_policy.h"
#include "platform/http_frontend/request_decoder.h"
#include "routing/router.h"

namespace garnethook::platform {

/// Accepts client connections, owns them, and holds the limits that they share. Lives on the loop's thread.
class HttpFrontend {
 public:
  /// Limits of the frontend; all times are in microseconds.
  struct Options {
    /// Limits on the number of connections and their idle time.
    ConnectionPolicy::Options connections;
    /// Bytes of the bodies of all requests that are received or open; pipelined input has the same limit.
    std::size_t maxBufferedBytes = std::size_t{64} << 20;
    /// Bytes that one client may send behind an open request.
    std::size_t maxPipelinedBytes = std::size_t{1} << 20;
    /// Bytes of a response that its client has not read; beyond that the connection is closed.
    std::size_t maxUnreadResponseBytes = std::size_t{512} * 1024;
    /// Unsent bytes of responses beyond which a client's next pipelined request has to wait.
    std::size_t maxUnsentBeforeNextRequest = std::size_t{64} * 1024;
    /// Time for a client to close its side after this one was shut down.
    Micros lingerTimeout = 1'000'000;
    /// Bytes that are read and thrown away meanwhile; beyond that the connection is closed.
    std::size_t maxLingeringInputBytes = std::size_t{1} << 20;
    /// Connections that may be in that state, in addition to the open ones.
    std::size_t maxLingeringConnections = 64;
    /// Retry-After of responses that the frontend itself words because it is full or going down.
    Micros retryAfter = 250'000;
  };
  /// What has happened since the start.
  struct Counters {
    std::uint64_t accepted = 0;  ///< Connections accepted.
    std::uint64_t rejected = 0;  ///< Requests that could not be decoded or asked for an unknown resource.
    std::uint64_t timedOut = 0;  ///< Connections without a complete request in time.
    std::uint64_t evicted = 0;   ///< Idle connections closed in favour of new ones.
    std::uint64_t overCapacity =
        0;  ///< Times that no connection could be evicted, so that new ones had to wait.
    std::uint64_t closedIdle = 0;  ///< Connections closed by the idle timeout.
    /// Connections closed, by CloseReason.
    std::array<std::uint64_t, static_cast<std::size_t>(CloseReason::count_)> closed{};
    /// Connections closed though a response was due, which breaks a rule.
    std::uint64_t closedWithoutResponse = 0;
  };
  /// How the frontend asks and notifies its owner. Must not call back into the frontend.
  struct Events {
    /// Whether the router is ready, which is what `/-/ready` responds.
    std::function<bool()> ready;
    /// A request was rejected with this status; the text names the cause.
    std::function<void(int status, std::string_view text)> rejected = [](int, std::string_view) {};
    /// A connection ended. `traceId`: the request that was open, or empty; `owesResponse`: it was due a
    /// response, which breaks a rule.
    std::function<void(CloseReason reason, std::string_view traceId, bool owesResponse)> closed =
        [](CloseReason, std::string_view, bool) {};
  };

  /// Listens at once.
  /// @param loop runs everything; must outlive the frontend
  /// @param address where to listen
  /// @param options limits
  /// @param deployment names the request classes; must outlive the frontend
  /// @param router takes the requests; must outlive the frontend
  /// @param events notifications
  /// @throws Poco::Net::NetException where it can't listen on the address
  HttpFrontend(net::Loop& loop, const Poco::Net::SocketAddress& address, const Options& options,
               const deployment_config::DeploymentConfig& deployment, routing::Router& router, Events events);
  /// Closes all connections at once.
  ~HttpFrontend();
  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  /// From now on connections end after their responses, and idle ones end now.
  void drain();
  /// Accepts no more connections, and those without an open request end. Requests that are read from now on
  /// get a 503: the process ends once the open requests have their responses.
  void close();

  /// Where the frontend listens.
  Poco::Net::SocketAddress address() const { return listener_.address(); }
  /// Number of connections, lingering ones included.
  std::size_t connections() const { return connections_.size(); }
  /// Whether connections may still be accepted.
  bool accepting() const { return listener_.open(); }
  /// Number of requests that wait for their completion by the router.
  std::size_t openRequests() const { return openTraceIds_.size(); }
  /// Bytes of the bodies of open requests, and of pipelined input.
  std::size_t bufferedBytes() const { return bodyBudget_.used() + pipelinedBudget_.used(); }
  /// What has happened since the start.
  const Counters& counters() const { return counters_; }

 private:
  class Connection;
  void accept(const Poco::Net::StreamSocket& socket);
  void makeRoom();
  bool evictOne();
  void drainConnections(bool includeUnused);
  void reportClose(CloseReason reason, std::string_view traceId, bool owesResponse);
  void onLingering(Connection& connection);
  void limitLingering();
  void onClosed(Connection& connection);

  net::Loop& loop_;
  Options options_;
  ConnectionPolicy policy_;
  const deployment_config::DeploymentConfig& deployment_;
  routing::Router& router_;
  Events events_;
  ByteBudget bodyBudget_;
  ByteBudget pipelinedBudget_;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
  std::deque<Connection*> lingering_;  // oldest first
  std::unordered_set<std::string> openTraceIds_;
  bool isDraining_ = false;
  bool refusesRequests_ = false;
  Counters counters_;
  timing::Alarm capacityAlarm_;
  net::Listener listener_;
};

}  // namespace garnethook::platform
