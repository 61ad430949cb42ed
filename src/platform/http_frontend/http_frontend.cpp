#include "platform/http_frontend/http_frontend.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "platform/http_frontend/http_connection.h"

namespace garnethook::platform {

HttpFrontend::HttpFrontend(net::Loop& loop, const Poco::Net::SocketAddress& address, const Options& options,
                           const deployment_config::DeploymentConfig& deployment, routing::Router& router,
                           Events events)
    : loop_(loop),
      options_(options),
      policy_(options.connections),
      deployment_(deployment),
      router_(router),
      events_(std::move(events)),
      roomAlarm_(loop),
      listener_(loop, address, [this](Poco::Net::StreamSocket socket) { accept(std::move(socket)); }) {}

HttpFrontend::~HttpFrontend() {
  *alive_ = false;
  connections_.clear();
}

void HttpFrontend::noteClose(CloseReason reason, std::string_view trace, bool owed) {
  ++counters_.closed[static_cast<std::size_t>(reason)];
  if (owed) ++counters_.closedUnanswered;
  events_.closed(reason, trace, owed);
}

// Those whose end this side has told wait for their peers to close, as long as there are descriptors for
// them.
void HttpFrontend::ending(Connection& connection) {
  ending_.push_back(&connection);
  boundLingering();
}

void HttpFrontend::boundLingering() {
  const std::size_t most = options_.connections.connections + options_.lingering;
  if (connections_.size() > most && !ending_.empty()) ending_.front()->gone(CloseReason::stopped);
}

void HttpFrontend::accept(Poco::Net::StreamSocket socket) {
  ++counters_.accepted;
  try {
    const Micros waited = loop_.now() - listener_.backlogSince().value_or(loop_.now());
    auto own = std::make_unique<Connection>(*this, std::move(socket), waited);
    Connection* key = own.get();
    connections_.emplace(key, std::move(own));
    if (draining_) key->drain(false);
  } catch (const Poco::Exception&) {  // the client is gone already
  }
  boundLingering();
  makeRoom();
}

// Room for the next connection is made ahead. Where none may go yet, whoever comes waits in the system's
// queue.
void HttpFrontend::makeRoom() {
  if (!policy_.full(connections_.size() - ending_.size()) || evictOne()) return listener_.resume();
  ++counters_.overfull;
  listener_.pause();
  roomAlarm_.start(policy_.options().retryPause, [this] { makeRoom(); });
}

// The connection that has stood longest without a request goes, silent ones before those that have been used;
// never one of which something waits unread.
bool HttpFrontend::evictOne() {
  const Micros now = loop_.now();
  std::vector<std::pair<std::pair<bool, Micros>, Connection*>> order;
  for (const auto& [c, own] : connections_)
    if (policy_.mayEvict(c->standing(), now - c->since()))
      order.push_back({{c->standing() != ConnectionPolicy::Standing::fresh, c->since()}, c});
  constexpr std::ptrdiff_t kLooks = 8;  // each asks the system
  const auto looks = order.begin() + std::min(std::ssize(order), kLooks);
  std::partial_sort(order.begin(), looks, order.end());
  for (auto at = order.begin(); at != looks; ++at) {
    if (!at->second->quiet()) continue;
    ++counters_.evicted;
    at->second->end(net::Stream::Inbound::leave, CloseReason::evicted);
    return true;
  }
  return false;
}

// It may be the one that calls: it ends in the loop's next turn.
void HttpFrontend::closed(Connection& connection) {
  const auto at = connections_.find(&connection);
  if (at == connections_.end()) return;
  std::erase(ending_, &connection);
  loop_.post([own = std::shared_ptr<Connection>(std::move(at->second)), alive = alive_] {});
  connections_.erase(at);
}

void HttpFrontend::endIdle(bool silent) {
  std::vector<Connection*> all;
  for (const auto& [c, own] : connections_) all.push_back(c);
  for (Connection* c : all) c->drain(silent);
}

void HttpFrontend::drain() {
  draining_ = true;
  endIdle(false);
}

void HttpFrontend::close() {
  draining_ = true;
  refusing_ = true;
  listener_.close();
  endIdle(true);
}

}  // namespace garnethook::platform
