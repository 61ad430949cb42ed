// When a watch that ended, or says nothing, is begun anew. Free of I/O and clocks.
#pragma once

#include <algorithm>

#include "brain.h"

namespace garnethook::platform {

class WatchPolicy {
 public:
  struct Options {
    Micros connectWithin = 1'000'000;
    Micros firstPause = 50'000;
    Micros longestPause = 500'000;
    // A live watch has an empty line every 2 s; one that has missed it is dead, or discovery is down. A new
    // watch costs one connection to this machine and brings at once whatever the agent has.
    Micros silence = 2'400'000;
  };
  explicit WatchPolicy(const Options& options) : options_(options) {}
  WatchPolicy() : WatchPolicy(Options{}) {}

  const Options& options() const { return options_; }
  void heard() { failures_ = 0; }
  // The pause before the next try.
  Micros ended() {
    const Micros pause = options_.firstPause << std::min(failures_, 10);
    ++failures_;
    return std::min(pause, options_.longestPause);
  }

 private:
  Options options_;
  int failures_ = 0;
};

}  // namespace garnethook::platform
