/// @file
/// Engine client for the platform's HTTP protocol.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "deployment_config/deployment_config.h"
#include "engine/pooled_engine_client.h"
#include "platform/engine/release_dispatcher.h"
#include "routing/engine_client.h"
#include "timing/owned_timers.h"

namespace garnethook::platform {

/// Sends attempts, releases and probes to engines. A release may be sent to several
/// endpoints.
class PlatformEngineClient final : public engine::PooledEngineClient {
 public:
  /// @param loop event loop that runs all I/O and callbacks; must outlive the client
  /// @param options limits and timeouts
  /// @param meanings interpretation of the values in load reports
  /// @param kvReleaseTimeout time limit for a release, in microseconds; 0: the timeout of control requests
  /// applies
  /// @param ownZone name of this router's zone in the endpoint list
  PlatformEngineClient(net::Loop& loop, const engine::Options& options,
                       deployment_config::ReportMeanings meanings, Micros kvReleaseTimeout,
                       std::string ownZone);

  /// Applies changes to the endpoint list; endpoints without a change keep their state.
  void apply(const membership::EndpointMap& changes) { connections().apply(changes); }

  /// Sends an attempt; its result is reported asynchronously.
  void begin(const routing::AttemptSpec& attempt) override;
  /// Releases the KV state of a request; the result is reported asynchronously.
  void release(const routing::ReleaseCall& call, const std::string& traceId) override;
  /// Requests the health and load of an endpoint; the result is reported asynchronously.
  void probe(EndpointId endpoint) override;
  /// Number of releases that wait for a connection.
  std::size_t waitingReleases() const { return releases_.waitingCallCount(); }

 private:
  net::Loop& loop_;
  deployment_config::ReportMeanings meanings_;
  timing::OwnedTimers timers_;
  ReleaseDispatcher releases_;
};

}  // namespace garnethook::platform
