#include "server/router_server.h"

#include <filesystem>
#include <utility>

#include "routing/policy_log.h"
#include "timing/wall_clock.h"

namespace garnethook::server {
namespace {

using log::Log;

std::string rememberedPath(const std::string& folder) {
  return folder.empty() ? std::string() : folder + "/engines.last.json";
}

}  // namespace

RouterServer::RouterServer(net::Loop& loop, const RouterSettings& settings, std::uint64_t seed,
                           std::string instance, Log log)
    : loop_(loop),
      settings_(settings),
      log_(std::move(log)),
      list_(settings.listPath, rememberedPath(settings.stateFolder)),
      engines_(loop, settings.engine),
      counts_(loop, settings.counting, engines_, log_, [this] { tellCounts(); }),
      pollAlarm_(loop),
      drainAlarm_(loop) {
  if (!settings_.stateFolder.empty()) std::filesystem::create_directories(settings_.stateFolder);
  settings_.routing.seed = seed;
  settings_.routing.instance = std::move(instance);
  router_ = std::make_unique<routing::Router>(settings_.routing, loop_, engines_, *this);
  engines_.setEvents(*router_);
  counts_.setRouter(*router_);
  const auto change = list_.refresh();
  for (const auto& error : change.errors) log_.warn("endpoint-list", {{"error", error.message}});
  if (change.hasChanged) {
    tell(EndpointUpdate::Kind::snapshot);
  } else {
    std::vector<membership::EndpointListError> errors;
    const bool recalled = list_.loadCopy(errors);
    for (const auto& error : errors) log_.warn("endpoint-list", {{"error", error.message}});
    if (recalled) tell(EndpointUpdate::Kind::staleCopy);
  }
  frontend_ = std::make_unique<grpc_frontend::GrpcServer>(loop_, Poco::Net::SocketAddress(settings_.listen),
                                                          settings_.grpc, settings_.intake, *router_, health_,
                                                          counts_.on() ? &counts_ : nullptr);
  health_.set(true);
  log_.info("listening", {{"address", address().toString()}, {"endpoints", list_.endpoints().size()}});
  pollAlarm_.start(settings_.listPoll, [this] { poll(); });
}

RouterServer::~RouterServer() {
  frontend_.reset();
  router_.reset();
}

void RouterServer::poll() {
  lookAtList();
  pollAlarm_.start(settings_.listPoll, [this] { poll(); });
}

void RouterServer::lookAtList() {
  const auto change = list_.refresh();
  for (const auto& error : change.errors) log_.warn("endpoint-list", {{"error", error.message}});
  if (change.hasChanged)
    tell(EndpointUpdate::Kind::snapshot);
  else if (!change.errors.empty())
    return;
  starts_.recordContact(loop_.now());
}

void RouterServer::tell(EndpointUpdate::Kind kind) {
  for (const auto& [name, e] : list_.endpoints()) {
    names_[e.id.value] = name;
    if (std::find(settings_.names.kinds.begin(), settings_.names.kinds.end(), e.kind) ==
        settings_.names.kinds.end())
      log_.warn("endpoint-list",
                {{"engine", name},
                 {"error", "kind \"" + e.kind + "\" is not in the settings; taken for a writer"}});
  }
  log_.info("endpoint-list", {{"endpoints", list_.endpoints().size()},
                              {"stale_copy", kind == EndpointUpdate::Kind::staleCopy}});
  engines_.update(list_.endpoints());
  counts_.onList(list_.endpoints());
  const bool isStaleCopy = kind == EndpointUpdate::Kind::staleCopy;
  const auto source =
      isStaleCopy ? membership::StartTimes::Source::persistedCopy : membership::StartTimes::Source::discovery;
  auto list = membership::toEndpointUpdate(list_.endpoints(), startTimes(source), settings_.names, kind);
  counts_.fill(list);
  router_->onEndpointUpdate(list);
}

membership::MonotonicStartTimes RouterServer::startTimes(membership::StartTimes::Source source) {
  return starts_.toMonotonic(list_.endpoints(), source, loop_.now(), timing::unixNow());
}

// Engines count otherwise now; nothing else of the list changed.
void RouterServer::tellCounts() {
  auto list =
      membership::toEndpointUpdate(list_.endpoints(), startTimes(membership::StartTimes::Source::discovery),
                                   settings_.names, EndpointUpdate::Kind::delta);
  counts_.fill(list);
  router_->onEndpointUpdate(list);
}

std::string RouterServer::nameOf(EndpointId id) const {
  const auto at = names_.find(id.value);
  return at == names_.end() ? std::to_string(id.value) : at->second;
}

void RouterServer::onAttempt(const routing::AttemptSpec& order) {
  if (log_.isDebugEnabled())
    log_.debug("attempt", {{"request", order.attempt.request.value},
                           {"number", order.attempt.number},
                           {"engine", nameOf(order.endpoint)},
                           {"phase", name(order.phase)}});
}

void RouterServer::onAttemptEnded(routing::AttemptId id, EndpointId server,
                                  const routing::AttemptResult& result) {
  const bool good = result.outcome == Outcome::completed || result.outcome == Outcome::prefillDone;
  if (good && !log_.isDebugEnabled()) return;
  const Log::Fields fields{{"request", id.request.value},
                           {"number", id.number},
                           {"engine", nameOf(server)},
                           {"outcome", routing::name(result.outcome)},
                           {"text", result.text}};
  if (good)
    log_.debug("attempt-ended", fields);
  else
    log_.info("attempt-ended", fields);
}

void RouterServer::onCompletion(RequestId id, const routing::Request& request,
                                const routing::Completion& ending, Micros took) {
  const bool served = ending.disposition == routing::Disposition::completed;
  if (served && !log_.isDebugEnabled()) return;
  const Log::Fields fields{{"request", id.value},
                           {"class", settings_.classNames[request.requestClass]},
                           {"disposition", served ? "completed"
                                           : ending.disposition == routing::Disposition::rejected ? "rejected"
                                                                                                  : "failed"},
                           {"cause", name(ending.failureReason)},
                           {"text", ending.text},
                           {"prompt_tokens", request.promptTokens},
                           {"estimated", request.estimated},
                           {"output_tokens", ending.usage.outputTokens},
                           {"attempts", ending.usage.attempts},
                           {"took_ms", took / 1000},
                           {"retry_after_ms", ending.retryAfter / 1000}};
  if (served)
    log_.debug("request-ended", fields);
  else
    log_.info("request-ended", fields);
}

void RouterServer::onCancelled(RequestId id) {
  if (log_.isDebugEnabled()) log_.debug("client-cancelled", {{"request", id.value}});
}

void RouterServer::onPolicyLog(const std::string& said) {
  log_.info("policy", {{"text", routing::withNames(said, [this](EndpointId id) { return nameOf(id); })}});
}

void RouterServer::onDecision(Micros now, const Event& event, const std::vector<Action>& actions) {
  if (onDecisionMade) onDecisionMade(now, event, actions);
}

void RouterServer::reload(const RouterSettings& settings) {
  settings_.intake = settings.intake;
  frontend_->setIntake(settings.intake);
  settings_.log = settings.log;
  log_.setLevel(settings.log.level);
  counts_.reload(settings.counting.files);
  lookAtList();
  log_.info(
      "reloaded",
      {{"note", "requests, log.level and the tokenisers' files are in force; other changes need a restart"}});
}

void RouterServer::drain(std::function<void()> done) {
  drained_ = std::move(done);
  drainUntil_ = loop_.now() + settings_.stopWithin;
  log_.info("draining", {{"open", router_->pendingRequests()}, {"within_ms", settings_.stopWithin / 1000}});
  health_.set(false);
  frontend_->drain();
  checkDrained();
}

void RouterServer::checkDrained() {
  if (loop_.now() >= drainUntil_) router_->stop();
  const bool over =
      router_->pendingRequests() == 0 && counts_.open() == 0 &&
      router_->kvReservations().reservationCount() + router_->kvReservations().pendingReleaseCount() == 0;
  const bool given = loop_.now() >= drainUntil_ + settings_.engine.controlTimeout * 2;
  if (!over && !given) return drainAlarm_.start(20'000, [this] { checkDrained(); });
  frontend_->close();
  log_.info("drained", {{"summary", summary()}});
  drainAlarm_.start(100'000, [this] { drained_(); });
}

std::string RouterServer::summary() const {
  const auto& c = router_->counters();
  return "received " + std::to_string(c.accepted) + ", completed " + std::to_string(c.completed) +
         ", rejected " + std::to_string(c.rejected) + ", failed " + std::to_string(c.failed) +
         ", cancelled " + std::to_string(c.cancelled) + ", open " +
         std::to_string(router_->pendingRequests()) + "; attempts " + std::to_string(c.attempts) +
         ", tokens " + std::to_string(c.tokens) + "; kv reservations " +
         std::to_string(router_->kvReservations().reservationCount()) + ", releases in flight " +
         std::to_string(router_->kvReservations().pendingReleaseCount()) + ", released " +
         std::to_string(router_->kvReservations().releasedCount()) + ", abandoned " +
         std::to_string(router_->kvReservations().abandonedCount()) +
         (counts_.on() ? "; " + counts_.summary() : "");
}

}  // namespace garnethook::server
