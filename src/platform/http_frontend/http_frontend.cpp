#include "platform/http_frontend/http_frontend.h"

#include <algorithm>
#include <tuple>
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
      bodyBudget_(options.maxBufferedBytes),
      pipelinedBudget_(options.maxBufferedBytes),
      capacityAlarm_(loop),
      listener_(loop, address, [this](const Poco::Net::StreamSocket& socket) { accept(socket); }) {}

// The connections use the members declared after them.
HttpFrontend::~HttpFrontend() { connections_.clear(); }

void HttpFrontend::reportClose(CloseReason reason, std::string_view traceId, bool owesResponse) {
  ++counters_.closed[static_cast<std::size_t>(reason)];
  if (owesResponse) ++counters_.closedUnanswered;
  events_.closed(reason, traceId, owesResponse);
}

// Connections that are shut down wait for their clients to close, as long as there are descriptors for them.
void HttpFrontend::onLingering(Connection& connection) {
  lingering_.push_back(&connection);
  limitLingering();
}

void HttpFrontend::limitLingering() {
  const std::size_t limit = options_.connections.maxConnections + options_.maxLingeringConnections;
  if (connections_.size() > limit && !lingering_.empty()) lingering_.front()->close(CloseReason::stopped);
}

void HttpFrontend::accept(const Poco::Net::StreamSocket& socket) {
  ++counters_.accepted;
  try {
    const Micros acceptDelay = loop_.now() - listener_.backlogSince().value_or(loop_.now());
    auto owned = std::make_unique<Connection>(*this, socket, acceptDelay);
    Connection* const connection = owned.get();
    connections_.emplace(connection, std::move(owned));
    if (isDraining_) connection->drain(false);
  } catch (const Poco::Exception&) {  // the client has gone already
  }
  limitLingering();
  makeRoom();
}

// Room for the next connection is made in advance. Where no connection may be evicted yet, new ones stay in
// the system's accept queue.
void HttpFrontend::makeRoom() {
  if (!policy_.isFull(connections_.size() - lingering_.size()) || evictOne()) return listener_.resume();
  ++counters_.overfull;
  listener_.pause();
  capacityAlarm_.start(policy_.options().capacityRetryInterval, [this] { makeRoom(); });
}

// Evicts the connection that has been without a request for the longest time, unused ones before idle ones;
// never one that has unread input.
bool HttpFrontend::evictOne() {
  struct Candidate {
    bool hasBeenUsed = false;
    Micros lastResponseAt = 0;
    Connection* connection = nullptr;
    bool operator<(const Candidate& other) const {
      return std::tie(hasBeenUsed, lastResponseAt, connection) <
             std::tie(other.hasBeenUsed, other.lastResponseAt, other.connection);
    }
  };
  const Micros now = loop_.now();
  std::vector<Candidate> candidates;
  for (const auto& [connection, owned] : connections_) {
    const auto activity = connection->activity();
    if (policy_.mayEvict(activity, now - connection->lastResponseAt()))
      candidates.push_back(
          {activity != ConnectionPolicy::Activity::unused, connection->lastResponseAt(), connection});
  }
  constexpr std::ptrdiff_t kMaxChecked = 8;  // each check is a system call
  const auto checkedEnd = candidates.begin() + std::min(std::ssize(candidates), kMaxChecked);
  std::partial_sort(candidates.begin(), checkedEnd, candidates.end());
  for (auto candidate = candidates.begin(); candidate != checkedEnd; ++candidate) {
    if (!candidate->connection->isQuiet()) continue;
    ++counters_.evicted;
    candidate->connection->lingeringClose(net::Stream::Inbound::leaveUnread, CloseReason::evicted);
    return true;
  }
  return false;
}

// The connection may be the caller, so it is destroyed in the loop's next turn.
void HttpFrontend::onClosed(Connection& connection) {
  const auto found = connections_.find(&connection);
  if (found == connections_.end()) return;
  std::erase(lingering_, &connection);
  loop_.post([owned = std::shared_ptr<Connection>(std::move(found->second))] {});
  connections_.erase(found);
}

void HttpFrontend::drainConnections(bool includeUnused) {
  std::vector<Connection*> all;
  all.reserve(connections_.size());
  for (const auto& [connection, owned] : connections_) all.push_back(connection);
  for (Connection* connection : all) connection->drain(includeUnused);
}

void HttpFrontend::drain() {
  isDraining_ = true;
  drainConnections(false);
}

void HttpFrontend::close() {
  isDraining_ = true;
  refusesRequests_ = true;
  listener_.close();
  drainConnections(true);
}

}  // namespace garnethook::platform
