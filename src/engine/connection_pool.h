/// @file
/// Bounded pool of connections to endpoints, with one exchange at a time on each connection. All engine
/// protocols use this pool.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "engine/connection.h"
#include "engine/connection_close_reason.h"
#include "engine/options.h"
#include "engine/responsiveness.h"
#include "engine/reuse_policy.h"
#include "membership/endpoint_spec.h"
#include "routing/engine_client.h"

namespace garnethook::engine {

/// Returns how an attempt may reuse idle connections.
inline ConnectionReuse reuseFor(const routing::AttemptSpec& attempt) {
  if (attempt.requiresNewConnection) return ConnectionReuse::never;
  return attempt.nonRepeatable ? ConnectionReuse::onlyIfProven : ConnectionReuse::allowed;
}

/// The connections to all endpoints. Must be used on the loop's thread.
class ConnectionPool final : private ConnectionOwner {
 public:
  /// @param loop event loop that runs the connections; must outlive the pool
  /// @param options limits and timeouts
  ConnectionPool(net::Loop& loop, const Options& options) : loop_(loop), options_(options) {}
  ~ConnectionPool() override { *alive_ = false; }
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// Replaces the endpoint list. Exchanges with endpoints that left the list continue; their idle connections
  /// are closed.
  void update(const membership::EndpointMap& endpoints);
  /// Applies a delta; endpoints that it does not contain are unchanged.
  void apply(const membership::EndpointMap& changes);
  /// Returns the endpoint, or null if it is not known or its address is unusable. An endpoint that has left
  /// the list remains known for Options::unlistedRetention, as it may hold KV reservations to be released.
  const membership::EndpointSpec* find(EndpointId endpoint) const;
  /// Returns whether the endpoint is listed as running and may receive new requests.
  bool isRunning(EndpointId endpoint) const;
  /// Returns all listed endpoints with a usable address, ordered by id; valid until the list changes.
  const std::vector<EndpointId>& listedEndpoints() const;
  /// Returns the latest responsiveness observed for the endpoint.
  Responsiveness responsiveness(EndpointId endpoint) const;
  /// When the endpoint's latest response began, in microseconds on the monotonic clock; 0: no response yet.
  Micros lastReceivedAt(EndpointId endpoint) const;
  /// Returns whether the connection limits prevent another attempt at the endpoint.
  bool isAttemptLimitReached(EndpointId endpoint) const;
  /// Returns whether the limit on connections for releases, probes and other control exchanges is reached.
  bool isControlLimitReached() const;

  /// Starts a control exchange, that is, one that is not an attempt.
  /// @param endpoint must be found by find()
  /// @param exchange handles the response
  /// @param request text of the request
  /// @param timeout see Connection::start
  /// @param reuse whether an idle connection may be used
  void start(EndpointId endpoint, std::unique_ptr<Exchange> exchange, std::string request, Micros timeout,
             ConnectionReuse reuse = ConnectionReuse::allowed);
  /// Starts the exchange of an attempt on an idle or a new connection.
  /// @param attempt identifies the exchange for cancel() and deliveryState()
  /// @param endpoint must be found by find()
  /// @param exchange handles the response
  /// @param request creates the request's text once the connection is established
  /// @param reuse whether an idle connection may be used
  void start(routing::AttemptId attempt, EndpointId endpoint, std::unique_ptr<Exchange> exchange,
             RequestWriter request, ConnectionReuse reuse = ConnectionReuse::allowed);
  /// Cancels the attempt's exchange and closes its connection; the exchange reports nothing more.
  void cancel(routing::AttemptId attempt);
  /// Stops reading the attempt's response, or goes on; does nothing if the attempt is not under way.
  void pauseReading(routing::AttemptId attempt, bool paused);
  /// How far the attempt's request has got; undelivered where the attempt is not under way.
  routing::DeliveryState deliveryState(routing::AttemptId attempt) const;
  /// Runs the task in the next iteration of the loop, unless the pool has been destroyed by then.
  void post(std::function<void()> task);

  /// Sets the receiver of closed connections, which must not call the pool.
  void onClosed(std::function<void(const ClosedConnection&)> callback) {
    closedCallback_ = std::move(callback);
  }

  /// The limits and timeouts in use.
  const Options& options() const { return options_; }
  /// Connections that carry an exchange.
  std::size_t busyConnections() const { return busy_.size(); }
  /// Connections that are idle.
  std::size_t idleConnections() const { return idleCount_; }
  /// Attempts in progress.
  std::size_t attempts() const { return attempts_.size(); }
  /// Total number of connections opened.
  std::uint64_t opened() const { return opened_; }

 private:
  struct Endpoint {
    membership::EndpointSpec spec;
    Poco::Net::SocketAddress address;
    bool isResolved = false;
    bool isListed = false;
    Micros unlistedAt = 0;                          // when it left the list
    std::vector<std::unique_ptr<Connection>> idle;  // most recently used last
    std::size_t busyCount = 0;
    Responsiveness responsiveness = Responsiveness::unknown;
    Micros lastReceivedAt = 0;
  };
  struct AttemptHash {
    std::size_t operator()(const routing::AttemptId& id) const {
      return static_cast<std::size_t>(id.request.value * 31 + static_cast<std::uint64_t>(id.number));
    }
  };

  void onFinished(Connection& connection, std::optional<ConnectionCloseReason> closed) override;
  void onResponsiveness(Connection& connection, bool isResponsive) override;
  void onReuseOutcome(Connection& connection, Micros idleTime, bool wasDead) override;
  Connection& acquire(Endpoint& endpoint, ConnectionReuse reuse);
  std::unique_ptr<Connection> takeIdle(Endpoint& endpoint, ConnectionReuse reuse);
  std::unique_ptr<Connection> removeConnection(Connection& connection, Endpoint* endpoint);
  void evictIdleAtLimit();
  void addIdle(Endpoint& endpoint, std::unique_ptr<Connection> connection);
  void discard(std::unique_ptr<Connection> connection, ConnectionCloseReason reason);
  void closeIdle(Endpoint& endpoint);
  void addOrUpdate(const membership::EndpointSpec& spec);
  void markUnlisted(Endpoint& endpoint);
  void removeUnlisted();
  Endpoint* findEndpoint(EndpointId id);

  net::Loop& loop_;
  Options options_;
  std::unordered_map<std::uint64_t, Endpoint> endpoints_;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> busy_;
  std::unordered_map<routing::AttemptId, Connection*, AttemptHash> attempts_;
  ReusePolicy reusePolicy_;
  std::function<void(const ClosedConnection&)> closedCallback_ = [](const ClosedConnection&) {};
  std::unordered_set<Endpoint*> endpointsWithIdle_;      // may contain endpoints without idle connections
  std::unordered_set<std::uint64_t> unlistedEndpoints_;  // no longer listed; may have exchanges in progress
  mutable std::optional<std::vector<EndpointId>> listedEndpoints_;
  std::size_t idleCount_ = 0;
  std::uint64_t opened_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace garnethook::engine
