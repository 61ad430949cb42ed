/// @file
/// Non-blocking socket calls of Linux with their errors sorted by what they mean for the caller. The one
/// place that knows error numbers; POCO's own calls throw where a call was merely interrupted, or memory was
/// short for a moment, as if the connection were broken.
///
/// No call here throws or waits. An interrupted call is repeated at once, a bounded number of times. Sources:
/// the manual pages of section 2 for each call.
#pragma once

#include <sys/socket.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace garnethook::net {

/// How a transfer of bytes went.
enum class Transfer {
  done,    ///< Some bytes, as `count` tells.
  ended,   ///< The peer sends no more (receiving only).
  notNow,  ///< Nothing yet: the socket is empty or full, or the system short of memory for the moment.
  broken   ///< The connection is lost.
};
/// The result of a transfer.
struct TransferResult {
  Transfer transfer = Transfer::notNow;  ///< How it went.
  std::size_t count = 0;                 ///< Bytes transferred.
};

/// Receives as many bytes as are there, at most as many as fit.
TransferResult receiveBytes(int descriptor, std::span<char> into);
/// Sends as many bytes as the socket takes.
TransferResult sendBytes(int descriptor, std::string_view bytes);

/// What waits unread at a socket.
enum class Unread {
  nothing,  ///< The socket is empty.
  bytes,    ///< Bytes.
  end,      ///< The peer's end (FIN).
  broken,   ///< The connection is lost.
  unknown   ///< The system does not tell at the moment.
};
/// Looks at what waits unread without taking it.
Unread lookAtUnread(int descriptor);

/// Whether the peer has closed or reset the connection, also behind bytes that were not read yet.
bool peerHasClosed(int descriptor);

/// Bytes that were written and that the peer's system has not acknowledged yet; nothing where the system does
/// not tell.
std::optional<std::size_t> unacknowledgedBytes(int descriptor);

/// How long ago the latest bytes came from the peer, read or not, in microseconds by the millisecond; nothing
/// where the system does not tell.
std::optional<std::int64_t> timeSinceLastReceive(int descriptor);

/// How an attempt to accept a connection went.
enum class Accept {
  done,      ///< `descriptor` is the connection's: non-blocking, closed on exec.
  none,      ///< Nobody waits.
  tryAgain,  ///< One that waited has failed, or the call was interrupted; others may wait.
  noRoom     ///< No descriptor or memory: whoever waits goes on waiting.
};
/// The result of an attempt to accept a connection.
struct AcceptResult {
  Accept accept = Accept::none;  ///< How it went.
  int descriptor = -1;           ///< The connection's, where it is done.
};
/// Accepts the oldest connection that waits.
AcceptResult acceptConnection(int listener);
/// From now on the system takes no further connection for this listener, so that its queue can be emptied for
/// good; what comes is dropped without an answer. Where the system has no socket filters, nothing changes.
void refuseNewConnections(int listener);

/// How the beginning of a connection went.
enum class Connect {
  begun,       ///< `descriptor` becomes writable when it is up or has failed.
  refused,     ///< The peer's machine, or the network for good, says no.
  unavailable  ///< This machine cannot at the moment: no descriptor, memory, port or route. Tells nothing of
               ///< the peer.
};
/// The result of starting to connect.
struct ConnectResult {
  Connect connect = Connect::unavailable;  ///< How it went.
  int descriptor = -1;                     ///< The connection's, where it has begun.
};
/// Starts to connect. `from`: a local address to bind to; none: the system's choice.
ConnectResult beginConnection(const sockaddr* to, socklen_t toSize, const sockaddr* from, socklen_t fromSize);

/// What has become of a connection that was begun.
enum class Progress {
  unknown,     ///< The system does not tell at the moment.
  up,          ///< The connection is established.
  refused,     ///< As `Connect::refused`.
  timedOut,    ///< No answer in the system's own time.
  unavailable  ///< As `Connect::unavailable`.
};
/// What has become of a connection that was begun.
Progress connectionProgress(int descriptor);

/// Small writes go out at once. Tries a bounded number of times.
void sendWithoutDelay(int descriptor);

}  // namespace garnethook::net
