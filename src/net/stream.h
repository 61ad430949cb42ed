/// @file
/// A non-blocking TCP connection that is driven by the event loop.
#pragma once

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/arrival.h"
#include "net/loop.h"
#include "net/socket_watch.h"

namespace garnethook::net {

/// Why a stream was closed.
enum class CloseCause {
  peerClosed,   ///< The peer closed the connection.
  reset,        ///< The peer reset the connection, or it was lost.
  refused,      ///< The peer's host refused the connection, or the host is unreachable.
  timedOut,     ///< The connection was not established in time.
  unavailable,  ///< This machine could not start the connection in time (no descriptor, memory, port or
                ///< route), which does not indicate a fault of the peer.
  local         ///< The local side closed the connection.
};

/// Receives the events of a stream, on the loop's thread.
class StreamEvents {
 public:
  virtual ~StreamEvents() = default;
  /// The connection is established.
  virtual void onConnected() {}
  /// Bytes have arrived.
  virtual void onBytes(std::string_view bytes) = 0;
  /// All pending bytes have been sent; more may be sent.
  virtual void onDrained() {}
  /// The connection has ended. Called at most once, never from inside send() or close(); no other event
  /// follows.
  virtual void onClosed(CloseCause cause) = 0;
};

/// A TCP connection. Must be used on the loop's thread only.
class Stream {
 public:
  /// Wraps an accepted, connected socket.
  /// @param loop event loop that drives the stream; must outlive it
  /// @param socket the connected socket
  /// @param events receives the stream's events; must outlive the stream
  /// @param connectedSince earliest time at which the connection may have been established
  Stream(Loop& loop, const Poco::Net::StreamSocket& socket, StreamEvents& events, Micros connectedSince);
  /// Wraps an accepted, connected socket of which nothing is known but that it is connected now.
  Stream(Loop& loop, const Poco::Net::StreamSocket& socket, StreamEvents& events)
      : Stream(loop, socket, events, loop.earliestArrival()) {}
  /// Starts to connect; onConnected follows, or onClosed with refused, timedOut or unavailable. If this
  /// machine cannot start the connection, it is retried until the timeout.
  /// @param loop event loop that drives the stream; must outlive it
  /// @param peer address to connect to
  /// @param sourceAddress local address to bind to, with an ephemeral port; empty: chosen by the system
  /// @param connectTimeout in microseconds
  /// @param events receives the stream's events; must outlive the stream
  Stream(Loop& loop, const Poco::Net::SocketAddress& peer, const std::string& sourceAddress,
         Micros connectTimeout, StreamEvents& events);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  /// Sends all bytes; those that the socket does not accept immediately are buffered, see pending(), and
  /// onDrained follows once it has accepted them.
  void send(std::string_view bytes);
  /// Sends as many bytes as the socket accepts, none while bytes are pending. If not all were accepted,
  /// onDrained follows.
  /// @return number of bytes accepted
  std::size_t trySend(std::string_view bytes);
  /// Number of bytes passed to send() that the socket has not accepted yet.
  std::size_t pending() const { return sendBuffer_.size() - sentBytes_; }
  /// After the close: number of bytes passed to send() that the socket never accepted.
  std::size_t unsent() const { return unsent_; }
  /// Pauses reading, so that TCP flow control stops the peer, or resumes it.
  void pauseReading(bool paused);
  /// Whether the connection has been established.
  bool connected() const { return isConnected_; }
  /// Whether the stream is connected, no received bytes are unread and the peer has not closed the
  /// connection; queries the system.
  bool quiet() const;
  /// Whether the stream has not been closed.
  bool open() const { return isOpen_; }
  /// Closes immediately; no event follows.
  /// @param abort whether to reset the connection instead of closing it in order
  void close(bool abort = false);
  /// Closes once all pending bytes have been sent, or after the timeout.
  void closeAfterSending(Micros timeout);
  /// How received bytes are handled after finishSending().
  enum class Inbound {
    read,  ///< Reading continues, since a close with unread bytes would reset the connection and discard
           ///< bytes that the peer has not read yet.
    leaveUnread  ///< Reading stops, so that a request that crosses the FIN stays unread.
  };
  /// Accepts no more bytes to send; once all pending bytes have been sent, sends a FIN. onClosed follows when
  /// the peer has closed too; the owner must bound how long that may take.
  void finishSending(Inbound inbound = Inbound::read);
  /// When the bytes of the latest onBytes() arrived.
  const Arrival& arrival() const { return arrival_; }
  /// Whether the peer has closed or reset the connection, even if that has not been read yet; queries the
  /// system.
  bool peerGone() const;

 private:
  SocketWatch::Events watchEvents();
  void onReadable();
  void recordArrival(bool mayHaveMore);
  void onWritable();
  void onError();
  void connect();
  void retryConnect();
  void onConnectProgress();
  int descriptor() const { return socket_.impl()->sockfd(); }
  void watch(bool reading, bool writing);
  void watchReading(bool on);
  void watchWriting(bool on);
  void flush();
  void clearSendBuffer();
  std::optional<std::size_t> writeToSocket(std::string_view bytes);
  void closeWithEvent(CloseCause cause);
  void postFailure(CloseCause cause);
  void shutdownIfSent();
  void pollPeerClose(Micros delay);

  Loop& loop_;
  Poco::Net::StreamSocket socket_;
  StreamEvents& events_;
  SocketWatch watch_;
  Poco::Net::SocketAddress peer_;
  std::string sourceAddress_;
  Micros connectRetryDelay_ = 0;
  bool hasSocket_ = false;  // the connection was accepted, or is being established
  timing::Alarm connectRetryAlarm_;
  timing::Alarm connectTimeoutAlarm_;
  timing::Alarm closeAlarm_;
  std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
  std::string sendBuffer_;
  std::size_t sentBytes_ = 0;  // prefix of the buffer that has been sent
  std::size_t unsent_ = 0;
  Arrival arrival_;
  // When unread bytes may last have been left in the socket, which arrived at arrival_.earliest or later.
  Micros leftUnreadAt_ = 0;
  bool isConnected_ = false;
  bool isOpen_ = true;
  bool closesAfterSending_ = false;
  bool finishesSending_ = false;
  bool notifiesDrained_ = false;
  bool failurePosted_ = false;
};

}  // namespace garnethook::net
