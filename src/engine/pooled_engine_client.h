/// @file
/// Protocol-independent base class of engine clients: a connection pool and the receiver of events.
#pragma once

#include <functional>
#include <string_view>
#include <utility>

#include "engine/connection_pool.h"
#include "routing/engine_client.h"

namespace garnethook::engine {

/// An engine client that uses pooled connections. Must be used on the loop's thread.
class PooledEngineClient : public routing::EngineClient {
 public:
  /// Sets the receiver of events; must be called before any other method.
  void setEvents(routing::EngineClientEvents& events) { events_ = &events; }
  /// Replaces the endpoint list. Exchanges with endpoints that left the list continue; their idle connections
  /// are closed.
  void update(const membership::EndpointMap& endpoints) { pool_.update(endpoints); }

  /// Sets the receiver of closed connections, which must not call the client.
  void onConnectionClosed(std::function<void(const ClosedConnection&)> callback) {
    pool_.onClosed(std::move(callback));
  }
  /// Cancels an attempt; nothing more is reported for it.
  void cancel(routing::AttemptId attempt) override { pool_.cancel(attempt); }
  /// Stops reading the response of an attempt, or goes on.
  void pauseReading(routing::AttemptId attempt, bool paused) override { pool_.pauseReading(attempt, paused); }
  /// Returns how far delivery of an attempt's request has progressed.
  routing::DeliveryState deliveryState(routing::AttemptId attempt) const override {
    return pool_.deliveryState(attempt);
  }

  /// When the endpoint's latest response began; 0: no response yet.
  std::optional<Micros> lastReceivedAt(EndpointId endpoint) const override {
    return pool_.lastReceivedAt(endpoint);
  }

  /// The connection pool.
  const ConnectionPool& pool() const { return pool_; }

 protected:
  /// The connection pool.
  const ConnectionPool& connections() const { return pool_; }
  /// @param loop event loop that runs the client; must outlive the client
  /// @param options limits and timeouts
  PooledEngineClient(net::Loop& loop, const Options& options) : pool_(loop, options) {}

  /// Returns the endpoint of an attempt. If the attempt cannot be sent because the endpoint has no usable
  /// address or all connections are in use, returns null and reports the failure in the next iteration of the
  /// loop.
  /// @param attempt the attempt, which specifies the endpoint
  /// @param poolFullText text of the failure if all connections are in use
  const membership::EndpointSpec* findForAttempt(const routing::AttemptSpec& attempt,
                                                 std::string_view poolFullText);
  /// The connection pool, for starting exchanges.
  ConnectionPool& connections() { return pool_; }
  /// The receiver of events.
  routing::EngineClientEvents& events() { return *events_; }

 private:
  ConnectionPool pool_;
  routing::EngineClientEvents* events_ = nullptr;
};

}  // namespace garnethook::engine
