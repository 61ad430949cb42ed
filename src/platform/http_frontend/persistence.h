/// @file
/// Whether a client connection stays open after the current response (RFC 9112 section 9.3). Performs no I/O.
#pragma once

#include <algorithm>

namespace garnethook::platform {

/// Decides when the connection is closed. The decision only moves towards the close, never back.
class Persistence {
 public:
  /// Closes once all buffered input has been answered, because the router is draining or input was discarded.
  void closeAfterBufferedInput() { advanceTo(State::closeAfterBufferedInput); }
  /// Closes after the current request, because its client announced that it sends no further request.
  void closeAfterCurrentRequest() { advanceTo(State::closeAfterCurrentRequest); }
  /// Called when a response's head is written. Returns whether this is the last response, which the head must
  /// announce.
  /// @param hasMoreInput whether input was received after the request that is being answered
  bool announceClose(bool hasMoreInput) {
    const bool isLast = state_ == State::closeAfterCurrentRequest ||
                        (state_ == State::closeAfterBufferedInput && !hasMoreInput);
    if (isLast) advanceTo(State::closeAnnounced);
    return isClosingAnnounced();
  }
  /// Whether the connection is to be closed.
  bool isClosing() const { return state_ != State::keepAlive; }
  /// Whether the close was announced to the client in the current response.
  bool isClosingAnnounced() const { return state_ == State::closeAnnounced; }

 private:
  enum class State { keepAlive, closeAfterBufferedInput, closeAfterCurrentRequest, closeAnnounced };
  void advanceTo(State state) { state_ = std::max(state_, state); }

  State state_ = State::keepAlive;
};

}  // namespace garnethook::platform
