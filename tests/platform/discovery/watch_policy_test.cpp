// Tests when a watch on discovery is closed and reconnected, without sockets.
#include "platform/discovery/watch_policy.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "platform/discovery/watch_error.h"

namespace garnethook::platform {
namespace {

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1'000'000;
constexpr Micros kKeepAliveInterval = 2 * kSecond;  // of the stream from discovery

TEST(WatchPolicy, IncreasesTheBackoffAndResetsItWhenDataIsReceived) {
  WatchPolicy policy;
  const auto backoff = [&] {
    policy.onClosed(0);
    EXPECT_EQ(policy.nextStep(), WatchPolicy::Step::connect);
    return policy.nextStepAt();
  };
  const Micros first = backoff();
  EXPECT_GT(backoff(), first);
  for (int i = 0; i < 50; ++i) EXPECT_LE(backoff(), policy.options().maxBackoff);
  policy.onDataReceived(0, false);
  EXPECT_EQ(backoff(), first);
  backoff();
  policy.onAddressChanged();
  EXPECT_EQ(backoff(), first);
}

// Prevents a tight reconnect loop: discovery may deliver the same invalid list again immediately.
TEST(WatchPolicy, UsesTheMaximumBackoffAfterAnInvalidMessage) {
  WatchPolicy policy;
  policy.onConnecting(0);
  policy.onDataReceived(1000, false);
  policy.onInvalidMessage();
  policy.onClosed(1000);
  EXPECT_EQ(policy.nextStep(), WatchPolicy::Step::connect);
  EXPECT_EQ(policy.nextStepAt(), 1000 + policy.options().maxBackoff);
  policy.onConnecting(policy.nextStepAt());
  policy.onDataReceived(2'000'000, false);
  policy.onClosed(2'000'000);
  EXPECT_EQ(policy.nextStepAt(), 2'000'000 + policy.options().initialBackoff);
}

TEST(WatchPolicy, ClosesAWatchWhoseListIsNotCompletedDespiteFurtherData) {
  WatchPolicy policy;
  policy.onConnecting(0);
  policy.onDataReceived(100 * kMillisecond, true);
  Micros now = 100 * kMillisecond;
  for (int i = 0; i < 60 && policy.nextStepAt() > now + kSecond; ++i)
    policy.onDataReceived(now += kSecond, true);
  EXPECT_EQ(policy.nextStep(), WatchPolicy::Step::close);
  EXPECT_LE(policy.nextStepAt(), 5 * kSecond);
  policy.onDataReceived(now, false);  // the list is complete now
  EXPECT_EQ(policy.nextStepAt(), now + policy.options().silenceTimeout);
}

// States of the simulated discovery, which determine the behaviour of new and of open connections.
enum class DiscoveryState {
  serving,     // new connections receive the list immediately and a keep-alive every 2 s
  silent,      // new connections are established but receive no data; open ones receive no more
  blackholed,  // new connections are never established; open ones receive no more data
  refusing,    // new connections are refused; open ones are reset
  resetting    // new connections are reset shortly after being established; open ones are reset
};

struct StatePeriod {
  DiscoveryState state;
  Micros duration;
};

// Simulates the policy with a discovery that passes through a sequence of states and then serves permanently.
class WatchSimulation {
 public:
  explicit WatchSimulation(const std::vector<StatePeriod>& periods) : periods_(periods) {
    for (const auto& period : periods_) recoveredAt_ += period.duration;
  }

  // Returns the time from discovery's recovery to the first data received.
  Micros timeToFirstData() {
    connect();
    while (now_ < recoveredAt_ + 20 * kSecond) {
      now_ = std::min({policy_.nextStepAt(), nextStateChangeAt(), nextDataAt_, connectFailsAt_});
      applyDiscoveryState();
      failConnect();
      if (isOpen_ && now_ == nextDataAt_) {
        if (stateAt(now_) == DiscoveryState::serving && now_ >= recoveredAt_) return now_ - recoveredAt_;
        policy_.onDataReceived(now_, false);
        nextDataAt_ = now_ + kKeepAliveInterval;
      }
      if (now_ >= policy_.nextStepAt()) runNextStep();
    }
    return kNever;
  }

 private:
  static constexpr Micros kNever = 1'000 * kSecond;

