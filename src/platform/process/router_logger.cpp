#include "platform/process/router_logger.h"

#include <utility>

#include "routing/policy_log.h"

namespace garnethook::platform {
namespace {

constexpr std::size_t kMaxLoggedRejectionCauses = 32;  // logged between two resets
constexpr Micros kMicrosPerMillisecond = 1000;

std::string_view stateSymbol(EndpointState state) {
  switch (state) {
    case EndpointState::running: return "+";
    case EndpointState::draining: return "~";
    case EndpointState::removed: return "-";
  }
  return "?";
}

std::string describeChanges(const EndpointListChange& change) {
  std::string text;
  if (change.kind != EndpointUpdate::Kind::delta) return text;
  for (const auto& [name, endpoint] : change.entries)
    text.append(text.empty() ? "" : " ").append(name).append(stateSymbol(endpoint.state));
  return text;
}

std::string_view dispositionName(routing::Disposition disposition) {
  switch (disposition) {
    case routing::Disposition::completed: return "completed";
    case routing::Disposition::rejected: return "rejected";
    case routing::Disposition::failed: return "failed";
  }
  return "unknown";
}

}  // namespace

RouterLogger::RouterLogger(log::Log log, std::vector<std::string> classNames)
    : log_(std::move(log)), classNames_(std::move(classNames)) {}

std::string RouterLogger::endpointName(EndpointId id) const {
  const auto found = endpoints_.find(id.value);
  return found == endpoints_.end() ? std::to_string(id.value) : found->second.name;
}

void RouterLogger::logEntryErrors(const std::vector<EntryError>& errors) {
  std::map<std::string, std::size_t> entriesByCause;
  for (const auto& error : errors) ++entriesByCause[error.message()];
  for (const auto& [cause, entries] : entriesByCause)
    log_.warn("endpoint-list", {{"error", cause}, {"entries", entries}});
}

void RouterLogger::logStoredList(const EndpointList& list) {
  log_.info("stored-list", {{"version", list.version()}, {"endpoints", list.endpoints().size()}});
}

void RouterLogger::logEndpointList(const EndpointListChange& change, const EndpointList& list) {
  for (const auto& [name, endpoint] : change.entries)
    endpoints_[endpoint.id.value] = {name, endpoint.startedAt};
  log_.info("endpoint-list", {{"version", list.version()},
                              {"endpoints", list.endpoints().size()},
                              {"stale_copy", change.kind == EndpointUpdate::Kind::staleCopy},
                              {"changes", describeChanges(change)}});
}

void RouterLogger::logWatchError(const std::string& address, const WatchError& error) {
  log_.info("discovery", {{"error", address + ": " + error.message()}});
}

void RouterLogger::logRejection(int status, std::string_view cause) {
  if (loggedRejectionCauses_.size() >= kMaxLoggedRejectionCauses) return;
  if (loggedRejectionCauses_.emplace(cause).second)
    log_.info("rejected", {{"status", status}, {"cause", cause}});
}

void RouterLogger::logConnectionClosed(CloseReason reason, std::string_view trace, bool wasResponsePending) {
  if (wasResponsePending)
    log_.error("rule-violation",
               {{"rule", "closed-without-response"}, {"reason", name(reason)}, {"trace", trace}});
  if (log_.isDebugEnabled()) log_.debug("client-closed", {{"reason", name(reason)}, {"trace", trace}});
}

void RouterLogger::onAttempt(const routing::AttemptSpec& attempt) {
  if (!log_.isDebugEnabled()) return;
  const routing::Request& request = *attempt.request;
  log_.debug("attempt", {{"request", attempt.traceId},
                         {"number", attempt.attempt.number},
                         {"engine", endpointName(attempt.endpoint)},
                         {"phase", name(attempt.phase)},
                         {"shared_prefix", request.sharedPrefixKey},
                         {"shared_prefix_tokens", request.sharedPrefixTokens},
                         {"prompt_tokens", request.promptTokens},
                         {"session", request.session},
                         {"timeout_ms", attempt.timeout / kMicrosPerMillisecond}});
}

void RouterLogger::onAttemptEnded(routing::AttemptId id, EndpointId endpoint,
                                  const routing::AttemptResult& result) {
  if (!log_.isDebugEnabled()) return;
  log_.debug("attempt-ended", {{"request", id.request.value},
                               {"number", id.number},
                               {"engine", endpointName(endpoint)},
                               {"outcome", routing::name(result.outcome)},
                               {"cached_tokens", result.cachedTokens},
                               {"status", result.response.status},
                               {"body_bytes", result.response.bodyBytes},
                               {"events", result.response.events},
                               {"last_event", routing::name(result.response.lastEvent)},
                               {"text", result.text}});
}

void RouterLogger::logEngineConnectionClosed(const engine::ClosedConnection& connection) {
  if (!log_.isDebugEnabled()) return;
  log_.debug("engine-connection-closed", {{"engine", endpointName(connection.endpoint)},
                                          {"reason", name(connection.reason)},
                                          {"age_ms", connection.age / kMicrosPerMillisecond},
                                          {"exchanges", connection.exchanges}});
}

void RouterLogger::onCompletion(RequestId id, const routing::Request& request,
                                const routing::Completion& completion, Micros duration) {
  if (!log_.isDebugEnabled()) return;
  log_.debug("request-ended", {{"request", id.value},
                               {"trace", request.traceId},
                               {"class", classNames_[request.requestClass]},
                               {"disposition", dispositionName(completion.disposition)},
                               {"cause", name(completion.failureReason)},
                               {"text", completion.text},
                               {"prompt_tokens", request.promptTokens},
                               {"body_bytes", request.body ? request.body->size() : 0},
                               {"remaining_ms", request.remaining / kMicrosPerMillisecond},
                               {"attempts", completion.usage.attempts},
                               {"output_events", completion.usage.outputTokens},
                               {"took_ms", duration / kMicrosPerMillisecond},
                               {"retry_after_ms", completion.retryAfter / kMicrosPerMillisecond}});
}

void RouterLogger::onCancelled(RequestId id) {
  if (log_.isDebugEnabled()) log_.debug("client-cancelled", {{"request", id.value}});
}

void RouterLogger::onViolation(routing::Violation violation, RequestId id, const routing::Request& request) {
  log_.error("rule-violation",
             {{"rule", name(violation)}, {"request", id.value}, {"trace", request.traceId}});
}

void RouterLogger::onRelease(const routing::ReleaseCall& call, std::string_view traceId) {
  if (!log_.isDebugEnabled()) return;
  log_.debug("release", {{"request", call.request.value},
                         {"trace", traceId},
                         {"engine", endpointName(call.endpoint)},
                         {"call", call.number}});
}

void RouterLogger::onReleaseEnded(const routing::ReleaseCall& call, bool ok) {
  if (!log_.isDebugEnabled()) return;
  log_.debug("release-ended", {{"request", call.request.value},
                               {"engine", endpointName(call.endpoint)},
                               {"call", call.number},
                               {"done", ok}});
}

void RouterLogger::onReleaseDue(routing::AttemptId id, EndpointId endpoint, routing::DeliveryState delivery) {
  if (!log_.isDebugEnabled()) return;
  log_.debug("kv-release-due", {{"request", id.request.value},
                                {"number", id.number},
                                {"engine", endpointName(endpoint)},
                                {"delivery", routing::name(delivery)}});
}

void RouterLogger::onKvReservation(const routing::KvReservationEvent& event) {
  if (!log_.isDebugEnabled()) return;
  log_.debug("kv-reservation", {{"request", event.request.value},
                                {"engine", endpointName(event.endpoint)},
                                {"change", name(event.change)},
                                {"call", event.callNumber}});
}

// Many engines can restart at once, so those that hold nothing for this router are left to the debug level.
void RouterLogger::onEndpointRestarted(const routing::EndpointRestartEvent& event) {
  const bool isAffected = event.keptReservations > 0;
  if (!isAffected && !log_.isDebugEnabled()) return;
  log::Log::Fields fields{{"engine", endpointName(event.endpoint)},
                          {"reported_start_ms",
                           endpoints_[event.endpoint.value].reportedStart.sinceEpoch / kMicrosPerMillisecond},
                          {"start_age_ms", event.startAge / kMicrosPerMillisecond},
                          {"kv_kept", event.keptReservations}};
  if (event.previousStartAge)
    fields["previous_start_age_ms"] = *event.previousStartAge / kMicrosPerMillisecond;
  if (isAffected)
    log_.info("engine-restarted", fields);
  else
    log_.debug("engine-restarted", fields);
}

void RouterLogger::onActionFailed(const std::string& what) { log_.error("internal", {{"error", what}}); }

void RouterLogger::onPolicyLog(const std::string& text) {
  const auto resolveName = [this](EndpointId id) { return endpointName(id); };
  log_.info("policy", {{"text", routing::withEndpointNames(text, resolveName)}});
}

}  // namespace garnethook::platform
