/// @file
/// Whether a client's connection stays open after the current response (RFC 9112 section 9.3). Free of I/O.
#pragma once

#include <algorithm>

namespace garnethook::platform {

/// When the connection ends. The decision only ever moves towards the end.
class Persistence {
 public:
  /// The connection ends once all buffered input has been answered: the router drains, or input was lost.
  void closeAfterBufferedInput() { raise(State::closeAfterBufferedInput); }
  /// The connection ends after the current request: its client announced that it sends no other.
  void closeAfterCurrentRequest() { raise(State::closeAfterCurrentRequest); }
  /// Decides, as a response's head is written, whether it is the last one; the head has to announce that.
  /// @param hasMoreInput whether more was received behind the request that is being answered
  bool announceClose(bool hasMoreInput) {
    const bool isLast = state_ == State::closeAfterCurrentRequest ||
                        (state_ == State::closeAfterBufferedInput && !hasMoreInput);
    if (isLast) raise(State::closeAnnounced);
    return isClosingAnnounced();
  }
  /// Whether the connection ends sooner or later.
  bool isClosing() const { return state_ != State::keepAlive; }
  /// Whether the client has been told that the current response is the last one.
  bool isClosingAnnounced() const { return state_ == State::closeAnnounced; }

 private:
  enum class State { keepAlive, closeAfterBufferedInput, closeAfterCurrentRequest, closeAnnounced };
  void raise(State state) { state_ = std::max(state_, state); }

  State state_ = State::keepAlive;
};

}  // namespace garnethook::platform
