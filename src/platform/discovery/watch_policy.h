// When a watch is given up and when it is begun anew. Free of I/O and clocks; tested in tests/watch_test.cpp
// over orders of silence, refusal, reset and return.
//
// What it must keep: a change counts as told 6 s after discovery had it and could be reached, whatever befell
// the watch before.
#pragma once

#include <algorithm>
#include <optional>
#include <utility>

#include "policy/routing_policy.h"

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
    // A list that has begun must be whole by then; one that was cut short would swallow those behind it, for
    // as long as signs of life go on.
    Micros listWithin = 4'800'000;
  };
  enum class Step { begin, giveUp };

  explicit WatchPolicy(const Options& options) : options_(options) {}
  WatchPolicy() : WatchPolicy(Options{}) {}

  const Options& options() const { return options_; }
  // A connection is tried from now on, whatever was open before.
  void begun(Micros now) {
    live_ = true;
    listSince_.reset();
    due_ = now + options_.silence;
  }
  // Something came on it; `midway`: its end lies within a list.
  void heard(Micros now, bool midway) {
    failures_ = 0;
    if (!midway)
      listSince_.reset();
    else if (!listSince_)
      listSince_ = now;
    due_ = now + options_.silence;
    if (listSince_) due_ = std::min(due_, *listSince_ + options_.listWithin);
  }
  // It ended, or was given up; the pause before the next try grows while nothing is heard.
  void ended(Micros now) {
    live_ = false;
    const Micros grown = std::min(options_.firstPause << std::min(failures_, 10), options_.longestPause);
    due_ = now + (std::exchange(spoilt_, false) ? options_.longestPause : grown);
    ++failures_;
  }
  // What came can't be used. The next try comes after the longest pause, as it may bring the same again.
  void spoilt() { spoilt_ = true; }
  // It is to follow another address, of which nothing bad is known.
  void moved() { failures_ = 0; }

  // What is to be done next, unless one of the above comes before, and when.
  Step next() const { return live_ ? Step::giveUp : Step::begin; }
  Micros due() const { return due_; }

 private:
  Options options_;
  bool live_ = false;
  Micros due_ = 0;
  std::optional<Micros> listSince_;
  int failures_ = 0;
  bool spoilt_ = false;
};

}  // namespace garnethook::platform
