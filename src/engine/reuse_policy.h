// Whether a kept connection may carry the next request, by how kept ones of its age fared of late. Free of
// I/O and clocks.
//
// Engines, and what stands before them, end idle connections earlier than they say, some without a word: a
// request written to such a one comes back as a reset, and may have run for all that is known. Where it can
// be sent again that costs an attempt; where it can't, it is lost, so it goes on a new connection unless kept
// ones of that age are known to be good.
#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <cstdint>

#include "policy/routing_policy.h"

namespace garnethook::engine {

// What a request may be sent on: a kept connection as a rule, one that is good for certain, or a new one.
enum class Reuse { usual, careful, none };

class ReusePolicy {
 public:
  // How a request on a kept connection fared that had rested so long: `dead`, reset without a sign.
  void note(Micros rested, bool dead, Micros now) {
    Bin& bin = bins_[binOf(rested)];
    fade(bin, now);
    bin.tries += 1;
    if (dead) {
      bin.dead += 1;
      lastDead_ = now;
    }
  }
  // Whether a stray second answer may still follow the one that a connection has rested since: it would be
  // taken for the answer to the next request. They come some milliseconds behind; one that comes while the
  // connection rests ends it.
  static bool mayStray(Micros rested) { return rested < kStrayWithin; }
  // `nonRepeatable`: a request that can't be sent again once it may have run.
  bool mayReuse(Micros rested, bool nonRepeatable, Micros now) const {
    if (lastDead_ == 0 || now - lastDead_ > kMemory) return true;
    Bin bin = bins_[binOf(rested)];
    fade(bin, now);
    // A bin without news is thought as bad as half a death in one try.
    const double risk = (bin.dead + kPrior / 2) / (bin.tries + kPrior);
    return risk < (nonRepeatable ? kCostlyRisk : kUsualRisk);
  }

 private:
  static constexpr Micros kStrayWithin = 20'000;
  static constexpr Micros kMemory = 20'000'000;
  static constexpr double kPrior = 0.5;
  static constexpr double kCostlyRisk = 0.01;
  static constexpr double kUsualRisk = 0.3;
  struct Bin {
    double tries = 0;
    double dead = 0;
    Micros at = 0;
  };
  // By powers of two of milliseconds.
  static std::size_t binOf(Micros rested) {
    const auto ms = static_cast<std::uint64_t>(std::max<Micros>(0, rested) / 1000);
    return std::min<std::size_t>(static_cast<std::size_t>(std::bit_width(ms)), 15);
  }
  static void fade(Bin& bin, Micros now) {
    const double kept = std::exp(-static_cast<double>(now - bin.at) / static_cast<double>(kMemory));
    bin.tries *= kept;
    bin.dead *= kept;
    bin.at = now;
  }
  std::array<Bin, 16> bins_{};
  Micros lastDead_ = 0;
};

}  // namespace garnethook::engine
