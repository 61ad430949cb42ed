// Selects the tokeniser that counts for each engine, and estimates counts for engines without one. Does no
// I/O; the caller supplies the time.
//
// An engine reports its tokeniser's name and version; a file loaded for that version gives exact counts. When
// discovery lists an engine with a new start time, its version is unknown until it is reported again, so
// counts for the old version are not used for the new process. Without a matching file, or while the version
// is unknown, the count is the request's main count times a factor learnt from the token counts that the
// engine reports for the prompts it processed. An engine whose reports repeatedly differ from its version's
// file is doubted: its counts are estimated until it reports another version, restarts or the file is loaded
// again.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/routing_policy.h"
#include "tokeniser/tokeniser.h"

namespace garnethook::counting {

struct VersionName {
  std::string name;
  std::string version;
  friend auto operator<=>(const VersionName&, const VersionName&) = default;
};
std::string text(const VersionName& versionName);

// A loaded tokeniser file. Each load has a unique number, even a repeated load of the same version.
struct LoadedTokeniser {
  std::uint64_t number = 0;  // starts at 1
  VersionName version;
  std::shared_ptr<const tokeniser::Tokeniser> tokeniser;
};

class TokeniserRegistry {
 public:
  struct Options {
    Micros queryInterval = 5'000'000;    // interval between version queries to an engine
    Micros initialRetryDelay = 100'000;  // delay after a failed query; doubles up to queryInterval
    // Version of engines that do not report one. If unset, their counts are estimated.
    std::optional<VersionName> usual;
  };
  explicit TokeniserRegistry(Options options) : options_(std::move(options)) {}

  // Registers a loaded file, replacing an earlier one of the same version. Returns its number.
  std::uint64_t load(VersionName version, std::shared_ptr<const tokeniser::Tokeniser> tokeniser);

  // ---- engines ----
  // Adds or updates an engine of the endpoint list. `listedVersion`: the version given in the list, if any.
  void listed(EndpointId engine, Micros startedAt, const std::optional<VersionName>& listedVersion,
              Micros now);
  void gone(EndpointId engine) { engines_.erase(engine.value); }
  // Returns the engines whose version query is due. A query is pending until versionReported(),
  // versionUnsupported() or versionQueryFailed() is called.
  std::vector<EndpointId> enginesToQuery(Micros now);
  std::optional<Micros> nextQueryTime() const;
  void versionReported(EndpointId engine, const VersionName& version, Micros now);
  // The engine responded, but does not support the version query.
  void versionUnsupported(EndpointId engine, Micros now);
  void versionQueryFailed(EndpointId engine, Micros now);
  // Records the number of prompt tokens that an engine reported. `main`: the request's main count; `exact`:
  // the count by the tokeniser with this number, unset if it was estimated. Returns true if this report makes
  // the engine doubted.
  bool recordReportedTokens(EndpointId engine, double main, std::optional<double> exact, std::uint64_t number,
                            double reported);

  // ---- queries ----
  struct Basis {
    std::uint64_t number = 0;  // load number of the engine's tokeniser; 0 if counts are estimated
    double factor = 1;         // estimate divided by the request's main count
  };
  Basis basis(EndpointId engine) const;
  // Returns the loaded tokenisers that currently count for an engine, most used first. If there are none,
  // returns the usual version's or the last loaded one, for the main count.
  std::vector<LoadedTokeniser> inUse() const;
  const std::map<std::uint64_t, LoadedTokeniser>& loaded() const { return loaded_; }
  // Number of engines whose counts are estimated.
  std::size_t estimated() const;
  // Changes whenever a result of basis() or inUse() changes.
  std::uint64_t edition() const { return edition_; }

 private:
  struct Engine {
    Micros startedAt = 0;
    std::optional<VersionName> version;
    bool versionListed = false;
    bool doubted = false;
    bool queryPending = false;
    int failures = 0;
    Micros nextQueryAt = 0;
    double factor = 1;
    int reports = 0;
    std::uint32_t differences = 0;  // one bit per recent exact count; set if the report differed
    double publishedFactor = 1;     // factor that basis() returns
  };
  const LoadedTokeniser* loadedFor(const Engine& engineState) const;
  void setVersion(Engine& engineState, std::optional<VersionName> version);
  // Factor of an engine without reports: the mean over the other estimated engines.
  double defaultFactor() const;

  Options options_;
  std::map<std::uint64_t, LoadedTokeniser> loaded_;
  std::map<VersionName, std::uint64_t> byVersion_;
  std::unordered_map<std::uint64_t, Engine> engines_;
  std::uint64_t nextNumber_ = 1;
  std::uint64_t edition_ = 1;
};

}  // namespace garnethook::counting
