/// @file
/// When to give up waiting for a client to close a connection that this side has shut down. Free of I/O and
/// clocks.
#pragma once

#include <cstddef>

namespace garnethook::platform {

/// A connection that is shut down for sending stays open until its client closes it too, so that no reset
/// takes away a response which the client has not read yet. Bounds that wait.
class LingeringClose {
 public:
  /// @param maxDiscardedBytes input that is read and thrown away before the connection is closed
  explicit LingeringClose(std::size_t maxDiscardedBytes) : maxDiscardedBytes_(maxDiscardedBytes) {}

  /// Starts the wait for the next check.
  /// @param unsentBytes bytes that wait to be sent
  void startInterval(std::size_t unsentBytes) { unsentAtLastCheck_ = unsentBytes; }
  /// Whether to wait for another interval: only while the client goes on reading what is left for it, and
  /// not without end.
  /// @param unsentBytes bytes that still wait to be sent
  bool shouldWaitAgain(std::size_t unsentBytes) {
    const bool clientReads = unsentBytes > 0 && unsentBytes < unsentAtLastCheck_;
    return clientReads && ++checks_ < kMaxChecks;
  }
  /// Counts input that was thrown away. @return false: the client has sent too much
  bool discard(std::size_t bytes) {
    discardedBytes_ += bytes;
    return discardedBytes_ <= maxDiscardedBytes_;
  }

 private:
  static constexpr int kMaxChecks = 10;
  std::size_t maxDiscardedBytes_;
  std::size_t discardedBytes_ = 0;
  std::size_t unsentAtLastCheck_ = 0;
  int checks_ = 0;
};

}  // namespace garnethook::platform
