/// Carries discovery's list of endpoints to all who route by it: the connections to engines, the router core
/// and the log.
#pragma once

#include "membership/start_times.h"
#include "net/loop.h"
#include "platform/discovery/endpoint_list.h"
#include "platform/discovery/watch.h"
#include "platform/engine/platform_engine_client.h"
#include "platform/process/router_logger.h"
#include "routing/router.h"

namespace garnethook::platform {

/// Owns the list of endpoints and publishes each change of it. Runs on the loop's thread.
class EndpointPublisher final : public Watch::Listener {
 public:
  /// `names`: kinds and zones of the settings. All references must outlive the publisher.
  EndpointPublisher(const net::Loop& loop, membership::KindAndZoneNames names, PlatformEngineClient& engines,
                    routing::Router& router, RouterLogger& logger);

  /// Begins with a stored copy of an earlier list and publishes it.
  void restore(const membership::EndpointMap& endpoints, std::int64_t version);

  /// The present list.
  const EndpointList& list() const { return list_; }

  /// Whether discovery has sent a list.
  bool hasReceivedList() const { return hasReceivedList_; }

  /// Applies a list of discovery.
  void onListUpdate(const EndpointListUpdate& update) override;
  /// Logs the failure; the list stays as it is.
  void onWatchError(const std::string& address, const WatchError& error) override;
  /// Revision of the present list.
  std::int64_t currentListVersion() const override { return list_.version(); }
  /// Dates the starts of endpoints that appear later.
  void onWatchAlive() override;

 private:
  void publish(const EndpointListChange& change);

  const net::Loop& loop_;
  membership::KindAndZoneNames names_;
  PlatformEngineClient& engines_;
  routing::Router& router_;
  RouterLogger& logger_;
  EndpointList list_;
  membership::StartTimes startTimes_;
  bool hasReceivedList_ = false;
};

}  // namespace garnethook::platform
