#include "counting/tokeniser_registry.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace garnethook::counting {
namespace {

constexpr double kFactorWeight = 0.1;  // weight of a new report in an engine's factor
constexpr double kMinFactor = 0.1;     // reported ratios are clamped to this range
constexpr double kMaxFactor = 10;
constexpr double kPublishThreshold = 0.03;  // relative change of a factor that is published
constexpr int kDoubtThreshold = 4;          // differing reports among the last 32 that make an engine doubted

}  // namespace

std::string text(const VersionName& versionName) {
  return versionName.version.empty() ? versionName.name : versionName.name + " " + versionName.version;
}

std::uint64_t TokeniserRegistry::load(VersionName version,
                                      std::shared_ptr<const tokeniser::Tokeniser> tokeniser) {
  const std::uint64_t number = nextNumber_++;
  if (const auto old = byVersion_.find(version); old != byVersion_.end()) loaded_.erase(old->second);
  byVersion_[version] = number;
  loaded_[number] = {number, std::move(version), std::move(tokeniser)};
  for (auto& [id, engineState] : engines_)
    // The new file may match the engine's reports.
    if (engineState.doubted && engineState.version == loaded_[number].version) {
      engineState.doubted = false;
      engineState.differences = 0;
    }
  ++edition_;
  return number;
}

void TokeniserRegistry::setVersion(Engine& engineState, std::optional<VersionName> version) {
  if (engineState.version == version) return;
  engineState.version = std::move(version);
  engineState.doubted = false;
  engineState.differences = 0;
  ++edition_;
}

void TokeniserRegistry::listed(EndpointId engine, Micros startedAt,
                               const std::optional<VersionName>& listedVersion, Micros now) {
  const auto [at, isNew] = engines_.try_emplace(engine.value);
  Engine& engineState = at->second;
  const bool restarted = !isNew && engineState.startedAt != startedAt;
  engineState.startedAt = startedAt;
  if (isNew) {
    engineState.factor = engineState.publishedFactor = defaultFactor();
    ++edition_;
  }
  engineState.versionListed = listedVersion.has_value();
  if (listedVersion) {
    if (restarted) engineState.doubted = false;
    return setVersion(engineState, listedVersion);
  }
  if (isNew || restarted) {
    setVersion(engineState, std::nullopt);
    engineState.nextQueryAt = now;
    engineState.failures = 0;
    engineState.queryPending = false;
  }
}

std::vector<EndpointId> TokeniserRegistry::enginesToQuery(Micros now) {
  std::vector<EndpointId> out;
  for (auto& [id, engineState] : engines_)
    if (!engineState.versionListed && !engineState.queryPending && now >= engineState.nextQueryAt) {
      engineState.queryPending = true;
      out.push_back({id});
    }
  std::sort(out.begin(), out.end());
  return out;
}

std::optional<Micros> TokeniserRegistry::nextQueryTime() const {
  std::optional<Micros> next;
  for (const auto& [id, engineState] : engines_)
    if (!engineState.versionListed && !engineState.queryPending)
      next = std::min(next.value_or(engineState.nextQueryAt), engineState.nextQueryAt);
  return next;
}

void TokeniserRegistry::versionReported(EndpointId engine, const VersionName& version, Micros now) {
  const auto at = engines_.find(engine.value);
  if (at == engines_.end() || at->second.versionListed) return;
  Engine& engineState = at->second;
  engineState.queryPending = false;
  engineState.failures = 0;
  engineState.nextQueryAt = now + options_.queryInterval;
  setVersion(engineState, version);
}

void TokeniserRegistry::versionUnsupported(EndpointId engine, Micros now) {
  const auto at = engines_.find(engine.value);
  if (at == engines_.end() || at->second.versionListed) return;
  Engine& engineState = at->second;
  engineState.queryPending = false;
  engineState.failures = 0;
  engineState.nextQueryAt = now + options_.queryInterval;
  setVersion(engineState, options_.usual);
}