  DiscoveryState stateAt(Micros at) const {
    Micros end = 0;
    for (const auto& period : periods_)
      if (at < (end += period.duration)) return period.state;
    return DiscoveryState::serving;
  }
  Micros nextStateChangeAt() const {
    Micros end = 0;
    for (const auto& period : periods_)
      if ((end += period.duration) > now_) return end;
    return kNever;
  }
  void connect() {
    policy_.onConnecting(now_);
    const DiscoveryState state = stateAt(now_);
    const bool receivesNoData = state == DiscoveryState::silent || state == DiscoveryState::blackholed;
    isOpen_ = true;
    connectFailsAt_ = state == DiscoveryState::blackholed ? now_ + policy_.options().connectTimeout : kNever;
    nextDataAt_ = receivesNoData ? kNever : now_ + kMillisecond;
  }
  void close() {
    isOpen_ = false;
    nextDataAt_ = connectFailsAt_ = kNever;
    policy_.onClosed(now_);
  }
  void applyDiscoveryState() {
    const DiscoveryState state = stateAt(now_);
    if (!isOpen_) return;
    if (state == DiscoveryState::refusing || state == DiscoveryState::resetting) return close();
    if (state == DiscoveryState::silent || state == DiscoveryState::blackholed) nextDataAt_ = kNever;
  }
  void failConnect() {
    if (now_ != connectFailsAt_) return;
    connectFailsAt_ = kNever;
    if (isOpen_) policy_.onClosed(now_);
    isOpen_ = false;
  }
  void runNextStep() {
    if (policy_.nextStep() == WatchPolicy::Step::connect)
      connect();
    else
      close();
  }

  std::vector<StatePeriod> periods_;
  WatchPolicy policy_;
  Micros now_ = 0;
  Micros recoveredAt_ = 0;
  bool isOpen_ = false;             // a connection is established or being established
  Micros connectFailsAt_ = kNever;  // when an attempt that is never established fails
  Micros nextDataAt_ = kNever;      // when the connection receives data
};

TEST(WatchPolicy, ReceivesDataWithinSixSecondsOfDiscoveryRecoveryAfterAnyFailures) {
  std::vector<StatePeriod> periods;
  for (const DiscoveryState state :
       {DiscoveryState::serving, DiscoveryState::silent, DiscoveryState::blackholed, DiscoveryState::refusing,
        DiscoveryState::resetting})
    for (const Micros duration : {1 * kMillisecond, 700 * kMillisecond, 2'300 * kMillisecond,
                                  3'100 * kMillisecond, 8'000 * kMillisecond})
      periods.push_back({state, duration});
  Micros longest = 0;
  for (const auto& first : periods)
    for (const auto& second : periods)
      for (const auto& third : periods)
        longest = std::max(longest, WatchSimulation({first, second, third}).timeToFirstData());
  EXPECT_LE(longest, 5 * kSecond);  // leaves one second for the transfer
  EXPECT_GE(longest, 2 * kSecond);  // proves that the simulation contains watches that timed out
}

// Covers a watch that becomes silent while new connections are served, immediately or after a longer time.
TEST(WatchPolicy, ReplacesASilentWatchSoonAfterAMissedKeepAlive) {
  for (const Micros silentFrom :
       {1 * kMillisecond, 900 * kMillisecond, 13'000 * kMillisecond, 60'000 * kMillisecond}) {
    WatchPolicy policy;
    policy.onConnecting(0);
    Micros lastDataAt = 0;
    for (Micros at = kMillisecond; at <= silentFrom; at += kKeepAliveInterval)
      policy.onDataReceived(lastDataAt = at, false);
    EXPECT_EQ(policy.nextStep(), WatchPolicy::Step::close);
    // The watch is not closed before a keep-alive is overdue.
    EXPECT_GT(policy.nextStepAt(), lastDataAt + kKeepAliveInterval);
    policy.onClosed(policy.nextStepAt());
    EXPECT_EQ(policy.nextStep(), WatchPolicy::Step::connect);
    EXPECT_LE(policy.nextStepAt(), std::max(silentFrom, kMillisecond) + 3 * kSecond);
  }
}

// Guards against a process that waits long for its first list because its first connection alone is silent:
// the next one is opened within 1.1 s, also after a change of the address. Later connections get the time in
// which a discovery that is slow responds.
TEST(WatchPolicy, ReplacesAFirstConnectionThatNeverRespondsSooner) {
  WatchPolicy policy;
  Micros now = 0;
  for (int address = 0; address < 2; ++address) {
    policy.onAddressChanged();
    const Micros connectedAt = now;
    policy.onConnecting(now);
    EXPECT_EQ(policy.nextStep(), WatchPolicy::Step::close);
    policy.onClosed(policy.nextStepAt());
    EXPECT_EQ(policy.nextStep(), WatchPolicy::Step::connect);
    now = policy.nextStepAt();
    EXPECT_LE(now - connectedAt, 1'100 * kMillisecond);
    policy.onConnecting(now);
    EXPECT_EQ(policy.nextStepAt(), now + policy.options().silenceTimeout);
    now = policy.nextStepAt();
  }
}

TEST(WatchError, IncludesTheDetailInItsMessage) {
  EXPECT_EQ((WatchError{WatchErrorCode::silent}).message(), "silent");
  EXPECT_EQ((WatchError{WatchErrorCode::unexpectedStatus, "500"}).message(), "unexpected status: 500");
}

}  // namespace
}  // namespace garnethook::platform
