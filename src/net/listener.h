/// @file
/// A listening TCP socket on the loop.
#pragma once

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <optional>

#include "net/loop.h"
#include "net/socket_watch.h"

namespace garnethook::net {

/// Accepts connections. Lives on the loop's thread.
class Listener {
 public:
  /// Called with each accepted connection; may pause or close the listener.
  using Accept = std::function<void(Poco::Net::StreamSocket)>;
  /// Listens at once; tries again for two seconds where the address is taken.
  /// @param loop runs everything; must outlive the listener
  /// @param address where to listen; port 0: the system's choice
  /// @param accept called with each connection
  /// @throws Poco::Net::NetException that names the address where it can't listen
  Listener(Loop& loop, const Poco::Net::SocketAddress& address, Accept accept);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  /// Where the listener listens.
  const Poco::Net::SocketAddress& address() const { return address_; }
  /// Accepts the connections that wait in the system's queue, since their requests may have been written
  /// already; then accepts no more and gives up the port. Where the system lacks a descriptor for one of
  /// them, that is tried again for half a second.
  void close();
  /// Since when connections may have been waiting in the system's queue; nothing where the queue was found
  /// empty after the latest pause.
  std::optional<Micros> backlogSince() const { return backlogSince_; }
  /// Whether connections may still be accepted.
  bool open() const { return isOpen_; }
  /// Leaves new connections in the system's queue until resume(). Does nothing once the listener closes.
  void pause();
  /// Accepts again, in the loop's next turn, first those that wait in the queue. Does nothing once the
  /// listener closes.
  void resume();

 private:
  void listenWithRetries(const Poco::Net::SocketAddress& address);
  void listen(const Poco::Net::SocketAddress& address);
  void onReadable();
  void watchQueue(bool on);
  bool acceptWaiting(int maxConnections);
  void pauseForLackOfResources();
  void closeOnceEmpty(Micros deadline);
  void closeSocket();

  Loop& loop_;
  Poco::Net::ServerSocket socket_;
  Poco::Net::SocketAddress address_;
  Accept accept_;
  SocketWatch watch_;
  timing::Alarm retryAlarm_;
  Micros retryDelay_ = 0;
  std::optional<Micros> backlogSince_;
  bool isPaused_ = true;
  bool isClosing_ = false;
  bool isOpen_ = true;
};

}  // namespace garnethook::net
