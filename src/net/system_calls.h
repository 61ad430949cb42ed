/// @file
/// Non-blocking Linux socket calls whose errors are classified by their meaning for the caller. Socket error
/// numbers are interpreted only here: POCO's own calls throw as if the connection were lost, even if a call
/// was merely interrupted or memory was temporarily short.
///
/// No function here throws or blocks. An interrupted call is repeated immediately, a bounded number of times.
/// The errors are documented in section 2 of the Linux manual pages.
#pragma once

#include <sys/socket.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace garnethook::net {

/// Outcome of a transfer of bytes.
enum class Transfer {
  done,        ///< `count` bytes were transferred.
  ended,       ///< The peer has sent a FIN (receiving only).
  retryLater,  ///< No bytes: the socket is empty or full, or the system is temporarily short of memory.
  broken       ///< The connection is lost.
};
/// Result of a transfer.
struct TransferResult {
  Transfer transfer = Transfer::retryLater;  ///< Outcome.
  std::size_t count = 0;                     ///< Number of bytes transferred.
};

/// Receives the available bytes, at most as many as fit into the buffer.
TransferResult receiveBytes(int descriptor, std::span<char> buffer);
/// Sends as many bytes as the socket accepts.
TransferResult sendBytes(int descriptor, std::string_view bytes);

/// Unread input of a socket.
enum class Unread {
  nothing,  ///< The socket is empty.
  bytes,    ///< Bytes are unread.
  end,      ///< The peer's FIN.
  broken,   ///< The connection is lost.
  unknown   ///< The system cannot report it at the moment.
};
/// Checks for unread input without consuming it.
Unread peekUnread(int descriptor);

/// Whether the peer has closed or reset the connection, even if unread bytes precede the close.
bool peerHasClosed(int descriptor);

/// Time since bytes were last received from the peer, read or not, in microseconds with millisecond
/// resolution; `std::nullopt` if the system cannot report it.
std::optional<std::int64_t> timeSinceLastReceive(int descriptor);

/// Outcome of accepting a connection.
enum class Accept {
  done,           ///< `descriptor` refers to the connection; it is non-blocking and closed on exec.
  queueEmpty,     ///< No connection is queued.
  tryAgain,       ///< A queued connection has failed, or the call was interrupted; others may be queued.
  outOfResources  ///< No descriptor or memory is available; the connections stay queued.
};
/// Result of accepting a connection.
struct AcceptResult {
  Accept accept = Accept::queueEmpty;  ///< Outcome.
  int descriptor = -1;                 ///< Descriptor of the connection; valid if accepted.
};
/// Accepts the oldest queued connection.
AcceptResult acceptConnection(int listener);
/// Makes the kernel drop, without an answer, each packet to this listener that would begin a handshake.
/// Handshakes that have begun continue, so connections may join the accept queue for one more round trip. No
/// effect on systems without socket filters.
void dropNewHandshakes(int listener);

/// Outcome of starting to connect.
enum class Connect {
  started,     ///< `descriptor` becomes writable when the connection is established or has failed.
  refused,     ///< The peer's host refused the connection, or the network failed permanently.
  unavailable  ///< This machine cannot connect at the moment: no descriptor, memory, port or route. Does not
               ///< indicate a fault of the peer.
};
/// Result of starting to connect.
struct ConnectResult {
  Connect connect = Connect::unavailable;  ///< Outcome.
  int descriptor = -1;                     ///< Descriptor of the connection; valid if started.
};
/// Starts to connect to `peer`. `local`: address to bind to; null: chosen by the system.
ConnectResult startConnect(const sockaddr* peer, socklen_t peerSize, const sockaddr* local,
                           socklen_t localSize);

/// State of a connection that was started.
enum class Progress {
  unknown,      ///< The system cannot report it at the moment.
  established,  ///< The connection is established.
  refused,      ///< See `Connect::refused`.
  timedOut,     ///< The peer did not answer within the kernel's timeout.
  unavailable   ///< See `Connect::unavailable`.
};
/// Returns the state of a connection that was started.
Progress connectionProgress(int descriptor);

/// Disables Nagle's algorithm, so that small writes are sent immediately. Tries a bounded number of times.
void disableNagle(int descriptor);

}  // namespace garnethook::net
