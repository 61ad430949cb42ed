#include "server/router_server.h"

#include <filesystem>
#include <utility>

#include "routing/policy_log.h"
#include "timing/wall_clock.h"

namespace garnethook::server {
namespace {

using log::Log;

std::string staleCopyPath(const std::string& folder) {
  return folder.empty() ? std::string() : folder + "/engines.last.json";
}

}  // namespace

RouterServer::RouterServer(net::Loop& loop, const RouterSettings& settings, std::uint64_t seed,
                           std::string instance, Log log)
    : loop_(loop),
      settings_(settings),
      log_(std::move(log)),
      endpointList_(settings.listPath, staleCopyPath(settings.stateFolder)),
      engines_(loop, settings.engine),
      counts_(loop, settings.counting, engines_, log_, [this] { publishTokeniserChanges(); }),
      pollAlarm_(loop),
      drainAlarm_(loop) {
  if (!settings_.stateFolder.empty()) std::filesystem::create_directories(settings_.stateFolder);
  settings_.routing.seed = seed;
  settings_.routing.instance = std::move(instance);
  router_ = std::make_unique<routing::Router>(settings_.routing, loop_, engines_, *this);
  engines_.setEvents(*router_);
  counts_.setRouter(*router_);
  const auto change = endpointList_.refresh();
  for (const auto& error : change.errors) log_.warn("endpoint-list", {{"error", error.message}});
  if (change.hasChanged) {
    publishEndpoints(EndpointUpdate::Kind::snapshot);
  } else {
    std::vector<membership::EndpointListError> errors;
    const bool hasStaleCopy = endpointList_.loadCopy(errors);
    for (const auto& error : errors) log_.warn("endpoint-list", {{"error", error.message}});
    if (hasStaleCopy) publishEndpoints(EndpointUpdate::Kind::staleCopy);
  }
  frontend_ = std::make_unique<grpc_frontend::GrpcServer>(loop_, Poco::Net::SocketAddress(settings_.listen),
                                                          settings_.grpc, settings_.requestDecoder, *router_,
                                                          health_, counts_.isEnabled() ? &counts_ : nullptr);
  health_.set(true);
  log_.info("listening",
            {{"address", address().toString()}, {"endpoints", endpointList_.endpoints().size()}});
  pollAlarm_.start(settings_.listPollInterval, [this] { poll(); });
}

RouterServer::~RouterServer() {
  frontend_.reset();
  router_.reset();
}

void RouterServer::poll() {
  refreshEndpointList();
  pollAlarm_.start(settings_.listPollInterval, [this] { poll(); });
}

void RouterServer::refreshEndpointList() {
  const auto change = endpointList_.refresh();
  for (const auto& error : change.errors) log_.warn("endpoint-list", {{"error", error.message}});
  if (change.hasChanged)
    publishEndpoints(EndpointUpdate::Kind::snapshot);
  else if (!change.errors.empty())
    return;
  startTimes_.recordContact(loop_.now());
}

void RouterServer::publishEndpoints(EndpointUpdate::Kind kind) {
  for (const auto& [name, listed] : endpointList_.endpoints()) {
    names_[listed.id.value] = name;
    if (std::find(settings_.names.kinds.begin(), settings_.names.kinds.end(), listed.kind) ==
        settings_.names.kinds.end())
      log_.warn("endpoint-list",
                {{"engine", name},
                 {"error", "kind \"" + listed.kind + "\" is not configured; treated as a decode engine"}});
  }
  log_.info("endpoint-list", {{"endpoints", endpointList_.endpoints().size()},
                              {"stale_copy", kind == EndpointUpdate::Kind::staleCopy}});
  engines_.update(endpointList_.endpoints());
  counts_.onEndpointList(endpointList_.endpoints());
  const bool isStaleCopy = kind == EndpointUpdate::Kind::staleCopy;
  const auto source =
      isStaleCopy ? membership::StartTimes::Source::persistedCopy : membership::StartTimes::Source::discovery;
  auto endpointUpdate =
      membership::toEndpointUpdate(endpointList_.endpoints(), startTimes(source), settings_.names, kind);
  counts_.addTokenisers(endpointUpdate);
  router_->onEndpointUpdate(endpointUpdate);
}

membership::MonotonicStartTimes RouterServer::startTimes(membership::StartTimes::Source source) {
  auto starts = startTimes_.toMonotonic(endpointList_.endpoints(), source, loop_.now(), timing::unixNow());
  startTimes_.limitUnlisted(endpointList_.endpoints());
  return starts;
}

// Publishes new tokenisers and prompt factors; the rest of the endpoint list is unchanged.
void RouterServer::publishTokeniserChanges() {
  auto endpointUpdate = membership::toEndpointUpdate(endpointList_.endpoints(),
                                                     startTimes(membership::StartTimes::Source::discovery),
                                                     settings_.names, EndpointUpdate::Kind::delta);
  counts_.addTokenisers(endpointUpdate);
  router_->onEndpointUpdate(endpointUpdate);
}

std::string RouterServer::nameOf(EndpointId id) const {
  const auto it = names_.find(id.value);
  return it == names_.end() ? std::to_string(id.value) : it->second;
}

void RouterServer::onAttempt(const routing::AttemptSpec& spec) {
  if (log_.isDebugEnabled())
    log_.debug("attempt", {{"request", spec.attempt.request.value},
                           {"number", spec.attempt.number},
                           {"engine", nameOf(spec.endpoint)},
                           {"phase", name(spec.phase)}});
}

void RouterServer::onAttemptEnded(routing::AttemptId id, EndpointId endpointId,
                                  const routing::AttemptResult& result) {
  const bool succeeded = result.outcome == Outcome::completed || result.outcome == Outcome::prefillDone;
  if (succeeded && !log_.isDebugEnabled()) return;
  const Log::Fields fields{{"request", id.request.value},
                           {"number", id.number},
                           {"engine", nameOf(endpointId)},
                           {"outcome", routing::name(result.outcome)},
                           {"text", result.text}};
  if (succeeded)
    log_.debug("attempt-ended", fields);
  else
    log_.info("attempt-ended", fields);
}

void RouterServer::onCompletion(RequestId id, const routing::Request& request,
                                const routing::Completion& requestCompletion, Micros duration) {
  const bool isCompleted = requestCompletion.disposition == routing::Disposition::completed;
  if (isCompleted && !log_.isDebugEnabled()) return;
  const Log::Fields fields{
      {"request", id.value},
      {"class", settings_.classNames[request.requestClass]},
      {"disposition", isCompleted                                                       ? "completed"
                      : requestCompletion.disposition == routing::Disposition::rejected ? "rejected"
                                                                                        : "failed"},
      {"cause", name(requestCompletion.failureReason)},
      {"text", requestCompletion.text},
      {"prompt_tokens", request.promptTokens},
      {"estimated", request.estimated},
      {"output_tokens", requestCompletion.usage.outputTokens},
      {"attempts", requestCompletion.usage.attempts},
      {"took_ms", duration / 1000},
      {"retry_after_ms", requestCompletion.retryAfter / 1000}};
  if (isCompleted)
    log_.debug("request-ended", fields);
  else
    log_.info("request-ended", fields);
}

void RouterServer::onCancelled(RequestId id) {
  if (log_.isDebugEnabled()) log_.debug("client-cancelled", {{"request", id.value}});
}

// Many engines can restart at once, so those that hold nothing for this router are left to the debug level.
void RouterServer::onEndpointRestarted(const routing::EndpointRestartEvent& event) {
  const bool isAffected = event.keptReservations > 0;
  if (!isAffected && !log_.isDebugEnabled()) return;
  Log::Fields fields{{"engine", nameOf(event.endpoint)},
                     {"start_age_ms", event.startAge / 1000},
                     {"kv_kept", event.keptReservations}};
  if (event.previousStartAge) fields["previous_start_age_ms"] = *event.previousStartAge / 1000;
  if (isAffected)
    log_.info("engine-restarted", fields);
  else
    log_.debug("engine-restarted", fields);
}

void RouterServer::onPolicyLog(const std::string& policyMessage) {
  log_.info(
      "policy",
      {{"text", routing::withEndpointNames(policyMessage, [this](EndpointId id) { return nameOf(id); })}});
}

void RouterServer::onDecision(Micros now, const Event& event, const std::vector<Action>& actions) {
  if (onDecisionMade) onDecisionMade(now, event, actions);
}

void RouterServer::reload(const RouterSettings& settings) {
  settings_.requestDecoder = settings.requestDecoder;
  frontend_->setRequestDecoderOptions(settings.requestDecoder);
  settings_.log = settings.log;
  log_.setLevel(settings.log.level);
  counts_.reload(settings.counting.files);
  refreshEndpointList();
  log_.info("reloaded",
            {{"note", "applied: requests, log.level and the tokeniser files; other changes need a restart"}});
}

void RouterServer::drain(std::function<void()> done) {
  onDrained_ = std::move(done);
  drainDeadline_ = loop_.now() + settings_.shutdownTimeout;
  log_.info("draining",
            {{"open", router_->pendingRequests()}, {"within_ms", settings_.shutdownTimeout / 1000}});
  health_.set(false);
  frontend_->drain();
  checkDrained();
}

void RouterServer::checkDrained() {
  if (loop_.now() >= drainDeadline_) router_->stop();
  const bool isIdle =
      !frontend_->accepting() && router_->pendingRequests() == 0 && counts_.open() == 0 &&
      router_->kvReservations().reservationCount() + router_->kvReservations().pendingReleaseCount() == 0;
  const bool hasTimedOut = loop_.now() >= drainDeadline_ + settings_.engine.controlTimeout * 2;
  if (!isIdle && !hasTimedOut) return drainAlarm_.start(20'000, [this] { checkDrained(); });
  frontend_->close();
  log_.info("drained", {{"summary", summary()}});
  drainAlarm_.start(100'000, [this] { onDrained_(); });
}

std::string RouterServer::summary() const {
  const auto& totals = router_->counters();
  return "received " + std::to_string(totals.accepted) + ", completed " + std::to_string(totals.completed) +
         ", rejected " + std::to_string(totals.rejected) + ", failed " + std::to_string(totals.failed) +
         ", cancelled " + std::to_string(totals.cancelled) + ", open " +
         std::to_string(router_->pendingRequests()) + "; attempts " + std::to_string(totals.attempts) +
         ", tokens " + std::to_string(totals.tokens) + "; kv reservations " +
         std::to_string(router_->kvReservations().reservationCount()) + ", releases in flight " +
         std::to_string(router_->kvReservations().pendingReleaseCount()) + ", released " +
         std::to_string(router_->kvReservations().releasedCount()) + ", abandoned " +
         std::to_string(router_->kvReservations().abandonedCount()) +
         (counts_.isEnabled() ? "; " + counts_.summary() : "");
}

}  // namespace garnethook::server
