#include "counting/tokeniser_registry.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace garnethook::counting {
namespace {

constexpr double kWeight = 0.1;       // of a new read in a factor
constexpr double kFactorLeast = 0.1;  // a report beyond these is cut to them
constexpr double kFactorMost = 10;
constexpr double kTold = 0.03;   // a factor is told anew when it moved by more
constexpr int kDifferences = 4;  // of the last 32 exact counts, until an engine is not believed

}  // namespace

std::string text(const VersionName& v) { return v.version.empty() ? v.name : v.name + " " + v.version; }

std::uint64_t TokeniserRegistry::load(VersionName version,
                                      std::shared_ptr<const tokeniser::Tokeniser> tokeniser) {
  const std::uint64_t number = next_++;
  if (const auto old = byVersion_.find(version); old != byVersion_.end()) loaded_.erase(old->second);
  byVersion_[version] = number;
  loaded_[number] = {number, std::move(version), std::move(tokeniser)};
  for (auto& [id, e] : engines_)
    if (e.doubted && e.version == loaded_[number].version) {  // another file, another chance
      e.doubted = false;
      e.differences = 0;
    }
  ++edition_;
  return number;
}

void TokeniserRegistry::set(Engine& e, std::optional<VersionName> version) {
  if (e.version == version) return;
  e.version = std::move(version);
  e.doubted = false;
  e.differences = 0;
  ++edition_;
}

void TokeniserRegistry::listed(EndpointId engine, Micros startedAt,
                               const std::optional<VersionName>& versionReported, Micros now) {
  const auto [at, isNew] = engines_.try_emplace(engine.value);
  Engine& e = at->second;
  const bool restarted = !isNew && e.startedAt != startedAt;
  e.startedAt = startedAt;
  if (isNew) {
    e.factor = e.published = usualFactor();
    ++edition_;
  }
  e.fromList = versionReported.has_value();
  if (versionReported) {
    if (restarted) e.doubted = false;
    return set(e, versionReported);
  }
  if (isNew || restarted) {
    set(e, std::nullopt);
    e.askAt = now;
    e.failures = 0;
    e.asking = false;
  }
}

std::vector<EndpointId> TokeniserRegistry::enginesToQuery(Micros now) {
  std::vector<EndpointId> out;
  for (auto& [id, e] : engines_)
    if (!e.fromList && !e.asking && now >= e.askAt) {
      e.asking = true;
      out.push_back({id});
    }
  std::sort(out.begin(), out.end());
  return out;
}

std::optional<Micros> TokeniserRegistry::nextQueryTime() const {
  std::optional<Micros> next;
  for (const auto& [id, e] : engines_)
    if (!e.fromList && !e.asking) next = std::min(next.value_or(e.askAt), e.askAt);
  return next;
}

void TokeniserRegistry::versionReported(EndpointId engine, const VersionName& version, Micros now) {
  const auto at = engines_.find(engine.value);
  if (at == engines_.end() || at->second.fromList) return;
  Engine& e = at->second;
  e.asking = false;
  e.failures = 0;
  e.askAt = now + options_.queryInterval;
  set(e, version);
}

void TokeniserRegistry::versionUnsupported(EndpointId engine, Micros now) {
  const auto at = engines_.find(engine.value);
  if (at == engines_.end() || at->second.fromList) return;
  Engine& e = at->second;
  e.asking = false;
  e.failures = 0;
  e.askAt = now + options_.queryInterval;
  set(e, options_.usual);
}

// A silent engine keeps the version that it told: it is the same process as far as anybody knows.
void TokeniserRegistry::versionQueryFailed(EndpointId engine, Micros now) {
  const auto at = engines_.find(engine.value);
  if (at == engines_.end()) return;
  Engine& e = at->second;
  e.asking = false;
  e.askAt = now + std::min(options_.queryInterval, options_.retryFirst << std::min(e.failures, 16));
  ++e.failures;
}

bool TokeniserRegistry::recordReportedTokens(EndpointId engine, double main, std::optional<double> exact,
                                             std::uint64_t number, double reported) {
  const auto at = engines_.find(engine.value);
  if (at == engines_.end() || main <= 0 || reported <= 0) return false;
  Engine& e = at->second;
  const double sample = std::clamp(reported / main, kFactorLeast, kFactorMost);
  ++e.reads;
  e.factor += std::max(kWeight, 1.0 / e.reads) * (sample - e.factor);
  const LoadedTokeniser* const now = file(e);
  if (std::abs(e.factor - e.published) > kTold * e.published) {
    e.published = e.factor;
    if (now == nullptr) ++edition_;
  }
  if (!exact || now == nullptr || now->number != number) return false;  // counted before a change
  e.differences = e.differences << 1 | (std::abs(*exact - reported) > 0.5 ? 1U : 0U);
  if (std::popcount(e.differences) < kDifferences) return false;
  e.doubted = true;
  ++edition_;
  return true;
}

const LoadedTokeniser* TokeniserRegistry::file(const Engine& e) const {
  if (!e.version || e.doubted) return nullptr;
  const auto at = byVersion_.find(*e.version);
  return at == byVersion_.end() ? nullptr : &loaded_.at(at->second);
}

TokeniserRegistry::Basis TokeniserRegistry::basis(EndpointId engine) const {
  const auto at = engines_.find(engine.value);
  if (at == engines_.end()) return {};
  const LoadedTokeniser* const loaded = file(at->second);
  return {loaded == nullptr ? 0 : loaded->number,
          at->second.reads > 0 ? at->second.published : usualFactor()};
}

double TokeniserRegistry::usualFactor() const {
  double sum = 0;
  double weight = 0;
  for (const auto& [id, e] : engines_)
    if (e.reads > 0 && file(e) == nullptr) {
      sum += e.factor;
      ++weight;
    }
  return weight == 0 ? 1 : sum / weight;
}

std::vector<LoadedTokeniser> TokeniserRegistry::inUse() const {
  std::map<std::uint64_t, std::size_t> engines;
  for (const auto& [id, e] : engines_)
    if (const LoadedTokeniser* loaded = file(e)) ++engines[loaded->number];
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
      engines_.begin(), engines_.end(), [&](const auto& item) { return file(item.second) == nullptr; }));
}

}  // namespace garnethook::counting
