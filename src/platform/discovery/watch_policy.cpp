#include "platform/discovery/watch_policy.h"

#include <algorithm>
#include <utility>

namespace garnethook::platform {
namespace {

constexpr int kMaxDoublings = 10;  // keeps the shift in range; the backoff reaches its maximum much earlier

}  // namespace

void WatchPolicy::onConnecting(Micros now) {
  isConnected_ = true;
  messageStartedAt_.reset();
  const bool isFirst = std::exchange(isFirstConnection_, false);
  nextStepAt_ = now + (isFirst ? options_.firstResponseTimeout : options_.silenceTimeout);
}

void WatchPolicy::onDataReceived(Micros now, bool isInsideMessage) {
  consecutiveFailures_ = 0;
  if (!isInsideMessage)
    messageStartedAt_.reset();
  else if (!messageStartedAt_)
    messageStartedAt_ = now;
  nextStepAt_ = now + options_.silenceTimeout;
  if (messageStartedAt_) nextStepAt_ = std::min(nextStepAt_, *messageStartedAt_ + options_.messageTimeout);
}

void WatchPolicy::onClosed(Micros now) {
  isConnected_ = false;
  const Micros backoff =
      std::min(options_.initialBackoff << std::min(consecutiveFailures_, kMaxDoublings), options_.maxBackoff);
  const bool hadInvalidMessage = std::exchange(receivedInvalidMessage_, false);
  nextStepAt_ = now + (hadInvalidMessage ? options_.maxBackoff : backoff);
  ++consecutiveFailures_;
}

}  // namespace garnethook::platform