// An engine that does not respond keeps its reported version, since there is no sign of a restart.
void TokeniserRegistry::versionQueryFailed(EndpointId engine, Micros now) {
  const auto at = engines_.find(engine.value);
  if (at == engines_.end()) return;
  Engine& engineState = at->second;
  engineState.queryPending = false;
  engineState.nextQueryAt = now + std::min(options_.queryInterval,
                                           options_.initialRetryDelay << std::min(engineState.failures, 16));
  ++engineState.failures;
}

bool TokeniserRegistry::recordReportedTokens(EndpointId engine, double main, std::optional<double> exact,
                                             std::uint64_t number, double reported) {
  const auto at = engines_.find(engine.value);
  if (at == engines_.end() || main <= 0 || reported <= 0) return false;
  Engine& engineState = at->second;
  const double sample = std::clamp(reported / main, kMinFactor, kMaxFactor);
  ++engineState.reports;
  engineState.factor += std::max(kFactorWeight, 1.0 / engineState.reports) * (sample - engineState.factor);
  const LoadedTokeniser* const now = loadedFor(engineState);
  if (std::abs(engineState.factor - engineState.publishedFactor) >
      kPublishThreshold * engineState.publishedFactor) {
    engineState.publishedFactor = engineState.factor;
    if (now == nullptr) ++edition_;
  }
  if (!exact || now == nullptr || now->number != number) return false;  // counted with another tokeniser
  engineState.differences = engineState.differences << 1 | (std::abs(*exact - reported) > 0.5 ? 1U : 0U);
  if (std::popcount(engineState.differences) < kDoubtThreshold) return false;
  engineState.doubted = true;
  ++edition_;
  return true;
}

const LoadedTokeniser* TokeniserRegistry::loadedFor(const Engine& engineState) const {
  if (!engineState.version || engineState.doubted) return nullptr;
  const auto at = byVersion_.find(*engineState.version);
  return at == byVersion_.end() ? nullptr : &loaded_.at(at->second);
}

TokeniserRegistry::Basis TokeniserRegistry::basis(EndpointId engine) const {
  const auto at = engines_.find(engine.value);
  if (at == engines_.end()) return {};
  const LoadedTokeniser* const loaded = loadedFor(at->second);
  return {loaded == nullptr ? 0 : loaded->number,
          at->second.reports > 0 ? at->second.publishedFactor : defaultFactor()};
}

double TokeniserRegistry::defaultFactor() const {
  double sum = 0;
  double weight = 0;
  for (const auto& [id, engineState] : engines_)
    if (engineState.reports > 0 && loadedFor(engineState) == nullptr) {
      sum += engineState.factor;
      ++weight;
    }
  return weight == 0 ? 1 : sum / weight;
}

std::vector<LoadedTokeniser> TokeniserRegistry::inUse() const {
  std::map<std::uint64_t, std::size_t> engines;
  for (const auto& [id, engineState] : engines_)
    if (const LoadedTokeniser* loaded = loadedFor(engineState)) ++engines[loaded->number];
  std::vector<LoadedTokeniser> out;
  for (const auto& [number, count] : engines) out.push_back(loaded_.at(number));
  std::stable_sort(out.begin(), out.end(), [&](const LoadedTokeniser& a, const LoadedTokeniser& b) {
    return engines[a.number] > engines[b.number];
  });
  if (out.empty() && options_.usual)
    if (const auto at = byVersion_.find(*options_.usual); at != byVersion_.end())
      out.push_back(loaded_.at(at->second));
  if (out.empty() && !loaded_.empty()) out.push_back(loaded_.rbegin()->second);
  return out;
}

std::size_t TokeniserRegistry::estimated() const {
  return static_cast<std::size_t>(std::count_if(
      engines_.begin(), engines_.end(), [&](const auto& item) { return loadedFor(item.second) == nullptr; }));
}

}  // namespace garnethook::counting
