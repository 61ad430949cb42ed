/// Publishes discovery's list of endpoints to its consumers: the engine client, the router core and the log.
#pragma once

#include "membership/start_times.h"
#include "net/loop.h"
#include "platform/discovery/endpoint_list.h"
#include "platform/discovery/watch.h"
#include "platform/engine/platform_engine_client.h"
#include "platform/process/router_logger.h"
#include "routing/router.h"

namespace garnethook::platform {

/// Owns the list of endpoints and publishes every change to it. Runs on the loop's thread.
class EndpointPublisher final : public Watch::Listener {
 public:
  /// `names`: kinds and zones from the settings. All references must outlive the publisher.
  EndpointPublisher(const net::Loop& loop, membership::KindAndZoneNames names,
                    PlatformEngineClient& engineClient, routing::Router& router, RouterLogger& logger);

  /// Restores a stored copy of an earlier list and publishes it as stale.
  void restore(const membership::EndpointMap& endpoints, std::int64_t version);

  /// The current list.
  const EndpointList& list() const { return list_; }

  /// Whether discovery has sent a list since the start.
  bool hasReceivedList() const { return hasReceivedList_; }

  /// Applies a snapshot or delta from discovery and publishes the resulting change.
  void onListUpdate(const EndpointListUpdate& update) override;
  /// Logs the error; the list is unchanged.
  void onWatchError(const std::string& address, const WatchError& error) override;
  /// Revision of the current list.
  std::int64_t currentListVersion() const override { return list_.version(); }
  /// Records contact with discovery, which bounds the start times of endpoints that are reported later.
  void onWatchAlive() override;

 private:
  void publish(const EndpointListChange& change);

  const net::Loop& loop_;
  membership::KindAndZoneNames names_;
  PlatformEngineClient& engineClient_;
  routing::Router& router_;
  RouterLogger& logger_;
  EndpointList list_;
  membership::StartTimes startTimes_;
  bool hasReceivedList_ = false;
};

}  // namespace garnethook::platform
