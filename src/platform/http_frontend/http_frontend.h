/// @file
/// Serves clients over HTTP/1.1, one request at a time per connection; responses are server-sent event
/// streams.
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

/// Accepts and owns client connections and enforces the limits that they share. Used only on the event loop's
/// thread.
class HttpFrontend {
 public:
  /// Limits of the frontend; all times are in microseconds.
  struct Options {
    /// Limits on the number of connections and on their idle time.
    ConnectionPolicy::Options connections;
    /// Maximum bytes of the bodies of all requests being received or open; the heads that are being received
    /// and the pipelined input of all connections together have limits of their own of the same size.
    std::size_t maxBufferedBytes = std::size_t{64} << 20;
    /// Maximum bytes that one connection may buffer while its request is open.
    std::size_t maxPipelinedBytes = std::size_t{1} << 20;
    /// Maximum unsent response bytes of a connection; a connection that exceeds it is closed.
    std::size_t maxUnreadResponseBytes = std::size_t{512} * 1024;
    /// Unsent response bytes of all connections above which the engines of those that do not read are paused.
    std::size_t maxUnsentBytes = std::size_t{64} << 20;
    /// Time without any progress after which a client whose engine is paused is given up.
    Micros unreadTimeout = 10'000'000;
    /// Unsent response bytes above which a client's next pipelined request is delayed.
    std::size_t maxUnsentBytesBeforeNextRequest = std::size_t{64} * 1024;
    /// Time that a client has to close its side after this side was shut down.
    Micros lingerTimeout = 1'000'000;
    /// Maximum bytes that are read and discarded during a lingering close; a connection that exceeds it is
    /// closed.
    std::size_t maxLingeringInputBytes = std::size_t{1} << 20;
    /// Number of lingering connections allowed in addition to `connections.maxConnections` open ones.
    std::size_t maxLingeringConnections = 64;
    /// Retry-After of the 503 responses that the frontend itself generates when overloaded or shutting down.
    Micros retryAfter = 250'000;
  };
  /// Counts since the start.
  struct Counters {
    std::uint64_t accepted = 0;  ///< Connections accepted.
    std::uint64_t rejected = 0;  ///< Requests that were invalid, incomplete or for an unknown resource.
    std::uint64_t timedOut = 0;  ///< Connections that exceeded the request timeout.
    std::uint64_t evicted = 0;   ///< Idle or unused connections closed in favour of new ones.
    std::uint64_t overCapacity =
        0;  ///< Times that no connection could be evicted, so that new ones had to wait.
    std::uint64_t closedIdle = 0;  ///< Connections closed by the idle timeout.
    /// Closed connections by CloseReason.
    std::array<std::uint64_t, static_cast<std::size_t>(CloseReason::count_)> closed{};
    /// Connections closed while a response was due, which is a violation.
    std::uint64_t closedWithoutResponse = 0;
  };
  /// Callbacks to the frontend's owner. They must not call back into the frontend.
  struct Events {
    /// Returns whether the router is ready; determines the response to `/-/ready`.
    std::function<bool()> ready;
    /// A request was rejected with this status; `text` states the cause.
    std::function<void(int status, std::string_view text)> rejected = [](int, std::string_view) {};
    /// A connection was closed. `traceId`: trace id of the open request, or empty; `isResponseDue`: that
    /// request was left without a response, which is a violation.
    std::function<void(CloseReason reason, std::string_view traceId, bool isResponseDue)> closed =
        [](CloseReason, std::string_view, bool) {};
  };

  /// Starts listening.
  /// @param loop the event loop; must outlive the frontend
  /// @param address listening address
  /// @param options limits and timeouts
  /// @param deployment provides the names of the request classes; must outlive the frontend
  /// @param router executes the requests; must outlive the frontend
  /// @param events callbacks
  /// @throws Poco::Net::NetException if it cannot listen on the address
  HttpFrontend(net::Loop& loop, const Poco::Net::SocketAddress& address, const Options& options,
               const deployment_config::DeploymentConfig& deployment, routing::Router& router, Events events);
  /// Closes all connections immediately.
  ~HttpFrontend();
  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  /// Closes idle connections now and other connections after their outstanding responses.
  void drain();
  /// Stops accepting connections and closes those without an open request. Requests that are read from now on
  /// get a 503, since the process exits once the open requests have their responses.
  void close();

  /// The listening address.
  Poco::Net::SocketAddress address() const { return listener_.address(); }
  /// Number of connections, including lingering ones.
  std::size_t connections() const { return connections_.size(); }
  /// Whether the listener is open.
  bool accepting() const { return listener_.open(); }
  /// Number of requests that the router has not completed yet.
  std::size_t openRequests() const { return openTraceIds_.size(); }
  /// Buffered bytes of request bodies and of pipelined input.
  std::size_t bufferedBytes() const { return bodyBudget_.used() + pipelinedBudget_.used(); }
  /// Counts since the start.
  const Counters& counters() const { return counters_; }

 private:
  class Connection;
  void accept(const Poco::Net::StreamSocket& socket);
  void ensureCapacity();
  bool evictConnection();
  void drainConnections(bool includeUnused);
  void reportClose(CloseReason reason, std::string_view traceId, bool isResponseDue);
  void onLingeringStarted(Connection& connection);
  void limitLingering();
  void onClosed(Connection& connection);

  net::Loop& loop_;
  Options options_;
  ConnectionPolicy policy_;
  const deployment_config::DeploymentConfig& deployment_;
  routing::Router& router_;
  Events events_;
  ByteBudget bodyBudget_;
  ByteBudget headBudget_;  // apart, so that heads that do not end leave room for the bodies of others
  ByteBudget pipelinedBudget_;
  ByteBudget unsentBudget_;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
  std::deque<Connection*> lingering_;  // oldest first
  std::unordered_set<std::string> openTraceIds_;
  bool isDraining_ = false;
  bool rejectsRequests_ = false;
  Counters counters_;
  timing::Alarm capacityAlarm_;
  net::Listener listener_;
};

}  // namespace garnethook::platform
