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
///
/// A stored copy may be outdated: endpoints may have started to drain, or restarted, while no process of this
/// router ran. It is therefore not published until discovery confirms it, by a list or by a keep-alive of a
/// watch from the copy's revision.
class EndpointPublisher final : public Watch::Listener {
 public:
  /// `names`: kinds and zones from the settings. All references must outlive the publisher.
  EndpointPublisher(const net::Loop& loop, membership::KindAndZoneNames names,
                    PlatformEngineClient& engineClient, routing::Router& router, RouterLogger& logger);

  /// Restores a stored copy of an earlier list, which is published once discovery confirms it.
  void restore(const membership::EndpointMap& endpoints, std::int64_t version);
  /// Publishes the stored copy as stale, unless a list has been published.
  void publishUnconfirmed();

  /// The current list.
  const EndpointList& list() const { return list_; }

  /// Whether a list has been published, so that requests can be routed.
  bool hasPublished() const { return hasPublished_; }

  /// Applies a snapshot or delta from discovery and publishes the resulting change.
  void onListUpdate(const EndpointListUpdate& update) override;
  /// Logs the error; the list is unchanged.
  void onWatchError(const std::string& address, const WatchError& error) override;
  /// Revision of the current list.
  std::int64_t currentListVersion() const override { return list_.version(); }
  /// The known list is current. Publishes a stored copy that was not confirmed before, and records the
  /// contact, which bounds the start times of endpoints that are reported later.
  void onWatchAlive() override;

 private:
  void publish(const EndpointListChange& change);
  void publishFirst(EndpointUpdate::Kind kind);

  const net::Loop& loop_;
  membership::KindAndZoneNames names_;
  PlatformEngineClient& engineClient_;
  routing::Router& router_;
  RouterLogger& logger_;
  EndpointList list_;
  membership::StartTimes startTimes_;
  bool hasPublished_ = false;
};

}  // namespace garnethook::platform
