#include "policy/slow_start.h"

#include <algorithm>
#include <cmath>

namespace garnethook::policy {

void SlowStart::recordArrival(const TrackedRequest& request) {
  const double tokens = request.arrival.promptTokens;
  double& mean = meanPrompt_.try_emplace(request.arrival.requestClass.value_or(0), tokens).first->second;
  mean += kPromptWeight * (tokens - mean);
  arrivals_.emplace_back(context_.now(), loadOf(request));
}

double SlowStart::loadOf(const TrackedRequest& request) const {
  const auto at = meanPrompt_.find(request.arrival.requestClass.value_or(0));
  return std::max(1.0, at == meanPrompt_.end() ? request.arrival.promptTokens : at->second);
}

void SlowStart::update() {
  while (!arrivals_.empty() && arrivals_.front().first < context_.now() - kLoadHorizon) arrivals_.pop_front();
  std::erase_if(registry_.recentlyStarted(),
                [this](const Endpoint* endpoint) { return !isWarmingUp(*endpoint); });
  measureBaseline();
  // Without arrivals there is no demand, and no token.
  const double arrived = countAsDouble(arrivals_.size());
  const double meanLoad = std::max(1.0, loadSince(arrivals_, 0) / std::max(1.0, arrived));
  const EstimatedTime window = std::max(EstimatedTime(1), toEstimate(settings_.overloadWindow));
  const double windows = arrived > 0 ? context_.elapsedSince(updatedAt_) / window : 0;
  for (Endpoint* endpoint : registry_.recentlyStarted()) grantTokens(*endpoint, windows, meanLoad);
  dropOldRecords();
  updatedAt_ = context_.now();
}

double SlowStart::loadSince(const Ledger& ledger, Micros since) {
  double total = 0;
  for (const auto& [at, load] : ledger) total += at >= since ? load : 0;
  return total;
}

bool SlowStart::hasUnusedToken(const Endpoint& endpoint) const {
  const auto isInWindow = [this](Micros at) { return at > context_.now() - settings_.overloadWindow; };
  const auto& sends = endpoint.slowStart.sends_;
  const auto& tokens = endpoint.slowStart.tokens_;
  return std::count_if(sends.begin(), sends.end(), isInWindow) <
         std::count_if(tokens.begin(), tokens.end(), isInWindow);
}

// What a warm endpoint of each role was seen to complete for this router (a jammed one is sent far more).
// With no warm endpoint left the last figure stands; a router that never saw one takes its own demand.
void SlowStart::measureBaseline() {
  const Micros since = context_.now() - kLoadHorizon;
  std::array<double, kRoles> load{};
  std::array<std::size_t, kRoles> warmingUp{};
  for (const auto& [id, endpoint] : registry_.contacted())
    if (endpoint->isListed && !isWarmingUp(*endpoint))
      load[roleIndex(endpoint->role)] += loadSince(endpoint->slowStart.completed_, since);
  for (const Endpoint* endpoint : registry_.recentlyStarted())
    if (endpoint->isListed && isWarmingUp(*endpoint)) ++warmingUp[roleIndex(endpoint->role)];
  const double window = toEstimate(settings_.overloadWindow) / toEstimate(kLoadHorizon);
  for (const Role role : {Role::prefill, Role::decode, Role::combined}) {
    const std::size_t at = roleIndex(role);
    const double listed = countAsDouble(registry_.listedCount(role));
    const double warm = listed - countAsDouble(warmingUp[at]);
    if (warm > 0)
      baselineLoad_[at] = window * load[at] / warm;
    else if (baselineLoad_[at] < 0)
      baselineLoad_[at] = window * loadSince(arrivals_, since) / std::max(1.0, listed);
  }
}

void SlowStart::grantTokens(Endpoint& endpoint, double windows, double meanLoad) const {
  SlowStartRecord& record = endpoint.slowStart;
  if (!isWarmingUp(endpoint) || record.tokensForStart_ != endpoint.entry.startedAt) {
    record.tokensForStart_ = endpoint.entry.startedAt;
    record.tokens_.clear();
    record.partialToken_ = 1 - phaseOf(endpoint.entry.id);
  }
  if (!isWarmingUp(endpoint) || settings_.overloadWindow <= 0) return;
  record.partialToken_ += windows * kBudgetGranted * settings_.overloadMultiple *
                          settings_.warmUpMinCapacity *
                          std::max(0.0, baselineLoad_[roleIndex(endpoint.role)]) / meanLoad;
  for (; record.partialToken_ >= 1; --record.partialToken_) record.tokens_.push_back(context_.now());
  while (!record.tokens_.empty() && record.tokens_.front() <= context_.now() - settings_.overloadWindow)
    record.tokens_.pop_front();
}

// By the router's number among all, or at random where that is not known; another phase at each endpoint.
double SlowStart::phaseOf(EndpointId id) const {
  const double own = settings_.self ? countAsDouble(*settings_.self) / countAsDouble(settings_.routers)
                                    : toUnitInterval(routerHashKey_.value);
  const double phase = own + toUnitInterval(mixBits(id.value));
  return phase - std::floor(phase);
}

void SlowStart::dropOldRecords() const {
  const Micros before = context_.now() - kLoadHorizon;
  for (const auto& [id, endpoint] : registry_.contacted()) {
    auto& sends = endpoint->slowStart.sends_;
    auto& completed = endpoint->slowStart.completed_;
    while (!sends.empty() && sends.front() < before) sends.pop_front();
    while (!completed.empty() && completed.front().first < before) completed.pop_front();
  }
}

}  // namespace garnethook::policy
