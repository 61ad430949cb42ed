#include "platform/process/router_process.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <utility>

#include "routing/policy_log.h"
#include "timing/wall_clock.h"

namespace garnethook::platform {
namespace {

constexpr Micros kReportEvery = 5'000'000;
constexpr Micros kDrainLook = 20'000;
constexpr std::size_t kTurnedAwayCauses = 32;  // that are logged between two reports
// Where the settings tell none.
constexpr Micros kConnectTimeout = 250'000;
constexpr Micros kReleaseWithin = 500'000;

// Resident memory in bytes, as the system tells it; 0 where it does not.
std::uint64_t resident() {
  std::uint64_t pages = 0;
  if (std::FILE* file = std::fopen("/proc/self/statm", "r")) {
    unsigned long long all = 0;
    unsigned long long here = 0;
    if (std::fscanf(file, "%llu %llu", &all, &here) == 2) pages = here;
    std::fclose(file);
  }
  return pages * 4096;
}

std::string ownZone(const deployment_config::DeploymentConfig& deployment) {
  const std::size_t own = deployment.settings.ownZone;
  return own < deployment.zoneNames.size() ? deployment.zoneNames[own] : std::string();
}

}  // namespace

routing::Options RouterProcess::routingOptions(const PlatformConfig& config, const ResourceBudget& budget) {
  routing::Options out;
  out.settings = config.deployment.settings;
  out.seed = config.seed;
  out.instance = config.name;
  out.maxPendingRequests = budget.clients;
  if (config.deployment.openRequests > 0)
    out.maxPendingRequests = std::min(out.maxPendingRequests, config.deployment.openRequests);
  out.streamGuard.stallTimeout = Times().streamSilence;
  out.streamGuard.deadlineMargin = 0;
  out.streamGuard.enforcesDeadline = false;
  const Micros kvReleaseTimeout = config.deployment.settings.kvReleaseTimeout;
  out.kvReservations.kvReleaseTimeout = kvReleaseTimeout > 0 ? kvReleaseTimeout : kReleaseWithin;
  out.kvReservations.releaseSparesAwaited = true;
  return out;
}

engine::Options RouterProcess::engineOptions(const PlatformConfig& config, const ResourceBudget& budget) {
  engine::Options out;
  out.probePath = "/-/load";
  const Micros connectTimeout = config.deployment.settings.connectTimeout;
  out.connectTimeout = connectTimeout > 0 ? connectTimeout : kConnectTimeout;
  out.controlTimeout = out.connectTimeout;
  out.idleTimeout = Times::idle(config.deployment.connectionIdle);
  out.connections = budget.attempts;
  out.allConnections = budget.attempts;
  out.controlConnections = budget.controls;
  out.message = {.headBytes = 16 * 1024, .bodyBytes = 256 * 1024, .chunkLine = 256};
  return out;
}

HttpFrontend::Options RouterProcess::frontOptions(const ResourceBudget& budget) {
  HttpFrontend::Options out;
  out.connections.maxConnections = budget.clients;
  out.maxLingeringConnections = budget.lingering;
  out.maxBufferedBytes = budget.bodies;
  return out;
}

RouterProcess::RouterProcess(net::Loop& loop, PlatformConfig config, log::Log log)
    : loop_(loop),
      config_(std::move(config)),
      log_(std::move(log)),
      budget_(share(config_.limits)),
      names_{config_.deployment.kindNames, config_.deployment.zoneNames},
      engines_(loop, engineOptions(config_, budget_), config_.deployment.report,
               config_.deployment.settings.kvReleaseTimeout, ownZone(config_.deployment),
               config_.deployment.settings.canProbe),
      drainAlarm_(loop),
      reportAlarm_(loop),
      startedAt_(loop.now()) {
  reportErrors(config_.errors);
  router_ = std::make_unique<routing::Router>(routingOptions(config_, budget_), loop_, engines_,
                                              static_cast<routing::Observer&>(*this));
  engines_.setEvents(*router_);
  list_.recall(config_.known, config_.knownVersion);
  tell(EndpointUpdate::Kind::staleCopy, list_.engines());
  watch_ = std::make_unique<Watch>(
      loop_, config_.discovery,
      Watch::Events{[this](const EndpointListUpdate& update) { onUpdate(update); },
                    [this](const std::string& error) {
                      log_.info("discovery", {{"trouble", error}});
                    },
                    [this] { return list_.version(); }, [this] { starts_.recordContact(loop_.now()); }});
  frontend_ = std::make_unique<HttpFrontend>(
      loop_, Poco::Net::SocketAddress(config_.listen), frontOptions(budget_), config_.deployment, *router_,
      HttpFrontend::Events{[this] { return ready(); },
                           [this](int status, std::string_view text) { onRejected(status, text); },
                           [this](CloseReason reason, std::string_view trace, bool owed) {
                             onConnectionClosed(reason, trace, owed);
                           }});
  loop_.onTaskFailed([this](const std::string& what) { onActionFailed(what); });
  log_.info("listening", {{"name", config_.name},
                          {"address", address().toString()},
                          {"discovery", config_.discovery},
                          {"engines", list_.engines().size()},
                          {"clients", budget_.clients},
                          {"attempts", budget_.attempts}});
  reportAlarm_.start(kReportEvery, [this] { report(); });
}

RouterProcess::~RouterProcess() {
  loop_.onTaskFailed({});
  watch_.reset();
  frontend_.reset();
}

bool RouterProcess::ready() const {
  if (draining_ || list_.engines().empty()) return false;
  return listHeard_ || loop_.now() - startedAt_ >= times_.listWithin;
}

void RouterProcess::onUpdate(const EndpointListUpdate& update) {
  listHeard_ = true;
  reportErrors(update.errors);
  const auto change = list_.apply(update);
  if (change.any) tell(change.kind, change.entries);
}

// One line for each cause, however many entries it spoils.
void RouterProcess::reportErrors(const std::vector<std::string>& errors) {
  std::map<std::string, std::size_t> causes;
  for (const auto& error : errors) ++causes[error];
  for (const auto& [cause, entries] : causes)
    log_.warn("engine-list", {{"trouble", cause}, {"entries", entries}});
}

void RouterProcess::tell(EndpointUpdate::Kind kind, const membership::EndpointMap& entries) {
  std::string changes;
  for (const auto& [name, e] : entries) {
    engineNames_[e.id.value] = name;
    if (kind == EndpointUpdate::Kind::delta)
      changes += (changes.empty() ? "" : " ") + name +
                 (e.state == EndpointState::running    ? "+"
                  : e.state == EndpointState::draining ? "~"
                                                       : "-");
  }
  log_.info("engine-list", {{"version", list_.version()},
                            {"engines", list_.engines().size()},
                            {"remembered", kind == EndpointUpdate::Kind::staleCopy},
                            {"changes", changes}});
  if (kind == EndpointUpdate::Kind::delta)
    engines_.apply(entries);
  else
    engines_.update(list_.engines());
  const auto source = kind == EndpointUpdate::Kind::staleCopy ? membership::StartTimes::Source::persistedCopy
                                                              : membership::StartTimes::Source::discovery;
  const auto startTimes = starts_.toMonotonic(entries, source, loop_.now(), timing::unixNow());
  if (kind == EndpointUpdate::Kind::snapshot) starts_.retainOnly(list_.engines());
  router_->onEndpointUpdate(membership::toEndpointUpdate(entries, startTimes, names_, kind));
}

void RouterProcess::reload(const PlatformConfig& config) {
  log_.info("reloaded", {{"discovery", config.discovery}});
  config_.discovery = config.discovery;
  watch_->move(config.discovery);
}

void RouterProcess::drain(std::function<void()> done) {
  if (std::exchange(draining_, true)) return;
  drained_ = std::move(done);
  log_.info("draining", {{"summary", summary()}});
  frontend_->drain();
  drainAlarm_.start(times_.acceptAfterStop, [this] {
    frontend_->close();
    checkDrained();
  });
}

void RouterProcess::checkDrained() {
  const bool over =
      !frontend_->accepting() && router_->pendingRequests() == 0 && router_->activeRequests() == 0 &&
      frontend_->openRequests() == 0 &&
      router_->kvReservations().reservationCount() + router_->kvReservations().pendingReleaseCount() == 0 &&
      frontend_->connections() == 0;
  if (!over) return drainAlarm_.start(kDrainLook, [this] { checkDrained(); });
  log_.info("drained", {{"summary", summary()}});
  drained_();
}

void RouterProcess::report() {
  turnedAway_.clear();
  log_.info("status", {{"summary", summary()}});
  reportAlarm_.start(kReportEvery, [this] { report(); });
}

std::string RouterProcess::summary() const {
  const auto& c = router_->counters();
  const auto& f = frontend_->counters();
  const auto& h = router_->kvReservations();
  std::string out = "taken " + std::to_string(c.accepted) + ", served " + std::to_string(c.completed) +
                    ", refused " + std::to_string(c.rejected) + ", failed " + std::to_string(c.failed) +
                    ", left " + std::to_string(c.cancelled) + ", open " +
                    std::to_string(router_->pendingRequests()) + ", attempts " + std::to_string(c.attempts) +
                    "; causes";
  for (const auto& [cause, n] : c.failureReasons)
    out += " " + std::string(name(cause)) + " " + std::to_string(n);
  out += "; outcomes";
  for (const auto& [outcome, n] : c.outcomes)
    out += " " + std::string(routing::name(outcome)) + " " + std::to_string(n);
  out += "; held " + std::to_string(h.reservationCount()) + ", releasing " +
         std::to_string(h.pendingReleaseCount()) + ", released " + std::to_string(h.releasedCount()) +
         ", given up " + std::to_string(h.abandonedCount()) + ", slowest ms " +
         std::to_string(h.longestRelease() / 1000);
  out += "; clients " + std::to_string(frontend_->connections()) + " of " + std::to_string(f.accepted) +
         ", turned away " + std::to_string(f.rejected) + ", timed out " + std::to_string(f.timedOut) +
         ", evicted " + std::to_string(f.evicted) + ", overfull " + std::to_string(f.overfull) + ", idled " +
         std::to_string(f.idled);
  out += "; engine connections busy " + std::to_string(engines_.pool().busyConnections()) + ", idle " +
         std::to_string(engines_.pool().idleConnections()) + ", opened " +
         std::to_string(engines_.pool().opened());
  out += "; closed" + closesByReason();
  out += "; violations " + std::to_string(router_->ruleGuard().total() + f.closedUnanswered) +
         ", internal failures " + std::to_string(c.failedActions + loop_.failedTasks());
  return out + "; resident KiB " + std::to_string(resident() / 1024);
}

std::string RouterProcess::nameOf(EndpointId id) const {
  const auto at = engineNames_.find(id.value);
  return at == engineNames_.end() ? std::to_string(id.value) : at->second;
}

// One line for each cause between two reports; the status line tells how many there were.
void RouterProcess::onRejected(int status, std::string_view text) {
  if (turnedAway_.size() < kTurnedAwayCauses && turnedAway_.emplace(text).second)
    log_.info("turned-away", {{"status", status}, {"cause", text}});
}

void RouterProcess::onConnectionClosed(CloseReason reason, std::string_view trace, bool owed) {
  if (owed)
    log_.error("rule-violation", {{"rule", "closed-unanswered"}, {"reason", name(reason)}, {"trace", trace}});
  if (log_.debugs()) log_.debug("client-closed", {{"reason", name(reason)}, {"trace", trace}});
}

std::string RouterProcess::closesByReason() const {
  std::string out;
  const auto& closed = frontend_->counters().closed;
  for (std::size_t i = 0; i < closed.size(); ++i)
    if (closed[i] > 0)
      out.append(" ").append(name(static_cast<CloseReason>(i))).append(" ").append(std::to_string(closed[i]));
  return out;
}

void RouterProcess::onAttempt(const routing::AttemptSpec& order) {
  if (!log_.debugs()) return;
  log_.debug("attempt", {{"request", order.traceId},
                         {"number", order.attempt.number},
                         {"engine", nameOf(order.endpoint)},
                         {"job", name(order.phase)},
                         {"opening", order.request->sharedPrefixKey},
                         {"opening_tokens", order.request->sharedPrefixTokens},
                         {"prompt_tokens", order.request->promptTokens},
                         {"session", order.request->session},
                         {"timeout_ms", order.timeout / 1000}});
}

void RouterProcess::onAttemptEnded(routing::AttemptId id, EndpointId endpoint,
                                   const routing::AttemptResult& result) {
  if (!log_.debugs()) return;
  log_.debug("attempt-ended", {{"request", id.request.value},
                               {"number", id.number},
                               {"engine", nameOf(endpoint)},
                               {"outcome", routing::name(result.outcome)},
                               {"found", result.cachedTokens},
                               {"text", result.text}});
}

void RouterProcess::onCompletion(RequestId id, const routing::Request& request,
                                 const routing::Completion& ending, Micros took) {
  if (!log_.debugs()) return;
  log_.debug("final", {{"request", id.value},
                       {"trace", request.traceId},
                       {"class", config_.deployment.classNames[request.requestClass]},
                       {"final", ending.disposition == routing::Disposition::completed  ? "served"
                                 : ending.disposition == routing::Disposition::rejected ? "refused"
                                                                                        : "failed"},
                       {"cause", name(ending.failureReason)},
                       {"text", ending.text},
                       {"prompt_tokens", request.promptTokens},
                       {"octets", request.body ? request.body->size() : 0},
                       {"remaining_ms", request.remaining / 1000},
                       {"attempts", ending.usage.attempts},
                       {"events", ending.usage.outputTokens},
                       {"took_ms", took / 1000},
                       {"retry_after_ms", ending.retryAfter / 1000}});
}

void RouterProcess::onCancelled(RequestId id) {
  if (log_.debugs()) log_.debug("client-left", {{"request", id.value}});
}

void RouterProcess::onViolation(routing::Violation violation, RequestId id, const routing::Request& request) {
  log_.error("rule-violation",
             {{"rule", name(violation)}, {"request", id.value}, {"trace", request.traceId}});
}

void RouterProcess::onRelease(EndpointId endpoint, RequestId id, std::string_view traceId) {
  if (log_.debugs())
    log_.debug("release", {{"request", id.value}, {"trace", traceId}, {"engine", nameOf(endpoint)}});
}

void RouterProcess::onReleaseEnded(EndpointId endpoint, RequestId id, bool ok) {
  if (log_.debugs())
    log_.debug("release-ended", {{"request", id.value}, {"engine", nameOf(endpoint)}, {"done", ok}});
}

void RouterProcess::onActionFailed(const std::string& what) { log_.error("internal", {{"trouble", what}}); }

void RouterProcess::onPolicyLog(const std::string& said) {
  log_.info("decision", {{"text", routing::withNames(said, [this](EndpointId id) { return nameOf(id); })}});
}

}  // namespace garnethook::platform
