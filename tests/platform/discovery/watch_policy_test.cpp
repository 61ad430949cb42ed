// When a watch of discovery is closed and connected again, without sockets.
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
constexpr Micros kKeepAliveInterval = 2 * kSecond;  // of discovery

TEST(WatchPolicy, GrowsItsBackoffAndResetsItOnceDataCame) {
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

// The same list may come again at once: it is requested again, but not in a tight loop.
TEST(WatchPolicy, WaitsForTheLongestPauseAfterAnInvalidMessage) {
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

TEST(WatchPolicy, ClosesAWatchWhoseListDoesNotEndWhateverElseComes) {
  WatchPolicy policy;
  policy.onConnecting(0);
  policy.onDataReceived(100 * kMillisecond, true);
  Micros now = 100 * kMillisecond;
  for (int i = 0; i < 60 && policy.nextStepAt() > now + kSecond; ++i)
    policy.onDataReceived(now += kSecond, true);
  EXPECT_EQ(policy.nextStep(), WatchPolicy::Step::close);
  EXPECT_LE(policy.nextStepAt(), 5 * kSecond);
  policy.onDataReceived(now, false);  // the list ended after all
  EXPECT_EQ(policy.nextStepAt(), now + policy.options().silenceTimeout);
}

// The states of a simulated discovery: what becomes of connections begun in a state, and of those that are
// open.
enum class DiscoveryState {
  serving,     // a new connection gets at once what there is, and a keep-alive every 2 s
  silent,      // new connections come up but get no data; open ones get none any more
  blackholed,  // new connections never come up; open ones get no data any more
  refusing,    // new connections are refused; open ones are reset
  resetting    // new connections are reset after a moment; open ones too
};

struct Stretch {
  DiscoveryState state;
  Micros duration;
};

// Plays the policy against a discovery that passes through stretches of states and then serves for good.
class WatchSimulation {
 public:
  explicit WatchSimulation(const std::vector<Stretch>& stretches) : stretches_(stretches) {
    for (const auto& stretch : stretches_) recoveredAt_ += stretch.duration;
  }

  // How long after discovery's recovery the first data came.
  Micros timeToFirstData() {
    connect();
    while (now_ < recoveredAt_ + 20 * kSecond) {
      now_ = std::min({policy_.nextStepAt(), nextStateChangeAt(), dataAt_, connectFailsAt_});
      applyState();
      failConnect();
      if (isOpen_ && now_ == dataAt_) {
        if (stateAt(now_) == DiscoveryState::serving && now_ >= recoveredAt_) return now_ - recoveredAt_;
        policy_.onDataReceived(now_, false);
        dataAt_ = now_ + kKeepAliveInterval;
      }
      if (now_ >= policy_.nextStepAt()) runNextStep();
    }
    return kNever;
  }

 private:
  static constexpr Micros kNever = 1'000 * kSecond;

  DiscoveryState stateAt(Micros at) const {
    Micros end = 0;
    for (const auto& stretch : stretches_)
      if (at < (end += stretch.duration)) return stretch.state;
    return DiscoveryState::serving;
  }
  Micros nextStateChangeAt() const {
    Micros end = 0;
    for (const auto& stretch : stretches_)
      if ((end += stretch.duration) > now_) return end;
    return kNever;
  }
  void connect() {
    policy_.onConnecting(now_);
    const DiscoveryState state = stateAt(now_);
    const bool isMute = state == DiscoveryState::silent || state == DiscoveryState::blackholed;
    isOpen_ = true;
    connectFailsAt_ = state == DiscoveryState::blackholed ? now_ + policy_.options().connectTimeout : kNever;
    dataAt_ = isMute ? kNever : now_ + kMillisecond;
  }
  void close() {
    isOpen_ = false;
    dataAt_ = connectFailsAt_ = kNever;
    policy_.onClosed(now_);
  }
  void applyState() {
    const DiscoveryState state = stateAt(now_);
    if (!isOpen_) return;
    if (state == DiscoveryState::refusing || state == DiscoveryState::resetting) return close();
    if (state == DiscoveryState::silent || state == DiscoveryState::blackholed) dataAt_ = kNever;
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

  std::vector<Stretch> stretches_;
  WatchPolicy policy_;
  Micros now_ = 0;
  Micros recoveredAt_ = 0;
  bool isOpen_ = false;             // a connection is up, or coming up
  Micros connectFailsAt_ = kNever;  // where it never comes up
  Micros dataAt_ = kNever;          // when data comes on it
};

TEST(WatchPolicy, GetsDataWithinSixSecondsOfDiscoverysRecoveryWhateverHappenedBefore) {
  std::vector<Stretch> stretches;
  for (const DiscoveryState state :
       {DiscoveryState::serving, DiscoveryState::silent, DiscoveryState::blackholed, DiscoveryState::refusing,
        DiscoveryState::resetting})
    for (const Micros duration : {1 * kMillisecond, 700 * kMillisecond, 2'300 * kMillisecond,
                                  3'100 * kMillisecond, 8'000 * kMillisecond})
      stretches.push_back({state, duration});
  Micros longest = 0;
  for (const auto& first : stretches)
    for (const auto& second : stretches)
      for (const auto& third : stretches)
        longest = std::max(longest, WatchSimulation({first, second, third}).timeToFirstData());
  EXPECT_LE(longest, 5 * kSecond);  // which leaves a second for the transfer
  EXPECT_GE(longest, 2 * kSecond);  // the simulation does contain watches that were found silent
}

// A watch that falls silent while new ones are served: from its first second, or late.
TEST(WatchPolicy, ReplacesASilentWatchSoonAfterAMissedKeepAlive) {
  for (const Micros silentFrom : {0 * kMillisecond, 1 * kMillisecond, 900 * kMillisecond,
                                  13'000 * kMillisecond, 60'000 * kMillisecond}) {
    WatchPolicy policy;
    policy.onConnecting(0);
    Micros lastDataAt = 0;
    for (Micros at = kMillisecond; at <= silentFrom; at += kKeepAliveInterval)
      policy.onDataReceived(lastDataAt = at, false);
    EXPECT_EQ(policy.nextStep(), WatchPolicy::Step::close);
    EXPECT_GT(policy.nextStepAt(), lastDataAt + kKeepAliveInterval);  // one keep-alive is waited for
    policy.onClosed(policy.nextStepAt());
    EXPECT_EQ(policy.nextStep(), WatchPolicy::Step::connect);
    EXPECT_LE(policy.nextStepAt(), std::max(silentFrom, kMillisecond) + 3 * kSecond);
  }
}

TEST(WatchError, DescribesItselfWithItsDetail) {
  EXPECT_EQ((WatchError{WatchErrorCode::silent}).message(), "silent");
  EXPECT_EQ((WatchError{WatchErrorCode::unexpectedStatus, "500"}).message(), "unexpected status: 500");
}

}  // namespace
}  // namespace garnethook::platform
