/// @file
/// Timeouts and reconnect backoff of a watch on discovery. Performs no I/O and reads no clock.
/// tests/platform/discovery/watch_policy_test.cpp simulates sequences of silence, refused and reset
/// connections, and recovery.
///
/// Required bound: a change must reach the router within 6 s of the time at which discovery has it and is
/// reachable, regardless of earlier failures of the watch.
#pragma once

#include <optional>

#include "policy/routing_policy.h"

namespace garnethook::platform {

/// State machine for one connection at a time. All times are in microseconds of one monotonic clock.
class WatchPolicy {
 public:
  /// Timeouts and backoff, in microseconds.
  struct Options {
    Micros connectTimeout = 1'000'000;  ///< Limit for establishing a connection.
    Micros initialBackoff = 50'000;     ///< Delay before the first reconnect.
    Micros maxBackoff = 500'000;        ///< Limit of the delay, which doubles while no data is received.
    /// Maximum time without data. A live watch receives an empty line every 2 s; if it is missing, the
    /// connection is dead or discovery is down. A reconnect is cheap: one connection to an agent on this
    /// host, which responds with its complete list.
    Micros silenceTimeout = 2'400'000;
    /// Maximum time without data on the first connection to an address. The agent responds at once unless
    /// discovery is down, so a longer silence most likely concerns this connection only; the next one is
    /// opened beside it.
    Micros firstResponseTimeout = 1'000'000;
    /// Maximum time from the start of a list to its end. A truncated list would absorb the lists that follow
    /// it for as long as keep-alives arrive.
    Micros messageTimeout = 4'800'000;
  };

  /// Action to take at `nextStepAt`.
  enum class Step {
    connect,  ///< Open a connection.
    close,    ///< Close the current connection.
  };

  /// @param options timeouts and backoff
  explicit WatchPolicy(const Options& options) : options_(options) {}
  /// Uses the default timeouts.
  WatchPolicy() : WatchPolicy(Options{}) {}

  /// The timeouts in use.
  const Options& options() const { return options_; }

  /// A connection attempt starts, regardless of any connection open before.
  void onConnecting(Micros now);

  /// Data was received.
  /// @param now current time
  /// @param isInsideMessage whether a list has started but is not complete
  void onDataReceived(Micros now, bool isInsideMessage);

  /// The connection ended or was closed by the router.
  void onClosed(Micros now);

  /// A list was invalid. The next connection is delayed by the maximum backoff, since it may deliver the same
  /// list again.
  void onInvalidMessage() { receivedInvalidMessage_ = true; }

  /// The address has changed; the new address has not failed yet.
  void onAddressChanged() {
    consecutiveFailures_ = 0;
    isFirstConnection_ = true;
  }

  /// Returns the next action, unless another event occurs first.
  Step nextStep() const { return isConnected_ ? Step::close : Step::connect; }

  /// Returns the time of the next action.
  Micros nextStepAt() const { return nextStepAt_; }

 private:
  Options options_;
  bool isConnected_ = false;  // connecting or connected
  Micros nextStepAt_ = 0;
  std::optional<Micros> messageStartedAt_;
  int consecutiveFailures_ = 0;
  bool receivedInvalidMessage_ = false;
  bool isFirstConnection_ = true;  // to the current address
};

}  // namespace garnethook::platform
