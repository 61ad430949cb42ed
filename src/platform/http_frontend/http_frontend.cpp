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
      headBudget_(options.maxBufferedBytes),
      pipelinedBudget_(options.maxBufferedBytes),
      unsentBudget_(options.maxUnsentBytes),
      capacityAlarm_(loop),
      listener_(loop, address, [this](const Poco::Net::StreamSocket& socket) { accept(socket); }) {}

// Closing a connection uses members that are declared after connections_, so it must happen before their
// destruction.
HttpFrontend::~HttpFrontend() { connections_.clear(); }

void HttpFrontend::reportClose(CloseReason reason, std::string_view traceId, bool isResponseDue) {
  ++counters_.closed[static_cast<std::size_t>(reason)];
  if (isResponseDue) ++counters_.closedWithoutResponse;
  events_.closed(reason, traceId, isResponseDue);
}

// Connections that are shut down wait for their clients to close, as long as file descriptors permit.
void HttpFrontend::onLingeringStarted(Connection& connection) {
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
    auto owned = std::make_unique<Connection>(*this, socket, listener_.earliestConnect());
    Connection* const connection = owned.get();
    connections_.emplace(connection, std::move(owned));
    if (isDraining_) connection->drain(false);
  } catch (const Poco::Exception&) {  // the client has already closed the connection
  }
  limitLingering();
  ensureCapacity();
}

// Frees capacity for the next connection in advance. While no connection may be evicted, new ones stay in the
// kernel's accept queue.
void HttpFrontend::ensureCapacity() {
  if (!policy_.isFull(connections_.size() - lingering_.size()) || evictConnection())
    return listener_.resume();
  ++counters_.overCapacity;
  listener_.pause();
  capacityAlarm_.start(policy_.options().capacityRetryInterval, [this] { ensureCapacity(); });
}

// Evicts the connection that has been inactive for the longest time, unused connections before idle ones.
// Never evicts a connection with unread input.
bool HttpFrontend::evictConnection() {
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
  constexpr std::ptrdiff_t kMaxCheckedCandidates = 8;  // each check is a system call
  const auto checkedEnd = candidates.begin() + std::min(std::ssize(candidates), kMaxCheckedCandidates);
  std::partial_sort(candidates.begin(), checkedEnd, candidates.end());
  for (auto candidate = candidates.begin(); candidate != checkedEnd; ++candidate) {
    if (!candidate->connection->isQuiet()) continue;
    ++counters_.evicted;
    candidate->connection->lingeringClose(net::Stream::Inbound::leaveUnread, CloseReason::evicted);
    return true;
  }
  return false;
}

// The connection may be the caller, so it is destroyed in the next event loop iteration.
void HttpFrontend::onClosed(Connection& connection) {
  const auto entry = connections_.find(&connection);
  if (entry == connections_.end()) return;
  std::erase(lingering_, &connection);
  loop_.post([owned = std::shared_ptr<Connection>(std::move(entry->second))] {});
  connections_.erase(entry);
}

void HttpFrontend::drainConnections(bool includeUnused) {
  std::vector<Connection*> allConnections;
  allConnections.reserve(connections_.size());
  for (const auto& [connection, owned] : connections_) allConnections.push_back(connection);
  for (Connection* connection : allConnections) connection->drain(includeUnused);
}

void HttpFrontend::drain() {
  isDraining_ = true;
  drainConnections(false);
}

void HttpFrontend::close() {
  isDraining_ = true;
  rejectsRequests_ = true;
  listener_.close([this] { drainConnections(true); });  // with those accepted in the meantime
  drainConnections(true);
}

}  // namespace garnethook::platform
