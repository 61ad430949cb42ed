/// When a watch of discovery is closed and when it is connected again: backoff and timeouts. Free of I/O and
/// clocks. tests/platform/discovery/watch_policy_test.cpp plays it against sequences of silence, refusal,
/// reset and recovery.
///
/// The bound that it has to keep: a change has to reach the router within 6 s of the moment at which
/// discovery had it and was reachable, whatever happened to the watch before.
#pragma once

#include <optional>

#include "policy/routing_policy.h"

namespace garnethook::platform {

/// A state machine over one watch at a time. All times are microseconds of one monotonic clock.
class WatchPolicy {
 public:
  /// Timeouts and backoff.
  struct Options {
    Micros connectTimeout = 1'000'000;  ///< For a connection to come up.
    Micros initialBackoff = 50'000;     ///< Pause before the first reconnect.
    Micros maxBackoff = 500'000;        ///< The pause doubles up to this while no data is received.
    /// A live watch sends an empty line every 2 s. One that has missed it is dead, or discovery is down. A
    /// reconnect is cheap: one connection to an agent on this machine, which answers with all it has.
    Micros silenceTimeout = 2'400'000;
    /// A list that has begun must end within this. One that was cut short would swallow those behind it for
    /// as long as keep-alives go on.
    Micros messageTimeout = 4'800'000;
  };

  /// What has to be done at `nextStepAt`.
  enum class Step {
    connect,  ///< Open a connection.
    close,    ///< Give up the present one.
  };

  /// Uses the given timeouts.
  explicit WatchPolicy(const Options& options) : options_(options) {}
  /// Uses the default timeouts.
  WatchPolicy() : WatchPolicy(Options{}) {}

  /// The timeouts in use.
  const Options& options() const { return options_; }

  /// A connection attempt begins, whatever was open before.
  void onConnecting(Micros now);

  /// Data came. `isInsideMessage`: a list has begun and not ended yet.
  void onDataReceived(Micros now, bool isInsideMessage);

  /// The connection ended, or was given up.
  void onClosed(Micros now);

  /// A list could not be used. The next connection waits for the longest pause, as it may bring the same list
  /// again.
  void onInvalidMessage() { receivedInvalidMessage_ = true; }

  /// Another address is to be watched, which has not failed yet.
  void onAddressChanged() { consecutiveFailures_ = 0; }

  /// What has to be done next, unless another event comes before.
  Step nextStep() const { return isConnected_ ? Step::close : Step::connect; }

  /// When it has to be done.
  Micros nextStepAt() const { return nextStepAt_; }

 private:
  Options options_;
  bool isConnected_ = false;  // connecting or connected
  Micros nextStepAt_ = 0;
  std::optional<Micros> messageBeganAt_;
  int consecutiveFailures_ = 0;
  bool receivedInvalidMessage_ = false;
};

}  // namespace garnethook::platform
