/// @file
/// Bounds the wait for a client to close a connection that this side has shut down. Performs no I/O and reads
/// no clock.
#pragma once

#include <cstddef>

namespace garnethook::platform {

/// Limits how long a connection that is shut down for sending waits for its client to close. An earlier close
/// could reset the connection and discard a response that the client has not read yet.
class LingeringClose {
 public:
  /// @param maxDiscardedBytes maximum input that is read and discarded before the connection is closed
  explicit LingeringClose(std::size_t maxDiscardedBytes) : maxDiscardedBytes_(maxDiscardedBytes) {}

  /// Starts a wait interval.
  /// @param unsentBytes bytes not sent yet
  void startInterval(std::size_t unsentBytes) { unsentAtIntervalStart_ = unsentBytes; }
  /// Whether to wait for another interval: only while the client keeps reading the unsent bytes, for a
  /// limited number of intervals.
  /// @param unsentBytes bytes still not sent
  bool shouldWaitAgain(std::size_t unsentBytes) {
    const bool isClientReading = unsentBytes > 0 && unsentBytes < unsentAtIntervalStart_;
    return isClientReading && ++intervals_ < kMaxIntervals;
  }
  /// Counts discarded input. @return false if the limit is exceeded
  bool discard(std::size_t bytes) {
    discardedBytes_ += bytes;
    return discardedBytes_ <= maxDiscardedBytes_;
  }

 private:
  static constexpr int kMaxIntervals = 10;
  std::size_t maxDiscardedBytes_;
  std::size_t discardedBytes_ = 0;
  std::size_t unsentAtIntervalStart_ = 0;
  int intervals_ = 0;
};

}  // namespace garnethook::platform
