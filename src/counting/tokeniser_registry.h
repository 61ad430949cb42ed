// Which tokeniser counts for which engine, and what to do where none does. Decides only: time comes in, no
// I/O.
//
// An engine tells its tokeniser's name and version; a file that is loaded for that version counts exactly for
// it. From the moment an engine is listed with another start, its version is unknown until it tells anew:
// counts of its old one are not taken for it. Without a file, or while unknown, the count is estimated: the
// request's main count times a factor that is learnt from what this engine itself reports of the prompts it
// read. An engine whose reports keep differing from what its version's file counts is not believed until it
// tells another version or starts anew.
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
std::string text(const VersionName& v);

// A loaded file. Each load has its own number, also a second one of the same version.
struct LoadedTokeniser {
  std::uint64_t number = 0;  // from 1
  VersionName version;
  std::shared_ptr<const tokeniser::Tokeniser> tokeniser;
};

class TokeniserRegistry {
 public:
  struct Options {
    Micros queryInterval = 5'000'000;  // an engine that told its version is asked again
    Micros retryFirst = 100'000;  // one that did not is asked again after this, doubled up to queryInterval
    std::optional<VersionName> usual;  // of engines that don't tell; none: their counts are estimated
  };
  explicit TokeniserRegistry(Options options) : options_(std::move(options)) {}

  // A file was loaded, maybe in place of one for the same version. Its number.
  std::uint64_t load(VersionName version, std::shared_ptr<const tokeniser::Tokeniser> tokeniser);

  // ---- engines ----
  // Listed, for the first time or again. `told`: the list itself names the version.
  void listed(EndpointId engine, Micros startedAt, const std::optional<VersionName>& versionReported,
              Micros now);
  void gone(EndpointId engine) { engines_.erase(engine.value); }
  // Engines that are to be asked now; each is then awaited until told(), versionUnsupported() or
  // versionQueryFailed().
  std::vector<EndpointId> enginesToQuery(Micros now);
  std::optional<Micros> nextQueryTime() const;
  void versionReported(EndpointId engine, const VersionName& version, Micros now);
  // It answered, and knows no such thing.
  void versionUnsupported(EndpointId engine, Micros now);
  void versionQueryFailed(EndpointId engine, Micros now);
  // An engine read a prompt and told how many tokens it had. `main`: the request's main count; `exact`: the
  // count by the tokeniser of this number, none where it was estimated. True: from now on the engine is not
  // believed.
  bool recordReportedTokens(EndpointId engine, double main, std::optional<double> exact, std::uint64_t number,
                            double reported);

  // ---- answers ----
  struct Basis {
    std::uint64_t number = 0;  // the loaded tokeniser that counts for it; 0: estimate
    double factor = 1;         // the estimate, over the request's main count
  };
  Basis basis(EndpointId engine) const;
  // LoadedTokeniser tokenisers that count for an engine now, the one of most engines first. Where none does,
  // the usual one or the latest loaded, for the main count.
  std::vector<LoadedTokeniser> inUse() const;
  const std::map<std::uint64_t, LoadedTokeniser>& loaded() const { return loaded_; }
  // Engines whose counts are estimated.
  std::size_t estimated() const;
  // Changes with every answer of basis() or inUse() that changes.
  std::uint64_t edition() const { return edition_; }

 private:
  struct Engine {
    Micros startedAt = 0;
    std::optional<VersionName> version;
    bool fromList = false;
    bool doubted = false;
    bool asking = false;
    int failures = 0;
    Micros askAt = 0;
    double factor = 1;
    int reads = 0;
    std::uint32_t differences = 0;  // of the last exact counts, a bit each
    double published = 1;           // the factor that basis() tells
  };
  const LoadedTokeniser* file(const Engine& e) const;
  void set(Engine& e, std::optional<VersionName> version);
  // Without one of its own: the mean of the others'.
  double usualFactor() const;

  Options options_;
  std::map<std::uint64_t, LoadedTokeniser> loaded_;
  std::map<VersionName, std::uint64_t> byVersion_;
  std::unordered_map<std::uint64_t, Engine> engines_;
  std::uint64_t next_ = 1;
  std::uint64_t edition_ = 1;
};

}  // namespace garnethook::counting
