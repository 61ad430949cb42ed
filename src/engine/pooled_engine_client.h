/// @file
/// What engine clients share, whatever protocol they speak: a pool of connections and where its events go.
#pragma once

#include <string_view>

#include "engine/connection_pool.h"
#include "routing/engine_client.h"

namespace garnethook::engine {

/// An engine client on pooled connections. Lives on the loop's thread.
class PooledEngineClient : public routing::EngineClient {
 public:
  /// Who is notified; to be called before anything else.
  void setEvents(routing::EngineClientEvents& events) { events_ = &events; }
  /// Replaces the list of endpoints. Exchanges with one that left go on; its idle connections are closed.
  void update(const membership::EndpointMap& endpoints) { pool_.update(endpoints); }

  /// Ends an attempt; nothing of it is reported any more.
  void cancel(routing::AttemptId attempt) override { pool_.cancel(attempt); }
  /// How far the request of an attempt has got.
  routing::DeliveryState deliveryState(routing::AttemptId attempt) const override {
    return pool_.deliveryState(attempt);
  }

  /// When anything came from the endpoint last.
  std::optional<Micros> lastReceivedAt(EndpointId endpoint) const override {
    return pool_.lastReceivedAt(endpoint);
  }

  /// The connections.
  const ConnectionPool& pool() const { return pool_; }

 protected:
  /// The connections.
  const ConnectionPool& connections() const { return pool_; }
  /// @param loop runs everything; must outlive the client
  /// @param options limits and timeouts
  PooledEngineClient(net::Loop& loop, const Options& options) : pool_(loop, options) {}

  /// The endpoint of an attempt. Where the attempt can't be sent, because the endpoint has no address or all
  /// connections are in use, its failure is reported in the loop's next turn and nothing is returned.
  /// @param attempt names endpoint and attempt
  /// @param fullText text of the failure where all connections are in use
  const membership::EndpointSpec* findForAttempt(const routing::AttemptSpec& attempt,
                                                 std::string_view fullText);
  /// The connections, to start exchanges on.
  ConnectionPool& connections() { return pool_; }
  /// Who is notified.
  routing::EngineClientEvents& events() { return *events_; }

 private:
  ConnectionPool pool_;
  routing::EngineClientEvents* events_ = nullptr;
};

}  // namespace garnethook::engine
