/// @file
/// A non-blocking TCP connection on the loop.
#pragma once

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/loop.h"
#include "net/socket_watch.h"

namespace garnethook::net {

/// Why a stream ended.
enum class CloseCause {
  peerClosed,   ///< The peer closed it.
  reset,        ///< The peer reset it, or it broke.
  refused,      ///< The peer's machine refused the connection, or the network knows no way to it.
  timedOut,     ///< The connection was not established in time.
  unavailable,  ///< This machine could not start the connection in time (no descriptor, memory, port or
                ///< route), which says nothing about the peer.
  local         ///< This side closed it.
};

/// Notified of what happens to a stream, on the loop's thread.
class StreamEvents {
 public:
  virtual ~StreamEvents() = default;
  /// The connection is established.
  virtual void onConnected() {}
  /// Bytes have arrived.
  virtual void onBytes(std::string_view bytes) = 0;
  /// What was pending has been sent; more may be sent.
  virtual void onDrained() {}
  /// The peer is gone. Called at most once, never from inside send() or close(); nothing is called after it.
  virtual void onClosed(CloseCause cause) = 0;
};

/// A TCP connection. Lives on the loop's thread.
class Stream {
 public:
  /// Wraps an accepted, connected socket.
  /// @param loop runs everything; must outlive the stream
  /// @param socket the connection
  /// @param events is notified; must outlive the stream
  Stream(Loop& loop, const Poco::Net::StreamSocket& socket, StreamEvents& events);
  /// Starts to connect; onConnected follows, or onClosed with refused, timedOut or unavailable. Where this
  /// machine can't start the connection, that is tried again until the timeout.
  /// @param loop runs everything; must outlive the stream
  /// @param peer address to connect to
  /// @param sourceAddress local address, with a port of the system's choice; empty: the system's choice
  /// @param connectTimeout in microseconds
  /// @param events is notified; must outlive the stream
  Stream(Loop& loop, const Poco::Net::SocketAddress& peer, const std::string& sourceAddress,
         Micros connectTimeout, StreamEvents& events);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  /// Takes all bytes; what the socket does not take at once waits in pending().
  void send(std::string_view bytes);
  /// Takes as many bytes as the socket does, none while some are pending. Where it was not all, onDrained
  /// follows.
  /// @return number of bytes taken
  std::size_t trySend(std::string_view bytes);
  /// Bytes of send() that the socket has not taken yet.
  std::size_t pending() const { return sendBuffer_.size() - sentBytes_; }
  /// Once closed: bytes of send() that the socket never took.
  std::size_t unsent() const { return unsent_; }
  /// Stops reading, so that the peer's socket fills, or continues.
  void pauseReading(bool paused);
  /// Whether the connection has been established.
  bool connected() const { return isConnected_; }
  /// Whether the stream is connected and the peer has neither sent anything that is still unread nor closed;
  /// asks the system.
  bool quiet() const;
  /// Whether the stream is connected and the peer's system has acknowledged all that was sent, as far as this
  /// system knows.
  bool delivered() const;
  /// Whether the stream has not been closed.
  bool open() const { return isOpen_; }
  /// Closes at once; nothing is called after it.
  /// @param abort with a reset instead of an orderly end
  void close(bool abort = false);
  /// Closes once what is pending has been sent, or after the timeout.
  void closeAfterSending(Micros timeout);
  /// What happens to input after finishSending().
  enum class Inbound {
    read,  ///< Reading continues, since a close with unread bytes would reset the connection and take away
           ///< what the peer has not read yet.
    leaveUnread  ///< Nothing is read any more, so that a request which crosses the FIN stays unread.
  };
  /// Takes nothing more to send; once what is pending has been sent, the peer is told that nothing follows
  /// (FIN). onClosed follows when the peer has closed too; the owner bounds how long that may take.
  void finishSending(Inbound inbound = Inbound::read);
  /// Microseconds since the latest bytes arrived, as far as this system knows; 0 where it does not.
  Micros timeSinceLastReceive() const;
  /// Whether the peer has closed or reset the connection, even if that was not read yet; asks the system.
  bool peerGone() const;

 private:
  SocketWatch::Events watchEvents();
  void onReadable();
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
  std::optional<std::size_t> write(std::string_view bytes);
  void finish(CloseCause cause);
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
  bool hasSocket_ = false;  // the system has accepted the connection, or started to establish it
  timing::Alarm connectRetryAlarm_;
  timing::Alarm connectTimeoutAlarm_;
  timing::Alarm closeAlarm_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::string sendBuffer_;
  std::size_t sentBytes_ = 0;  // of the buffer
  std::size_t unsent_ = 0;
  bool isConnected_ = false;
  bool isOpen_ = true;
  bool closesAfterSending_ = false;
  bool finishesSending_ = false;
  bool notifiesDrained_ = false;
  bool failurePosted_ = false;
};

}  // namespace garnethook::net
