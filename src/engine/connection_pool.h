/// @file
/// Pooled, bounded connections to endpoints, with one exchange at a time on each. Every protocol towards
/// engines uses this pool.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "engine/connection.h"
#include "engine/options.h"
#include "engine/responsiveness.h"
#include "engine/reuse_policy.h"
#include "membership/endpoint_spec.h"
#include "routing/engine_client.h"

namespace garnethook::engine {

/// How an attempt may reuse connections.
inline ConnectionReuse reuseFor(const routing::AttemptSpec& attempt) {
  if (attempt.requiresNewConnection) return ConnectionReuse::never;
  return attempt.nonRepeatable ? ConnectionReuse::onlyIfProven : ConnectionReuse::allowed;
}

/// The connections to all endpoints. Lives on the loop's thread.
class ConnectionPool final : private ConnectionOwner {
 public:
  /// @param loop runs everything; must outlive the pool
  /// @param options limits and timeouts
  ConnectionPool(net::Loop& loop, const Options& options) : loop_(loop), options_(options) {}
  ~ConnectionPool() override { *alive_ = false; }
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// Replaces the list of endpoints. Exchanges with one that left go on; its idle connections are closed.
  void update(const membership::EndpointMap& endpoints);
  /// Applies changes; endpoints that are not among them stay as they are.
  void apply(const membership::EndpointMap& changes);
  /// The endpoint; nothing where it is not known, or its address can't be used. One that has left the list is
  /// known for some seconds more, as it may hold what has to be released.
  const membership::EndpointSpec* find(EndpointId endpoint) const;
  /// Whether the endpoint is listed as running, so that it may get new requests.
  bool isRunning(EndpointId endpoint) const;
  /// Every endpoint that is listed and has an address, in order of ids; valid until the list changes.
  const std::vector<EndpointId>& listedEndpoints() const;
  /// The latest news of the endpoint.
  Responsiveness responsiveness(EndpointId endpoint) const;
  /// When the endpoint's latest response began, in microseconds on the monotonic clock; 0: there was none.
  Micros lastReceivedAt(EndpointId endpoint) const;
  /// Whether no connection may be used for another attempt at the endpoint.
  bool isFull(EndpointId endpoint) const;
  /// Whether as many releases, probes and the like are under way as may be.
  bool isControlFull() const;

  /// Starts an exchange that is no attempt.
  /// @param endpoint must be found by find()
  /// @param exchange handles the response
  /// @param request the request's text
  /// @param timeout as for Connection::start
  /// @param reuse whether an idle connection will do
  void start(EndpointId endpoint, std::unique_ptr<Exchange> exchange, std::string request, Micros timeout,
             ConnectionReuse reuse = ConnectionReuse::allowed);
  /// Starts the exchange of an attempt, on an idle connection or a new one.
  /// @param attempt names the exchange for cancel() and deliveryState()
  /// @param endpoint must be found by find()
  /// @param exchange handles the response
  /// @param request makes the request's text once the connection is established
  /// @param reuse whether an idle connection will do
  void start(routing::AttemptId attempt, EndpointId endpoint, std::unique_ptr<Exchange> exchange,
             RequestWriter request, ConnectionReuse reuse = ConnectionReuse::allowed);
  /// Ends the attempt's exchange and its connection; nothing of it is reported any more.
  void cancel(routing::AttemptId attempt);
  /// How far the attempt's request has got; undelivered where the attempt is not under way.
  routing::DeliveryState deliveryState(routing::AttemptId attempt) const;
  /// Runs the task in the loop's next turn, unless the pool has ended by then.
  void post(std::function<void()> task);

  /// The limits and timeouts in use.
  const Options& options() const { return options_; }
  /// Connections that carry an exchange.
  std::size_t busyConnections() const { return busy_.size(); }
  /// Connections that are idle.
  std::size_t idleConnections() const { return idleCount_; }
  /// Attempts that are under way.
  std::size_t attempts() const { return attempts_.size(); }
  /// Connections opened since the start.
  std::uint64_t opened() const { return opened_; }

 private:
  struct Endpoint {
    membership::EndpointSpec spec;
    Poco::Net::SocketAddress address;
    bool isResolved = false;
    bool isListed = false;
    Micros unlistedAt = 0;                          // when it left the list
    std::vector<std::unique_ptr<Connection>> idle;  // the latest last
    std::size_t busyCount = 0;
    Responsiveness responsiveness = Responsiveness::unknown;
    Micros lastReceivedAt = 0;
  };
  struct AttemptHash {
    std::size_t operator()(const routing::AttemptId& id) const {
      return static_cast<std::size_t>(id.request.value * 31 + static_cast<std::uint64_t>(id.number));
    }
  };

  void onFinished(Connection& connection, bool isReusable) override;
  void onResponsiveness(Connection& connection, bool isResponsive) override;
  void onReuseOutcome(Connection& connection, Micros idleTime, bool wasDead) override;
  Connection& acquire(Endpoint& endpoint, ConnectionReuse reuse);
  std::unique_ptr<Connection> takeIdle(Endpoint& endpoint, ConnectionReuse reuse);
  std::unique_ptr<Connection> release(Connection& connection, Endpoint* endpoint);
  void makeRoom();
  void park(Endpoint& endpoint, std::unique_ptr<Connection> connection);
  void discard(std::unique_ptr<Connection> connection);
  void closeIdle(Endpoint& endpoint);
  void list(const membership::EndpointSpec& spec);
  void unlist(Endpoint& endpoint);
  void forgetUnlisted();
  Endpoint* findEndpoint(EndpointId id);

  net::Loop& loop_;
  Options options_;
  std::unordered_map<std::uint64_t, Endpoint> endpoints_;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> busy_;
  std::unordered_map<routing::AttemptId, Connection*, AttemptHash> attempts_;
  ReusePolicy reusePolicy_;
  std::unordered_set<Endpoint*> withIdle_;      // have idle connections; some may have lost theirs since
  std::unordered_set<std::uint64_t> unlisted_;  // not listed any more, maybe with exchanges under way
  mutable std::optional<std::vector<EndpointId>> listedEndpoints_;
  std::size_t idleCount_ = 0;
  std::uint64_t opened_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace garnethook::engine
