#include "platform/process/endpoint_publisher.h"

#include <utility>

#include "timing/wall_clock.h"

namespace garnethook::platform {

EndpointPublisher::EndpointPublisher(const net::Loop& loop, membership::KindAndZoneNames names,
                                     PlatformEngineClient& engineClient, routing::Router& router,
                                     RouterLogger& logger)
    : loop_(loop), names_(std::move(names)), engineClient_(engineClient), router_(router), logger_(logger) {}

void EndpointPublisher::restore(const membership::EndpointMap& endpoints, std::int64_t version) {
  list_.restore(endpoints, version);
  logger_.logStoredList(list_);
}

void EndpointPublisher::publishUnconfirmed() {
  if (!hasPublished_) publishFirst(EndpointUpdate::Kind::staleCopy);
}

void EndpointPublisher::onListUpdate(const EndpointListUpdate& update) {
  logger_.logEntryErrors(update.errors);
  const auto change = list_.apply(update);
  if (!hasPublished_)
    publishFirst(EndpointUpdate::Kind::snapshot);
  else if (change)
    publish(*change);
}

void EndpointPublisher::onWatchError(const std::string& address, const WatchError& error) {
  logger_.logWatchError(address, error);
}

void EndpointPublisher::onWatchAlive() {
  if (!hasPublished_) publishFirst(EndpointUpdate::Kind::snapshot);
  startTimes_.recordContact(loop_.now());
}

// Consumers have no list yet, so they get the whole one, even if discovery has sent a delta.
void EndpointPublisher::publishFirst(EndpointUpdate::Kind kind) {
  hasPublished_ = true;
  publish({kind, list_.endpoints()});
}

// Updates the engine client before the router, since the router may send requests immediately.
void EndpointPublisher::publish(const EndpointListChange& change) {
  logger_.logEndpointList(change, list_);
  if (change.kind == EndpointUpdate::Kind::delta)
    engineClient_.apply(change.entries);
  else
    engineClient_.update(list_.endpoints());
  const auto source = change.kind == EndpointUpdate::Kind::staleCopy
                          ? membership::StartTimes::Source::persistedCopy
                          : membership::StartTimes::Source::discovery;
  const auto startTimes = startTimes_.toMonotonic(change.entries, source, loop_.now(), timing::unixNow());
  startTimes_.limitUnlisted(list_.endpoints());
  router_.onEndpointUpdate(membership::toEndpointUpdate(change.entries, startTimes, names_, change.kind));
}

}  // namespace garnethook::platform
