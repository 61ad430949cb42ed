// A non-blocking TCP stream on the loop, and a listener of them.
#pragma once

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "net/loop.h"
#include "net/socket_watch.h"

namespace garnethook::net {

// `unavailable`: this machine could not begin the connection in its time (no descriptor, memory, port or
// route), which tells nothing of the peer.
enum class CloseCause { peerClosed, reset, refused, timedOut, unavailable, local };

class StreamEvents {
 public:
  virtual ~StreamEvents() = default;
  virtual void onConnected() {}
  virtual void onBytes(std::string_view bytes) = 0;
  // What was pending went out; more may be sent.
  virtual void onDrained() {}
  // The peer is gone. Called at most once, never from inside send() or close(), and nothing comes after it.
  virtual void onClosed(CloseCause cause) = 0;
};

class Stream {
 public:
  // An accepted, connected socket.
  Stream(Loop& loop, Poco::Net::StreamSocket socket, StreamEvents& events);
  // Starts to connect; onConnected, or onClosed with refused, timedOut or unavailable, tells the end of it.
  // Where this machine can't begin it, it is tried again until the time is over. `from`: local address to
  // bind to, port 0; empty: the system's choice.
  Stream(Loop& loop, const Poco::Net::SocketAddress& to, const std::string& from, Micros connectTimeout,
         StreamEvents& events);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Takes all bytes; what the socket does not take at once waits in pending().
  void send(std::string_view bytes);
  // Takes as many bytes as the socket does, none while some are pending, and tells how many; onDrained
  // follows where it was not all.
  std::size_t trySend(std::string_view bytes);
  std::size_t pending() const { return out_.size() - outAt_; }
  // Once closed: bytes of send() that the socket never took.
  std::size_t unsent() const { return unsent_; }
  // Stops reading, so that the peer's socket fills; and goes on.
  void pauseReading(bool paused);
  bool connected() const { return connected_; }
  // Connected, and the peer has neither sent what was not read yet nor closed: asks the system.
  bool quiet() const;
  // Connected, and the peer's system has acknowledged all that was sent, as far as this system tells.
  bool delivered() const;
  bool open() const { return open_; }
  // Closes at once; nothing is called after. `abort`: with a reset in place of an orderly end.
  void close(bool abort = false);
  // Closes once what is pending went out, or after `limit`.
  void closeAfterSending(Micros limit);
  // Takes no more to send; once what is pending went out the peer is told that nothing follows (FIN).
  // onClosed tells when the peer has closed too; the owner bounds how long that may take. `Inbound::read`:
  // reading goes on, as a close over unread bytes would reset the connection and take with it what the peer
  // has not read yet. `Inbound::leave`: nothing is read any more, so that a request which crosses the FIN
  // stays unread.
  enum class Inbound { read, leave };
  void finishSending(Inbound inbound = Inbound::read);
  // How long ago the latest bytes came, as far as this system tells; 0 where it does not.
  Micros sinceLatestBytes() const;
  // Whether the peer has closed or reset the connection, also where that was not read yet: asks the system.
  bool peerGone() const;

 private:
  SocketWatch::Events watchEvents();
  void onReadable();
  void onWritable();
  void onError();
  void dial();
  void dialLater();
  void onProgress();
  int descriptor() const { return socket_.impl()->sockfd(); }
  void watch(bool reading, bool writing);
  void watchReading(bool on);
  void watchWriting(bool on);
  void flush();
  std::optional<std::size_t> write(std::string_view bytes);
  void over(CloseCause cause);
  void failLater(CloseCause cause);
  void shutdownIfSent();
  void awaitPeerClose(Micros pause);

  Loop& loop_;
  Poco::Net::StreamSocket socket_;
  StreamEvents& events_;
  SocketWatch watch_;
  Poco::Net::SocketAddress to_;
  std::string from_;
  Micros dialPause_ = 0;
  bool begun_ = false;  // the system has taken the connection up
  timing::Alarm dialAlarm_;
  timing::Alarm connectAlarm_;
  timing::Alarm closeAlarm_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::string out_;
  std::size_t outAt_ = 0;
  std::size_t unsent_ = 0;
  bool connected_ = false;
  bool open_ = true;
  bool closing_ = false;
  bool finishing_ = false;
  bool wantDrained_ = false;
  bool failing_ = false;
};

class Listener {
 public:
  using Accept = std::function<void(Poco::Net::StreamSocket)>;
  // Listens at once; throws Poco::Net::NetException naming the address where that fails.
  Listener(Loop& loop, const Poco::Net::SocketAddress& address, Accept accept);
  ~Listener();
  const Poco::Net::SocketAddress& address() const { return address_; }
  // Takes the connections that wait in the system's queue, as their requests may have been written already;
  // then accepts no more and gives up the port. Where the system has no descriptor for one that waits, that
  // is tried again for a while.
  void close();
  // Since when connections may have waited in the system's queue; nothing where it was found empty since it
  // was last left alone.
  std::optional<Micros> backlogSince() const { return backlogSince_; }
  // It has not closed yet: connections may still come of it.
  bool open() const { return open_; }
  // Leaves new connections in the system's queue until resume(). Does nothing once it closes.
  void pause();
  // Accepts again, first those that wait in the queue, in the loop's next turn. Does nothing once it closes.
  void resume();

 private:
  void listen(const Poco::Net::SocketAddress& address);
  void onReadable();
  void watchQueue(bool on);
  // False: the system has no room for one that waits.
  bool acceptWaiting(int most);
  void restOutOfRoom();
  void closeOnceEmpty(Micros until);
  void shut();
  Loop& loop_;
  Poco::Net::ServerSocket socket_;
  Poco::Net::SocketAddress address_;
  Accept accept_;
  SocketWatch watch_;
  timing::Alarm retry_;
  Micros pause_ = 0;
  std::optional<Micros> backlogSince_;
  bool paused_ = true;
  bool closing_ = false;
  bool open_ = true;
};

}  // namespace garnethook::net
