#include "policy/slow_start.h"

#include <algorithm>
#include <cmath>

namespace garnethook::policy {

void SlowStart::recordArrival(const TrackedRequest& request) {
  const double tokens = request.arrival.promptTokens;
  double& meanTokens =
      meanPromptTokens_.try_emplace(request.arrival.requestClass.value_or(0), tokens).first->second;
  meanTokens += kPromptSampleWeight * (tokens - meanTokens);
  arrivals_.emplace_back(context_.now(), requestLoad(request));
}

double SlowStart::requestLoad(const TrackedRequest& request) const {
  const auto found = meanPromptTokens_.find(request.arrival.requestClass.value_or(0));
  return std::max(1.0, found == meanPromptTokens_.end() ? request.arrival.promptTokens : found->second);
}

void SlowStart::update() {
  while (!arrivals_.empty() && arrivals_.front().first < context_.now() - kLoadHistoryDuration)
    arrivals_.pop_front();
  std::erase_if(registry_.recentlyStarted(),
                [this](const Endpoint* endpoint) { return !isWarmingUp(*endpoint); });
  updateBaselineLoad();
  // A router without arrivals has no demand and grants itself no tokens.
  const double arrivalCount = countAsDouble(arrivals_.size());
  const double meanLoad = std::max(1.0, loadSince(arrivals_, 0) / std::max(1.0, arrivalCount));
  const EstimatedTime window = std::max(EstimatedTime(1), toEstimate(settings_.overloadWindow));
  const double elapsedWindows = arrivalCount > 0 ? context_.elapsedSince(lastUpdateAt_) / window : 0;
  for (Endpoint* endpoint : registry_.recentlyStarted()) grantTokens(*endpoint, elapsedWindows, meanLoad);
  eraseOldRecords();
  lastUpdateAt_ = context_.now();
}

double SlowStart::loadSince(const LoadHistory& history, Micros since) {
  double total = 0;
  for (const auto& [at, load] : history) total += at >= since ? load : 0;
  return total;
}

bool SlowStart::hasUnusedToken(const Endpoint& endpoint) const {
  const auto isInWindow = [this](Micros at) { return at > context_.now() - settings_.overloadWindow; };
  const auto& sends = endpoint.slowStart.sends_;
  const auto& tokens = endpoint.slowStart.tokens_;
  return std::count_if(sends.begin(), sends.end(), isInWindow) <
         std::count_if(tokens.begin(), tokens.end(), isInWindow);
}

// Computes, by role, the load that a warmed-up endpoint completes for this router. Completions are used
// because an overloaded endpoint is sent far more than it completes. If no endpoint of the role is warmed up,
// the last value is kept; a router without such a value uses its own demand per endpoint instead.
void SlowStart::updateBaselineLoad() {
  const Micros since = context_.now() - kLoadHistoryDuration;
  std::array<double, kRoleCount> load{};
  std::array<std::size_t, kRoleCount> warmingUp{};
  for (const auto& [id, endpoint] : registry_.contacted())
    if (endpoint->isListed && !isWarmingUp(*endpoint))
      load[roleIndex(endpoint->role)] += loadSince(endpoint->slowStart.completed_, since);
  for (const Endpoint* endpoint : registry_.recentlyStarted())
    if (endpoint->isListed && isWarmingUp(*endpoint)) ++warmingUp[roleIndex(endpoint->role)];
  const double window = toEstimate(settings_.overloadWindow) / toEstimate(kLoadHistoryDuration);
  for (const Role role : {Role::prefill, Role::decode, Role::combined}) {
    const std::size_t index = roleIndex(role);
    const double listed = countAsDouble(registry_.listedCount(role));
    const double warmedUp = listed - countAsDouble(warmingUp[index]);
    if (warmedUp > 0)
      baselineLoad_[index] = window * load[index] / warmedUp;
    else if (baselineLoad_[index] < 0)
      baselineLoad_[index] = window * loadSince(arrivals_, since) / std::max(1.0, listed);
  }
}

void SlowStart::grantTokens(Endpoint& endpoint, double elapsedWindows, double meanLoad) const {
  SlowStartRecord& record = endpoint.slowStart;
  if (!isWarmingUp(endpoint) || record.tokensGrantedForStartAt_ != endpoint.entry.startedAt) {
    record.tokensGrantedForStartAt_ = endpoint.entry.startedAt;
    record.tokens_.clear();
    record.partialToken_ = 1 - grantPhase(endpoint.entry.id);
  }
  if (!isWarmingUp(endpoint) || settings_.overloadWindow <= 0) return;
  record.partialToken_ += elapsedWindows * kGrantedBudgetShare * settings_.overloadMultiple *
                          settings_.warmUpMinCapacity *
                          std::max(0.0, baselineLoad_[roleIndex(endpoint.role)]) / meanLoad;
  for (; record.partialToken_ >= 1; --record.partialToken_) record.tokens_.push_back(context_.now());
  while (!record.tokens_.empty() && record.tokens_.front() <= context_.now() - settings_.overloadWindow)
    record.tokens_.pop_front();
}

// Returns the delay before this router's first token, in [0, 1) token intervals. It derives from the router's
// index or, if unknown, from its random hash key, and is shifted by a different offset for each endpoint.
double SlowStart::grantPhase(EndpointId id) const {
  const double routerPhase = settings_.self
                                 ? countAsDouble(*settings_.self) / countAsDouble(settings_.routers)
                                 : toUnitInterval(routerKey_.value);
  const double phase = routerPhase + toUnitInterval(mixBits(id.value));
  return phase - std::floor(phase);
}

void SlowStart::eraseOldRecords() const {
  const Micros cutoff = context_.now() - kLoadHistoryDuration;
  for (const auto& [id, endpoint] : registry_.contacted()) {
    auto& sends = endpoint->slowStart.sends_;
    auto& completed = endpoint->slowStart.completed_;
    while (!sends.empty() && sends.front() < cutoff) sends.pop_front();
    while (!completed.empty() && completed.front().first < cutoff) completed.pop_front();
  }
}

}  // namespace garnethook::policy
