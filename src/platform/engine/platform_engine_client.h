/// @file
/// Engines that speak the platform's protocol.
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

/// Sends attempts, releases and probes to engines. A release is tried at several endpoints.
class PlatformEngineClient final : public engine::PooledEngineClient {
 public:
  /// @param loop runs everything; must outlive the client
  /// @param options limits and timeouts
  /// @param meanings what the values of load reports mean
  /// @param kvReleaseTimeout time for a release, in microseconds; 0: no limit is configured
  /// @param ownZone this router's zone, as the endpoint list names it
  /// @param canProbe whether probes are allowed
  PlatformEngineClient(net::Loop& loop, const engine::Options& options,
                       deployment_config::ReportMeanings meanings, Micros kvReleaseTimeout,
                       std::string ownZone, bool canProbe = false);

  /// Applies changes to the list of endpoints; those that are not among them stay as they are.
  void apply(const membership::EndpointMap& changes) { connections().apply(changes); }

  /// Sends an attempt; its result is reported later.
  void begin(const routing::AttemptSpec& attempt) override;
  /// Frees the KV cache of a request; the result is reported later.
  void release(const routing::ReleaseCall& call, const std::string& traceId) override;
  /// Probes an endpoint; the result is reported later.
  void probe(EndpointId endpoint) override;
  /// Whether checkLiveness() may be called.
  bool canCheckLiveness() const override { return canProbe_; }
  /// Releases that wait for a connection.
  std::size_t waitingReleases() const { return releases_.waitingCalls(); }
  /// Asks the endpoint of an attempt for any sign of life; the result is reported later.
  void checkLiveness(routing::AttemptId attempt, EndpointId endpoint) override;

 private:
  net::Loop& loop_;
  deployment_config::ReportMeanings meanings_;
  bool canProbe_;
  timing::OwnedTimers timers_;
  ReleaseDispatcher releases_;
};

}  // namespace garnethook::platform
