// Engines by the platform's protocol, on the engine package's pooled connections.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "deployment_config/deployment_config.h"
#include "engine/pool.h"
#include "platform/engine/release_route.h"
#include "routing/engine_client.h"
#include "timing/owned_timers.h"

namespace garnethook::platform {

class PlatformEngineClient final : public routing::EngineClient {
 public:
  // `releaseWithin`: what rule 5 gives for a release; 0: no limit told. `ownZone`: as the list names it.
  // `mayProbe`: the settings allow probes.
  PlatformEngineClient(net::Loop& loop, const engine::Options& options,
                       deployment_config::ReportMeanings meanings, Micros kvReleaseTimeout,
                       std::string ownZone, bool canProbe = false)
      : loop_(loop),
        pool_(loop, options),
        meanings_(std::move(meanings)),
        hedge_(releaseHedge(kvReleaseTimeout > 0 ? kvReleaseTimeout : options.controlTimeout)),
        ownZone_(std::move(ownZone)),
        mayProbe_(canProbe),
        timers_(loop) {}
  // Before the first call of any other.
  void setEvents(routing::EngineClientEvents& events) { events_ = &events; }

  void update(const membership::EndpointMap& engines) { pool_.update(engines); }
  void apply(const membership::EndpointMap& changes) { pool_.apply(changes); }

  void begin(const routing::AttemptSpec& order) override;
  void cancel(routing::AttemptId attempt) override { pool_.abandon(attempt); }
  routing::DeliveryState deliveryState(routing::AttemptId attempt) const override {
    return pool_.deliveryState(attempt);
  }
  void release(EndpointId endpoint, RequestId request, const std::string& traceId) override;
  void probe(EndpointId endpoint) override;
  bool canCheckLiveness() const override { return mayProbe_; }
  void checkLiveness(routing::AttemptId attempt, EndpointId endpoint) override;

  const engine::Pool& pool() const { return pool_; }

 private:
  struct Release {
    std::vector<EndpointId> route;
    std::size_t next = 0;
    int out = 0;  // engines that were asked and have not answered
    bool over = false;
    EndpointId holder;
    RequestId request;
    std::string traceId;
  };
  void askNext(const std::shared_ptr<Release>& release);
  void end(const std::shared_ptr<Release>& release, bool ok);

  net::Loop& loop_;
  engine::Pool pool_;
  deployment_config::ReportMeanings meanings_;
  Micros hedge_;
  std::string ownZone_;
  bool mayProbe_;
  timing::OwnedTimers timers_;
  routing::EngineClientEvents* events_ = nullptr;
};

}  // namespace garnethook::platform
